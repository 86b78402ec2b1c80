//! A stand-in for an upstream. It works for a fixed time, answers with a body of a fixed size, and records its runs.

use std::{
    net::{Ipv4Addr, SocketAddr, TcpListener},
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
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
    running: Arc<AtomicUsize>,
    /// Whether it breaks off one of [`CUT_EVERY`] answers, in the windows of [`is_cutting`].
    is_faulty: bool,
    answered: Arc<AtomicUsize>,
    record: Record,
}

/// The number of requests that an upstream runs at the same time.
pub const SLOTS: usize = 10;

/// A faulty upstream breaks off one of this many answers.
const CUT_EVERY: usize = 50;

/// A disruption lasts for 5.5 s, and comes again after as long a pause.
const CUT_TIME: Duration = Duration::from_millis(5_500);

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
        let (id, record) = (id.to_owned(), record.clone());
        let (running, answered) = (Arc::default(), Arc::default());
        let upstream =
            Upstream { id, address, work, body_bytes, running, is_faulty, answered, record };
        let server = upstream.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let upstream = server.clone();
                thread::spawn(move || upstream.serve(Conn::new(stream)));
            }
        });
        upstream
    }

    fn serve(&self, mut conn: Conn) {
        while let Ok(Some(head)) = conn.read_head() {
            if conn.read_body(&head).is_err() {
                return;
            }
            let is_sent = if head.path() == "/health" {
                let fields = format!(
                    "x-poplarbarrow-instance-id: {}\r\nx-poplarbarrow-cold-ms: 0\r\n",
                    self.id
                );
                conn.send(self.response("200 OK", &fields, b"").as_slice())
            } else {
                self.run(&mut conn, &head)
            };
            if is_sent.is_err() {
                return;
            }
        }
    }

    fn run(&self, conn: &mut Conn, head: &Head) -> std::io::Result<()> {
        let id = head.get("x-poplarbarrow-request-id");
        let echo = format!("x-poplarbarrow-request-id: {id}\r\n");
        if head.get("x-poplarbarrow-target-instance") != self.id {
            let fields = format!("{echo}x-poplarbarrow-instance-id: {}\r\n", self.id);
            return conn.send(&self.response("421 Misdirected Request", &fields, b""));
        }
        if self.running.fetch_add(1, Ordering::Relaxed) >= SLOTS {
            self.running.fetch_sub(1, Ordering::Relaxed);
            let fields = format!("{echo}x-poplarbarrow-not-executed: 1\r\n");
            return conn.send(&self.response("503 Service Unavailable", &fields, b""));
        }
        self.record.write(&format!("run id={id} upstream={} line=\"{}\"", self.id, head.line));
        thread::sleep(self.work);
        let fields = format!("{echo}x-poplarbarrow-response-signature: s-{id}\r\n");
        let response = self.response("200 OK", &fields, &vec![b'x'; self.body_bytes]);
        if self.is_faulty && is_cutting(self.record.now()) && self.is_next_cut() {
            let _ = conn.send(&response[..response.len() - self.body_bytes / 3]);
            self.running.fetch_sub(1, Ordering::Relaxed);
            self.record.write(&format!("ran id={id} upstream={} answer=cut", self.id));
            return Err(std::io::ErrorKind::ConnectionAborted.into());
        }
        let is_sent = conn.send(&response);
        self.running.fetch_sub(1, Ordering::Relaxed);
        let outcome = if is_sent.is_ok() { "sent" } else { "connection-closed" };
        self.record.write(&format!("ran id={id} upstream={} answer={outcome}", self.id));
        is_sent
    }

    fn is_next_cut(&self) -> bool {
        (self.answered.fetch_add(1, Ordering::Relaxed) + 1).is_multiple_of(CUT_EVERY)
    }

    fn response(&self, status: &str, fields: &str, body: &[u8]) -> Vec<u8> {
        let running = self.running.load(Ordering::Relaxed);
        let head = format!(
            "HTTP/1.1 {status}\r\n{fields}x-poplarbarrow-server-load: {running},0,{SLOTS},100\r\n\
             content-length: {}\r\n\r\n",
            body.len()
        );
        [head.as_bytes(), body].concat()
    }
}
