//! Sessions with agents: handles their frames and distributes the configuration.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use smol_str::SmolStr;
use vanillacleat_core::config::ConfigValue;
use vanillacleat_core::frames::{
    AgentFrame, AgentHello, EntryFrame, EntryWelcome, Envelope, FreshnessReply, FreshnessRequest, RejectReason, TaskResult, TaskResults,
    TaskRevocation, TaskStatus,
};
use vanillacleat_core::ids::{HomeKey, WorkerKey, ZoneName};
use vanillacleat_core::outcome::TaskOutcome;
use vanillacleat_core::units::{Millis, MonoTime, Revision};

use super::{EntryAction, EntryControl};
use crate::fleet::HelloOutcome;
use crate::SessionId;

/// Time without a frame after which a session with unreported tasks is considered lost.
const BUSY_SILENCE_TIMEOUT: Duration = Duration::from_secs(5);
/// The same for a session without unreported tasks.
const IDLE_SILENCE_TIMEOUT: Duration = Duration::from_secs(25);
/// Delay before a new configuration is propagated by the entries other than the one that stored it.
const PROPAGATION_DELAY: Duration = Duration::from_millis(300);
/// Number of sent nonces kept for each session, so that their echoes can be matched to their send times.
const SENT_NONCES_MAX: usize = 64;

/// The sender of a frame and the configuration revision it holds, as a witness of that revision.
struct Witness {
    worker: WorkerKey,
    zone: ZoneName,
    revision: Revision,
}

impl EntryControl {
    pub(super) fn handle_agent_frame(&mut self, session: SessionId, frame: Envelope<AgentFrame>) {
        if let AgentFrame::Hello(hello) = frame.body {
            return self.handle_hello(session, frame.revision, hello);
        }
        let Some(view) = self.fleet.worker_by_session(session) else {
            return;
        };
        let witness = Witness { worker: view.worker.clone(), zone: view.zone.clone(), revision: frame.revision };
        let worker = witness.worker.clone();
        self.record_revision(frame.revision);
        self.fleet.record_contact(self.now, &worker.agent);
        match frame.body {
            AgentFrame::Hello(_) => {}
            AgentFrame::FreshnessRequest(request) => self.handle_freshness_request(session, &witness, request),
            AgentFrame::Results(results) => self.handle_results(session, &witness, results),
            AgentFrame::Inventory(inventory) => self.handle_inventory(&worker, inventory),
            AgentFrame::Sealed(reply) => self.handle_seal_reply(reply),
            AgentFrame::ConfigRequest => self.send_config(session),
        }
    }

    fn handle_hello(&mut self, session: SessionId, revision: Revision, hello: AgentHello) {
        self.record_revision(revision);
        let worker = hello.worker.clone();
        let outcome = self.fleet.record_hello(self.now, session, &hello, self.ledger.unused_from(self.issuer.home()));
        if outcome == HelloOutcome::Outdated {
            return self.ignore_hello(session, &hello);
        }
        self.witnesses.record(self.now, worker.agent.as_str(), &hello.zone, revision, None);
        let mut entries = self.peers.addresses(self.now);
        entries.push(self.address.clone());
        self.send(session, EntryFrame::Welcome(EntryWelcome { home: self.home().clone(), entries }));
        if revision < self.config.revision() {
            self.send_config(session);
        }
        match outcome {
            HelloOutcome::Joined | HelloOutcome::Outdated => {}
            HelloOutcome::Reconnected => self.send_reclaims(session, &worker),
            HelloOutcome::Restarted(earlier) => {
                self.witnesses.remove(worker.agent.as_str());
                self.witnesses.record(self.now, worker.agent.as_str(), &hello.zone, revision, None);
                self.breakers.remove(&worker.agent);
                let effects = self.ledger.record_worker_restart(self.now, &earlier);
                self.apply_effects(effects);
            }
        }
        self.expedite_heartbeats();
        self.record_outstanding(&worker);
        self.send_missed_fences(session, &worker);
    }

    /// Closes a session whose hello was delivered after that of a later one. An agent that still holds it opens another.
    fn ignore_hello(&mut self, session: SessionId, hello: &AgentHello) {
        self.counters.outdated_hellos += 1;
        self.log("hello_outdated", format!("agent={} session={session} order={}", hello.worker, hello.order));
        self.actions.push(EntryAction::Close { session });
    }

