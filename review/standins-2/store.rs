//! A stand-in for the platform's metadata store: items, leases, conditional writes and watches.

use std::{
    collections::BTreeMap,
    net::{Ipv4Addr, SocketAddr, TcpListener},
    sync::{Arc, Condvar, Mutex},
    thread,
    time::{Duration, Instant},
};

use crate::{
    http::{Conn, Head},
    json::{Json, quote},
};

#[derive(Default)]
struct Data {
    items: BTreeMap<String, Item>,
    /// The revision, key and JSON of each change.
    events: Vec<(u64, String, String)>,
    revision: u64,
    leases: BTreeMap<u64, (Duration, Instant)>,
    last_lease: u64,
}

struct Item {
    value: String,
    revision: u64,
    created: u64,
    lease: u64,
}

#[derive(Clone, Default)]
pub struct Store(Arc<(Mutex<Data>, Condvar)>);

impl Store {
    pub fn start() -> (Store, SocketAddr) {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).expect("a free port");
        let address = listener.local_addr().expect("an address");
        let store = Store::default();
        store.0.0.lock().expect("the data").revision = 100;
        let server = store.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = server.clone();
                thread::spawn(move || store.serve(Conn::new(stream)));
            }
        });
        (store, address)
    }

    /// Writes a value as the operator does.
    pub fn put(&self, key: &str, value: &str) {
        let mut data = self.0.0.lock().expect("the data");
        data.write(key, encode_base64(value.as_bytes()), 0);
        self.0.1.notify_all();
    }

    fn serve(&self, mut conn: Conn) {
        while let Ok(Some(head)) = conn.read_head() {
            let Ok(body) = conn.read_body(&head) else { return };
            let (status, json) = self.execute(&head, &String::from_utf8_lossy(&body));
            let response = format!(
                "HTTP/1.1 {status} Status\r\ncontent-type: application/json\r\ncontent-length: {}\r\n\r\n{json}",
                json.len()
            );
            if conn.send(response.as_bytes()).is_err() {
                return;
            }
        }
    }

    fn execute(&self, head: &Head, body: &str) -> (u16, String) {
        let query = |name: &str| head.query(name).unwrap_or_default();
        let (lock, changed) = &*self.0;
        let mut data = lock.lock().expect("the data");
        data.expire();
        let empty = || String::from("{}");
        let answer = match (head.method(), head.path()) {
            ("GET", "/kv-key") => match data.item(&query("key")) {
                Some(item) => (200, item),
                None => (404, empty()),
            },
            ("GET", "/kv-range") => (200, data.range(&query("prefix"), &query("after"))),
            ("GET", "/kv-watch") => {
                let after: u64 = query("after").parse().unwrap_or(0);
                let wait = Duration::from_millis(query("wait_ms").parse().unwrap_or(0));
                let (prefix, until) = (query("prefix"), Instant::now() + wait);
                loop {
                    let events = data.events_after(&prefix, after);
                    let left = until.saturating_duration_since(Instant::now());
                    if !events.is_empty() || left.is_zero() {
                        let list = events.join(",");
                        let revision = data.revision;
                        break (200, format!("{{\"events\":[{list}],\"current_rev\":{revision}}}"));
                    }
                    let step = left.min(Duration::from_millis(200));
                    data = changed.wait_timeout(data, step).expect("the data").0;
                    data.expire();
                }
            }
            ("POST", "/kv-txn") => data.transact(&Json::parse(body).unwrap_or(Json::Null)),
            ("POST", "/kv-lease") => {
                let ttl = Json::parse(body).unwrap_or(Json::Null).get("ttl_s_time").number();
                data.last_lease += 1;
                let id = data.last_lease;
                let ttl_time = Duration::from_secs_f64(ttl);
                data.leases.insert(id, (ttl_time, Instant::now() + ttl_time));
                (200, format!("{{\"lease\":{id},\"ttl_s_time\":{ttl}}}"))
            }
            ("POST", path) => {
                let id = path.rsplit('/').next().and_then(|id| id.parse().ok()).unwrap_or(0);
                match data.leases.get_mut(&id) {
                    Some((ttl, end)) => {
                        *end = Instant::now() + *ttl;
                        (200, empty())
                    }
                    None => (404, empty()),
                }
            }
            ("DELETE", path) => {
                let id = path.rsplit('/').next().and_then(|id| id.parse().ok()).unwrap_or(0);
                if let Some((_, end)) = data.leases.get_mut(&id) {
                    *end = Instant::now();
                }
                data.expire();
                (200, empty())
            }
            _ => (404, empty()),
        };
        drop(data);
        changed.notify_all();
        answer
    }
}

