//! A node process, started with the command of the deploy file, and the heartbeats of the upstream beside it.

use std::{
    env, fs,
    net::{Ipv4Addr, SocketAddr, TcpListener},
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicU16, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use crate::{http, json::quote, record::Record, upstream::Upstream};

/// The command of the deploy file.
const PROGRAM: &str = "target/release/poplarbarrow-sidecar";

/// The interval of heartbeats in the settings.
const HEARTBEAT: Duration = Duration::from_millis(1_500);

/// Bounds and limits as in the settings of the deployment that a case names.
pub struct Deployment {
    pub bounds: &'static str,
    pub limits: &'static str,
}

pub struct Node {
    pub name: String,
    pub outbound: SocketAddr,
    pub ready: SocketAddr,
    process: Child,
    record: Record,
    stop_heartbeats: Arc<AtomicBool>,
}

/// The ports that are tried for listeners. They lie below those that the kernel gives to outgoing connections.
const FIRST_PORT: u16 = 15_000;
const LAST_PORT: u16 = 31_000;

fn free_addresses<const N: usize>() -> [SocketAddr; N] {
    static NEXT: AtomicU16 = AtomicU16::new(0);
    let spread = (std::process::id() % 997) as u16 * 16;
    std::array::from_fn(|_| {
        loop {
            let offset = spread.wrapping_add(NEXT.fetch_add(1, Ordering::Relaxed));
            let port = FIRST_PORT + offset % (LAST_PORT - FIRST_PORT);
            if let Ok(listener) = TcpListener::bind((Ipv4Addr::LOCALHOST, port)) {
                break listener.local_addr().expect("an address");
            }
        }
    })
}

impl Node {
    /// Starts a node beside an upstream of a service.
    pub fn start(
        (name, zone, service): (&str, &str, &str),
        upstream: &Upstream,
        store: SocketAddr,
        deployment: &Deployment,
        (folder, record): (&Path, &Record),
    ) -> Node {
        let [outbound, ready, control, peers] = free_addresses::<4>();
        let settings = format!(
            r#"{{"node":{},"role":"node","machine_class":"sidecar","serves":["sidecar"],"ip":"127.0.0.1",
"zone":{},"region":"r","zones":{{{}:"r"}},
"listen":{{"outbound":"{outbound}","ready":"{ready}","control":"{control}"}},
"port_range":[{},65535],"seeds":[],"bootstrap":true,"tolerance_member":false,
"limits":{},"data_dir":null,"discovery":"local","entry":"local","heartbeat_s":1.5,
"contracts":["base","drain","config","cost","retry","recover","health","places","platform"],
"fault_tolerance":{{"machines":2,"zones":1,"regions":0}},"bounds":{},
"app":"{}","service":{},"platform":{{"address":"{store}","form":"kv","writes_per_s":400,"reads_per_s":2000,
"history_s":20,"value_bytes":1048576,"ttl_min_s":1}}}}"#,
            quote(name),
            quote(zone),
            quote(zone),
            peers.port(),
            deployment.limits,
            deployment.bounds,
            upstream.address,
            quote(service),
        );
        let path: PathBuf = folder.join(format!("{name}.json"));
        fs::write(&path, settings).expect("the settings can be written");
        let log = fs::File::create(folder.join(format!("{name}.log"))).expect("a log file");
        let mut command = Command::new(PROGRAM);
        command.env_clear().env("POPLARBARROW_SETTINGS", &path);
        for name in ["PATH", "HOME", "LANG"] {
            if let Ok(value) = env::var(name) {
                command.env(name, value);
            }
        }
        command.stdin(Stdio::null()).stdout(log).stderr(Stdio::null());
        let process = command.spawn().expect("the node can be started");
        record.write(&format!("start node={name} service={service}"));
        let stop_heartbeats = Arc::<AtomicBool>::default();
        send_heartbeats(control, (zone, service), upstream.clone(), stop_heartbeats.clone());
        let (name, record) = (name.to_owned(), record.clone());
        Node { name, outbound, ready, process, record, stop_heartbeats }
    }

    /// Asks the readiness endpoint as the platform does.
    pub fn is_ready(&self) -> bool {
        is_ready(self.ready)
    }

    pub fn wait_until_ready(&self, limit: Duration) -> bool {
        let started = Instant::now();
        while started.elapsed() < limit {
            if self.is_ready() {
                return true;
            }
            thread::sleep(Duration::from_millis(50));
        }
        false
    }

    pub fn signal(&self, name: &str) {
        self.record.write(&format!("signal node={} name={name}", self.name));
        let id = self.process.id().to_string();
        let _ = Command::new("kill").args([format!("-{name}"), id]).status();
    }

    /// Returns whether the process has ended, and records it.
    pub fn has_ended(&mut self) -> bool {
        match self.process.try_wait() {
            Ok(Some(status)) => {
                self.record.write(&format!("end node={} status=\"{status}\"", self.name));
                true
            }
            _ => false,
        }
    }
}

impl Drop for Node {
    fn drop(&mut self) {
        self.stop_heartbeats.store(true, Ordering::Relaxed);
        let _ = self.process.kill();
        let _ = self.process.wait();
    }
}

/// Asks a readiness endpoint; anything but 200 is a miss.
pub fn is_ready(address: SocketAddr) -> bool {
    http::exchange(address, "GET /ready HTTP/1.1\r\nhost: node\r\nconnection: close\r\n\r\n")
        == Some(200)
}

fn send_heartbeats(
    control: SocketAddr,
    (zone, service): (&str, &str),
    upstream: Upstream,
    stop: Arc<AtomicBool>,
) {
    let (zone, service) = (quote(zone), quote(service));
    thread::spawn(move || {
        let mut sequence = 0;
        while !stop.load(Ordering::Relaxed) {
            sequence += 1;
            let body = format!(
                "{{\"service\":{service},\"address\":\"{}\",\"zone\":{zone},\"version\":\"v1\",\"slots\":{},\
                 \"state\":\"ready\",\"cold_left_s\":0,\"sequence\":{sequence},\"born\":1796000000000}}",
                upstream.address,
                crate::upstream::SLOTS
            );
            let request = format!(
                "POST /Instances.Heartbeat/{} HTTP/1.1\r\nhost: node\r\nconnection: close\r\n\
                 content-type: application/json\r\ncontent-length: {}\r\n\r\n{body}",
                upstream.id,
                body.len()
            );
            let is_acknowledged = http::exchange(control, &request) == Some(200);
            thread::sleep(if is_acknowledged { HEARTBEAT } else { Duration::from_millis(100) });
        }
    });
}