    /// Requests the states of the tasks that were sent on the earlier session of a reconnected agent.
    fn send_reclaims(&mut self, session: SessionId, worker: &WorkerKey) {
        let mut by_home: BTreeMap<HomeKey, Vec<_>> = BTreeMap::new();
        for task in self.ledger.sent_to(worker) {
            by_home.entry(task.key.home.clone()).or_default().push(task);
        }
        for (home, tasks) in by_home {
            if let Some(generation) = self.ledger.generation(&home) {
                self.counters.reclaimed += tasks.len() as u64;
                self.send(session, EntryFrame::Reclaim(TaskRevocation { generation, tasks }));
            }
        }
    }

    pub(super) fn remove_session(&mut self, session: SessionId) {
        self.sent_nonces.remove(&session);
        self.unanswered_nonces.remove(&session);
        if let Some(worker) = self.fleet.record_lost(self.now, session, self.ledger.unused_from(self.issuer.home())) {
            self.log("agent_lost", format!("agent={} outstanding={}", worker, self.ledger.sent_count(&worker)));
        }
    }

    /// Closes the sessions whose agents have been silent, because a lost host does not close its connections.
    pub(super) fn close_silent_sessions(&mut self) {
        for session in self.fleet.silent_sessions(self.now, self.resumed_at, BUSY_SILENCE_TIMEOUT, IDLE_SILENCE_TIMEOUT) {
            self.actions.push(EntryAction::Close { session });
            self.remove_session(session);
        }
    }

    /// Handles a freshness request that was received in a frame of its own and is answered at once.
    fn handle_freshness_request(&mut self, session: SessionId, witness: &Witness, request: FreshnessRequest) {
        if let Some(load) = &request.load {
            self.fleet.record_load(&witness.worker.agent, load);
        }
        self.record_freshness_request(session, witness, &request);
        if let Some(reply) = self.next_freshness_reply(session) {
            self.counters.echoes += 1;
            self.send(session, EntryFrame::FreshnessReply(reply));
        }
    }

    /// Records a freshness request. The next freshness reply or dispatch on the session answers it.
    fn record_freshness_request(&mut self, session: SessionId, witness: &Witness, request: &FreshnessRequest) {
        let requested_at = self.nonce_sent_at(session, request.echoed_nonce).filter(|_| request.is_settled);
        self.witnesses.record(self.now, witness.worker.agent.as_str(), &witness.zone, witness.revision, requested_at);
        self.unanswered_nonces.insert(session, request.nonce);
    }

    /// Returns the reply to the newest freshness request on the session, if it is unanswered, and records it as answered.
    pub(super) fn next_freshness_reply(&mut self, session: SessionId) -> Option<FreshnessReply> {
        let nonce = self.unanswered_nonces.remove(&session)?;
        let entry_nonce = self.make_id();
        let nonces = self.sent_nonces.entry(session).or_default();
        nonces.push_back((entry_nonce, self.now));
        if nonces.len() > SENT_NONCES_MAX {
            nonces.pop_front();
        }
        let proof_age_ms = self.proof_age().map(|age| Millis::from_duration(age + Duration::from_millis(1)));
        Some(FreshnessReply { nonce, entry_nonce, proof_age_ms })
    }

    /// Returns when this entry sent the nonce that an agent echoed.
    fn nonce_sent_at(&self, session: SessionId, echoed_nonce: u64) -> Option<MonoTime> {
        let nonces = self.sent_nonces.get(&session)?;
        nonces.iter().find(|(nonce, _)| *nonce == echoed_nonce).map(|(_, at)| *at)
    }

    /// Returns the age of the newest proof that no newer configuration than the held one is in force.
    pub(super) fn proof_age(&mut self) -> Option<Duration> {
        if self.config.is_outdated() {
            return None;
        }
        self.record_own_witness();
        let proof = self.platform_proof.max(self.witnesses.proof());
        self.is_settled |= proof.is_some();
        proof.map(|at| self.now.since(at))
    }

    fn handle_results(&mut self, session: SessionId, witness: &Witness, results: TaskResults) {
        let worker = &witness.worker;
        self.record_freshness_request(session, witness, &results.freshness);
        self.fleet.record_load(&worker.agent, &results.load);
        for result in results.results {
            self.handle_result(worker, result);
        }
        self.record_outstanding(worker);
    }

