use test_case::test_case;

use super::*;
use crate::{document::Service, store::split};

fn document(deadline: u32) -> Document {
    let mut document = Document::default();
    document
        .services
        .insert("orders".into(), Service { deadline_ms: deadline, ..Service::default() });
    document
}

fn revision(revision: u64, deadline: u32) -> (Index, BTreeMap<Digest, Bytes>) {
    let parts = split(&document(deadline)).expect("parts");
    let index = Index {
        revision,
        submission: "s".into(),
        parts: parts.names.clone(),
        globals: parts.globals,
    };
    (index, parts.content.into_iter().collect())
}

#[test_case(2, Some(200); "newer revision")]
#[test_case(1, None; "same revision")]
#[test_case(0, None; "older revision")]
fn only_a_newer_revision_replaces_the_copy(number: u64, expected: Option<u32>) {
    let replica = Replica::default();
    let (index, parts) = revision(1, 100);
    replica.install(index, parts).expect("a complete revision");
    let (index, parts) = revision(number, 200);
    let installed = replica.install(index, parts).expect("a complete revision");
    assert_eq!(installed.map(|document| document.services["orders"].deadline_ms), expected);
    assert_eq!(replica.revision(), number.max(1));
}

#[test]
fn only_changed_parts_are_missing() {
    let replica = Replica::default();
    let (index, parts) = revision(1, 100);
    replica.install(index, parts).expect("a complete revision");
    let (index, _) = revision(2, 200);
    assert_eq!(replica.missing(&index).len(), 1);
}

#[test]
fn incomplete_revision_leaves_the_copy_as_it_is() {
    let replica = Replica::default();
    let (index, parts) = revision(1, 100);
    replica.install(index, parts).expect("a complete revision");
    let (index, _) = revision(2, 200);
    assert!(replica.install(index, BTreeMap::new()).is_err());
    assert_eq!(replica.revision(), 1);
}
