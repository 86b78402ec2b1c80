use std::collections::{HashMap, VecDeque};

use compact_str::CompactString;
use serde::{Deserialize, Serialize};

/// The most request ids remembered; at about 100 B each this is 6.5 MB. The oldest is forgotten first.
const MAX_IDS: usize = 65_536;

/// How often the requests with one id ran.
#[derive(Copy, Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Runs {
    /// Runs started.
    pub started: u32,
    /// Runs finished with an answer.
    pub finished: u32,
}

/// Counts over all requests since the start of the process, across crashes of the in-process form.
#[derive(Copy, Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Totals {
    /// Runs started.
    pub started: u64,
    /// Runs finished with an answer.
    pub finished: u64,
    /// Runs started for an id that had run before.
    pub repeated: u64,
    /// Requests refused without a run.
    pub refused: u64,
    /// Requests cancelled by the peer or a crash while they ran or waited.
    pub cancelled: u64,
    /// Ids forgotten to bound the memory; `repeated` may be too low if this is not 0.
    pub forgotten: u64,
    /// Connections accepted.
    pub connections: u64,
    /// Connections closed at once because of the limit.
    pub connections_refused: u64,
    /// Crashes.
    pub crashes: u64,
}

/// The runs by request id.
#[derive(Debug, Default)]
pub(super) struct Ledger {
    ids: HashMap<CompactString, Runs>,
    order: VecDeque<CompactString>,
    pub(super) totals: Totals,
}

impl Ledger {
    pub(super) fn start(&mut self, id: Option<&CompactString>) {
        self.totals.started += 1;
        let Some(id) = id else { return };
        if let Some(runs) = self.ids.get_mut(id) {
            runs.started += 1;
            self.totals.repeated += 1;
            return;
        }
        if self.order.len() >= MAX_IDS
            && let Some(oldest) = self.order.pop_front()
        {
            self.ids.remove(&oldest);
            self.totals.forgotten += 1;
        }
        self.order.push_back(id.clone());
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
