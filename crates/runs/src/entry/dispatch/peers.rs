//! Links to the other entries: dialing, hellos, pulses and lost links.

use std::collections::BTreeSet;
use std::time::Duration;

use serde_json::{json, Value};
use smol_str::SmolStr;
use vanillacleat_control::SessionId;
use vanillacleat_core::ids::ServiceName;
use vanillacleat_core::peer_frames::{PeerFrame, PeerHello, PeerLoad, ServiceLoad};
use vanillacleat_core::run_frames::EntryRecord;
use vanillacleat_core::units::Millis;

use super::{DispatchAction, DispatchControl};
use crate::entry::homes::peer_registry::{FrameRefusal, PeerLink, SERVICES_MAX};
use crate::entry::order::job_order::queue_wait;
use crate::log_fields::format_age;

/// Interval at which the own load is computed for the peers.
const LOAD_INTERVAL: Duration = Duration::from_millis(250);
/// Step to which reported waits are rounded, so that small changes need no frame.
const WAIT_STEP: Duration = Duration::from_millis(100);

/// An event of a link to another entry.
#[derive(Clone, Debug)]
pub enum PeerEvent {
    /// Dialing an entry failed.
    DialFailed(SmolStr),
    /// A link was opened.
    Opened {
        /// The link's session.
        session: SessionId,
        /// The address that this entry dialed; absent if the peer has dialed.
        dialed: Option<SmolStr>,
    },
    /// A frame was received.
    Frame {
        /// The link's session.
        session: SessionId,
        /// The frame.
        frame: PeerFrame,
    },
    /// A link was closed or lost.
    Closed(SessionId),
}

/// An action on a link to another entry.
#[derive(Clone, Debug)]
pub enum PeerAction {
    /// Dials the entry at this address.
    Dial(SmolStr),
    /// Sends a frame.
    Send {
        /// The link's session.
        session: SessionId,
        /// The frame.
        frame: PeerFrame,
    },
    /// Closes a link.
    Close(SessionId),
}

impl DispatchControl {
    pub(super) fn handle_peer(&mut self, event: PeerEvent) {
        match event {
            PeerEvent::DialFailed(address) => self.peer_registry.record_failed_dial(self.now, &address),
            PeerEvent::Opened { session, dialed } => match self.peer_registry.record_opened(self.now, session, dialed) {
                Ok(Some(hello)) => self.send_peer(session, PeerFrame::Hello(hello)),
                Ok(None) => {}
                Err(refusal) => self.refuse_peer_frame(session, "opened", refusal),
            },
            PeerEvent::Frame { session, frame } => {
                let kind = frame.kind();
                if let Err(refusal) = self.handle_peer_frame(session, frame) {
                    self.refuse_peer_frame(session, kind, refusal);
                }
            }
            PeerEvent::Closed(session) => self.handle_lost_peer(session, "broken"),
        }
    }

    fn handle_peer_frame(&mut self, session: SessionId, frame: PeerFrame) -> Result<(), FrameRefusal> {
        if let PeerFrame::Hello(hello) = frame {
            return self.handle_peer_hello(session, hello);
        }
        self.peer_registry.record_frame(self.now, session)?;
        match frame {
            PeerFrame::Pulse(pulse) => self.peer_registry.record_pulse(self.now, session, pulse),
            frame => self.handle_job_frame(session, frame),
        }
    }

    fn handle_peer_hello(&mut self, session: SessionId, hello: PeerHello) -> Result<(), FrameRefusal> {
        let line =
            format!("event=peer_found address={} session={session} zone={} incarnation={}", hello.address, hello.zone, hello.incarnation);
        let loss_timeout = self.options.lease_terms.agent_loss_timeout();
        let former_runs_end = self.peer_registry.former_runs_end();
        let (answer, replaced) = self.peer_registry.record_hello(self.now, session, hello, loss_timeout)?;
        if let Some(replaced) = replaced {
            self.close_peer(replaced, "replaced");
        }
        self.log(line);
        if self.peer_registry.former_runs_end() > former_runs_end {
            self.await_former_runs(session);
        }
        if let Some(answer) = answer {
            self.send_peer(session, PeerFrame::Hello(answer));
        }
        self.ask_new_peer(session);
        self.announce_to_new_peer(session);
        Ok(())
    }

    /// Counts and logs a frame that is malformed or unexpected, and closes its link.
    fn refuse_peer_frame(&mut self, session: SessionId, kind: &str, refusal: FrameRefusal) {
        self.refused_peer_frames += 1;
        self.log(format!("event=peer_frame_refused session={session} kind={kind} reason={}", refusal.as_str()));
        self.close_peer(session, "refused");
    }

    fn close_peer(&mut self, session: SessionId, cause: &str) {
        self.actions.push(DispatchAction::Peer(PeerAction::Close(session)));
        self.handle_lost_peer(session, cause);
    }

    fn handle_lost_peer(&mut self, session: SessionId, cause: &str) {
        let Some(link) = self.peer_registry.record_closed(self.now, session) else {
            return;
        };
        let silence = format_age(Some(self.now.since(link.received_at)));
        if let (Some(address), true) = (link.address(), link.hello.is_some()) {
            self.lost_peers += 1;
            self.log(format!("event=peer_lost address={address} session={session} cause={cause} silence_ms={silence}"));
        }
        self.release_peer_jobs(session, &link);
    }

