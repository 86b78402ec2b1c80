//! A stand-in for the platform's store, as `PROTOCOL.md` describes it.

use std::{
    collections::BTreeMap,
    net::{SocketAddr, TcpListener},
    sync::{Arc, Condvar, Mutex},
    thread,
    time::{Duration, Instant},
};

use crate::{
    http::{Connection, Message},
    json::{Json, quote},
};

#[derive(Clone)]
struct Item {
    value: String,
    rev: u64,
    create_rev: u64,
    lease: u64,
}

#[derive(Default)]
struct Data {
    revision: u64,
    items: BTreeMap<String, Item>,
    /// All changes: revision, key, and the event as JSON.
    events: Vec<(u64, String, String)>,
    leases: BTreeMap<u64, (Duration, Instant)>,
    next_lease: u64,
}

#[derive(Clone)]
pub struct Store {
    pub address: SocketAddr,
    shared: Arc<(Mutex<Data>, Condvar)>,
}

impl Data {
    fn put(&mut self, key: &str, value: String, lease: u64) {
        self.revision += 1;
        let rev = self.revision;
        let create_rev = self.items.get(key).map_or(rev, |item| item.create_rev);
        let item = Item { value, rev, create_rev, lease };
        self.events.push((rev, key.to_owned(), format_item(key, &item)));
        self.items.insert(key.to_owned(), item);
    }

    fn remove(&mut self, key: &str) {
        if self.items.remove(key).is_some() {
            self.revision += 1;
            let event =
                format!("{{\"key\":{},\"rev\":{},\"tombstone\":true}}", quote(key), self.revision);
            self.events.push((self.revision, key.to_owned(), event));
        }
    }

    fn expire(&mut self) {
        let now = Instant::now();
        let ended: Vec<u64> =
            self.leases.iter().filter(|(_, (_, end))| *end <= now).map(|(id, _)| *id).collect();
        for id in ended {
            self.end_lease(id);
        }
    }

    fn end_lease(&mut self, id: u64) {
        self.leases.remove(&id);
        let keys: Vec<String> = self
            .items
            .iter()
            .filter(|(_, item)| item.lease == id)
            .map(|(key, _)| key.clone())
            .collect();
        for key in keys {
            self.remove(&key);
        }
    }
}

fn format_item(key: &str, item: &Item) -> String {
    let Item { value, rev, create_rev, lease } = item;
    let key = quote(key);
    format!(
        "{{\"key\":{key},\"value\":\"{value}\",\"rev\":{rev},\"create_rev\":{create_rev},\"lease\":{lease}}}"
    )
}

