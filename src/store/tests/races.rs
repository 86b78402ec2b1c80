use std::io::{Write, stderr};

use futures::future::join_all;

use super::{CommitError, StoreError, collect, commit, document, load, lossy::Lossy};
use crate::platform::{Memory, PlatformError};

const SEEDS: u64 = 20;
const OPERATORS: u32 = 4;
const SUBMISSIONS: u32 = 6;

/// What an operator was told about a submission in the end.
#[derive(Copy, Clone, Debug, PartialEq, Eq)]
enum Told {
    Committed(u64),
    Conflict,
    Undecided,
}

/// Loads, retrying while the platform is unavailable; any other failure is a fault of the store.
async fn revision(platform: &Lossy) -> u64 {
    loop {
        match load(platform).await {
            Ok(loaded) => return loaded.map_or(0, |(index, _)| index.revision),
            Err(StoreError::Unsettled)
            | Err(StoreError::Platform { source: PlatformError::Unavailable { .. } }) => {}
            Err(e) => panic!("{e}"),
        }
    }
}

async fn operator(platform: &Lossy, id: u32) -> Vec<(String, Told)> {
    let mut seen = 0;
    let mut told = Vec::new();
    for n in 0..SUBMISSIONS {
        let submission = format!("{id}-{n}");
        let expected = revision(platform).await;
        assert!(expected >= seen, "the revision went back from {seen} to {expected}");
        seen = expected;
        // Each document comes from two operators, so that a part left by a lost race is collected while the
        // other operator commits it.
        let document = document(1 + n * OPERATORS + id / 2);
        let mut answer = Told::Undecided;
        for _ in 0..8 {
            answer = match commit(platform, expected, &document, &submission).await {
                Ok(committed) => Told::Committed(committed.index.revision),
                Err(CommitError::Conflict { .. }) => Told::Conflict,
                Err(CommitError::Unknown { .. } | CommitError::Failed { .. }) => continue,
                Err(e) => panic!("{e}"),
            };
            break;
        }
        told.push((submission, answer));
    }
    told
}

/// Collects all the time and returns the number of deleted parts.
async fn collector(platform: &Lossy) -> usize {
    let mut deleted = 0;
    for _ in 0..100 {
        // Losses are part of the test; the next collection goes on.
        deleted += collect(platform).await.unwrap_or_default();
        tokio::task::yield_now().await;
    }
    deleted
}

/// Guards against a commit that is reported as lost and in force, or made twice, or that names collected parts,
/// while operators and a collector race and writes are lost, delayed or refused.
#[tokio::test]
async fn racing_operators_are_told_the_truth() {
    let (mut committed, mut conflicts, mut deleted) = (0, 0, 0);
    for seed in 0..SEEDS {
        let memory = Memory::new();
        let platform = Lossy::random(&memory, seed);
        let operators = join_all((0..OPERATORS).map(|id| operator(&platform, id)));
        let (told, collected) = tokio::join!(operators, collector(&platform));
        deleted += collected;
        // Late writes that still wait must not change what was told.
        for _ in 0..1_000 {
            tokio::task::yield_now().await;
        }
        let log = platform.log();
        let revisions: Vec<u64> = log.iter().map(|index| index.revision).collect();
        assert_eq!(revisions, (1..=log.len() as u64).collect::<Vec<_>>(), "seed {seed}");
        for (submission, told) in told.into_iter().flatten() {
            let found: Vec<u64> =
                log.iter().filter(|i| i.submission == submission).map(|i| i.revision).collect();
            match told {
                Told::Committed(revision) => assert_eq!(found, [revision], "seed {seed}"),
                Told::Conflict => assert!(found.is_empty(), "seed {seed}: {submission} {found:?}"),
                Told::Undecided => assert!(found.len() < 2, "seed {seed}: {submission}"),
            }
            committed += usize::from(matches!(told, Told::Committed(_)));
            conflicts += usize::from(told == Told::Conflict);
        }
        assert!(load(&memory).await.unwrap().is_some(), "seed {seed}");
    }
    writeln!(stderr(), "committed, conflicts, deleted: {:?}", [committed, conflicts, deleted])
        .unwrap();
    // Without each of these in number the test would show nothing.
    let counts = [committed, conflicts, deleted];
    assert!(counts.iter().all(|n| *n > 50), "committed, conflicts, deleted: {counts:?}");
}
