//! Recalls between nodes: a stopping node asks others to refuse its requests that have not started.
//!
//! The refusals arrive as the responses to these requests, so the response to a recall itself says nothing.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use http::{Request, header};
use tokio::{
    sync::mpsc,
    time::{self, Instant},
};

use crate::{
    driver::Driver, headers, keys::MemberId, payload::Body, peers::Peers, pool::SendError,
};

/// The path at which a node receives recalls of others.
pub(crate) const PATH: &str = "/poplarbarrow/recall";

/// The time after which a recall that was not answered counts as lost.
const TIMEOUT: Duration = Duration::from_millis(600);

/// A recall that the reducer wants to be sent.
#[derive(Copy, Clone, Debug, PartialEq, Eq)]
pub(crate) struct RecallOrder {
    /// The node that has the requests.
    pub(crate) member: MemberId,
    /// Its address.
    pub(crate) address: SocketAddr,
    /// The time to the end of this node.
    pub(crate) left: Duration,
}

/// A recall as it is sent between nodes.
#[derive(Copy, Clone, Debug, PartialEq, Eq)]
pub(crate) struct Recall {
    /// The node that stops.
    pub(crate) from: MemberId,
    /// The intended receiver.
    pub(crate) to: MemberId,
    /// The time to the end of the node that stops.
    pub(crate) left: Duration,
}

impl Recall {
    /// Formats the query of the request.
    pub(crate) fn format(&self) -> String {
        format!("from={}&to={}&left_us={}", self.from, self.to, self.left.as_micros())
    }

    /// Parses a query, or returns `None` if a part is missing or invalid.
    pub(crate) fn parse(query: &str) -> Option<Recall> {
        let value = |name: &str| {
            query.split('&').find_map(|part| part.strip_prefix(name)?.strip_prefix('='))
        };
        Some(Recall {
            from: value("from")?.parse().ok()?,
            to: value("to")?.parse().ok()?,
            left: Duration::from_micros(value("left_us")?.parse().ok()?),
        })
    }
}

/// Sends the recalls of this node until the channel is closed.
pub(crate) async fn send_recalls(
    mut orders: mpsc::UnboundedReceiver<RecallOrder>,
    peers: Peers,
    driver: Arc<Driver>,
) {
    while let Some(order) = orders.recv().await {
        let (peers, driver) = (peers.clone(), driver.clone());
        // One slow node must not delay the recalls at the others.
        tokio::spawn(async move {
            let from = driver.inspect(|_, reducer| reducer.local_id());
            let started = Instant::now();
            let sent = time::timeout(TIMEOUT, send(&peers, from, order)).await;
            let is_sent = sent.is_ok_and(|sent| sent.is_ok());
            slog::info!(driver.log(), "recall"; "member" => %order.member, "sent" => is_sent,
                "left_ms" => order.left.as_millis(), "took_ms" => started.elapsed().as_millis());
        });
    }
}

async fn send(peers: &Peers, from: MemberId, order: RecallOrder) -> Result<(), SendError> {
    let recall = Recall { from, to: order.member, left: order.left };
    let req = Request::post(format!("{PATH}?{}", recall.format()))
        .header(header::HOST, "node")
        .header(header::CONTENT_LENGTH, "0")
        .body(Body::default())
        .map_err(|_| SendError::NotSent)?;
    let (response, conn) = peers.pool(order.address).send(req).await?;
    // Nodes of earlier builds do not know recalls and respond with a refusal.
    if headers::text(response.headers(), &header::CONTENT_LENGTH) == Some("0") {
        conn.release();
    }
    Ok(())
}

#[cfg(test)]
mod tests;
