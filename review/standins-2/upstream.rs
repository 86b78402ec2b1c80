//! A stand-in for an upstream. It works for a fixed time, answers with a body of a fixed size, and records its runs.

use std::{
    net::{Ipv4Addr, Shutdown, SocketAddr, TcpListener, TcpStream},
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering},
    },
    thread,
    time::Duration,
};

use crate::{
    http::{Conn, Head},
    record::Record,
};

#[derive(Clone)]
pub struct Upstream {
    pub id: String,
    pub address: SocketAddr,
    work: Duration,
    body_bytes: usize,
    /// Whether it breaks off one of [`CUT_EVERY`] answers, in the windows of [`is_cutting`].
    is_faulty: bool,
    state: Arc<State>,
    record: Record,
}

/// What changes while an upstream runs, over its lifetimes.
#[derive(Default)]
struct State {
    running: AtomicUsize,
    answered: AtomicUsize,
    /// The start of the present lifetime in milliseconds since the Unix epoch.
    born: AtomicU64,
    is_down: AtomicBool,
    is_leaving: AtomicBool,
    is_beating: AtomicBool,
    /// Until when it is cold, as a time since the start of the script in milliseconds.
    cold_until: AtomicU64,
    connections: Mutex<Vec<TcpStream>>,
}

/// The number of requests that an upstream runs at the same time.
pub const SLOTS: usize = 10;

/// A faulty upstream breaks off one of this many answers.
const CUT_EVERY: usize = 50;

/// A disruption lasts for 5.5 s, and comes again after as long a pause.
const CUT_TIME: Duration = Duration::from_millis(5_500);

/// The interval at which a listener is polled.
const ACCEPT_INTERVAL: Duration = Duration::from_millis(2);

/// How long an upstream is cold that starts during traffic.
const COLD_TIME: Duration = Duration::from_secs(3);

/// The start of the first lifetime of each upstream.
const FIRST_BORN: u64 = 1_796_000_000_000;

/// Returns whether a time since the start of the script lies in a window of the disruption.
fn is_cutting(now: Duration) -> bool {
    (now.as_millis() / CUT_TIME.as_millis()).is_multiple_of(2)
}

impl Upstream {
    pub fn start(id: &str, work: Duration, body_bytes: usize, record: &Record) -> Upstream {
        Upstream::start_faulty(id, work, body_bytes, false, record)
    }

