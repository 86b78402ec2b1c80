//! Consumers send requests whose bodies come in chunks.

use std::{path::Path, thread, time::Duration};

use crate::{
    Outcome,
    http::Conn,
    node::{KARITE_AZUL, Node},
    record::Record,
    store::Store,
    upstream::Upstream,
};

/// The sizes of the bodies. The limit of the configuration is 4 MiB.
const SIZES: [usize; 5] = [0, 1_000, 100_000, 150_000, 400_000];

const CHUNK_BYTES: usize = 16_000;

const CONFIG: &str = r#"{"version":"0000000c",
"routes":{"columns":["name","host","prefix","kind","timeout_s","target_latency_s","max_attempts","priority","service"],
"rows":[["lote","lote.example","/lote/","safe",2.0,1.0,2,1,"bodega"]]},
"services":{"columns":["name","health_path","max_connections","cold_per_s"],
"rows":[["bodega","/health",220,19.0],["tienda","/health",220,19.0]]},
"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_s":5,"idle_timeout_s":10}}"#;

pub fn play(is_disturbed: bool, folder: &Path, record: &Record) -> Outcome {
    let (store, store_address) = Store::start();
    store.put("op/config", CONFIG);
    let start = |name, service, id| {
        let upstream = Upstream::start(id, Duration::from_millis(64), 5_000, record);
        let place = (name, "oax-a", service);
        Node::start(place, &upstream, store_address, &KARITE_AZUL, (folder, record))
    };
    let entries = [start("sidecar-1", "tienda", "i-shop"), start("sidecar-2", "bodega", "i-store")];
    if !entries.iter().all(|node| node.wait_until_ready(Duration::from_secs(15))) {
        return Outcome::NotRun;
    }
    thread::sleep(Duration::from_secs(8));
    let (mut served, mut changed) = (0, 0);
    // The first node passes requests on to the second one, which passes them on to its upstream.
    for (number, node) in entries.iter().enumerate() {
        for method in ["GET", "POST", "PUT"] {
            for size in SIZES {
                let id = format!("n{number}{method}{size}");
                let status = send(node, (method, &id), size, is_disturbed);
                let has_run = record.contains(&format!("run id={id} "));
                let is_whole =
                    record.contains(&format!("run id={id} upstream=i-store received={size} "));
                served += usize::from(status == Some(200));
                changed += usize::from(has_run && !is_whole);
                record.write(&format!(
                    "sent id={id} bytes={size} status={status:?} ran={has_run} whole={is_whole}"
                ));
            }
        }
    }
    record.write(&format!("served={served} changed={changed}"));
    match (served, changed) {
        (0, _) => Outcome::NotRun,
        (_, 0) => Outcome::Held,
        _ => Outcome::Broken,
    }
}

/// Sends a request with a body in chunks, or with a length, and returns the status of its answer.
fn send(node: &Node, (method, id): (&str, &str), size: usize, is_chunked: bool) -> Option<u16> {
    let mut conn = Conn::open(node.outbound).ok()?;
    conn.stream.set_read_timeout(Some(Duration::from_secs(3))).ok()?;
    let framing = if is_chunked {
        "transfer-encoding: chunked".to_owned()
    } else {
        format!("content-length: {size}")
    };
    let head = format!(
        "{method} /lote/{id} HTTP/1.1\r\nhost: lote.example\r\nx-poplarbarrow-request-id: {id}\r\n\
         x-poplarbarrow-deadline-ms: 2000\r\n{framing}\r\n\r\n"
    );
    conn.send(head.as_bytes()).ok()?;
    for chunk in vec![b'b'; size].chunks(CHUNK_BYTES) {
        if is_chunked {
            conn.send(format!("{:x}\r\n", chunk.len()).as_bytes()).ok()?;
        }
        conn.send(chunk).ok()?;
        if is_chunked {
            conn.send(b"\r\n").ok()?;
        }
    }
    if is_chunked {
        conn.send(b"0\r\n\r\n").ok()?;
    }
    let head = conn.read_head().ok()??;
    conn.read_body(&head).ok()?;
    Some(head.status())
}
