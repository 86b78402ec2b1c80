//! The last counts of a node that stops gracefully, which it hands over so that they are not lost.

use std::{
    collections::{BTreeSet, VecDeque},
    net::SocketAddr,
    time::Duration,
};

use bytes::Bytes;
use http::{Request, Response, StatusCode, header};
use http_body_util::{BodyExt as _, Limited};
use hyper::body::Incoming;
use serde::{Deserialize, Serialize};
use tokio::{task::JoinSet, time};

use crate::{keys::MemberId, payload::Body, pool::Pool};

use super::{
    Usage,
    counter::Counts,
    gather::{Answer, PATH},
    task::UsageContext,
};

/// The number of members with the lowest ids that get the counts besides the last holder, since one of them is likely to
/// hold the duty if the last holder stops too.
const MAX_RECEIVERS: usize = 3;

/// The maximum time that a hand-over takes. It delays the end of the process.
const HAND_OVER_TIMEOUT: Duration = Duration::from_millis(300);

/// The time after which the body of a hand-over counts as lost.
const BODY_TIMEOUT: Duration = Duration::from_secs(1);

/// The maximum size of a hand-over. One that is larger is refused, and its counts are lost.
const MAX_HAND_OVER_BYTES: usize = 64 << 10;

/// The maximum number of hand-overs that are kept; the oldest is dropped.
const MAX_KEPT: usize = 64;

/// The counts of all windows that a process has kept.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(super) struct HandOver {
    /// Identifies the process that counted.
    pub(super) source: u64,
    pub(super) windows: Vec<(u64, Counts)>,
}

/// The hand-overs that this node has received.
#[derive(Debug, Default)]
pub(super) struct Received {
    kept: VecDeque<HandOver>,
}

impl Received {
    pub(super) fn insert(&mut self, hand_over: HandOver) {
        self.kept.retain(|known| known.source != hand_over.source);
        if self.kept.len() >= MAX_KEPT {
            self.kept.pop_front();
        }
        self.kept.push_back(hand_over);
    }

    /// Returns the counts of a window.
    pub(super) fn answers(&self, window: u64) -> Vec<Answer> {
        let answer = |hand_over: &HandOver| {
            let counts = hand_over.windows.iter().find(|(index, _)| *index == window);
            counts.map(|(_, counts)| Answer { source: hand_over.source, counts: counts.clone() })
        };
        self.kept.iter().filter_map(answer).collect()
    }
}

/// Receives the counts of a node that stops.
pub(crate) async fn receive(usage: &Usage, body: Incoming) -> Response<Body> {
    let body = Limited::new(body, MAX_HAND_OVER_BYTES).collect();
    let bytes = time::timeout(BODY_TIMEOUT, body).await.ok().and_then(Result::ok);
    let hand_over = bytes.and_then(|bytes| serde_json::from_slice(&bytes.to_bytes()).ok());
    let mut response = Response::new(Body::default());
    if !hand_over.is_some_and(|hand_over| usage.keep_received(hand_over)) {
        *response.status_mut() = StatusCode::BAD_REQUEST;
    }
    response
}

/// Sends the counts of this process to the member that asked last and to the next candidates. The receivers include them
/// once, by their source.
pub(crate) async fn hand_over(context: &UsageContext) {
    let UsageContext { usage, driver, peers, .. } = context;
    let Some((hand_over, asked_by)) = usage.hand_over() else { return };
    if hand_over.windows.is_empty() {
        return;
    }
    let Ok(bytes) = serde_json::to_vec(&hand_over).map(Bytes::from) else { return };
    let members = driver.inspect(|now, reducer| reducer.usage_members(now));
    let mut sends = JoinSet::new();
    for address in receivers(members, asked_by) {
        sends.spawn(send(peers.pool(address), bytes.clone()));
    }
    let all = async { while sends.join_next().await.is_some() {} };
    let is_done = time::timeout(HAND_OVER_TIMEOUT, all).await.is_ok();
    slog::info!(driver.log(), "usage-handed-over"; "windows" => hand_over.windows.len(),
        "done" => is_done);
}

/// Returns the addresses of the members that get the counts.
fn receivers(
    mut members: Vec<(MemberId, SocketAddr)>,
    asked_by: Option<MemberId>,
) -> BTreeSet<SocketAddr> {
    members.sort_unstable();
    let is_receiver = |&(rank, &(id, _)): &(usize, &(MemberId, SocketAddr))| {
        rank < MAX_RECEIVERS || asked_by == Some(id)
    };
    let receivers = members.iter().enumerate().filter(is_receiver);
    receivers.map(|(_, (_, address))| *address).collect()
}

async fn send(pool: Pool, bytes: Bytes) {
    let req = Request::post(PATH)
        .header(header::HOST, "node")
        .header(header::CONTENT_LENGTH, bytes.len())
        .body(Body::from(bytes));
    // A hand-over that is lost costs the counts of a window or two.
    if let Ok(req) = req {
        let _ = pool.send(req).await;
    }
}

#[cfg(test)]
mod tests;
