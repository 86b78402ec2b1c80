//! Measures the storage that a document of a given size takes.

use bytes::Bytes;

use super::{Index, StoreError, split};
use crate::document::{Centre, CentreState, Document, Route, Service, Version};

/// The storage that a document takes in the platform.
#[derive(Copy, Clone, Debug, PartialEq, Eq)]
pub struct StoreCost {
    /// The size of the index in bytes.
    pub index_bytes: usize,
    /// The size of the largest part in bytes.
    pub largest_part_bytes: usize,
    /// The size of all parts in bytes.
    pub total_part_bytes: usize,
    /// The number of parts written when one service changes, without the index and its predecessor, which are
    /// written as well.
    pub changed_parts: usize,
}

/// Measures a document of 20 data centres and typical services with one route and two versions each.
///
/// # Errors
///
/// Fails if a part exceeds the platform's limit.
pub fn measure(services: u32) -> Result<StoreCost, StoreError> {
    let mut document = typical(services);
    let parts = split(&document)?;
    let index = Index {
        revision: u64::MAX,
        submission: "00112233445566778899aabbccddeeff".into(),
        parts: parts.names,
        globals: parts.globals,
    };
    if let Some(service) = document.services.values_mut().next() {
        service.deadline_ms += 1;
    }
    let after = split(&document)?;
    Ok(StoreCost {
        index_bytes: index.encode().len(),
        largest_part_bytes: parts.content.values().map(Bytes::len).max().unwrap_or_default(),
        total_part_bytes: parts.content.values().map(Bytes::len).sum(),
        changed_parts: after.content.keys().filter(|d| !parts.content.contains_key(d)).count(),
    })
}

/// Returns a document of 20 data centres and typical services with one route and two versions each.
pub(crate) fn typical(services: u32) -> Document {
    let mut document = Document::default();
    for i in 0..20 {
        let region = format!("region-{}", i % 9).into();
        let centre = Centre { region, state: CentreState::In };
        document.centres.insert(format!("centre-{i}").into(), centre);
    }
    // Use times with 13 digits, as in a real schedule.
    let version = |name: &str, start_ms| Version {
        name: name.into(),
        start_ms,
        end_ms: start_ms + 3_600_000,
    };
    for i in 0..services {
        let service = Service {
            routes: vec![Route { prefix: "/search".into(), method: None, idempotent: true }],
            versions: vec![version("v41", 1_700_000_000_000), version("v42", 1_700_100_000_000)],
            ..Service::default()
        };
        document.services.insert(format!("service-{i}").into(), service);
    }
    document
}
