//! Reports requests that may crash targets to other members at once, by control calls.

use std::{net::SocketAddr, time::Duration};

use slog::Logger;
use tokio::{sync::mpsc, task::JoinSet, time};

use crate::{auth::RequestKey, control::Client, crash_guard::SuspectReport, keys::MemberId};

/// The timeout of one call. A member that does not respond gets the reports with membership messages.
const CALL_TIMEOUT: Duration = Duration::from_secs(1);

/// The maximum number of concurrent calls: a few crashes at once, each reported to the nodes of one service.
const MAX_CALLS: usize = 256;

/// Reports on suspected requests for several members.
#[derive(Clone, Debug)]
pub(crate) struct ReportBatch {
    pub(crate) to: Vec<(MemberId, SocketAddr)>,
    pub(crate) reports: Vec<SuspectReport>,
}

/// Sends the batches until the node stops.
pub(crate) async fn run(
    mut batches: mpsc::UnboundedReceiver<ReportBatch>,
    key: RequestKey,
    log: Logger,
) {
    let mut calls = JoinSet::new();
    while let Some(mut batch) = batches.recv().await {
        // The requests that one crash interrupts fail one by one, but are reported in one call.
        while let Ok(next) = batches.try_recv() {
            batch.to = next.to;
            batch.reports.extend(next.reports);
        }
        for (member, control) in batch.to {
            while calls.try_join_next().is_some() {}
            if calls.len() >= MAX_CALLS {
                calls.join_next().await;
            }
            let (key, log, reports) = (key.clone(), log.clone(), batch.reports.clone());
            calls.spawn(async move {
                let call = async {
                    Client::connect(control, member, key).await?.report_suspects(reports).await
                };
                let failure = match time::timeout(CALL_TIMEOUT, call).await {
                    Ok(Ok(())) => return,
                    Ok(Err(error)) => error.to_string(),
                    Err(elapsed) => elapsed.to_string(),
                };
                slog::warn!(log, "suspects-untold"; "member" => %member, "error" => failure);
            });
        }
    }
}
