//! Collects the counts of a window from all members.

use std::{
    collections::{BTreeMap, HashSet},
    future::Future,
    net::SocketAddr,
    sync::Arc,
    time::Duration,
};

use bytes::Bytes;
use futures_util::{StreamExt as _, stream};
use http::{Request, Response, StatusCode, header};
use http_body_util::{BodyExt as _, Limited};
use serde::{Deserialize, Serialize};
use tokio::time::{self, Instant};

use crate::{driver::Driver, keys::MemberId, payload::Body, peers::Peers, pool::Pool};

use super::{
    Usage,
    counter::{Counts, MAX_TEAM_BYTES, MAX_TEAMS},
};

/// The path at which a node serves its counts.
pub(crate) const PATH: &str = "/poplarbarrow/usage";

/// The maximum number of queries in progress. At 1 ms a query, this asks 24,000 members in under two seconds.
const MAX_QUERIES: usize = 16;

/// The time after which a query counts as failed.
const QUERY_TIMEOUT: Duration = Duration::from_millis(700);

/// The time between two rounds of queries.
const ROUND_PAUSE: Duration = Duration::from_millis(250);

/// The maximum size of an answer: the most teams with the longest names.
const MAX_ANSWER_BYTES: usize = MAX_TEAMS * (MAX_TEAM_BYTES + 32);

/// The counts of a node.
#[derive(Debug, PartialEq, Serialize, Deserialize)]
pub(super) struct Answer {
    /// Identifies the process that counted.
    pub(super) source: u64,
    pub(super) counts: Counts,
}

/// The outcome of a query.
#[derive(Debug, PartialEq)]
pub(super) enum QueryOutcome {
    Counts(Answer),
    /// The node does not count: it is of an earlier build, or its settings do not name the duty.
    NotCounting,
    /// There was no valid answer.
    Failed,
}

/// Serves this node's counts of the window that a query names.
pub(crate) fn serve(usage: &Usage, query: Option<&str>) -> Response<Body> {
    let value = |name: &str| {
        let mut parts = query.unwrap_or_default().split('&');
        parts.find_map(|part| part.strip_prefix(name)?.strip_prefix('='))
    };
    let window = value("window").and_then(|window| window.parse().ok());
    if let Some(from) = value("from").and_then(|from| from.parse().ok()) {
        usage.set_asked_by(from);
    }
    let answer = window.and_then(|window| {
        let (source, counts) = usage.counts(window)?;
        serde_json::to_vec(&Answer { source, counts }).ok()
    });
    let (status, bytes) = match answer {
        Some(bytes) => (StatusCode::OK, bytes),
        None => (StatusCode::NOT_FOUND, Vec::new()),
    };
    let mut response = Response::new(Body::from(Bytes::from(bytes)));
    *response.status_mut() = status;
    response
}

/// Asks one node for its counts.
async fn ask(pool: Pool, from: MemberId, window: u64) -> QueryOutcome {
    time::timeout(QUERY_TIMEOUT, query(&pool, from, window))
        .await
        .ok()
        .flatten()
        .unwrap_or(QueryOutcome::Failed)
}

async fn query(pool: &Pool, from: MemberId, window: u64) -> Option<QueryOutcome> {
    let req =
        Request::get(format!("{PATH}?window={window}&from={from}")).header(header::HOST, "node");
    let (response, conn) = pool.send(req.body(Body::default()).ok()?).await.ok()?;
    if response.status() != StatusCode::OK {
        // Nodes of earlier builds refuse a request without an envelope.
        return Some(QueryOutcome::NotCounting);
    }
    let body = Limited::new(response.into_body(), MAX_ANSWER_BYTES).collect().await.ok()?;
    conn.release();
    serde_json::from_slice(&body.to_bytes()).ok().map(QueryOutcome::Counts)
}

/// The counts of all nodes that answered.
#[derive(Debug, Default, PartialEq)]
pub(super) struct Collected {
    pub(super) counts: Counts,
    /// The number of members without an answer.
    pub(super) missing: usize,
}

/// Asks all members in rounds until each has answered or the deadline is reached. `members` returns those to ask, since
/// members come and go; `ask` queries one. `received` returns the counts that members have handed over.
pub(super) async fn collect<M, A, F, R>(
    local: Answer,
    deadline: Instant,
    members: M,
    ask: A,
    received: R,
) -> Collected
where
    M: Fn() -> Vec<(MemberId, SocketAddr)>,
    A: Fn(SocketAddr) -> F,
    F: Future<Output = QueryOutcome>,
    R: Fn() -> Vec<Answer>,
{
    let mut answers = BTreeMap::from([(local.source, local.counts)]);
    let mut done: HashSet<MemberId> = HashSet::new();
    let mut missing;
    loop {
        let pending = members().into_iter().filter(|(id, _)| !done.contains(id));
        let pending: Vec<(MemberId, SocketAddr)> = pending.collect();
        missing = pending.len();
        if pending.is_empty() {
            break;
        }
        let queries = pending.into_iter().map(|(id, address)| {
            let outcome = ask(address);
            async move { (id, outcome.await) }
        });
        let mut queries = stream::iter(queries).buffer_unordered(MAX_QUERIES);
        while let Ok(Some((id, outcome))) = time::timeout_at(deadline, queries.next()).await {
            match outcome {
                QueryOutcome::Counts(Answer { source, counts }) => {
                    // A process that is known under two ids, or answers twice, is included once.
                    answers.entry(source).or_insert(counts);
                }
                QueryOutcome::NotCounting => {}
                QueryOutcome::Failed => continue,
            }
            done.insert(id);
            missing -= 1;
        }
        if missing > 0 && Instant::now() + ROUND_PAUSE >= deadline {
            break;
        }
        if missing > 0 {
            time::sleep(ROUND_PAUSE).await;
        }
    }
    for Answer { source, counts } in received() {
        answers.entry(source).or_insert(counts);
    }
    Collected { counts: sum(answers.into_values()), missing }
}

fn sum(all: impl Iterator<Item = Counts>) -> Counts {
    let mut total = Counts::new();
    for (team, count) in all.flatten() {
        let entry = total.entry(team).or_default();
        *entry = entry.saturating_add(count);
    }
    total
}

/// Collects the counts of a window over the network.
pub(super) async fn gather(
    usage: &Usage,
    driver: &Arc<Driver>,
    peers: &Peers,
    window: u64,
    deadline: Instant,
) -> Collected {
    let (source, counts) = usage.counts(window).unwrap_or_default();
    let members = || driver.inspect(|now, reducer| reducer.usage_members(now));
    let from = driver.inspect(|_, reducer| reducer.local_id());
    let ask = |address| ask(peers.pool(address), from, window);
    let received = || usage.received(window);
    collect(Answer { source, counts }, deadline, members, ask, received).await
}

#[cfg(test)]
mod tests;
