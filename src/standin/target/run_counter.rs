use std::collections::{HashMap, VecDeque};

use compact_str::CompactString;
use serde::{Deserialize, Serialize};

/// Maximum number of request ids, about 6.5 MB at 100 B each. The oldest id is evicted first.
const MAX_IDS: usize = 65_536;

/// How often requests with one id were executed.
#[derive(Copy, Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Runs {
    /// Runs started.
    pub started: u32,
    /// Runs finished with a response.
    pub finished: u32,
}

/// Counts of all requests since the target was created; simulated crashes do not reset them.
#[derive(Copy, Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Totals {
    /// Runs started.
    pub started: u64,
    /// Runs finished with a response.
    pub finished: u64,
    /// Runs started for an id that had already been started.
    pub repeated: u64,
    /// Requests refused without being executed.
    pub refused: u64,
    /// Requests cancelled by the caller or a crash while running or queued.
    pub cancelled: u64,
    /// Ids evicted to bound memory; if this is not 0, `repeated` may be too low.
    pub forgotten: u64,
    /// Connections accepted.
    pub connections: u64,
    /// Connections closed at once because the limit was reached.
    pub connections_refused: u64,
    /// Simulated crashes.
    pub crashes: u64,
}

/// Counts executions by request id and in total.
#[derive(Debug, Default)]
pub(super) struct RunCounter {
    ids: HashMap<CompactString, Runs>,
    insertion_order: VecDeque<CompactString>,
    pub(super) totals: Totals,
}

impl RunCounter {
    pub(super) fn start(&mut self, id: Option<&CompactString>) {
        self.totals.started += 1;
        let Some(id) = id else { return };
        if let Some(runs) = self.ids.get_mut(id) {
            runs.started += 1;
            self.totals.repeated += 1;
            return;
        }
        if self.insertion_order.len() >= MAX_IDS
            && let Some(oldest) = self.insertion_order.pop_front()
        {
            self.ids.remove(&oldest);
            self.totals.forgotten += 1;
        }
        self.insertion_order.push_back(id.clone());
        self.ids.insert(id.clone(), Runs { started: 1, finished: 0 });
    }

    pub(super) fn finish(&mut self, id: Option<&CompactString>) {
        self.totals.finished += 1;
        if let Some(runs) = id.and_then(|id| self.ids.get_mut(id)) {
            runs.finished += 1;
        }
    }

    pub(super) fn runs(&self, id: &str) -> Runs {
        self.ids.get(id).copied().unwrap_or_default()
    }
}
