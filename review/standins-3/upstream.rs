//! A stand-in for an upstream: it runs requests, answers its liveness check and sends heartbeats.

use std::{
    net::{SocketAddr, TcpListener, TcpStream},
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    thread,
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

use crate::{
    http::{Connection, Message},
    node::Machine,
};

/// A request as the upstream received it.
#[derive(Clone, Debug)]
pub struct Run {
    pub at: Instant,
    pub request: Message,
}

/// The time for which an upstream is cold that starts during traffic: `cold_start_s` of the configuration.
const COLD_TIME: Duration = Duration::from_secs(3);

/// The ratio by which work takes longer on a cold upstream.
const COLD_RATIO: u32 = 2;

/// The interval of heartbeats: `heartbeat_s` of the settings.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(1_500);

/// When an upstream starts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Start {
    BeforeTraffic,
    DuringTraffic,
}

/// What an upstream does with a request that it runs; `false` ends the connection.
pub type Handler = dyn Fn(&Upstream, &Message, &mut Connection<TcpStream>) -> bool + Send + Sync;

#[derive(Clone)]
pub struct Upstream {
    pub id: String,
    pub service: String,
    pub address: SocketAddr,
    zone: String,
    cold_until: Instant,
    pub born: u128,
    pub runs: Arc<Mutex<Vec<Run>>>,
    pub is_leaving: Arc<AtomicBool>,
    pub is_ended: Arc<AtomicBool>,
    pub sequence: Arc<AtomicU64>,
    pub running: Arc<AtomicU64>,
    handler: Arc<Handler>,
    open: Arc<Mutex<Vec<TcpStream>>>,
}

