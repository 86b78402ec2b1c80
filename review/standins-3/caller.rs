//! Case: the settings file of a running node names another service, without a signal.

use std::{
    io::Write as _,
    net::TcpStream,
    path::Path,
    sync::Arc,
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

/// The time after the end of an upstream before which its address goes to no other service is 2 s.
const REUSE_TIME: Duration = Duration::from_millis(2_500);

/// The time from the start of the node to the change.
const CHANGE_TIME: Duration = Duration::from_millis(12_300);

/// The time for which callers go on after the change.
const WATCH_TIME: Duration = Duration::from_secs(5);

const CONFIG: &str = r#"{"version":"00000002","routes":{"columns":["name","host","prefix","kind","timeout_s","target_latency_s","priority","traffic_split","max_attempts","service"],
"rows":[["catalogo","tienda.example","/catalogo/","safe",1.2,0.5,2,null,2,"tienda"],["pedido","tienda.example","/pedido/","unsafe",1.5,0.6,1,null,2,"tienda"]]},
"services":{"columns":["name","health_path","max_connections","protocol","tls","cold_start_s","cold_per_s"],"rows":[["tienda","/health",220,"h1",false,3.0,19.0],["bodega","/health",220,"h1",false,3.0,19.0],["tesoreria","/health",220,"h1",false,3.0,19.0]]},
"limits":{"max_header_bytes":16384,"max_body_bytes":67108864,"header_timeout_s":3,"idle_timeout_s":15},"base_version":"00000001"}"#;

pub fn run(folder: &Path, has_trouble: bool) -> i32 {
    let record = Recorder::new(folder);
    let store = Store::start((local_ip(250), 18309).into());
    store.put("op/config", CONFIG);
    let temporary = TemporaryFolder::new();
    let handler = Arc::new(|up: &Upstream, req: &Message, conn: &mut Connection<TcpStream>| {
        up.answer(req, conn, "ok")
    });
    let mut changing = Machine::new(1, "oax-a", "bodega", store.address);
    let serving = Machine::new(2, "oax-b", "tienda", store.address);
    let before = Upstream::start("i-before", &changing, Start::BeforeTraffic, handler.clone());
    let tienda = Upstream::start("i-tienda", &serving, Start::BeforeTraffic, handler.clone());
    let started = Instant::now();
    let nodes =
        [Node::start(changing.clone(), &temporary.0), Node::start(serving.clone(), &temporary.0)];
    before.beat(changing.at(CONTROL));
    tienda.beat(serving.at(CONTROL));
    if !nodes.iter().all(|node| node.wait_ready(Duration::from_secs(15))) {
        record.say("a node is not ready");
        return 2;
    }
    thread::sleep(Duration::from_secs(4));
    // The upstream leaves, and its address goes to another one.
    before.crash();
    record.write("the upstream of bodega has ended");
    thread::sleep(REUSE_TIME);
    // The node looks at the file each 2 s from its start on; the change comes soon after a look.
    thread::sleep(CHANGE_TIME.saturating_sub(started.elapsed()));
    if has_trouble {
        changing.service = "tesoreria";
    }
    nodes[0].write_settings(&changing);
    record.write(&format!(
        "the settings file of the machine names {}, without a signal",
        changing.service
    ));
    let after = Upstream::start("i-after", &changing, Start::DuringTraffic, handler);
    let status = after.beat_once(changing.at(CONTROL));
    record.write(&format!("the upstream i-after of {} runs at the same address; its heartbeat is answered with {status}", changing.service));
    after.beat(changing.at(CONTROL));
    let changed = Instant::now();
    let mut number = 0;
    while changed.elapsed() < WATCH_TIME {
        number += 1;
        let id = format!("call-{number}");
        let (method, kind) = if number % 2 == 0 { ("POST", "pedido") } else { ("GET", "catalogo") };
        let text = format!(
            "{method} /{kind}/{number} HTTP/1.1\r\nHost: tienda.example\r\nX-Poplarbarrow-Request-Id: {id}\r\nX-Poplarbarrow-Deadline-Ms: 1200\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
        );
        let mut status = 0;
        if let Ok(stream) = TcpStream::connect(changing.at(OUTBOUND)) {
            let _ = stream.set_read_timeout(Some(Duration::from_secs(2)));
            let mut conn = Connection::new(stream);
            if conn.stream.write_all(text.as_bytes()).is_ok() {
                status = conn.read(true).ok().flatten().map_or(0, |answer| answer.status());
            }
        }
        record.write(&format!("{id} is sent on the machine of {} -> {status}", changing.service));
        thread::sleep(Duration::from_millis(100));
    }
    let runs = tienda.runs.lock().unwrap().clone();
    let mut wrong = Vec::new();
    for run in &runs {
        let caller = run.request.field("x-poplarbarrow-caller-service").unwrap_or("");
        record.write(&format!("{} runs at tienda for the caller {caller}", run.request.id()));
        if caller != changing.service {
            wrong.push((run.at - changed).as_secs_f64());
        }
    }
    let last = wrong.last().copied().unwrap_or(0.0);
    let is_broken = !wrong.is_empty();
    record.say(&format!(
        "{}: {} of {} requests from the machine of {} ran for another caller, the last {last:.3} s after the change",
        if is_broken { "BROKEN" } else { "HELD" },
        wrong.len(),
        runs.len(),
        changing.service
    ));
    if runs.is_empty() {
        return 2;
    }
    i32::from(is_broken)
}
