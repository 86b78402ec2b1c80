//! Control calls between nodes with `tarpc` over TCP; see `docs/design.md`, section 4.2.

use std::{
    collections::BTreeMap,
    future::ready,
    io,
    net::SocketAddr,
    sync::Arc,
    time::{Duration, Instant},
};

use bytes::Bytes;
use futures::StreamExt;
use ipnet::IpNet;
use serde::{Deserialize, Serialize};
use slog::Logger;
use snafu::{OptionExt, ResultExt, Snafu};
use tarpc::{
    client::{self, RpcError},
    context::{self, Context},
    serde_transport::tcp,
    server::{BaseChannel, Channel},
    tokio_serde::formats::Bincode,
};
use tokio::sync::mpsc;

use crate::{
    auth::RequestKey,
    config::{IndexUpdate, MAX_PARTS_PER_CALL, Replica},
    crash_guard::SuspectReport,
    document::Document,
    identity::Handover,
    keys::MemberId,
    store::{Digest, Index, StoreError},
};

/// The maximum size of a control message in bytes; large enough for a handover of 256 KiB.
const MAX_FRAME_BYTES: usize = 512 * 1024;

/// The maximum number of concurrent control connections. Nodes open one for each operation.
const MAX_CONNECTIONS: usize = 64;

/// The maximum number of concurrent calls on a connection.
const MAX_CALLS_PER_CONNECTION: usize = 4;

/// Timeout of a control call, and of opening its connection.
const CALL_TIMEOUT: Duration = Duration::from_secs(3);

/// The authentication tag of a control call, computed with the cluster key.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct CallTag(String);

/// The control calls that a node answers.
#[tarpc::service]
pub(crate) trait Control {
    /// Returns the difference between the index of the active document and that of `revision`, or the complete index
    /// for revision 0.
    async fn index(call_tag: CallTag, revision: u64) -> Option<IndexUpdate>;

    /// Returns the requested parts that the node has, at most [`MAX_PARTS_PER_CALL`].
    async fn parts(call_tag: CallTag, digests: Vec<Digest>) -> Vec<(Digest, Vec<u8>)>;

    /// Imports the outcomes of a leaving member and returns whether they were accepted.
    async fn hand_over(call_tag: CallTag, handover: Handover) -> bool;

    /// Receives reports of requests that may crash targets.
    async fn report_suspects(call_tag: CallTag, reports: Vec<SuspectReport>);
}

/// A control call failed.
#[derive(Debug, Snafu)]
pub(crate) enum ControlError {
    #[snafu(display("cannot connect: {source}"))]
    Connect { source: io::Error },
    #[snafu(display("control call failed: {source}"))]
    Call { source: RpcError },
    #[snafu(display("the other node has no document"))]
    NoDocument,
    #[snafu(display("{source}"))]
    Store { source: StoreError },
}

/// The server of control calls.
#[derive(Clone)]
pub(crate) struct Server<H> {
    pub(crate) local_id: MemberId,
    pub(crate) key: RequestKey,
    pub(crate) replica: Replica,
    pub(crate) log: Logger,
    /// Called with each handover; returns whether it is accepted.
    pub(crate) on_handover: H,
    /// The queue for received suspect reports, which are dropped while it is full.
    pub(crate) incoming_reports: mpsc::Sender<Vec<SuspectReport>>,
}

impl<H: Fn(Handover) -> bool + Clone + Send + Sync + 'static> Server<H> {
    /// Binds the listener and returns its address and the future that serves it.
    pub(crate) async fn listen(
        self,
        addr: SocketAddr,
        networks: Vec<IpNet>,
    ) -> io::Result<(SocketAddr, impl Future<Output = ()> + Send)> {
        let mut incoming = tcp::listen(addr, Bincode::default).await?;
        incoming.config_mut().max_frame_length(MAX_FRAME_BYTES);
        let bound = incoming.local_addr();
        let serve = async move {
            incoming
                .filter_map(|transport| ready(transport.ok()))
                .filter(move |transport| {
                    let is_allowed = transport.peer_addr().is_ok_and(|addr| {
                        networks.iter().any(|network| network.contains(&addr.ip()))
                    });
                    ready(is_allowed)
                })
                .map(|transport| {
                    let channel = BaseChannel::with_defaults(transport);
                    let server = self.clone();
                    channel
                        .execute(server.serve())
                        .for_each_concurrent(MAX_CALLS_PER_CONNECTION, |call| call)
                })
                .for_each_concurrent(MAX_CONNECTIONS, |connection| connection)
                .await;
        };
        Ok((bound, serve))
    }

    fn verify(&self, call_tag: &CallTag, call: &str) -> bool {
        let is_valid = self.key.verify(&call_tag.0, self.local_id, &["control", call]);
        if !is_valid {
            slog::warn!(self.log, "control-rejected"; "call" => call, "reason" => "seal");
        }
        is_valid
    }
}

