//! An upstream crashes, starts again under its id, and leaves before its first heartbeat has arrived.

use std::{
    net::SocketAddr,
    path::Path,
    sync::{Arc, Mutex},
    thread,
    time::{Duration, Instant},
};

use crate::{
    Outcome, http,
    node::{self, KARITE_AZUL, Node},
    record::Record,
    store::Store,
    upstream::Upstream,
};

const WORK: Duration = Duration::from_millis(210);

/// The interval of payments.
const SEND_INTERVAL: Duration = Duration::from_millis(18);

/// The time from the crash to the next start.
const DOWN: Duration = Duration::from_millis(1_000);

/// The time from that start to the deregistration.
const LIFE: Duration = Duration::from_millis(700);

/// The upstream goes on serving for this time after the confirmation, and then exits.
const STAY: Duration = Duration::from_millis(10_000);

/// The bound `drain_s`.
const DRAIN: Duration = Duration::from_secs(2);

/// How late the only heartbeat of the second lifetime arrives.
const HEARTBEAT_DELAY: Duration = Duration::from_millis(2_500);

const SERVICE: (&str, &str) = ("oax-a", "tesoreria");

const CONFIG: &str = r#"{"version":"0000000c",
"routes":{"columns":["name","host","prefix","kind","timeout_s","target_latency_s","max_attempts","priority","service"],
"rows":[["pago-socia","pago.example","/pago/","unsafe",1.5,0.6,2,1,"tesoreria"]]},
"services":{"columns":["name","health_path","max_connections","cold_per_s"],
"rows":[["tesoreria","/health",220,19.0],["tienda","/health",220,19.0]]},
"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_s":5,"idle_timeout_s":10}}"#;

pub fn play(is_disturbed: bool, folder: &Path, record: &Record) -> Outcome {
    let (store, store_address) = Store::start();
    store.put("op/config", CONFIG);
    let upstream = |id| Upstream::start(id, WORK, 400, record);
    let (shop, leaving) = (upstream("i-shop"), upstream("i-leaving"));
    let staying = ["i-staying-1", "i-staying-2"].map(upstream);
    let start = |name, service, upstream: &Upstream| {
        let place = (name, "oax-a", service);
        Node::start(place, upstream, store_address, &KARITE_AZUL, (folder, record))
    };
    let nodes = [
        start("sidecar-1", "tienda", &shop),
        start("sidecar-2", "tesoreria", &leaving),
        start("sidecar-3", "tesoreria", &staying[0]),
        start("sidecar-4", "tesoreria", &staying[1]),
    ];
    if !nodes.iter().all(|node| node.wait_until_ready(Duration::from_secs(15))) {
        return Outcome::NotRun;
    }
    thread::sleep(Duration::from_secs(8));
    let payments = Payments::start(nodes[0].outbound, record);
    thread::sleep(Duration::from_secs(3));
    if is_disturbed {
        leaving.end("crashed");
        thread::sleep(DOWN);
        leaving.restart();
    }
    thread::sleep(LIFE);
    let control = nodes[1].control;
    let status = node::deregister(control, &leaving);
    record.write(&format!(
        "deregistered upstream=i-leaving born={} status={status:?}",
        leaving.born()
    ));
    if status != Some(200) {
        return Outcome::NotRun;
    }
    let confirmed = record.now();
    leaving.leave();
    thread::sleep(HEARTBEAT_DELAY);
    if is_disturbed {
        let status = node::send_heartbeat(control, SERVICE, &leaving, 1);
        record.write(&format!("late heartbeat sequence=1 status={status:?}"));
    }
    thread::sleep(STAY - HEARTBEAT_DELAY);
    leaving.end("exited");
    thread::sleep(Duration::from_secs(2));
    payments.stop();
    judge(confirmed, record)
}

/// DRAIN: a request reaches the upstream later than `drain_s` after its leaving was confirmed.
fn judge(confirmed: Duration, record: &Record) -> Outcome {
    let runs = record.times("run id=", "upstream=i-leaving");
    let late = runs.iter().filter(|at| **at > confirmed + DRAIN).count();
    let statuses = |status: &str| record.times("payment id=", status).len();
    record.write(&format!(
        "runs at i-leaving={} later than drain_s after the confirmation={late} payments: 200={} 502={} 503={}",
        runs.len(),
        statuses("status=Some(200)"),
        statuses("status=Some(502)"),
        statuses("status=Some(503)"),
    ));
    if runs.is_empty() {
        return Outcome::NotRun;
    }
    if late > 0 { Outcome::Broken } else { Outcome::Held }
}

/// Consumers that send payments at a constant rate.
struct Payments {
    is_over: Arc<Mutex<bool>>,
    sender: thread::JoinHandle<()>,
}

impl Payments {
    fn start(outbound: SocketAddr, record: &Record) -> Payments {
        let is_over = Arc::<Mutex<bool>>::default();
        let (over, record) = (is_over.clone(), record.clone());
        let sender = thread::spawn(move || {
            let mut consumers = Vec::new();
            while !*over.lock().expect("the flag") {
                let (id, record) = (format!("p{}", consumers.len()), record.clone());
                consumers.push(thread::spawn(move || pay(outbound, &id, &record)));
                thread::sleep(SEND_INTERVAL);
            }
            for consumer in consumers {
                let _ = consumer.join();
            }
        });
        Payments { is_over, sender }
    }

    fn stop(self) {
        *self.is_over.lock().expect("the flag") = true;
        let _ = self.sender.join();
    }
}

fn pay(outbound: SocketAddr, id: &str, record: &Record) {
    let started = Instant::now();
    let request = format!(
        "POST /pago/{id} HTTP/1.1\r\nhost: pago.example\r\nx-poplarbarrow-request-id: {id}\r\n\
         x-poplarbarrow-deadline-ms: 1500\r\ncontent-length: 0\r\n\r\n"
    );
    let status = http::exchange(outbound, &request);
    record.write(&format!(
        "payment id={id} status={status:?} took_ms={}",
        started.elapsed().as_millis()
    ));
}