impl Upstream {
    /// Starts the upstream of a machine.
    pub fn start(id: &str, machine: &Machine, start: Start, handler: Arc<Handler>) -> Upstream {
        let listener = bind(machine.app);
        let cold_time = if start == Start::DuringTraffic { COLD_TIME } else { Duration::ZERO };
        let born = SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |time| time.as_millis());
        let upstream = Upstream {
            id: id.into(),
            service: machine.service.into(),
            zone: machine.zone.into(),
            cold_until: Instant::now() + cold_time,
            address: listener.local_addr().expect("a bound address"),
            born,
            runs: Arc::default(),
            is_leaving: Arc::default(),
            is_ended: Arc::default(),
            sequence: Arc::default(),
            running: Arc::default(),
            handler,
            open: Arc::default(),
        };
        let server = upstream.clone();
        thread::spawn(move || {
            listener.set_nonblocking(true).expect("a socket that does not block");
            while !server.is_ended.load(Ordering::SeqCst) {
                let Ok((stream, _)) = listener.accept() else {
                    thread::sleep(Duration::from_millis(2));
                    continue;
                };
                let _ = stream.set_nonblocking(false);
                if let Ok(stream) = stream.try_clone() {
                    server.open.lock().unwrap().push(stream);
                }
                let upstream = server.clone();
                thread::spawn(move || {
                    let end = stream.try_clone();
                    upstream.serve(stream);
                    // Another handle of the stream is kept for a crash.
                    let _ = end.map(|stream| stream.shutdown(std::net::Shutdown::Both));
                });
            }
        });
        upstream
    }

    /// Sends heartbeats to the node beside it until it ends.
    pub fn beat(&self, control: SocketAddr) {
        let upstream = self.clone();
        thread::spawn(move || {
            while !upstream.is_ended.load(Ordering::SeqCst) {
                upstream.beat_once(control);
                thread::sleep(HEARTBEAT_INTERVAL);
            }
        });
    }

    pub fn beat_once(&self, control: SocketAddr) -> u16 {
        let state = if self.is_leaving.load(Ordering::SeqCst) { "draining" } else { "ready" };
        let sequence = self.sequence.fetch_add(1, Ordering::SeqCst) + 1;
        let body = format!(
            "{{\"service\":\"{}\",\"address\":\"{}\",\"zone\":\"{}\",\"version\":\"v1\",\"slots\":12,\"state\":\"{state}\",\"cold_left_s\":{:.3},\"sequence\":{sequence},\"born\":{}}}",
            self.service,
            self.address,
            self.zone,
            self.cold_left().as_secs_f64(),
            self.born
        );
        let path = format!("/Instances.Heartbeat/{}", self.id);
        post(control, &path, &body)
    }

    fn cold_left(&self) -> Duration {
        self.cold_until.saturating_duration_since(Instant::now())
    }

    /// Works on a request, for longer while it is cold.
    pub fn work(&self, time: Duration) {
        thread::sleep(if self.cold_left().is_zero() { time } else { time * COLD_RATIO });
    }

    /// Ends it: it accepts and answers nothing more.
    pub fn end(&self) {
        self.is_ended.store(true, Ordering::SeqCst);
    }

    /// Crashes: its connections end at once, whatever runs on them.
    pub fn crash(&self) {
        self.end();
        for stream in self.open.lock().unwrap().drain(..) {
            let _ = stream.shutdown(std::net::Shutdown::Both);
        }
    }

    fn serve(&self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let _ = stream.set_read_timeout(Some(Duration::from_millis(200)));
        let mut conn = Connection::new(stream);
        loop {
            if self.is_ended.load(Ordering::SeqCst) {
                return;
            }
            if conn.ahead.is_empty() {
                let mut byte = [0; 1];
                match conn.stream.peek(&mut byte) {
                    Ok(0) => return,
                    Ok(_) => {}
                    Err(_) => continue,
                }
            }
            let _ = conn.stream.set_read_timeout(Some(Duration::from_secs(30)));
            let Ok(Some(mut request)) = conn.read_head() else { return };
            if request.path() == "/health" {
                let status =
                    if self.is_leaving.load(Ordering::SeqCst) { "503 Leaving" } else { "200 OK" };
                let text = format!(
                    "HTTP/1.1 {status}\r\nX-Poplarbarrow-Instance-Id: {}\r\nX-Poplarbarrow-Server-Load: {},0,12,100\r\nX-Poplarbarrow-Cold-Ms: {}\r\nContent-Length: 0\r\n\r\n",
                    self.id,
                    self.running.load(Ordering::SeqCst),
                    self.cold_left().as_millis()
                );
                if conn.send(&text).is_err() {
                    return;
                }
                let _ = conn.stream.set_read_timeout(Some(Duration::from_millis(200)));
                continue;
            }
            if conn.read_body(&mut request, false).is_err() {
                return;
            }
            if request.field("x-poplarbarrow-target-instance").is_some_and(|id| id != self.id) {
                let text = format!(
                    "HTTP/1.1 421 Misdirected Request\r\nX-Poplarbarrow-Request-Id: {}\r\nX-Poplarbarrow-Instance-Id: {}\r\nContent-Length: 0\r\n\r\n",
                    request.id(),
                    self.id
                );
                if conn.send(&text).is_err() {
                    return;
                }
                continue;
            }
            self.runs.lock().unwrap().push(Run { at: Instant::now(), request: request.clone() });
            self.running.fetch_add(1, Ordering::SeqCst);
            let goes_on = (self.handler)(self, &request, &mut conn);
            self.running.fetch_sub(1, Ordering::SeqCst);
            if !goes_on {
                return;
            }
            let _ = conn.stream.set_read_timeout(Some(Duration::from_millis(200)));
        }
    }

    /// Answers as a sound upstream does.
    pub fn answer(&self, request: &Message, conn: &mut Connection<TcpStream>, body: &str) -> bool {
        let text = format!(
            "HTTP/1.1 200 OK\r\nX-Poplarbarrow-Request-Id: {}\r\nX-Poplarbarrow-Response-Signature: {}\r\nX-Poplarbarrow-Server-Load: 1,0,12,100\r\nContent-Length: {}\r\n\r\n{body}",
            request.id(),
            signature(body.as_bytes()),
            body.len()
        );
        conn.send(&text).is_ok()
    }
}

/// A signature over a body, which stands for the upstream's MAC.
pub fn signature(body: &[u8]) -> String {
    let hash = body.iter().fold(0xcbf2_9ce4_8422_2325u64, |hash, byte| {
        (hash ^ u64::from(*byte)).wrapping_mul(0x100_0000_01b3)
    });
    format!("{:x}.{hash:016x}", body.len())
}

fn bind(address: SocketAddr) -> TcpListener {
    for _ in 0..100 {
        if let Ok(listener) = TcpListener::bind(address) {
            return listener;
        }
        thread::sleep(Duration::from_millis(50));
    }
    panic!("the address {address} is in use");
}

/// Posts a JSON body and returns the status, or 0 without an answer within a second.
pub fn post(address: SocketAddr, path: &str, body: &str) -> u16 {
    let Ok(stream) = TcpStream::connect_timeout(&address, Duration::from_secs(1)) else { return 0 };
    let _ = stream.set_read_timeout(Some(Duration::from_secs(1)));
    let mut conn = Connection::new(stream);
    let text = format!(
        "POST {path} HTTP/1.1\r\nHost: node\r\nContent-Type: application/json\r\nConnection: close\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    );
    if conn.send(&text).is_err() {
        return 0;
    }
    conn.read(true).ok().flatten().map_or(0, |answer| answer.status())
}
