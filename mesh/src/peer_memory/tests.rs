use std::sync::{
    Arc,
    atomic::{AtomicUsize, Ordering},
};

use bytes::Bytes;

use super::{Endpoint, PeerMemory, ProcessLimits};

fn memory(memory_bytes: u64) -> (PeerMemory, Arc<AtomicUsize>) {
    let reported = Arc::<AtomicUsize>::default();
    let count = reported.clone();
    let limits = ProcessLimits { memory_bytes: Some(memory_bytes), descriptors: Some(64) };
    let memory = PeerMemory::new(limits, move |bound| {
        count.fetch_add(usize::from(bound.log_count.is_some()), Ordering::Relaxed);
    });
    (memory, reported)
}

/// Guards against an answer that is no longer counted while a slow reader has yet to take it, or for ever.
#[test]
fn buffered_bytes_are_counted_until_their_last_clone_is_dropped() {
    let (memory, _) = memory(1 << 20);
    let held = memory.hold(None, Bytes::from(vec![0; 500_000]));
    let rest = held.slice(499_999..);
    drop(held);
    let peer = memory.connect(Endpoint::Callers).expect("room");
    assert!(peer.admit(10).is_err());
    drop(rest);
    assert!(peer.admit(10).is_ok());
}

/// Guards against a reservation that outlives its body or its connection.
#[test]
fn guards_give_back_what_they_reserve() {
    let (memory, _) = memory(48 << 20);
    for _ in 0..1_000 {
        let peer = memory.connect(Endpoint::Peers).expect("room");
        peer.begin_request();
        let mut body = peer.begin_body();
        assert!(body.grow(100_000).is_ok());
        drop(body.finish(Bytes::from(vec![0; 100_000])));
        peer.end_request();
    }
    assert_eq!(memory.lock().account.bytes(), 0);
}

/// Guards against a log line for each connection of a crowd.
#[test]
fn log_lines_are_bounded_in_rate() {
    let (memory, reported) = memory(48 << 20);
    let peers: Vec<_> = (0..500).map(|_| memory.connect(Endpoint::Ready)).collect();
    assert_eq!(peers.iter().flatten().count(), 2);
    assert_eq!(reported.load(Ordering::Relaxed), 1);
}
