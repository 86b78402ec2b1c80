//! Probes: requests for the load report of a target whose last report is too old.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use axum::body::Body;
use compact_str::ToCompactString;
use http::Request;
use tokio::{sync::mpsc, time};

use crate::{
    auth::RequestKey, driver::Driver, envelope::Envelope, event::Event, headers, keys::MemberId,
    load::LoadReport, peer::Peers,
};

/// The timeout of a probe; a later report would no longer be representative.
const PROBE_TIMEOUT: Duration = Duration::from_millis(250);

/// A probe of one member, to be sent.
#[derive(Copy, Clone, Debug)]
pub(crate) struct Probe {
    pub(crate) to: MemberId,
    pub(crate) peer: SocketAddr,
}

/// Sends probes to other members.
#[derive(Clone)]
pub(crate) struct Prober {
    pub(crate) driver: Arc<Driver>,
    pub(crate) local_id: MemberId,
    pub(crate) key: RequestKey,
    pub(crate) peers: Peers,
}

impl Prober {
    /// Sends the requested probes, each in a task of its own; the measurement budget limits their number.
    pub(crate) async fn run(self, mut requested: mpsc::UnboundedReceiver<Probe>) {
        while let Some(probe) = requested.recv().await {
            let prober = self.clone();
            tokio::spawn(async move {
                let report = time::timeout(PROBE_TIMEOUT, prober.probe(probe)).await.ok().flatten();
                prober.driver.dispatch(Event::ProbeEnded { member: probe.to, report });
            });
        }
    }

    async fn probe(&self, probe: Probe) -> Option<LoadReport> {
        let envelope = Envelope::Probe { from: self.local_id }.to_compact_string();
        let tag = self.key.tag(probe.to, &["GET", "/", "", &envelope]).to_string();
        let mut req = Request::get(format!("http://{}/", probe.peer)).body(Body::empty()).ok()?;
        headers::set(req.headers_mut(), headers::TAG, &tag);
        headers::set(req.headers_mut(), headers::ATTEMPT, &envelope);
        headers::set(req.headers_mut(), headers::SERVICE, "");
        let answer = self.peers.send(probe.peer, probe.to, req).await.ok()?;
        LoadReport::parse(answer.headers().get(headers::LOAD)?.to_str().ok()?).ok()
    }
}
