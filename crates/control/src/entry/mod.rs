//! The control state of an entry: jobs, agents, peers, the configuration and the calls of the platform.

mod adoption;
mod calls;
mod changes;
mod draining;
mod dump;
mod events;
mod peer_registry;
mod peers;
mod placing;
mod platform;
mod requests;
mod routing;
mod seals;
mod sessions;

use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;
use std::time::Duration;

use rand::{RngCore, SeedableRng};
use rand_chacha::ChaCha8Rng;
use smol_str::SmolStr;
use vanillacleat_core::frames::{EntryFrame, Envelope, PeerReply, TaskAttempt, TaskOrder};
use vanillacleat_core::ids::{EntryId, HomeKey, Incarnation, ZoneName};
use vanillacleat_core::job::JobSpec;
use vanillacleat_core::settings::PolicySettings;
use vanillacleat_core::ticket::TicketSecret;
use vanillacleat_core::units::{Generation, MonoTime};

use crate::breaker::BreakerRegistry;
use crate::config_holder::ConfigHolder;
use crate::fleet::{FleetView, PlacementRule};
use crate::ledger::{JobKey, JobLedger, LedgerEffect};
use crate::quorum::WitnessRegistry;
use crate::retry_budget::RetryBudget;
use crate::run_times::RunTimes;
use crate::team_limits::TeamLimits;
use crate::ticket_issuer::TicketIssuer;
use crate::{CallId, ReplyId, SessionId};

use adoption::AdoptionFlow;
pub use adoption::ADOPTION_TIMEOUT;
use changes::ChangeFlow;
pub use changes::CONFIRM_TIMEOUT;
pub use events::{CallerCall, CallerReply, EntryAction, EntryEvent, EntryOptions};
use peer_registry::PeerRegistry;
pub use peer_registry::{HEARTBEAT_INTERVAL, PEER_SILENCE_TIMEOUT};
pub use platform::{EntryPresence, HomeClaim, NameBinding, PlatformOp, PlatformReply, StoreVersion};
use platform::{PendingOp, PlatformPacer};
use requests::RequestFlow;
use routing::ParkedCall;
use seals::SealFlow;

/// Time after which a silent process no longer counts as a witness of its availability zone, and after which an agent
/// without a session is removed.
const WITNESS_SILENCE_TIMEOUT: Duration = Duration::from_secs(600);
/// Time from the loss of a session until the agent's unreported tasks are abandoned.
pub const LOST_WORKER_GRACE: Duration = Duration::from_secs(5);
/// Time between two events above which this process is considered to have been stalled.
const STALL_THRESHOLD: Duration = Duration::from_millis(500);
/// Interval of the maintenance that scans all agents, jobs or witnesses.
const MAINTENANCE_INTERVAL: Duration = Duration::from_millis(100);
/// The lowest reply id of internal flows. Lower ids belong to callers, operators and peers.
const FIRST_INTERNAL_REPLY: u64 = 1 << 63;

/// Holds the control state of one entry. The embedder passes it events and executes the actions it returns.
#[derive(Debug)]
pub struct EntryControl {
    now: MonoTime,
    /// When this process last resumed after a stall. Silence timeouts are counted from here at the earliest.
    resumed_at: MonoTime,
    next_maintenance_at: MonoTime,
    /// When the configuration is sent to the agents and peers that do not hold it yet.
    propagate_at: Option<MonoTime>,
    zone: ZoneName,
    address: SmolStr,
    secret: TicketSecret,
    policy: PolicySettings,
    rng: ChaCha8Rng,
    issuer: TicketIssuer,
    ledger: JobLedger,
    fleet: FleetView,
    breakers: BreakerRegistry,
    run_times: RunTimes,
    retries: RetryBudget,
    teams: TeamLimits,
    config: ConfigHolder,
    witnesses: WitnessRegistry,
    /// The latest time at which the store is known to have held no newer configuration than this entry.
    platform_proof: Option<MonoTime>,
    /// Whether this entry has had a proof of freshness since it started, so that it counts as a witness.
    is_settled: bool,
    peers: PeerRegistry,
    pacer: PlatformPacer,
    platform_ops: BTreeMap<CallId, PendingOp>,
    /// The job names to bind in the store at the next tick.
    unbound_names: VecDeque<(ReplyId, NameBinding)>,
    changes: VecDeque<ChangeFlow>,
    adoptions: BTreeMap<HomeKey, AdoptionFlow>,
    /// The homes that this entry took over, each with the time at which its last ticket has expired and its jobs can be
    /// removed.
    home_removals: Vec<(MonoTime, HomeKey)>,
    parked: Vec<ParkedCall>,
    forwarded: BTreeMap<CallId, ParkedCall>,
    /// The unanswered calls that send the configuration, each with the address of the peer.
    config_calls: BTreeMap<CallId, SmolStr>,
    requests: BTreeMap<ReplyId, RequestFlow>,
    seals: BTreeMap<JobKey, SealFlow>,
    /// The cancels to send at the end of the current event.
    cancels: BTreeMap<(SessionId, Generation), Vec<TaskAttempt>>,
    /// The nonces that this entry sent on each session, with their send times, oldest first.
    sent_nonces: BTreeMap<SessionId, VecDeque<(u64, MonoTime)>>,
    /// The nonce of the newest unanswered freshness request on each session.
    unanswered_nonces: BTreeMap<SessionId, u64>,
    counters: EntryCounters,
    next_id: u64,
    is_draining: bool,
    drain_step: draining::DrainStep,
    actions: Vec<EntryAction>,
}