    /// Starts an upstream that may break off some of its answers after two thirds of the body.
    pub fn start_faulty(
        id: &str,
        work: Duration,
        body_bytes: usize,
        is_faulty: bool,
        record: &Record,
    ) -> Upstream {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).expect("a free port");
        let address = listener.local_addr().expect("an address");
        let (id, record, state) = (id.to_owned(), record.clone(), Arc::<State>::default());
        state.born.store(FIRST_BORN, Ordering::Relaxed);
        state.is_beating.store(true, Ordering::Relaxed);
        let upstream = Upstream { id, address, work, body_bytes, is_faulty, state, record };
        upstream.clone().accept(listener);
        upstream
    }

    /// Accepts connections until the upstream is down.
    fn accept(self, listener: TcpListener) {
        listener.set_nonblocking(true).expect("a listener that can be polled");
        thread::spawn(move || {
            while !self.is(&self.state.is_down) {
                let Ok((stream, _)) = listener.accept() else {
                    thread::sleep(ACCEPT_INTERVAL);
                    continue;
                };
                let _ = stream.set_nonblocking(false);
                if let Ok(copy) = stream.try_clone() {
                    self.state.connections.lock().expect("the connections").push(copy);
                }
                let upstream = self.clone();
                thread::spawn(move || upstream.serve(Conn::new(stream)));
            }
        });
    }

    /// Ends the process of the upstream at once: its listener and its connections close.
    pub fn end(&self, cause: &str) {
        self.state.is_down.store(true, Ordering::Relaxed);
        self.state.is_beating.store(false, Ordering::Relaxed);
        for connection in self.state.connections.lock().expect("the connections").drain(..) {
            let _ = connection.shutdown(Shutdown::Both);
        }
        self.record.write(&format!("upstream={} {cause}", self.id));
    }

    /// Starts it again at its address and under its id, as a later lifetime that knows nothing of before.
    pub fn restart(&self) {
        self.state.born.fetch_add(60_000, Ordering::Relaxed);
        self.state.running.store(0, Ordering::Relaxed);
        self.state.is_down.store(false, Ordering::Relaxed);
        let cold_until = (self.record.now() + COLD_TIME).as_millis() as u64;
        self.state.cold_until.store(cold_until, Ordering::Relaxed);
        let listener = TcpListener::bind(self.address).expect("the address is free");
        self.clone().accept(listener);
        self.record.write(&format!("upstream={} started again born={}", self.id, self.born()));
    }

    /// Makes the health check say that it leaves.
    pub fn leave(&self) {
        self.state.is_leaving.store(true, Ordering::Relaxed);
        self.state.is_beating.store(false, Ordering::Relaxed);
    }

    pub fn born(&self) -> u64 {
        self.state.born.load(Ordering::Relaxed)
    }

    /// Returns how long it will still be cold.
    pub fn cold_left(&self) -> Duration {
        let until = Duration::from_millis(self.state.cold_until.load(Ordering::Relaxed));
        until.saturating_sub(self.record.now())
    }

    /// Returns whether it sends heartbeats.
    pub fn is_beating(&self) -> bool {
        self.is(&self.state.is_beating)
    }

    fn is(&self, flag: &AtomicBool) -> bool {
        flag.load(Ordering::Relaxed)
    }

    fn serve(&self, mut conn: Conn) {
        while let Ok(Some(head)) = conn.read_head() {
            let Ok(body) = conn.read_body(&head) else { return };
            let is_sent = if head.path() == "/health" {
                let is_leaving = self.is(&self.state.is_leaving);
                let status = if is_leaving { "503 Service Unavailable" } else { "200 OK" };
                let fields = format!(
                    "x-poplarbarrow-instance-id: {}\r\nx-poplarbarrow-cold-ms: {}\r\n",
                    self.id,
                    self.cold_left().as_millis()
                );
                conn.send(self.response(status, &fields, b"").as_slice())
            } else {
                self.run(&mut conn, &head, body.len())
            };
            if is_sent.is_err() {
                return;
            }
        }
    }

    fn run(&self, conn: &mut Conn, head: &Head, received: usize) -> std::io::Result<()> {
        let id = head.get("x-poplarbarrow-request-id");
        let echo = format!("x-poplarbarrow-request-id: {id}\r\n");
        if head.get("x-poplarbarrow-target-instance") != self.id {
            let fields = format!("{echo}x-poplarbarrow-instance-id: {}\r\n", self.id);
            return conn.send(&self.response("421 Misdirected Request", &fields, b""));
        }
        let running = &self.state.running;
        if running.fetch_add(1, Ordering::Relaxed) >= SLOTS {
            running.fetch_sub(1, Ordering::Relaxed);
            let fields = format!("{echo}x-poplarbarrow-not-executed: 1\r\n");
            return conn.send(&self.response("503 Service Unavailable", &fields, b""));
        }
        self.record.write(&format!(
            "run id={id} upstream={} received={received} line=\"{}\"",
            self.id, head.line
        ));
        thread::sleep(self.work);
        let fields = format!("{echo}x-poplarbarrow-response-signature: s-{id}\r\n");
        let response = self.response("200 OK", &fields, &vec![b'x'; self.body_bytes]);
        if self.is_faulty && is_cutting(self.record.now()) && self.is_next_cut() {
            let _ = conn.send(&response[..response.len() - self.body_bytes / 3]);
            running.fetch_sub(1, Ordering::Relaxed);
            self.record.write(&format!("ran id={id} upstream={} answer=cut", self.id));
            return Err(std::io::ErrorKind::ConnectionAborted.into());
        }
        let is_sent = conn.send(&response);
        running.fetch_sub(1, Ordering::Relaxed);
        let outcome = if is_sent.is_ok() { "sent" } else { "connection-closed" };
        self.record.write(&format!("ran id={id} upstream={} answer={outcome}", self.id));
        is_sent
    }

    fn is_next_cut(&self) -> bool {
        (self.state.answered.fetch_add(1, Ordering::Relaxed) + 1).is_multiple_of(CUT_EVERY)
    }

    fn response(&self, status: &str, fields: &str, body: &[u8]) -> Vec<u8> {
        let running = self.state.running.load(Ordering::Relaxed);
        let head = format!(
            "HTTP/1.1 {status}\r\n{fields}x-poplarbarrow-server-load: {running},0,{SLOTS},100\r\n\
             content-length: {}\r\n\r\n",
            body.len()
        );
        [head.as_bytes(), body].concat()
    }
}
