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
    record: Record,
}

/// The number of requests that an upstream runs at the same time.
pub const SLOTS: usize = 10;

impl Upstream {
    pub fn start(id: &str, work: Duration, body_bytes: usize, record: &Record) -> Upstream {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).expect("a free port");
        let address = listener.local_addr().expect("an address");
        let (running, record) = (Arc::default(), record.clone());
        let upstream = Upstream { id: id.into(), address, work, body_bytes, running, record };
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
        let is_sent = conn.send(&self.response("200 OK", &fields, &vec![b'x'; self.body_bytes]));
        self.running.fetch_sub(1, Ordering::Relaxed);
        let outcome = if is_sent.is_ok() { "sent" } else { "connection-closed" };
        self.record.write(&format!("ran id={id} upstream={} answer={outcome}", self.id));
        is_sent
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