/// Counts events since the start of the entry.
#[derive(Clone, Debug, Default, PartialEq, Eq, serde::Serialize)]
pub struct EntryCounters {
    /// Tasks sent to agents.
    pub dispatched: u64,
    /// Task reports that ended a task.
    pub ended: u64,
    /// Tasks that agents rejected before they started, other than on a cancel.
    pub bounced: u64,
    /// Tasks reclaimed on a new session of their agent.
    pub reclaimed: u64,
    /// Cancel frames sent to agents. A frame carries all tasks of one generation that one event cancelled at the agent.
    pub cancelled: u64,
    /// Seals of failed jobs sent to agents.
    pub seals: u64,
    /// Results of tasks that belong to no open job.
    pub unwanted: u64,
    /// Hellos of agents that were delivered after those of later sessions.
    pub outdated_hellos: u64,
    /// Freshness replies sent in frames of their own.
    pub echoes: u64,
    /// Configurations sent to agents and peers.
    pub configs: u64,
    /// Heartbeats sent to peers.
    pub gossips: u64,
    /// Calls of the platform's store.
    pub platform_calls: u64,
    /// Jobs answered as complete.
    pub jobs_complete: u64,
    /// Jobs answered as failed.
    pub jobs_failed: u64,
    /// Calls refused.
    pub refused: u64,
    /// Retries of idempotent requests.
    pub retried: u64,
    /// Homes adopted from lost entries.
    pub adopted: u64,
}

impl EntryControl {
    /// Returns the state of an entry that has just started.
    pub fn new(options: EntryOptions) -> Self {
        let EntryOptions { id, incarnation, zone, zones, address, seeds, secret, policy, seed } = options;
        let home = HomeKey { entry: id, incarnation };
        let lifetime = policy.ticket_ms.to_duration();
        let mut ledger = JobLedger::new(policy.answer_bytes.0 as usize);
        ledger.take_ownership(home.clone(), Generation(0), None);
        Self {
            now: MonoTime::ZERO,
            resumed_at: MonoTime::ZERO,
            next_maintenance_at: MonoTime::ZERO,
            propagate_at: None,
            zone,
            address: address.clone(),
            issuer: TicketIssuer::new(home, secret.clone(), lifetime),
            secret,
            rng: ChaCha8Rng::seed_from_u64(seed),
            ledger,
            fleet: FleetView::default(),
            breakers: BreakerRegistry::new(policy.breaker_percent),
            run_times: RunTimes::default(),
            retries: RetryBudget::new(policy.retry_percent),
            policy,
            teams: TeamLimits::default(),
            config: ConfigHolder::default(),
            witnesses: WitnessRegistry::new(zones),
            platform_proof: None,
            is_settled: false,
            peers: PeerRegistry::new(address, seeds),
            pacer: PlatformPacer::default(),
            platform_ops: BTreeMap::new(),
            unbound_names: VecDeque::new(),
            changes: VecDeque::new(),
            adoptions: BTreeMap::new(),
            home_removals: Vec::new(),
            parked: Vec::new(),
            forwarded: BTreeMap::new(),
            config_calls: BTreeMap::new(),
            requests: BTreeMap::new(),
            seals: BTreeMap::new(),
            cancels: BTreeMap::new(),
            sent_nonces: BTreeMap::new(),
            unanswered_nonces: BTreeMap::new(),
            counters: EntryCounters::default(),
            next_id: 0,
            is_draining: false,
            drain_step: draining::DrainStep::NotDraining,
            actions: Vec::new(),
        }
    }

    /// Handles an event that occurred at `now`. Returns the actions to execute, in order.
    pub fn handle(&mut self, now: MonoTime, event: EntryEvent) -> Vec<EntryAction> {
        if now.since(self.now) > STALL_THRESHOLD {
            // This process did not run in the meantime, so missing frames do not show that an agent or peer was silent.
            self.resumed_at = now;
        }
        self.now = self.now.max(now);
        match event {
            EntryEvent::Caller { reply, call } => self.handle_call(reply, call),
            EntryEvent::Agent { session, frame } => self.handle_agent_frame(session, frame),
            EntryEvent::SessionClosed { session } => self.remove_session(session),
            EntryEvent::PeerCalled { reply, call } => self.handle_peer_call(reply, call),
            EntryEvent::PeerReplied { call, reply } => self.handle_peer_reply(call, reply),
            EntryEvent::PlatformReplied { call, reply } => self.handle_platform_reply(call, reply),
            EntryEvent::Drain => self.start_drain(),
            EntryEvent::Tick => self.tick(),
        }
        self.place_waiting_tasks();
        self.send_cancels();
        self.send_seals();
        std::mem::take(&mut self.actions)
    }

