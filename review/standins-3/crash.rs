//! Case: a request that crashes upstreams comes again while the nodes of its service are restarted in turn.

use std::{
    io::Write as _,
    net::{SocketAddr, TcpStream},
    path::Path,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicUsize, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use crate::{
    http::{Connection, Message},
    node::{CONTROL, Machine, Node, OUTBOUND, TemporaryFolder, local_ip},
    record::Recorder,
    store::Store,
    upstream::{Start, Upstream},
};

/// The time for which a machine, or the request's third crash, must lie back: `stable_window_s`.
const STABLE_WINDOW: Duration = Duration::from_secs(3);

/// The retries that the rule allows after that.
const ALLOWED_RETRIES: usize = 3;

/// "The upstream is back after some seconds."
const CRASH_TIME: Duration = Duration::from_millis(2_500);

/// The time from the start of a node until the request comes again, so that the node is in touch.
const SETTLE_TIME: Duration = Duration::from_millis(3_300);

/// The time for which the request then comes again and again.
const POISON_TIME: Duration = Duration::from_secs(7);

/// The machines whose nodes are restarted, in this order.
const RESTARTS: [usize; 6] = [0, 1, 2, 3, 0, 1];

/// The time between two copies of the request that crashes upstreams.
const POISON_INTERVAL: Duration = Duration::from_millis(250);

/// The work of ordinary requests.
const WORK: Duration = Duration::from_millis(160);

const CONFIG: &str = r#"{"version":"00000002","routes":{"columns":["name","host","prefix","kind","timeout_s","target_latency_s","priority","traffic_split","max_attempts","service"],
"rows":[["catalogo","tienda.example","/catalogo/","safe",1.2,0.5,2,null,2,"tienda"],["pago","tienda.example","/pago/","unsafe",1.5,0.6,1,null,2,"tienda"]]},
"services":{"columns":["name","health_path","max_connections","protocol","tls","cold_start_s","cold_per_s"],"rows":[["tienda","/health",220,"h1",false,3.0,19.0],["bodega","/health",220,"h1",false,3.0,19.0]]},
"limits":{"max_header_bytes":16384,"max_body_bytes":67108864,"header_timeout_s":3,"idle_timeout_s":15},"base_version":"00000001"}"#;

/// An arrival of the request that crashes upstreams.
#[derive(Clone, Copy)]
struct Arrival {
    at: Instant,
    machine: usize,
}

struct Shared {
    record: Recorder,
    poison: Mutex<Vec<Arrival>>,
    /// Whether the caller of the request that crashes upstreams sends it again.
    is_coming: AtomicBool,
    /// Ordinary payments that were answered with 502.
    lost: AtomicUsize,
    /// The ordinary requests that ran at the upstreams when they crashed, summed over all crashes.
    others: AtomicUsize,
    is_over: AtomicBool,
}

fn start_upstream(shared: &Arc<Shared>, machine: &Machine, index: usize, lifetime: u32) {
    let handler_shared = shared.clone();
    let place = machine.clone();
    let handler =
        Arc::new(move |up: &Upstream, req: &Message, conn: &mut Connection<TcpStream>| {
            let shared = &handler_shared;
            if req.path() != "/pago/poison" {
                up.work(WORK);
                return up.answer(req, conn, "ok");
            }
            shared.poison.lock().unwrap().push(Arrival { at: Instant::now(), machine: index });
            let others = up.running.load(Ordering::SeqCst).saturating_sub(1);
            shared.others.fetch_add(others as usize, Ordering::SeqCst);
            shared.record.write(&format!(
                "upstream {} runs {} and crashes beside {others} others",
                up.id,
                req.id()
            ));
            up.crash();
            let (shared, machine) = (shared.clone(), place.clone());
            thread::spawn(move || {
                thread::sleep(CRASH_TIME);
                if !shared.is_over.load(Ordering::SeqCst) {
                    start_upstream(&shared, &machine, index, lifetime + 1);
                }
            });
            false
        });
    let id = format!("i-{index}-{lifetime}");
    let start = if lifetime == 1 { Start::BeforeTraffic } else { Start::DuringTraffic };
    let upstream = Upstream::start(&id, machine, start, handler);
    shared.record.write(&format!("upstream {id} starts"));
    upstream.beat(machine.at(CONTROL));
}

