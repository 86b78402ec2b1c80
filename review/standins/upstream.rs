//! A stand-in for an upstream, as `PROTOCOL.md` describes it.

use std::{
    net::{Shutdown, SocketAddr, TcpListener, TcpStream},
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use crate::{
    http::{self, Connection, Message},
    record::Record,
};

/// A request that the upstream has begun to work on.
#[derive(Clone, Debug)]
pub struct Run {
    pub id: String,
    pub path: String,
    pub at: Instant,
}

struct State {
    id: String,
    service: String,
    zone: String,
    born_ms: u64,
    service_time: Mutex<Duration>,
    is_leaving: AtomicBool,
    is_down: AtomicBool,
    runs: Mutex<Vec<Run>>,
    streams: Mutex<Vec<TcpStream>>,
    sequence: AtomicU64,
    record: Record,
}

/// One lifetime of an upstream.
#[derive(Clone)]
pub struct Upstream {
    pub address: SocketAddr,
    state: Arc<State>,
}

impl Upstream {
    pub fn start(
        record: &Record,
        (service, zone): (&str, &str),
        id: &str,
        address: SocketAddr,
    ) -> Upstream {
        let listener = TcpListener::bind(address).expect("the address of the upstream is free");
        listener.set_nonblocking(true).expect("a socket option");
        let address = listener.local_addr().expect("a local address");
        let state = State {
            id: id.into(),
            service: service.into(),
            zone: zone.into(),
            born_ms: crate::unix_ms(),
            service_time: Mutex::new(Duration::from_millis(20)),
            is_leaving: AtomicBool::new(false),
            is_down: AtomicBool::new(false),
            runs: Mutex::default(),
            streams: Mutex::default(),
            sequence: AtomicU64::new(0),
            record: record.clone(),
        };
        record.note(&format!("upstream {id} of {service} starts at {address}"));
        let upstream = Upstream { address, state: Arc::new(state) };
        let server = upstream.clone();
        thread::spawn(move || server.accept(&listener));
        upstream
    }

    pub fn set_service_time(&self, time: Duration) {
        *self.state.service_time.lock().unwrap() = time;
    }

    pub fn runs(&self) -> Vec<Run> {
        self.state.runs.lock().unwrap().clone()
    }

    /// Ends the lifetime: closes the listener and all connections.
    pub fn crash(&self) {
        self.state.record.note(&format!("upstream {} crashes", self.state.id));
        self.state.is_down.store(true, Ordering::SeqCst);
        for stream in self.state.streams.lock().unwrap().drain(..) {
            let _ = stream.shutdown(Shutdown::Both);
        }
        thread::sleep(Duration::from_millis(50));
    }

    /// Returns the body of a heartbeat with the next sequence number.
    pub fn heartbeat(&self, state: &str) -> Heartbeat {
        let sequence = self.state.sequence.fetch_add(1, Ordering::SeqCst) + 1;
        let State { service, zone, born_ms, id, .. } = &*self.state;
        let body = format!(
            "{{\"service\":\"{service}\",\"address\":\"{}\",\"zone\":\"{zone}\",\"version\":\"v1\",\"slots\":12,\
             \"state\":\"{state}\",\"cold_left_s\":0,\"sequence\":{sequence},\"born\":{born_ms}}}",
            self.address
        );
        Heartbeat {
            path: format!("/Instances.Heartbeat/{id}"),
            body,
            record: self.state.record.clone(),
        }
    }

    pub fn deregistration(&self) -> Heartbeat {
        self.state.is_leaving.store(true, Ordering::SeqCst);
        let State { id, born_ms, record, .. } = &*self.state;
        let body = format!("{{\"born\":{born_ms}}}");
        Heartbeat { path: format!("/Instances.Deregister/{id}"), body, record: record.clone() }
    }

    /// Sends heartbeats in the background for as long as this lifetime runs and does not leave.
    pub fn send_heartbeats(&self, control: SocketAddr, interval: Duration) {
        let upstream = self.clone();
        thread::spawn(move || {
            while !upstream.is_down() && !upstream.is_leaving() {
                upstream.heartbeat("ready").send(control);
                thread::sleep(interval);
            }
        });
    }

    fn is_down(&self) -> bool {
        self.state.is_down.load(Ordering::SeqCst)
    }

    fn is_leaving(&self) -> bool {
        self.state.is_leaving.load(Ordering::SeqCst)
    }

    fn accept(&self, listener: &TcpListener) {
        while !self.is_down() {
            let Ok((stream, _)) = listener.accept() else {
                thread::sleep(Duration::from_millis(3));
                continue;
            };
            let _ = stream.set_nonblocking(false);
            if let Ok(copy) = stream.try_clone() {
                self.state.streams.lock().unwrap().push(copy);
            }
            let server = self.clone();
            thread::spawn(move || server.serve(Connection::new(stream)));
        }
    }

    fn serve(&self, mut conn: Connection) {
        while let Some(request) = conn.read_message(false) {
            if self.is_down() || !request.is_whole {
                return;
            }
            let answer = self.answer(&request);
            if self.is_down() || !conn.write(&answer) {
                return;
            }
        }
    }

    fn answer(&self, request: &Message) -> Vec<u8> {
        let State { id, record, .. } = &*self.state;
        let (method, path) = request.target();
        let load = "x-poplarbarrow-server-load: 0,0,12,100\r\n";
        if path == "/health" {
            let status = if self.is_leaving() { "503 Draining" } else { "200 OK" };
            return format!(
                "HTTP/1.1 {status}\r\nx-poplarbarrow-instance-id: {id}\r\n{load}content-length: 0\r\n\r\n"
            )
            .into_bytes();
        }
        let request_id = request.header("x-poplarbarrow-request-id").to_owned();
        let expected = request.header("x-poplarbarrow-target-instance");
        if !expected.is_empty() && expected != id {
            record.note(&format!(
                "upstream {id} answers {request_id} with 421: it is for {expected}"
            ));
            return format!(
                "HTTP/1.1 421 Misdirected Request\r\nx-poplarbarrow-request-id: {request_id}\r\n\
                 x-poplarbarrow-instance-id: {id}\r\ncontent-length: 0\r\n\r\n"
            )
            .into_bytes();
        }
        let caller = request.header("x-poplarbarrow-caller-service");
        record.note(&format!(
            "upstream {id} of {} runs {request_id}: {method} {path}, caller {caller}, {} bytes",
            self.state.service,
            request.body.len()
        ));
        let run = Run { id: request_id.clone(), path: path.into(), at: Instant::now() };
        self.state.runs.lock().unwrap().push(run);
        let time = *self.state.service_time.lock().unwrap();
        thread::sleep(time);
        let body =
            body(path.strip_prefix("/long/").and_then(|bytes| bytes.parse().ok()).unwrap_or(100));
        let head = format!(
            "HTTP/1.1 200 OK\r\nx-poplarbarrow-request-id: {request_id}\r\n\
             x-poplarbarrow-response-signature: signed-{id}-{request_id}\r\n{load}content-length: {}\r\n\r\n",
            body.len()
        );
        [head.as_bytes(), &body].concat()
    }
}

/// The body of an answer. The paths `/long/N` ask for one of N bytes.
fn body(bytes: usize) -> Vec<u8> {
    (0..bytes).map(|n| b'a' + (n % 23) as u8).collect()
}

/// A prepared heartbeat or deregistration, which can be sent later than it was made.
pub struct Heartbeat {
    path: String,
    body: String,
    record: Record,
}

impl Heartbeat {
    /// Sends it and returns the status of the response, or 0 if there was none.
    pub fn send(&self, control: SocketAddr) -> u16 {
        let head = format!("POST {} HTTP/1.1\r\ncontent-type: application/json", self.path);
        let response = http::call(control, &head, self.body.as_bytes(), Duration::from_secs(1));
        let status = response.map_or(0, |response| response.status());
        self.record.note(&format!("{} {} is answered with {status}", self.path, self.body));
        status
    }
}