impl Data {
    fn item(&self, key: &str) -> Option<String> {
        let Item { value, revision, created, lease } = self.items.get(key)?;
        Some(format!(
            "{{\"key\":{},\"value\":{},\"rev\":{revision},\"create_rev\":{created},\"lease\":{lease},\"current_rev\":{}}}",
            quote(key),
            quote(value),
            self.revision
        ))
    }

    fn range(&self, prefix: &str, after: &str) -> String {
        let keys = self.items.keys().filter(|key| key.starts_with(prefix) && key.as_str() > after);
        let items: Vec<String> = keys.filter_map(|key| self.item(key)).collect();
        let list = items.join(",");
        format!("{{\"items\":[{list}],\"has_more\":false,\"current_rev\":{}}}", self.revision)
    }

    fn events_after(&self, prefix: &str, after: u64) -> Vec<String> {
        let events = self.events.iter();
        let events = events.filter(|(rev, key, _)| *rev > after && key.starts_with(prefix));
        events.map(|(_, _, json)| json.clone()).collect()
    }

    fn write(&mut self, key: &str, value: String, lease: u64) {
        self.revision += 1;
        let revision = self.revision;
        let created = self.items.get(key).map_or(revision, |item| item.created);
        self.items.insert(key.to_owned(), Item { value, revision, created, lease });
        let json = self.item(key).unwrap_or_default();
        self.events.push((revision, key.to_owned(), json));
    }

    fn remove(&mut self, key: &str) {
        if self.items.remove(key).is_some() {
            self.revision += 1;
            let revision = self.revision;
            let json = format!("{{\"key\":{},\"rev\":{revision},\"tombstone\":true}}", quote(key));
            self.events.push((revision, key.to_owned(), json));
        }
    }

    fn transact(&mut self, request: &Json) -> (u16, String) {
        for row in request.get("expected").list() {
            let known = self.items.get(row.get("key").text()).map_or(0, |item| item.revision);
            if row.get("rev").number() as u64 != known {
                let item = self.item(row.get("key").text()).unwrap_or_default();
                return (412, format!("{{\"items\":[{item}]}}"));
            }
        }
        for row in request.get("writes").list() {
            let lease = row.get("lease").number() as u64;
            if lease != 0 && !self.leases.contains_key(&lease) {
                return (404, String::from("{}"));
            }
        }
        for row in request.get("writes").list() {
            let lease = row.get("lease").number() as u64;
            self.write(row.get("key").text(), row.get("value").text().to_owned(), lease);
        }
        for key in request.get("remove").list() {
            self.remove(key.text());
        }
        (200, format!("{{\"rev\":{}}}", self.revision))
    }

    fn expire(&mut self) {
        let now = Instant::now();
        let ended = |lease: u64, leases: &BTreeMap<u64, (Duration, Instant)>| {
            leases.get(&lease).is_some_and(|(_, end)| *end <= now)
        };
        let items = self.items.iter();
        let items = items.filter(|(_, item)| item.lease != 0 && ended(item.lease, &self.leases));
        let keys: Vec<String> = items.map(|(key, _)| key.clone()).collect();
        for key in keys {
            self.remove(&key);
        }
        self.leases.retain(|_, (_, end)| *end > now);
    }
}

fn encode_base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for chunk in bytes.chunks(3) {
        let group = chunk.iter().fold(0_u32, |group, byte| group << 8 | u32::from(*byte));
        let group = group << (8 * (3 - chunk.len()));
        for index in 0..4 {
            if index <= chunk.len() {
                text.push(char::from(DIGITS[(group >> (18 - 6 * index)) as usize & 63]));
            } else {
                text.push('=');
            }
        }
    }
    text
}
