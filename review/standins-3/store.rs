//! A stand-in for the platform's key-value store, as PROTOCOL.md describes it.

use std::{
    collections::BTreeMap,
    net::{SocketAddr, TcpListener, TcpStream},
    sync::{Arc, Condvar, Mutex},
    thread,
    time::{Duration, Instant},
};

use crate::{
    http::{Connection, Message},
    json::{Json, base64, quote},
};

#[derive(Clone)]
struct Item {
    value: String,
    rev: u64,
    create_rev: u64,
    lease: u64,
}

#[derive(Default)]
struct State {
    rev: u64,
    items: BTreeMap<String, Item>,
    /// Changes by revision, as they are sent to watches.
    events: Vec<(u64, String, String)>,
    leases: BTreeMap<u64, (Instant, f64)>,
}

#[derive(Clone)]
pub struct Store {
    pub address: SocketAddr,
    shared: Arc<(Mutex<State>, Condvar)>,
}

impl State {
    fn put(&mut self, key: &str, value: String, lease: u64) {
        self.rev += 1;
        let create_rev = self.items.get(key).map_or(self.rev, |item| item.create_rev);
        let item = Item { value, rev: self.rev, create_rev, lease };
        self.events.push((self.rev, key.to_string(), format_item(key, &item)));
        self.items.insert(key.to_string(), item);
    }

    fn remove(&mut self, key: &str) {
        if self.items.remove(key).is_some() {
            self.rev += 1;
            let text =
                format!("{{\"key\":{},\"rev\":{},\"tombstone\":true}}", quote(key), self.rev);
            self.events.push((self.rev, key.to_string(), text));
        }
    }

    fn expire(&mut self) {
        let now = Instant::now();
        let ended: Vec<u64> =
            self.leases.iter().filter(|(_, (end, _))| *end <= now).map(|(id, _)| *id).collect();
        for lease in ended {
            self.end_lease(lease);
        }
    }

    fn end_lease(&mut self, lease: u64) {
        self.leases.remove(&lease);
        let keys: Vec<String> = self
            .items
            .iter()
            .filter(|(_, item)| item.lease == lease)
            .map(|(key, _)| key.clone())
            .collect();
        for key in keys {
            self.remove(&key);
        }
    }
}

fn format_item(key: &str, item: &Item) -> String {
    let Item { value, rev, create_rev, lease } = item;
    format!(
        "{{\"key\":{},\"value\":{},\"rev\":{rev},\"create_rev\":{create_rev},\"lease\":{lease}}}",
        quote(key),
        quote(value)
    )
}

impl Store {
    pub fn start(address: SocketAddr) -> Store {
        let listener = TcpListener::bind(address).expect("the store's address is free");
        let address = listener.local_addr().expect("a bound address");
        let state = State { rev: 7, ..State::default() };
        let store = Store { address, shared: Arc::new((Mutex::new(state), Condvar::new())) };
        let server = store.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = server.clone();
                thread::spawn(move || store.serve(stream));
            }
        });
        store
    }

    /// Writes a key as the operator does.
    pub fn put(&self, key: &str, value: &str) {
        self.shared.0.lock().unwrap().put(key, base64(value.as_bytes()), 0);
        self.shared.1.notify_all();
    }

    fn serve(&self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let mut conn = Connection::new(stream);
        while let Ok(Some(req)) = conn.read(false) {
            thread::sleep(Duration::from_millis(4));
            let (status, body) = self.answer(&req);
            let head = format!(
                "HTTP/1.1 {status} X\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n",
                body.len()
            );
            if conn.send(&(head + &body)).is_err() {
                return;
            }
        }
    }

    fn answer(&self, req: &Message) -> (u16, String) {
        let (lock, changed) = &*self.shared;
        let mut state = lock.lock().unwrap();
        state.expire();
        let path = req.path();
        if path == "/kv-key" {
            let key = req.query("key").unwrap_or_default();
            return match state.items.get(&key) {
                Some(item) => (200, format_item(&key, item)),
                None => (404, "{}".into()),
            };
        }
        if path == "/kv-range" {
            let (prefix, after) =
                (req.query("prefix").unwrap_or_default(), req.query("after").unwrap_or_default());
            let items: Vec<String> = state
                .items
                .iter()
                .filter(|(key, _)| key.starts_with(&prefix) && **key > after)
                .map(|(key, item)| format_item(key, item))
                .collect();
            return (
                200,
                format!(
                    "{{\"items\":[{}],\"has_more\":false,\"current_rev\":{}}}",
                    items.join(","),
                    state.rev
                ),
            );
        }
        if path == "/kv-watch" {
            let prefix = req.query("prefix").unwrap_or_default();
            let number =
                |name| req.query(name).and_then(|text| text.parse::<u64>().ok()).unwrap_or(0);
            let (after, end) =
                (number("after"), Instant::now() + Duration::from_millis(number("wait_ms")));
            loop {
                let events: Vec<&str> = state
                    .events
                    .iter()
                    .filter(|(rev, key, _)| *rev > after && key.starts_with(&prefix))
                    .map(|(_, _, text)| text.as_str())
                    .collect();
                let left = end.saturating_duration_since(Instant::now());
                if !events.is_empty() || left.is_zero() {
                    return (
                        200,
                        format!(
                            "{{\"events\":[{}],\"current_rev\":{}}}",
                            events.join(","),
                            state.rev
                        ),
                    );
                }
                state = changed.wait_timeout(state, left).unwrap().0;
            }
        }
        let body = Json::parse(&String::from_utf8_lossy(&req.body)).unwrap_or(Json::Null);
        if path == "/kv-txn" {
            let expected = body.get("expected").list();
            let holds = |row: &Json| {
                let rev = state.items.get(row.get("key").text()).map_or(0, |item| item.rev);
                rev == row.get("rev").number() as u64
            };
            if !expected.iter().all(holds) {
                return (412, "{\"items\":[]}".into());
            }
            for write in body.get("writes").list() {
                let lease = write.get("lease").number() as u64;
                if lease > 0 && !state.leases.contains_key(&lease) {
                    return (404, "{}".into());
                }
                let (key, value) = (write.get("key").text(), write.get("value").text());
                if key.starts_with("op/") || key.starts_with("servers/") {
                    return (403, "{}".into());
                }
                state.put(key, value.to_string(), lease);
            }
            for key in body.get("remove").list() {
                state.remove(key.text());
            }
            changed.notify_all();
            return (200, format!("{{\"rev\":{}}}", state.rev));
        }
        if path == "/kv-lease" {
            let ttl = body.get("ttl_s_time").number().clamp(1.0, 600.0);
            state.rev += 1;
            let lease = state.rev;
            state.leases.insert(lease, (Instant::now() + Duration::from_secs_f64(ttl), ttl));
            return (200, format!("{{\"lease\":{lease},\"ttl_s_time\":{ttl}}}"));
        }
        let lease = path.rsplit('/').next().and_then(|id| id.parse::<u64>().ok()).unwrap_or(0);
        if path.starts_with("/kv-keep/") {
            return match state.leases.get_mut(&lease) {
                Some((end, ttl)) => {
                    *end = Instant::now() + Duration::from_secs_f64(*ttl);
                    (200, "{}".into())
                }
                None => (404, "{}".into()),
            };
        }
        if path.starts_with("/kv-lease-end/") {
            state.end_lease(lease);
            changed.notify_all();
            return (200, "{}".into());
        }
        (404, "{}".into())
    }
}
