//! Health checks of a node's local target.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use axum::body::Body;
use compact_str::CompactString;
use hyper_util::{client::legacy::Client, rt::TokioExecutor};
use tokio::time;

use crate::{driver::Driver, event::Event, load::Health};

/// The interval between checks, within which a target that starts to drain is detected.
const CHECK_INTERVAL: Duration = Duration::from_secs(1);

/// The timeout of one check. A check that times out is ignored: a slow answer may only show load, which is
/// measured elsewhere.
const CHECK_TIMEOUT: Duration = Duration::from_millis(500);

/// Checks the target's health endpoint at `path` periodically until the node stops.
pub(crate) async fn watch(target: SocketAddr, path: CompactString, driver: Arc<Driver>) {
    let client = Client::builder(TokioExecutor::new()).build_http::<Body>();
    // The settings were validated, so the address and the path form a URI.
    let Ok(uri) = format!("http://{target}{path}").parse::<http::Uri>() else { return };
    let mut interval = time::interval(CHECK_INTERVAL);
    loop {
        interval.tick().await;
        if let Ok(Ok(answer)) = time::timeout(CHECK_TIMEOUT, client.get(uri.clone())).await {
            let is_healthy = answer.status().is_success();
            let health = if is_healthy { Health::Healthy } else { Health::Failed };
            driver.dispatch(Event::Health(health));
        }
    }
}
