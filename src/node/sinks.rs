//! The channels, peers and timers through which a node executes effects.

use std::net::SocketAddr;

use poplarbarrow_mesh::timer::Timers;
use tokio::sync::{mpsc, watch};

use crate::{
    driver::EffectSink,
    effect::{ClaimIo, Effect},
    event::Timer,
    gossip,
    identity::Handover,
    keys::{CallKey, MemberId},
    peer::Peers,
    probe::Probe,
    suspect_reports::ReportBatch,
    verdicts::VerdictChange,
};

/// The channels, peers and timers through which effects are executed.
pub(super) struct EffectSinks {
    pub(super) gossip: gossip::Sender,
    pub(super) pulls: mpsc::UnboundedSender<Pull>,
    pub(super) probes: mpsc::UnboundedSender<Probe>,
    pub(super) claims: mpsc::UnboundedSender<(CallKey, ClaimIo)>,
    pub(super) handovers: mpsc::UnboundedSender<OutgoingHandover>,
    pub(super) watcher_rank: watch::Sender<Option<usize>>,
    pub(super) verdicts: mpsc::UnboundedSender<VerdictChange>,
    pub(super) suspect_reports: mpsc::UnboundedSender<ReportBatch>,
    pub(super) peers: Peers,
    pub(super) timers: Timers<Timer>,
}

/// A request to pull the document from another member.
#[derive(Copy, Clone, Debug)]
pub(super) struct Pull {
    pub(super) from: MemberId,
    pub(super) control: SocketAddr,
}

/// A handover of outcomes that this node sends to another member.
#[derive(Clone, Debug)]
pub(super) struct OutgoingHandover {
    pub(super) to: MemberId,
    pub(super) control: SocketAddr,
    pub(super) handover: Handover,
}

impl EffectSink for EffectSinks {
    fn execute(&mut self, effect: Effect) {
        match effect {
            Effect::Send { to, message } => self.gossip.send(to, &message),
            Effect::Pull { from, control } => {
                // Sends fail only after the receiving tasks have ended, which they do when the node stops.
                let _ = self.pulls.send(Pull { from, control });
            }
            Effect::Claim { call, io } => {
                let _ = self.claims.send((call, io));
            }
            Effect::HandOver { to, control, handover } => {
                let _ = self.handovers.send(OutgoingHandover { to, control, handover: *handover });
            }
            Effect::Probe { to, peer } => {
                let _ = self.probes.send(Probe { to, peer });
            }
            Effect::ClosePeer { peer, has_failed } => self.peers.remove(peer, has_failed),
            Effect::WatchPlatform(rank) => {
                self.watcher_rank.send_replace(rank);
            }
            Effect::RecordVerdict(record) => {
                let _ = self.verdicts.send(VerdictChange::Write(record));
            }
            Effect::DeleteVerdict(record) => {
                let _ = self.verdicts.send(VerdictChange::Delete(record));
            }
            Effect::ReportSuspects { to, reports } => {
                let _ = self.suspect_reports.send(ReportBatch { to, reports });
            }
            Effect::Arm { timer, after } => self.timers.arm(timer, after),
            Effect::Call(..) | Effect::Work(..) | Effect::Log(_) | Effect::Exit => {}
        }
    }
}