    /// Closes silent links, dials entries and sends the pulses that are due.
    pub(super) fn maintain_peers(&mut self) {
        for session in self.peer_registry.silent_links(self.now, self.resumed_at) {
            self.close_peer(session, "silent");
        }
        self.forget_gone_peers();
        for address in self.peer_registry.due_dials(self.now) {
            self.actions.push(DispatchAction::Peer(PeerAction::Dial(address)));
        }
        if self.now.since(self.load_computed_at) >= LOAD_INTERVAL && self.peer_registry.has_links() {
            self.load_computed_at = self.now;
            self.own_load = self.compute_load();
        }
        self.send_pulses();
    }

    /// Returns whether an agent has sessions with more entries than are known here. The list that was read last may be older than these.
    pub(super) fn has_unknown_peers(&self) -> bool {
        let linked = self.worker_registry.workers().filter(|worker| worker.session.is_some());
        let sessions = linked.map(|worker| worker.entries as usize).max().unwrap_or_default();
        sessions > self.peer_registry.known_addresses().count() + 1
    }

    /// Makes the claims that an entry has not answered wait for the runs of its former process.
    fn await_former_runs(&mut self, session: SessionId) {
        let former_runs_end = self.peer_registry.former_runs_end();
        let address = self.peer_registry.get(session).and_then(PeerLink::address).cloned().unwrap_or_default();
        for (_, claim) in self.job_homes.claims_mut().filter(|(_, claim)| claim.unresolved.contains(&address)) {
            claim.blocked_until = claim.blocked_until.max(former_runs_end);
        }
    }

    /// Records that an entry is gone, so that it runs nothing.
    fn forget_gone_peers(&mut self) {
        for address in self.peer_registry.forget_gone(self.now) {
            self.log(format!("event=peer_forgotten address={address}"));
            for (_, claim) in self.job_homes.claims_mut() {
                claim.unresolved.remove(&address);
            }
        }
    }

    /// Records the entries that the store lists. Those that are new may run the claimed jobs.
    pub(super) fn record_listed_peers(&mut self, entries: &[EntryRecord]) {
        let now = self.now;
        for address in self.peer_registry.set_entries(now, entries) {
            self.job_homes.claims_mut().for_each(|(_, claim)| claim.add_unresolved(now, address.clone()));
        }
    }

    pub(super) fn send_pulses(&mut self) {
        let holding = self.job_homes.holding_sessions();
        for (session, pulse) in self.peer_registry.due_pulses(self.now, &self.own_load, |session| holding.contains(&session)) {
            self.send_peer(session, PeerFrame::Pulse(pulse));
        }
    }

    pub(super) fn send_peer(&mut self, session: SessionId, frame: PeerFrame) {
        self.actions.push(DispatchAction::Peer(PeerAction::Send { session, frame }));
    }

    /// Returns the own load, as peers receive it.
    fn compute_load(&self) -> PeerLoad {
        let workers = self.worker_registry.workers().filter_map(|worker| worker.info.as_ref());
        let services: BTreeSet<&ServiceName> = workers.map(|info| &info.service).collect();
        let loads = services.into_iter().take(SERVICES_MAX).map(|service| self.service_load(service));
        PeerLoad { is_strained: self.load.is_strained(), is_draining: self.is_draining(), services: loads.collect() }
    }

    /// Returns the load of a service. Free cores are rounded down to a power of two.
    fn service_load(&self, service: &ServiceName) -> ServiceLoad {
        let is_usable = |zone| !self.plan.zones_out.contains(zone);
        let workers = self.worker_registry.workers().filter(|worker| is_usable(&worker.zone) && worker.is_usable(self.now));
        let serving = workers.filter(|worker| worker.info.as_ref().is_some_and(|info| info.service == *service));
        let free_cores = serving.map(|worker| worker.free_capacity().millicores).sum::<u64>() / 1_000;
        let waiting = self.job_table.jobs().filter(|job| job.route.service == *service && job.is_active());
        let queued = waiting.map(|job| job.waiting_work()).sum();
        let wait = queue_wait(queued, self.worker_registry.expected_cores(self.now, service, &self.plan.zones_out, None));
        let queue_wait = wait.map(|wait| Millis::from_duration(WAIT_STEP * (wait.as_millis() / WAIT_STEP.as_millis()) as u32));
        ServiceLoad { service: service.clone(), free_cores: round_to_power(free_cores), queue_wait }
    }

    /// Returns the number of frames of peers that were refused.
    pub fn refused_peer_frames(&self) -> u64 {
        self.refused_peer_frames
    }

    /// Returns the number of links to peers that were lost after their hello.
    pub fn lost_peers(&self) -> u64 {
        self.lost_peers
    }

    /// Returns the number of linked peers.
    pub fn peer_count(&self) -> usize {
        self.peer_registry.linked().count()
    }

    pub(super) fn dump_peers(&self) -> Vec<Value> {
        let peers = self.peer_registry.linked().map(|(session, link)| {
            json!({
                "address": link.address(),
                "session": session.to_string(),
                "zone": link.hello.as_ref().map(|hello| &hello.zone),
                "received": link.received_at.to_string(),
                "is_strained": link.load.is_strained,
                "is_draining": link.load.is_draining,
                "services": link.load.services.iter().map(|load| json!({
                    "service": load.service,
                    "free_cores": load.free_cores,
                    "queue_wait_ms": load.queue_wait.map(|wait| wait.0),
                })).collect::<Vec<_>>(),
            })
        });
        peers.collect()
    }
}

fn round_to_power(cores: u64) -> u32 {
    cores.checked_ilog2().map_or(0, |power| 1 << power.min(31))
}
