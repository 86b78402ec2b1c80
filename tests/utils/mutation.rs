//! Hostile input for tests of parsers: random bytes, and valid input with small changes.

use rand::{Rng, SeedableRng, rngs::SmallRng};

/// The inputs of one test; enough that each kind of change meets each position of a short example.
const INPUTS: usize = 10_000;

/// The longest random input in bytes; parsers decide on the first bytes.
const RANDOM_BYTES: usize = 80;

/// Bytes at which encodings change: ends of ranges, continuation bits and separators of our text forms.
const EDGES: [u8; 12] = [0, 1, 0x7f, 0x80, 0xff, b'0', b'9', b'+', b'-', b';', b'"', b' '];

/// Returns inputs that are equal to none of the examples; the same seed gives the same inputs.
pub(crate) fn hostile(seed: u64, examples: &[Vec<u8>]) -> impl Iterator<Item = Vec<u8>> {
    let mut rng = SmallRng::seed_from_u64(seed);
    let inputs = (0..INPUTS).map(move |i| match i % 8 {
        0 => random(&mut rng),
        _ => changed(&mut rng, examples),
    });
    inputs.filter(|input| !examples.contains(input))
}

fn random(rng: &mut SmallRng) -> Vec<u8> {
    let len = rng.random_range(0..RANDOM_BYTES);
    (0..len).map(|_| rng.random()).collect()
}

fn changed(rng: &mut SmallRng, examples: &[Vec<u8>]) -> Vec<u8> {
    let mut bytes = examples[rng.random_range(0..examples.len())].clone();
    for _ in 0..rng.random_range(1..=3) {
        let from = rng.random_range(0..=bytes.len());
        let to = (from + rng.random_range(0..8)).min(bytes.len());
        let edge = EDGES[rng.random_range(0..EDGES.len())];
        match rng.random_range(0..7) {
            0 if from < bytes.len() => bytes[from] ^= 1 << rng.random_range(0..8),
            1 if from < bytes.len() => bytes[from] = edge,
            2 => bytes.insert(from, edge),
            3 => drop(bytes.drain(from..to)),
            4 => bytes.extend_from_within(from..to),
            5 => bytes.truncate(from),
            _ => {
                let other = &examples[rng.random_range(0..examples.len())];
                bytes.truncate(from);
                bytes.extend_from_slice(&other[from.min(other.len())..]);
            }
        }
    }
    bytes
}