impl<H: Fn(Handover) -> bool + Clone + Send + Sync + 'static> Control for Server<H> {
    async fn index(self, _: Context, call_tag: CallTag, revision: u64) -> Option<IndexUpdate> {
        if !self.verify(&call_tag, "index") {
            return None;
        }
        Some(self.replica.get()?.update_since(revision))
    }

    async fn parts(
        self,
        _: Context,
        call_tag: CallTag,
        digests: Vec<Digest>,
    ) -> Vec<(Digest, Vec<u8>)> {
        let Some(snapshot) = self.replica.get().filter(|_| self.verify(&call_tag, "parts")) else {
            return Vec::new();
        };
        let requested = digests.into_iter().take(MAX_PARTS_PER_CALL);
        requested
            .filter_map(|digest| Some((digest, snapshot.parts.get(&digest)?.to_vec())))
            .collect()
    }

    async fn hand_over(self, _: Context, call_tag: CallTag, handover: Handover) -> bool {
        self.verify(&call_tag, "hand-over") && (self.on_handover)(handover)
    }

    async fn report_suspects(self, _: Context, call_tag: CallTag, reports: Vec<SuspectReport>) {
        if self.verify(&call_tag, "suspects") {
            // Reports dropped here arrive later with membership messages.
            let _ = self.incoming_reports.try_send(reports);
        }
    }
}

/// A client of another node's control server.
pub(crate) struct Client {
    client: ControlClient,
    to: MemberId,
    key: RequestKey,
}

impl Client {
    /// Connects to the control server of the member `to`.
    pub(crate) async fn connect(
        addr: SocketAddr,
        to: MemberId,
        key: RequestKey,
    ) -> Result<Client, ControlError> {
        let mut connect = tcp::connect(addr, Bincode::default);
        connect.config_mut().max_frame_length(MAX_FRAME_BYTES);
        let transport = match tokio::time::timeout(CALL_TIMEOUT, connect).await {
            Ok(connected) => connected.context(ConnectSnafu)?,
            Err(_) => return Err(io::Error::from(io::ErrorKind::TimedOut)).context(ConnectSnafu),
        };
        let client = ControlClient::new(client::Config::default(), transport).spawn();
        Ok(Client { client, to, key })
    }

    /// Fetches the index of the other node's active document if it is newer than that of `replica`.
    pub(crate) async fn index(&self, replica: &Replica) -> Result<Option<Index>, ControlError> {
        let snapshot = replica.get();
        match self
            .fetch_update(snapshot.as_ref().map_or(0, |snapshot| snapshot.index.revision))
            .await?
        {
            IndexUpdate::Unchanged => return Ok(None),
            IndexUpdate::Full(encoded) => {
                return Index::decode(&encoded).context(StoreSnafu).map(Some);
            }
            IndexUpdate::Delta(delta) => {
                if let Some(index) = snapshot.and_then(|snapshot| snapshot.apply_delta(delta)) {
                    return Ok(Some(index));
                }
            }
        }
        // The two nodes have different contents under one revision number, for example after the platform lost data.
        // The complete index is independent of the local one.
        match self.fetch_update(0).await? {
            IndexUpdate::Full(encoded) => Index::decode(&encoded).context(StoreSnafu).map(Some),
            IndexUpdate::Unchanged | IndexUpdate::Delta(_) => NoDocumentSnafu.fail(),
        }
    }

    async fn fetch_update(&self, revision: u64) -> Result<IndexUpdate, ControlError> {
        let update = self.client.index(call_context(), self.call_tag("index"), revision).await;
        update.context(CallSnafu)?.context(NoDocumentSnafu)
    }

    /// Fetches parts of the document; parts that the other node does not have are absent from the result.
    pub(crate) async fn parts(
        &self,
        requested: &[Digest],
    ) -> Result<BTreeMap<Digest, Bytes>, ControlError> {
        let mut found = BTreeMap::new();
        for chunk in requested.chunks(MAX_PARTS_PER_CALL) {
            let call = self.client.parts(call_context(), self.call_tag("parts"), chunk.to_vec());
            let parts = call.await.context(CallSnafu)?;
            found.extend(parts.into_iter().map(|(digest, part)| (digest, Bytes::from(part))));
        }
        Ok(found)
    }

    /// Sends the outcomes of this node's identities and returns whether the other node accepted them.
    pub(crate) async fn hand_over(&self, handover: Handover) -> Result<bool, ControlError> {
        let call = self.client.hand_over(call_context(), self.call_tag("hand-over"), handover);
        call.await.context(CallSnafu)
    }

    /// Sends reports of requests that may crash targets.
    pub(crate) async fn report_suspects(
        &self,
        reports: Vec<SuspectReport>,
    ) -> Result<(), ControlError> {
        let call = self.client.report_suspects(call_context(), self.call_tag("suspects"), reports);
        call.await.context(CallSnafu)
    }

    fn call_tag(&self, call: &str) -> CallTag {
        CallTag(self.key.tag(self.to, &["control", call]).to_string())
    }
}

/// Updates a replica to the document of another node; returns the installed document if the replica has changed.
pub(crate) async fn pull(
    addr: SocketAddr,
    from: MemberId,
    key: RequestKey,
    replica: &Replica,
) -> Result<Option<(u64, Arc<Document>)>, ControlError> {
    let client = Client::connect(addr, from, key).await?;
    let Some(index) = client.index(replica).await? else { return Ok(None) };
    let revision = index.revision;
    let parts = client.parts(&replica.missing(&index)).await?;
    let installed = replica.install(index, parts).context(StoreSnafu)?;
    Ok(installed.map(|document| (revision, document)))
}

fn call_context() -> Context {
    let mut context = context::current();
    context.deadline = Instant::now() + CALL_TIMEOUT;
    context
}