    /// Returns the home of the tickets that the entry issues.
    pub fn home(&self) -> &HomeKey {
        self.issuer.home()
    }

    /// Returns the configuration that the entry holds.
    pub fn config(&self) -> &ConfigHolder {
        &self.config
    }

    /// Returns the events counted since the start.
    pub fn counters(&self) -> &EntryCounters {
        &self.counters
    }

    fn tick(&mut self) {
        let effects = self.ledger.expire(self.now);
        self.apply_effects(effects);
        if self.now >= self.next_maintenance_at {
            self.next_maintenance_at = self.now + MAINTENANCE_INTERVAL;
            self.run_maintenance();
        }
        if self.propagate_at.is_some_and(|at| self.now >= at) {
            self.propagate_config();
        }
        self.send_due_heartbeats();
        self.poll_platform();
        self.bind_names();
        self.advance_changes();
        self.advance_adoptions();
        self.retry_parked();
        self.advance_drain();
    }

    /// Runs the periodic work that scans all agents, jobs or witnesses.
    fn run_maintenance(&mut self) {
        self.close_silent_sessions();
        self.abandon_lost_workers();
        self.refuse_unsealed();
        let expired_below = self.issuer.expired_below(self.now);
        let home = self.issuer.home().clone();
        self.ledger.expire_tickets(&home, expired_below);
        self.remove_expired_homes();
        self.witnesses.remove_silent(self.now, WITNESS_SILENCE_TIMEOUT);
        self.fleet.remove_lost(self.now, WITNESS_SILENCE_TIMEOUT);
        self.fleet.remove_exited_incarnations(expired_below);
        self.peers.remove_expired_lists(self.now, self.policy.ticket_ms.to_duration());
    }

    fn abandon_lost_workers(&mut self) {
        for worker in self.fleet.lost_incarnations(self.now, LOST_WORKER_GRACE) {
            let effects = self.ledger.abandon_worker(self.now, &worker);
            self.apply_effects(effects);
            self.record_outstanding(&worker);
        }
    }

    /// Executes the effects that the ledger returned: records cancels, starts seals and answers callers.
    fn apply_effects(&mut self, effects: Vec<LedgerEffect>) {
        for effect in effects {
            match effect {
                LedgerEffect::Cancel { worker, task } => self.record_cancel(&worker, task),
                LedgerEffect::Seal { job_key } => self.start_seal(job_key),
                LedgerEffect::Answer { waiters, answer, .. } => {
                    let counter = if answer.is_complete() { &mut self.counters.jobs_complete } else { &mut self.counters.jobs_failed };
                    *counter += 1;
                    waiters.into_iter().for_each(|waiter| self.reply(waiter, CallerReply::Answer(answer.clone())));
                }
            }
        }
    }

    fn reply(&mut self, reply: ReplyId, body: CallerReply) {
        if reply.0 >= FIRST_INTERNAL_REPLY {
            return self.handle_request_reply(reply, body);
        }
        if let CallerReply::Refused(_) = body {
            self.counters.refused += 1;
        }
        self.actions.push(EntryAction::Reply { reply, body });
    }

    fn reply_to_peer(&mut self, reply: ReplyId, body: PeerReply) {
        let envelope = Envelope { revision: self.config.revision(), body };
        self.actions.push(EntryAction::PeerReply { reply, envelope });
    }

    fn send(&mut self, session: SessionId, body: EntryFrame) {
        let envelope = Envelope { revision: self.config.revision(), body };
        self.actions.push(EntryAction::Send { session, envelope });
    }

    fn make_id(&mut self) -> u64 {
        self.next_id += 1;
        self.next_id
    }

    /// Starts to issue tickets under a new home without jobs, after another entry has taken over the old home.
    fn rotate_home(&mut self) {
        let entry: EntryId = self.issuer.home().entry.clone();
        let home = HomeKey { entry, incarnation: Incarnation(self.rng.next_u64()) };
        self.issuer = TicketIssuer::new(home.clone(), self.secret.clone(), self.policy.ticket_ms.to_duration());
        self.ledger.take_ownership(home, Generation(0), None);
    }

    fn placement_rule(&self) -> PlacementRule {
        PlacementRule {
            policy: self.policy.placement,
            overcommit: self.policy.overcommit,
            zone: self.zone.clone(),
            rank: self.peers.rank(&self.issuer.home().entry, self.now),
        }
    }
}

/// The tasks of one placement round. Those for the same session and generation are sent in one frame.
type DispatchBatch = BTreeMap<(SessionId, Generation), Vec<TaskOrder>>;
/// A job specification that flows, calls and the ledger share without copying.
type SharedSpec = Arc<JobSpec>;
