//! Refusals of requests that the configuration does not allow.

use std::time::Duration;

use crate::{
    effect::{Effect, Record},
    refusal::{Reason, Refusal},
    time::Time,
};

use super::Reducer;

/// The Retry-After time of a node without the configuration in force. It has arrived by then unless the store is away.
pub(super) const CONFIG_RETRY_AFTER: Duration = Duration::from_millis(300);

/// The Retry-After time where peers hold all memory that they may take. Peers that send nothing give way after a second.
const PEER_RETRY_AFTER: Duration = Duration::from_millis(500);

/// The size of a request, as far as it is known before its body has been read.
#[derive(Copy, Clone, Debug, PartialEq, Eq)]
pub(crate) struct RequestSize {
    /// The bytes of the head.
    pub(crate) head: usize,
    /// The declared length of the body in bytes, or 0.
    pub(crate) body: u64,
}

impl Reducer {
    /// Returns the limit of the configuration that a request exceeds, if there is one.
    pub(crate) fn find_excess(&self, size: RequestSize) -> Option<Reason> {
        let limits = &self.config()?.config.limits;
        if size.head > limits.max_head_bytes {
            return Some(Reason::HeadTooLarge);
        }
        (size.body > limits.max_body_bytes).then_some(Reason::BodyTooLarge)
    }

    /// Returns whether a request may be started while those before it on its connection are running. It would not have been
    /// read if a stop ends the connection, and then it must not have run either unless it is idempotent.
    pub(crate) fn may_start_early(&self, host: &str, path: &str) -> bool {
        let route = self.config().and_then(|table| table.find(host, path));
        !self.is_stopping() && route.is_some_and(|route| route.is_idempotent)
    }

    /// Returns whether a request may have a route: one of the configuration, or any while there is no configuration.
    pub(crate) fn may_have_route(&self, host: &str, path: &str) -> bool {
        self.config().is_none_or(|table| table.find(host, path).is_some())
    }

    /// Refuses a request for which no call has been opened.
    pub(crate) fn refuse_early(
        &self,
        now: Time,
        id: &str,
        reason: Reason,
        out: &mut Vec<Effect>,
    ) -> Refusal {
        let refusal = self.deny(now, reason);
        out.push(Effect::Log(Record::Refuse {
            id: id.into(),
            route: "".into(),
            refusal,
            attempts: 0,
            tried: "".into(),
            waited: Duration::ZERO,
            config: self.config_version(),
        }));
        refusal
    }

    /// Returns the refusal of a request that has not been sent anywhere.
    ///
    /// Callers do not retry a request that the configuration does not allow. While a newer configuration may allow it,
    /// the request is refused as [`Reason::StaleConfig`] instead.
    pub(super) fn deny(&self, now: Time, reason: Reason) -> Refusal {
        if reason.depends_on_config() && !self.is_config_current(now) {
            let retry_after = Some(CONFIG_RETRY_AFTER);
            return Refusal { reason: Reason::StaleConfig, may_have_run: false, retry_after };
        }
        // Without a call, a request is refused as such because of what peers hold of the process.
        let retry_after = (reason == Reason::Overloaded).then_some(PEER_RETRY_AFTER);
        Refusal { reason, may_have_run: false, retry_after }
    }
}