impl Store {
    pub fn start(listener: TcpListener) -> Store {
        let address = listener.local_addr().expect("a local address");
        let data = Data { revision: 100, ..Data::default() };
        let store = Store { address, shared: Arc::new((Mutex::new(data), Condvar::new())) };
        let server = store.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let server = server.clone();
                thread::spawn(move || server.serve(Connection::new(stream)));
            }
        });
        store
    }

    /// Writes a key as operators do.
    pub fn put(&self, key: &str, value: &str) {
        self.shared.0.lock().unwrap().put(key, encode_base64(value.as_bytes()), 0);
        self.shared.1.notify_all();
    }

    fn serve(&self, mut conn: Connection) {
        while let Some(request) = conn.read_message(false) {
            let (status, body) = self.answer(&request);
            let head = format!(
                "HTTP/1.1 {status} X\r\ncontent-type: application/json\r\ncontent-length: {}\r\n\r\n",
                body.len()
            );
            if !conn.write(&[head.as_bytes(), body.as_bytes()].concat()) {
                return;
            }
        }
    }

    fn answer(&self, request: &Message) -> (u16, String) {
        let (method, target) = request.target();
        let (path, query) = target.split_once('?').unwrap_or((target, ""));
        let field = |name: &str| {
            let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
            pairs.into_iter().find(|(key, _)| *key == name).map(|(_, value)| decode_percent(value))
        };
        let body = String::from_utf8_lossy(&request.body).into_owned();
        let mut data = self.shared.0.lock().unwrap();
        data.expire();
        match (method, path) {
            ("GET", "/kv-key") => {
                let key = field("key").unwrap_or_default();
                match data.items.get(&key) {
                    Some(item) => (200, format_item(&key, item)),
                    None => (404, "{}".into()),
                }
            }
            ("GET", "/kv-range") => {
                let prefix = field("prefix").unwrap_or_default();
                let after = field("after").unwrap_or_default();
                let listed =
                    data.items.iter().filter(|(key, _)| key.starts_with(&prefix) && **key > after);
                let items: Vec<String> = listed.map(|(key, item)| format_item(key, item)).collect();
                let items = items.join(",");
                (
                    200,
                    format!(
                        "{{\"items\":[{items}],\"has_more\":false,\"current_rev\":{}}}",
                        data.revision
                    ),
                )
            }
            ("GET", "/kv-watch") => {
                let prefix = field("prefix").unwrap_or_default();
                let after: u64 = field("after").and_then(|text| text.parse().ok()).unwrap_or(0);
                let wait = field("wait_ms").and_then(|text| text.parse().ok()).unwrap_or(0);
                let deadline = Instant::now() + Duration::from_millis(wait);
                loop {
                    data.expire();
                    let new = data
                        .events
                        .iter()
                        .filter(|(rev, key, _)| *rev > after && key.starts_with(&prefix));
                    let events: Vec<String> = new.map(|(_, _, event)| event.clone()).collect();
                    let left = deadline.saturating_duration_since(Instant::now());
                    if !events.is_empty() || left.is_zero() {
                        let events = events.join(",");
                        return (
                            200,
                            format!("{{\"events\":[{events}],\"current_rev\":{}}}", data.revision),
                        );
                    }
                    let step = left.min(Duration::from_millis(200));
                    data = self.shared.1.wait_timeout(data, step).unwrap().0;
                }
            }
            ("POST", "/kv-txn") => {
                let Some(txn) = Json::parse(&body) else { return (400, "{}".into()) };
                let holds = txn.get("expected").list().iter().all(|row| {
                    let rev = data.items.get(row.get("key").text()).map_or(0, |item| item.rev);
                    rev == row.get("rev").number() as u64
                });
                if !holds {
                    let rows = txn.get("expected").list().iter();
                    let items: Vec<String> = rows
                        .filter_map(|row| {
                            let key = row.get("key").text();
                            data.items.get(key).map(|item| format_item(key, item))
                        })
                        .collect();
                    return (412, format!("{{\"items\":[{}]}}", items.join(",")));
                }
                let leases =
                    txn.get("writes").list().iter().map(|row| row.get("lease").number() as u64);
                if leases.into_iter().any(|id| id != 0 && !data.leases.contains_key(&id)) {
                    return (404, "{}".into());
                }
                for row in txn.get("writes").list() {
                    let (key, value) = (row.get("key").text(), row.get("value").text());
                    if key.starts_with("op/") || key.starts_with("servers/") {
                        return (403, "{}".into());
                    }
                    data.put(key, value.to_owned(), row.get("lease").number() as u64);
                }
                for key in txn.get("remove").list() {
                    data.remove(key.text());
                }
                self.shared.1.notify_all();
                (200, format!("{{\"rev\":{}}}", data.revision))
            }
            ("POST", "/kv-lease") => {
                let ttl = Json::parse(&body).map_or(0.0, |json| json.get("ttl_s_time").number());
                let ttl = Duration::from_secs_f64(ttl.clamp(1.0, 600.0));
                data.next_lease += 1;
                let id = data.next_lease;
                data.leases.insert(id, (ttl, Instant::now() + ttl));
                (200, format!("{{\"lease\":{id},\"ttl_s_time\":{}}}", ttl.as_secs_f64()))
            }
            ("POST", path) => {
                let id: u64 = path.trim_start_matches("/kv-keep/").parse().unwrap_or(0);
                match data.leases.get_mut(&id) {
                    Some((ttl, end)) => {
                        *end = Instant::now() + *ttl;
                        (200, "{}".into())
                    }
                    None => (404, "{}".into()),
                }
            }
            ("DELETE", path) => {
                let id: u64 = path.trim_start_matches("/kv-lease-end/").parse().unwrap_or(0);
                data.end_lease(id);
                self.shared.1.notify_all();
                (200, "{}".into())
            }
            _ => (404, "{}".into()),
        }
    }
}

fn decode_percent(text: &str) -> String {
    let bytes = text.as_bytes();
    let mut decoded = Vec::new();
    let mut at = 0;
    while at < bytes.len() {
        let hex = (bytes[at] == b'%').then(|| text.get(at + 1..at + 3)).flatten();
        match hex.and_then(|hex| u8::from_str_radix(hex, 16).ok()) {
            Some(byte) => {
                decoded.push(byte);
                at += 3;
            }
            None => {
                decoded.push(bytes[at]);
                at += 1;
            }
        }
    }
    String::from_utf8_lossy(&decoded).into_owned()
}

const ALPHABET: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

fn encode_base64(bytes: &[u8]) -> String {
    let mut text = String::new();
    for chunk in bytes.chunks(3) {
        let mut word = [0; 3];
        word[..chunk.len()].copy_from_slice(chunk);
        let bits = u32::from(word[0]) << 16 | u32::from(word[1]) << 8 | u32::from(word[2]);
        for n in 0..4 {
            if n <= chunk.len() {
                text.push(ALPHABET[(bits >> (18 - 6 * n)) as usize & 63] as char);
            } else {
                text.push('=');
            }
        }
    }
    text
}
