//! Frames of agents.

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

/// Time without a frame from which a session with unreported tasks counts as broken.
const SESSION_SILENCE_TIMEOUT: Duration = Duration::from_secs(5);
/// The same for a session without any.
const IDLE_SILENCE_TIMEOUT: Duration = Duration::from_secs(25);
/// Time that an entry leaves a new configuration to the one that stored it.
const HAND_ON_WAIT: Duration = Duration::from_millis(300);
/// Questions of ours that may be unanswered on one session.
const NONCES_KEPT: usize = 64;

/// A `Witness` is the sender of a frame with the revision that it holds.
struct Witness {
    worker: WorkerKey,
    zone: ZoneName,
    revision: Revision,
}

impl EntryControl {
    pub(super) fn take_agent_frame(&mut self, session: SessionId, frame: Envelope<AgentFrame>) {
        if let AgentFrame::Hello(hello) = frame.body {
            return self.take_hello(session, frame.revision, hello);
        }
        let Some(view) = self.fleet.worker_by_session(session) else {
            return;
        };
        let witness = Witness { worker: view.worker.clone(), zone: view.zone.clone(), revision: frame.revision };
        let worker = witness.worker.clone();
        self.hear_revision(frame.revision);
        self.fleet.record_contact(self.now, &worker.agent);
        match frame.body {
            AgentFrame::Hello(_) => {}
            AgentFrame::FreshnessRequest(ask) => self.take_ask(session, &witness, ask),
            AgentFrame::Results(results) => self.take_results(session, &witness, results),
            AgentFrame::Inventory(inventory) => self.take_inventory(&worker, inventory),
            AgentFrame::Sealed(reply) => self.take_sealed(reply),
            AgentFrame::ConfigWanted => self.send_config(session),
        }
    }

    fn take_hello(&mut self, session: SessionId, revision: Revision, hello: AgentHello) {
        self.hear_revision(revision);
        let worker = hello.worker.clone();
        self.witnesses.record(self.now, worker.agent.as_str(), &hello.zone, revision, None);
        let meaning = self.fleet.record_hello(self.now, session, &hello, self.ledger.unused_from(self.mint.home()));
        let mut entries = self.peers.addresses(self.now);
        entries.push(self.address.clone());
        self.send(session, EntryFrame::Welcome(EntryWelcome { home: self.home().clone(), entries }));
        if revision < self.config.revision() {
            self.send_config(session);
        }
        match meaning {
            HelloOutcome::Joined => {}
            HelloOutcome::Returned => self.send_reclaims(session, &worker),
            HelloOutcome::Restarted(earlier) => {
                self.witnesses.remove(worker.agent.as_str());
                self.witnesses.record(self.now, worker.agent.as_str(), &hello.zone, revision, None);
                self.breakers.remove(&worker.agent);
                let effects = self.ledger.record_worker_restart(self.now, &earlier);
                self.apply(effects);
            }
        }
        self.hurry_gossip();
        self.record_outstanding(&worker);
        self.fence_late_agent(session, &worker);
    }

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

    pub(super) fn lose_session(&mut self, session: SessionId) {
        self.nonces.remove(&session);
        self.questions.remove(&session);
        if let Some(worker) = self.fleet.record_lost(self.now, session, self.ledger.unused_from(self.mint.home())) {
            self.log("agent_lost", format!("agent={} outstanding={}", worker, self.ledger.sent_count(&worker)));
        }
    }

    /// Ends sessions whose agents have been silent: a host may be gone without a word.
    pub(super) fn close_silent_sessions(&mut self) {
        for session in self.fleet.silent_sessions(self.now, self.resumed_at, SESSION_SILENCE_TIMEOUT, IDLE_SILENCE_TIMEOUT) {
            self.actions.push(EntryAction::Close { session });
            self.lose_session(session);
        }
    }

    /// Takes a question that is answered at once.
    fn take_ask(&mut self, session: SessionId, witness: &Witness, ask: FreshnessRequest) {
        if let Some(load) = &ask.load {
            self.fleet.record_load(&witness.worker.agent, load);
        }
        self.record_ask(session, witness, &ask);
        if let Some(echo) = self.take_echo(session) {
            self.counters.echoes += 1;
            self.send(session, EntryFrame::FreshnessReply(echo));
        }
    }

    /// Takes a question that the next frame to the agent answers.
    fn record_ask(&mut self, session: SessionId, witness: &Witness, ask: &FreshnessRequest) {
        let asked_at = self.find_question(session, ask.echoed_nonce).filter(|_| ask.is_settled);
        self.witnesses.record(self.now, witness.worker.agent.as_str(), &witness.zone, witness.revision, asked_at);
        self.questions.insert(session, ask.nonce);
    }