    fn handle_result(&mut self, worker: &WorkerKey, result: TaskResult) {
        let service = self.ledger.service_of(&result.key);
        match &result.status {
            TaskStatus::Ended(outcome) => {
                let is_success = outcome.is_done();
                let ran = matches!(outcome, TaskOutcome::Done(_) | TaskOutcome::Failed(_));
                self.counters.ended += 1;
                match &service {
                    Some(service) if ran => self.record_outcome(worker, service, is_success, result.run_ms.to_duration()),
                    Some(_) => {}
                    None => self.counters.unwanted += 1,
                }
            }
            TaskStatus::Rejected(reason) => {
                // A task rejected because of a cancel is already counted with the cancel.
                self.counters.bounced += u64::from(*reason != RejectReason::Cancelled);
                self.record_rejection(worker, &result, *reason);
                if let Some(service) = &service {
                    self.breakers.record_rejected(service, &worker.agent);
                }
            }
            TaskStatus::Held | TaskStatus::Abandoned => {}
        }
        let effects = self.ledger.record_result(self.now, worker, result);
        self.apply_effects(effects);
    }

    /// Records the outcome of a task that ran, for the run-time statistics and the worker's circuit breaker.
    fn record_outcome(&mut self, worker: &WorkerKey, service: &vanillacleat_core::ids::ServiceName, is_success: bool, run_time: Duration) {
        if is_success {
            self.run_times.record(service, run_time);
        }
        let workers = self.fleet.worker_count(service);
        if self.breakers.record_outcome(self.now, service, &worker.agent, is_success, workers) {
            self.log("breaker_changed", format!("agent={} service={service} success={is_success}", worker.agent));
        }
    }

    fn record_rejection(&mut self, worker: &WorkerKey, result: &TaskResult, reason: RejectReason) {
        match reason {
            RejectReason::Fenced => self.relinquish_home(&result.key.home.clone()),
            RejectReason::QueueFull | RejectReason::ZoneOut | RejectReason::NoUpstream | RejectReason::Stale | RejectReason::Draining => {
                self.fleet.record_rejection(self.now, &worker.agent);
            }
            RejectReason::Reclaimed | RejectReason::Deadline | RejectReason::Cancelled => {}
        }
    }

    /// Stops serving `home`, which another entry owns: refuses its waiting callers and sends nothing more for it.
    pub(super) fn relinquish_home(&mut self, home: &HomeKey) {
        if self.ledger.generation(home).is_none() {
            return;
        }
        self.log("home_fenced", format!("home={home}"));
        self.seals.retain(|job_key, _| job_key.home != *home);
        let waiters = self.ledger.fence(home);
        if self.home() == home {
            self.rotate_home();
        }
        for waiter in waiters {
            self.refuse_fenced(waiter);
        }
    }

    /// Records that another process holds `revision`, and reads the configuration soon if it is newer than the held one.
    pub(super) fn record_revision(&mut self, revision: Revision) {
        self.config.record_revision(revision);
        if self.config.is_outdated() {
            self.expedite_poll();
        }
    }

    /// Replaces the held configuration if `value` is newer. The entry that stored it propagates it at once. The others
    /// propagate it after [`PROPAGATION_DELAY`], to those that still lack it, so that an agent does not receive a copy from
    /// every entry.
    pub(super) fn update_config(&mut self, value: ConfigValue) {
        if !self.config.update(value) {
            return;
        }
        self.log("config_in_force", format!("revision={}", self.config.revision()));
        self.propagate_at = Some(self.now + PROPAGATION_DELAY);
    }

    /// Sends the configuration to the agents and peers that do not hold it.
    pub(super) fn propagate_config(&mut self) {
        self.propagate_at = None;
        let revision = self.config.revision();
        let missing: BTreeSet<SmolStr> = self.witnesses.missing_witnesses(revision).into_iter().collect();
        let behind = self.fleet.agents().filter(|view| missing.contains(view.worker.agent.as_str()));
        let sessions: Vec<SessionId> = behind.filter_map(|view| view.session).collect();
        sessions.into_iter().for_each(|session| self.send_config(session));
        self.send_config_to_peers(&missing);
    }

    fn send_config(&mut self, session: SessionId) {
        self.counters.configs += 1;
        self.send(session, EntryFrame::Config(Box::new(self.config.value().clone())));
    }
}