/// Sends a request on a new connection and returns the status, or 0 without an answer.
fn ask(address: SocketAddr, method: &str, path: &str, id: &str, body: &str) -> u16 {
    let Ok(stream) = TcpStream::connect_timeout(&address, Duration::from_secs(1)) else { return 0 };
    let _ = stream.set_read_timeout(Some(Duration::from_secs(3)));
    let mut conn = Connection::new(stream);
    let text = format!(
        "{method} {path} HTTP/1.1\r\nHost: tienda.example\r\nX-Poplarbarrow-Request-Id: {id}\r\nX-Poplarbarrow-Deadline-Ms: 1500\r\nConnection: close\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    );
    if conn.stream.write_all(text.as_bytes()).is_err() {
        return 0;
    }
    conn.read(true).ok().flatten().map_or(0, |answer| answer.status())
}

pub fn run(folder: &Path, has_trouble: bool) -> i32 {
    let shared = Arc::new(Shared {
        record: Recorder::new(folder),
        poison: Mutex::default(),
        is_coming: AtomicBool::new(true),
        lost: AtomicUsize::new(0),
        others: AtomicUsize::new(0),
        is_over: AtomicBool::new(false),
    });
    let record = &shared.record;
    let store = Store::start((local_ip(250), 18309).into());
    store.put("op/config", CONFIG);
    let places = [
        ("oax-a", "tienda"),
        ("oax-b", "tienda"),
        ("oax-c", "tienda"),
        ("oax-a", "tienda"),
        ("oax-a", "bodega"),
    ];
    let temporary = TemporaryFolder::new();
    let mut nodes = Vec::new();
    for (index, (zone, service)) in places.into_iter().enumerate() {
        let machine = Machine::new(index as u8 + 1, zone, service, store.address);
        start_upstream(&shared, &machine, index, 1);
        nodes.push(Node::start(machine, &temporary.0));
    }
    if !nodes.iter().all(|node| node.wait_ready(Duration::from_secs(15))) {
        record.say("a node is not ready");
        return 2;
    }
    thread::sleep(Duration::from_secs(3));
    // All callers are on the machine of another service, which stays as it is.
    let address = nodes[4].machine.at(OUTBOUND);
    let mut threads = Vec::new();
    for client in 0..40 {
        let shared = shared.clone();
        threads.push(thread::spawn(move || {
            let mut number = 0;
            while !shared.is_over.load(Ordering::SeqCst) {
                number += 1;
                let id = format!("b-{client}-{number}");
                let (method, kind) =
                    if client % 4 == 0 { ("POST", "pago") } else { ("GET", "catalogo") };
                let status = ask(address, method, &format!("/{kind}/{client}-{number}"), &id, "");
                shared.record.write(&format!("ordinary {id} {kind} -> {status}"));
                if kind == "pago" && status == 502 {
                    shared.lost.fetch_add(1, Ordering::SeqCst);
                }
                thread::sleep(Duration::from_millis(60));
            }
        }));
    }
    let poison = shared.clone();
    threads.push(thread::spawn(move || {
        let mut number = 0;
        while !poison.is_over.load(Ordering::SeqCst) {
            if !poison.is_coming.load(Ordering::SeqCst) {
                thread::sleep(Duration::from_millis(20));
                continue;
            }
            number += 1;
            let id = format!("poison-{number}");
            let status = ask(address, "POST", "/pago/poison", &id, "poison");
            poison.record.write(&format!("poison {id} -> {status}"));
            thread::sleep(POISON_INTERVAL);
        }
    }));
    // The first crashes, after which the request is refused, and a calm time.
    thread::sleep(Duration::from_secs(15));
    shared.is_coming.store(false, Ordering::SeqCst);
    thread::sleep(Duration::from_secs(4));
    let mut restarted: [Vec<(Instant, Instant)>; 4] = Default::default();
    for index in RESTARTS {
        let node = &mut nodes[index];
        if has_trouble {
            record.write(&format!("SIGTERM to the node of machine {index}"));
            let at = Instant::now();
            node.terminate();
            while !node.has_ended() && at.elapsed() < Duration::from_secs(6) {
                thread::sleep(Duration::from_millis(20));
            }
            node.restart();
            restarted[index].push((at, Instant::now()));
            record.write(&format!("the node of machine {index} starts again"));
            if !node.wait_ready(Duration::from_secs(10)) {
                record.say("a restarted node is not ready");
                return 2;
            }
        }
        thread::sleep(SETTLE_TIME);
        shared.is_coming.store(true, Ordering::SeqCst);
        thread::sleep(POISON_TIME);
        shared.is_coming.store(false, Ordering::SeqCst);
    }
    shared.is_over.store(true, Ordering::SeqCst);
    for thread in threads {
        let _ = thread.join();
    }
    let arrivals = shared.poison.lock().unwrap().clone();
    for arrival in &arrivals {
        record.say(&format!(
            "crash at {:.3} s on machine {}",
            (arrival.at - record.started).as_secs_f64(),
            arrival.machine
        ));
    }
    let lost = shared.lost.load(Ordering::SeqCst);
    record.say(&format!("{lost} ordinary payments were answered with 502"));
    let others = shared.others.load(Ordering::SeqCst) as f64 / arrivals.len().max(1) as f64;
    record.say(&format!(
        "{others:.1} ordinary requests ran at an upstream when it crashed, in the mean"
    ));
    let Some(third) = arrivals.get(2) else {
        record.say(&format!("HELD: {} crashes in all", arrivals.len()));
        return 0;
    };
    // Only what a node passed on that was neither stopping nor had started within the stable window.
    let is_in_touch = |arrival: &&Arrival| {
        let mut restarts = restarted[arrival.machine].iter();
        restarts.all(|(stopped, started)| {
            arrival.at < *stopped || arrival.at > *started + STABLE_WINDOW
        })
    };
    let late = arrivals
        .iter()
        .skip(3)
        .filter(|arrival| arrival.at > third.at + STABLE_WINDOW)
        .filter(is_in_touch)
        .count();
    let is_broken = late > ALLOWED_RETRIES;
    record.say(&format!(
        "{}: {} crashes, {late} of them by retries later than {STABLE_WINDOW:?} after the third, through nodes in touch (allowed: {ALLOWED_RETRIES})",
        if is_broken { "BROKEN" } else { "HELD" },
        arrivals.len()
    ));
    i32::from(is_broken)
}