    /// Returns the answer to the newest question on the session, if it has not been answered.
    pub(super) fn take_echo(&mut self, session: SessionId) -> Option<FreshnessReply> {
        let nonce = self.questions.remove(&session)?;
        let asked = self.make_id();
        let nonces = self.nonces.entry(session).or_default();
        nonces.push_back((asked, self.now));
        if nonces.len() > NONCES_KEPT {
            nonces.pop_front();
        }
        let proof_age_ms = self.proof_age().map(|age| Millis::from_duration(age + Duration::from_millis(1)));
        Some(FreshnessReply { nonce, entry_nonce: asked, proof_age_ms })
    }

    fn find_question(&self, session: SessionId, echoed_nonce: u64) -> Option<MonoTime> {
        let nonces = self.nonces.get(&session)?;
        nonces.iter().find(|(nonce, _)| *nonce == echoed_nonce).map(|(_, at)| *at)
    }

    /// Returns how long ago it was proved that the configuration held is the newest.
    pub(super) fn proof_age(&mut self) -> Option<Duration> {
        if self.config.is_outdated() {
            return None;
        }
        self.record_self();
        let proof = self.platform_proof.max(self.witnesses.proof());
        self.is_settled |= proof.is_some();
        proof.map(|at| self.now.since(at))
    }

    fn take_results(&mut self, session: SessionId, witness: &Witness, results: TaskResults) {
        let worker = &witness.worker;
        self.record_ask(session, witness, &results.freshness);
        self.fleet.record_load(&worker.agent, &results.load);
        for result in results.results {
            self.take_result(worker, result);
        }
        self.record_outstanding(worker);
    }

    fn take_result(&mut self, worker: &WorkerKey, result: TaskResult) {
        let service = self.ledger.service_of(&result.key);
        match &result.status {
            TaskStatus::Ended(outcome) => {
                let is_success = outcome.is_done();
                let ran = matches!(outcome, TaskOutcome::Done(_) | TaskOutcome::Failed(_));
                self.counters.ended += 1;
                match &service {
                    Some(service) if ran => self.learn(worker, service, is_success, result.run_ms.to_duration()),
                    Some(_) => {}
                    None => self.counters.unwanted += 1,
                }
            }
            TaskStatus::Rejected(reason) => {
                // A task that a cancel took back is counted with the cancel.
                self.counters.bounced += u64::from(*reason != RejectReason::Cancelled);
                self.record_rejection(worker, &result, *reason);
                if let Some(service) = &service {
                    self.breakers.record_returned(service, &worker.agent);
                }
            }
            TaskStatus::Held | TaskStatus::Abandoned => {}
        }
        let effects = self.ledger.report(self.now, worker, result);
        self.apply(effects);
    }

    fn learn(&mut self, worker: &WorkerKey, service: &vanillacleat_core::ids::ServiceName, is_success: bool, run: Duration) {
        if is_success {
            self.run_times.record(service, run);
        }
        let workers = self.fleet.servers_of(service);
        if self.breakers.record_outcome(self.now, service, &worker.agent, is_success, workers) {
            self.log("breaker_changed", format!("agent={} service={service} success={is_success}", worker.agent));
        }
    }

    fn record_rejection(&mut self, worker: &WorkerKey, result: &TaskResult, reason: RejectReason) {
        match reason {
            RejectReason::Fenced => self.lose_home(&result.key.home.clone()),
            RejectReason::QueueFull | RejectReason::ZoneOut | RejectReason::NoUpstream | RejectReason::Stale | RejectReason::Draining => {
                self.fleet.record_rejection(self.now, &worker.agent);
            }
            RejectReason::Reclaimed | RejectReason::Deadline | RejectReason::Cancelled => {}
        }
    }

    /// Notes that another entry owns `home`: its callers are told, and nothing more is sent for it.
    pub(super) fn lose_home(&mut self, home: &HomeKey) {
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

    pub(super) fn hear_revision(&mut self, revision: Revision) {
        self.config.record_revision(revision);
        if self.config.is_outdated() {
            self.hurry_poll();
        }
    }

    /// Takes a newer configuration. The entry that stored it hands it on at once; the others hand it on a little later
    /// to those that are still without it, so that an agent is not sent a copy by every entry.
    pub(super) fn update_config(&mut self, value: ConfigValue) {
        if !self.config.update(value) {
            return;
        }
        self.log("config_in_force", format!("revision={}", self.config.revision()));
        self.hand_on_at = Some(self.now + HAND_ON_WAIT);
    }

    /// Hands the configuration on to the agents and peers that do not hold it.
    pub(super) fn hand_on_config(&mut self) {
        self.hand_on_at = None;
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
