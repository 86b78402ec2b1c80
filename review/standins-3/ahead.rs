//! Case: a response that breaks off takes the answers to requests with it that were sent behind it and had run.

use std::{
    collections::HashSet,
    io::Write as _,
    net::{SocketAddr, TcpStream},
    path::Path,
    sync::{
        Arc, OnceLock,
        atomic::{AtomicUsize, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use crate::{
    http::{Connection, Message},
    node::{CONTROL, Machine, Node, OUTBOUND, TemporaryFolder, local_ip},
    record::Recorder,
    store::Store,
    upstream::{Upstream, signature},
};

/// The size of a report. It is larger than what a node keeps whole before it passes it on.
const REPORT_BYTES: usize = 400_000;

/// The consumers, each with one connection after the other and a report on each.
const CONSUMERS: usize = 16;

/// The time for which they send.
const TRAFFIC_TIME: Duration = Duration::from_secs(10);

/// When, in that time, one of the two upstreams of the reports breaks answers off, and for how long.
const TROUBLE_START: Duration = Duration::from_secs(2);
const TROUBLE_TIME: Duration = Duration::from_secs(5);

/// The requests that are sent behind the report on each.
const AHEAD: usize = 3;

/// The times that the rule allows.
const ALLOWED: usize = 3;

/// The number of its reports of which one breaks off meanwhile: a share of 0.02.
const TRUNCATED_EACH: usize = 50;

const CONFIG: &str = r#"{"version":"00000002","routes":{"columns":["name","host","prefix","kind","timeout_s","target_latency_s","priority","traffic_split","max_attempts","service"],
"rows":[["catalogo","tienda.example","/catalogo/","safe",2.5,0.5,1,null,2,"tienda"],["informe","tienda.example","/informe/","download",2.5,1.2,2,null,1,"archivo"]]},
"services":{"columns":["name","health_path","max_connections","protocol","tls","cold_start_s","cold_per_s"],"rows":[["tienda","/health",220,"h1",false,3.0,19.0],["archivo","/health",220,"h1",false,3.0,19.0]]},
"limits":{"max_header_bytes":16384,"max_body_bytes":67108864,"header_timeout_s":3,"idle_timeout_s":15},"base_version":"00000001"}"#;

/// The id of the upstream that breaks answers off.
const FAULTY: &str = "i-2";

/// Decides which answers break off.
#[derive(Default)]
struct Trouble {
    /// The start of the traffic.
    start: OnceLock<Instant>,
    /// The reports since the trouble began.
    count: AtomicUsize,
}

impl Trouble {
    fn is_due(&self) -> bool {
        let time = self.start.get().map_or(Duration::ZERO, Instant::elapsed);
        let is_now = time >= TROUBLE_START && time < TROUBLE_START + TROUBLE_TIME;
        is_now && self.count.fetch_add(1, Ordering::SeqCst) % TRUNCATED_EACH == TRUNCATED_EACH / 2
    }
}

fn send_report(request: &Message, conn: &mut Connection<TcpStream>, is_cut: bool) -> bool {
    let body = vec![b'r'; REPORT_BYTES];
    let head = format!(
        "HTTP/1.1 200 OK\r\nX-Poplarbarrow-Request-Id: {}\r\nX-Poplarbarrow-Response-Signature: {}\r\nContent-Length: {REPORT_BYTES}\r\n\r\n",
        request.id(),
        signature(&body)
    );
    let middle = REPORT_BYTES * 3 / 4;
    if conn.stream.write_all(head.as_bytes()).is_err()
        || conn.stream.write_all(&body[..middle]).is_err()
    {
        return false;
    }
    // The rest takes a while; meanwhile the requests behind it are run.
    thread::sleep(Duration::from_millis(200));
    !is_cut && conn.stream.write_all(&body[middle..]).is_ok()
}

pub fn run(folder: &Path, has_trouble: bool) -> i32 {
    let record = Arc::new(Recorder::new(folder));
    let store = Store::start((local_ip(250), 18309).into());
    store.put("op/config", CONFIG);
    let temporary = TemporaryFolder::new();
    let upstream_record = record.clone();
    let trouble = Arc::new(Trouble::default());
    let handler_trouble = trouble.clone();
    let handler =
        Arc::new(move |up: &Upstream, req: &Message, conn: &mut Connection<TcpStream>| {
            if up.service == "archivo" {
                let is_cut = has_trouble && up.id == FAULTY && handler_trouble.is_due();
                upstream_record.write(&format!(
                    "{} runs {}{}",
                    up.id,
                    req.id(),
                    if is_cut { " and breaks its answer off" } else { "" }
                ));
                return send_report(req, conn, is_cut);
            }
            thread::sleep(Duration::from_millis(60));
            let is_sent = up.answer(req, conn, "ok");
            upstream_record.write(&format!("{} has run and answered {}", up.id, req.id()));
            is_sent
        });
    let places =
        [("oax-a", "tienda"), ("oax-b", "tienda"), ("oax-c", "archivo"), ("oax-b", "archivo")];
    let (mut nodes, mut upstreams) = (Vec::new(), Vec::new());
    for (index, (zone, service)) in places.into_iter().enumerate() {
        let machine = Machine::new(index as u8 + 1, zone, service, store.address);
        let upstream =
            Upstream::start(&format!("i-{index}"), service, machine.app, handler.clone());
        upstream.beat(machine.at(CONTROL));
        upstreams.push(upstream);
        nodes.push(Node::start(machine, &temporary.0));
    }
    if !nodes.iter().all(|node| node.wait_ready(Duration::from_secs(15))) {
        record.say("a node is not ready");
        return 2;
    }
    thread::sleep(Duration::from_secs(4));
    let address = nodes[0].machine.at(OUTBOUND);
    let start = *trouble.start.get_or_init(Instant::now);
    let consumers: Vec<_> = (0..CONSUMERS)
        .map(|consumer| {
            let record = record.clone();
            thread::spawn(move || {
                let numbers = (0..).map(|number| number * CONSUMERS + consumer);
                let numbers = numbers.take_while(|_| start.elapsed() < TRAFFIC_TIME);
                numbers.map(|number| use_connection(address, &record, number)).collect::<Vec<_>>()
            })
        })
        .collect();
    let (mut answered, mut unanswered) = (0, Vec::new());
    for (count, ids) in
        consumers.into_iter().flat_map(|consumer| consumer.join().unwrap_or_default())
    {
        answered += count;
        unanswered.extend(ids);
    }
    let ran: HashSet<String> = upstreams
        .iter()
        .flat_map(|upstream| {
            upstream
                .runs
                .lock()
                .unwrap()
                .iter()
                .map(|run| run.request.id().to_string())
                .collect::<Vec<_>>()
        })
        .collect();
    let lost: Vec<&String> = unanswered.iter().filter(|id| ran.contains(*id)).collect();
    let is_broken = lost.len() > ALLOWED;
    record.say(&format!(
        "{}: {answered} requests answered; {} that sound upstreams had run got no answer on their connection (allowed: {ALLOWED})",
        if is_broken { "BROKEN" } else { "HELD" },
        lost.len()
    ));
    i32::from(is_broken)
}

/// Sends a report's request with others behind it, and returns how many were answered and which ones were not, although
/// they stand behind a response that breaks off.
fn use_connection(address: SocketAddr, record: &Recorder, number: usize) -> (usize, Vec<String>) {
    let mut ids = vec![format!("report-{number}")];
    let mut text = request(&format!("/informe/{number}"), &ids[0]);
    for index in 0..AHEAD {
        ids.push(format!("ahead-{number}-{index}"));
        text += &request(&format!("/catalogo/{number}-{index}"), &ids[index + 1]);
    }
    let Ok(stream) = TcpStream::connect(address) else { return (0, Vec::new()) };
    let _ = stream.set_read_timeout(Some(Duration::from_secs(3)));
    let mut conn = Connection::new(stream);
    record.write(&format!("sent on one connection: {}", ids.join(" ")));
    if conn.stream.write_all(text.as_bytes()).is_err() {
        return (0, Vec::new());
    }
    for (index, id) in ids.iter().enumerate() {
        match conn.read(true) {
            Ok(Some(answer)) if answer.is_complete => {
                record.write(&format!("{id} -> {}", answer.status()))
            }
            other => {
                let part = other.ok().flatten().map_or(0, |answer| answer.body.len());
                let rest = &ids[index + 1..];
                record.write(&format!(
                    "{id} -> the connection ends after {part} bytes of its answer; no answer to {}",
                    rest.join(" ")
                ));
                return (index, rest.to_vec());
            }
        }
    }
    (ids.len(), Vec::new())
}

fn request(path: &str, id: &str) -> String {
    format!(
        "GET {path} HTTP/1.1\r\nHost: tienda.example\r\nX-Poplarbarrow-Request-Id: {id}\r\nX-Poplarbarrow-Deadline-Ms: 2000\r\n\r\n"
    )
}
