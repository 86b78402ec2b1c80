//! Refusals by the load balancer itself: the reason, whether the request may have run, and when the
//! caller should retry.

use std::time::Duration;

use http::StatusCode;
use serde::{Deserialize, Serialize};

/// The reason for a refusal.
#[derive(Copy, Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub(crate) enum Reason {
    /// The request head is invalid.
    Malformed,
    /// The request head exceeds the limit.
    HeadTooLarge,
    /// The body exceeds the limit.
    BodyTooLarge,
    /// The caller's body ended early.
    BodyCut,
    /// The caller's body did not arrive in time.
    BodyTimeout,
    /// No route of the configuration matches.
    NoRoute,
    /// The request carries no key of a team, and its route is not public.
    UnknownKey,
    /// The node has not received a configuration yet.
    NoConfig,
    /// The configuration of this node does not allow the request, but may not be the one in force.
    StaleConfig,
    /// No target of the service accepts requests.
    NoTarget,
    /// The targets have no capacity for the request in time.
    Overloaded,
    /// The target is leaving, or its data centre is out of service.
    OutOfService,
    /// The node is stopping.
    Stopping,
    /// The node at the address is not the intended member, but another process.
    WrongMember,
    /// The target's node cannot read the parameters of the request, for instance because it is of another build.
    Unreadable,
    /// The deadline of the caller or of the route has passed.
    Deadline,
    /// The request was sent, but its response was lost or did not come from the target.
    AnswerLost,
    /// The request crashes the targets that run it.
    CrashSuspect,
}

impl Reason {
    /// All reasons, in the order of the documentation.
    pub(crate) const ALL: [Reason; 18] = [
        Reason::Malformed,
        Reason::HeadTooLarge,
        Reason::BodyTooLarge,
        Reason::BodyCut,
        Reason::BodyTimeout,
        Reason::NoRoute,
        Reason::UnknownKey,
        Reason::NoConfig,
        Reason::StaleConfig,
        Reason::NoTarget,
        Reason::Overloaded,
        Reason::OutOfService,
        Reason::Stopping,
        Reason::WrongMember,
        Reason::Unreadable,
        Reason::Deadline,
        Reason::AnswerLost,
        Reason::CrashSuspect,
    ];

    /// Returns the name used in logs, in metrics and between nodes.
    pub(crate) const fn as_str(self) -> &'static str {
        match self {
            Reason::Malformed => "malformed",
            Reason::HeadTooLarge => "head-too-large",
            Reason::BodyTooLarge => "body-too-large",
            Reason::BodyCut => "body-cut",
            Reason::BodyTimeout => "body-timeout",
            Reason::NoRoute => "no-route",
            Reason::UnknownKey => "unknown-key",
            Reason::NoConfig => "no-config",
            Reason::StaleConfig => "stale-config",
            Reason::NoTarget => "no-target",
            Reason::Overloaded => "overloaded",
            Reason::OutOfService => "out-of-service",
            Reason::Stopping => "stopping",
            Reason::WrongMember => "wrong-member",
            Reason::Unreadable => "unreadable",
            Reason::Deadline => "deadline",
            Reason::AnswerLost => "answer-lost",
            Reason::CrashSuspect => "crash-suspect",
        }
    }

    /// Returns whether the reason lies between the caller and its entry node, which alone can find it. Callers do not
    /// retry such requests, except after [`Reason::BodyTimeout`].
    pub(crate) const fn is_callers_fault(self) -> bool {
        matches!(self, Reason::Malformed | Reason::BodyCut | Reason::BodyTimeout)
            || self.depends_on_config()
    }

    /// Returns whether another configuration may allow the request.
    pub(crate) const fn depends_on_config(self) -> bool {
        matches!(
            self,
            Reason::HeadTooLarge | Reason::BodyTooLarge | Reason::NoRoute | Reason::UnknownKey
        )
    }

    /// Parses a name returned by [`Reason::as_str`].
    pub(crate) fn parse(text: &str) -> Option<Reason> {
        Reason::ALL.into_iter().find(|reason| reason.as_str() == text)
    }
}

/// A refusal of a caller's request.
#[derive(Copy, Clone, Debug, PartialEq, Eq)]
pub(crate) struct Refusal {
    /// The reason.
    pub(crate) reason: Reason,
    /// Whether a target may have run the request.
    pub(crate) may_have_run: bool,
    /// The time after which the caller should retry.
    pub(crate) retry_after: Option<Duration>,
}

impl Refusal {
    /// Returns the HTTP status, which must not imply that the request has not run if it may have.
    pub(crate) const fn status(&self) -> StatusCode {
        match self.reason {
            Reason::Malformed => StatusCode::BAD_REQUEST,
            Reason::BodyCut if !self.may_have_run => StatusCode::BAD_REQUEST,
            Reason::HeadTooLarge => StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE,
            Reason::BodyTimeout if !self.may_have_run => StatusCode::REQUEST_TIMEOUT,
            Reason::BodyTooLarge => StatusCode::PAYLOAD_TOO_LARGE,
            Reason::NoRoute => StatusCode::NOT_FOUND,
            Reason::UnknownKey => StatusCode::UNAUTHORIZED,
            Reason::Deadline if self.may_have_run => StatusCode::GATEWAY_TIMEOUT,
            _ if self.may_have_run => StatusCode::BAD_GATEWAY,
            _ => StatusCode::SERVICE_UNAVAILABLE,
        }
    }
}

#[cfg(test)]
mod tests;
