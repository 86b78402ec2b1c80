use test_case::test_case;

use super::*;

const SEED: u64 = 20_261_204;

const BASE: Setup = Setup {
    key: false,
    entries: [0, 1, 2],
    other: false,
    duplicates: 1,
    crashes: 1,
    outages: 0,
    expiry: false,
    leave: false,
    without: Without::Nothing,
};

const KEY: Setup = Setup { key: true, outages: 1, ..BASE };

// Guards against any order of faults that breaks an invariant, to the stated depth and by random walks beyond.
#[test_case("issued", Setup { ..BASE }, 9, 12_000; "issued")]
#[test_case("issued two duplicates", Setup { duplicates: 2, crashes: 0, other: true, ..BASE }, 9, 12_000; "issued two duplicates")]
#[test_case("issued expiry", Setup { expiry: true, crashes: 0, entries: [0, 0, 1], ..BASE }, 9, 12_000; "issued expiry")]
#[test_case("issued leave", Setup { leave: true, entries: [0, 2, 2], ..BASE }, 8, 12_000; "issued leave")]
#[test_case("key", Setup { ..KEY }, 8, 12_000; "key")]
#[test_case("key same entry", Setup { entries: [0, 0, 1], ..KEY }, 8, 12_000; "key same entry")]
#[test_case("key all faults", Setup { other: true, expiry: true, leave: true, duplicates: 2, crashes: 2, outages: 2, ..KEY }, 5, 20_000; "key all faults")]
fn invariants_hold(name: &str, setup: Setup, depth: usize, walks: usize) {
    let found = search(&setup, depth, usize::MAX);
    let walked = walk(&setup, SEED, walks, 60);
    println!(
        "explore: setup={name:?} depth={depth} states={} seed={SEED} walks={walks} walked={}",
        found.states, walked.states
    );
    assert!(found.violation.is_none(), "search: {:?}", found.violation);
    assert!(walked.violation.is_none(), "walk: {:?}", walked.violation);
}

// Guards against a search that would not notice the loss of a mechanism.
#[test_case(Without::Window, BASE, Violation::DoubleRun; "explorer finds double run when the receipt window is off")]
#[test_case(Without::Destination, BASE, Violation::DoubleRun; "explorer finds double run when the destination is not checked")]
#[test_case(Without::UnknownDuplicate, BASE, Violation::DoubleRun; "explorer finds double run when a duplicate is answered not run")]
#[test_case(Without::UnknownMember, BASE, Violation::DoubleRun; "explorer finds double run when a restarted target answers not run")]
#[test_case(Without::ExplicitNotRun, BASE, Violation::DoubleRun; "explorer finds double run when a lost attempt is retried")]
#[test_case(Without::StaleCheck, BASE, Violation::DoubleRun; "explorer finds double run when stale results count")]
#[test_case(Without::ForwardStamp, Setup { crashes: 0, ..BASE }, Violation::FalseNotRun; "explorer finds false not run when forwards have no stamp")]
#[test_case(Without::Floor, Setup { expiry: true, crashes: 0, ..BASE }, Violation::DoubleRun; "explorer finds double run when eviction has no floor")]
#[test_case(Without::Fingerprint, Setup { other: true, ..BASE }, Violation::ForeignAnswer; "explorer finds foreign answer when fingerprints are off")]
#[test_case(Without::Nonce, Setup { entries: [0, 0, 1], ..KEY }, Violation::DoubleRun; "explorer finds double run when the nonce is ignored")]
#[test_case(Without::ReadBack, KEY, Violation::DoubleRun; "explorer finds double run when an unknown claim counts as written")]
#[test_case(Without::Successor, Setup { leave: true, entries: [0, 2, 2], ..BASE }, Violation::DoubleRun; "explorer finds double run when a successor runs requests")]
fn sensitive(without: Without, setup: Setup, expected: Violation) {
    let setup = Setup { without, ..setup };
    let report = walk(&setup, SEED, 400_000, 60);
    let (violation, trace) = report.violation.expect("the walk finds a violation");
    println!("explore: {without:?} {violation:?} after {} states: {trace:?}", report.states);
    // Some mechanisms protect more than one invariant, so that the first violation found may be another one.
    let acceptable = [expected, Violation::FalseNotRun];
    assert!(acceptable.contains(&violation), "found {violation:?}");
}
