//! The whole control state of an entry: jobs, agents, peers, the configuration and the platform's calls.

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
pub use peer_registry::{GOSSIP_INTERVAL, PEER_SILENCE_TIMEOUT};
pub use platform::{EntryPresence, HomeClaim, NameBinding, PlatformOp, PlatformReply, StoreVersion};
use platform::{PendingOp, PlatformPacer};
use requests::RequestFlow;
use routing::ParkedCall;
use seals::SealFlow;

/// Time after which a silent process no longer counts in its availability zone.
const WITNESS_SILENCE_TIMEOUT: Duration = Duration::from_secs(600);
/// Time after a broken session from which the agent's unreported tasks are given up.
pub const LOST_WORKER_GRACE: Duration = Duration::from_secs(5);
/// Time between two events from which this process counts as having been stalled.
const STALL_MIN: Duration = Duration::from_millis(500);
/// Time between two rounds of upkeep.
const MAINTENANCE_INTERVAL: Duration = Duration::from_millis(100);
/// First of the reply ids that name flows inside the entry instead of somebody outside.
const INTERNAL_REPLIES: u64 = 1 << 63;

/// An `EntryControl` is the whole control state of one entry. Feed it events; carry out the actions.
#[derive(Debug)]
pub struct EntryControl {
    now: MonoTime,
    resumed_at: MonoTime,
    maintenance_at: MonoTime,
    hand_on_at: Option<MonoTime>,
    zone: ZoneName,
    address: SmolStr,
    secret: TicketSecret,
    policy: PolicySettings,
    rng: ChaCha8Rng,
    mint: TicketIssuer,
    ledger: JobLedger,
    fleet: FleetView,
    breakers: BreakerRegistry,
    run_times: RunTimes,
    retries: RetryBudget,
    teams: TeamLimits,
    config: ConfigHolder,
    witnesses: WitnessRegistry,
    platform_proof: Option<MonoTime>,
    is_settled: bool,
    peers: PeerRegistry,
    pacer: PlatformPacer,
    platform_ops: BTreeMap<CallId, PendingOp>,
    names: VecDeque<(ReplyId, NameBinding)>,
    changes: VecDeque<ChangeFlow>,
    adoptions: BTreeMap<HomeKey, AdoptionFlow>,
    disown_at: Vec<(MonoTime, HomeKey)>,
    parked: Vec<ParkedCall>,
    forwarded: BTreeMap<CallId, ParkedCall>,
    config_calls: BTreeMap<CallId, SmolStr>,
    requests: BTreeMap<ReplyId, RequestFlow>,
    seals: BTreeMap<JobKey, SealFlow>,
    cancels: BTreeMap<(SessionId, Generation), Vec<TaskAttempt>>,
    nonces: BTreeMap<SessionId, VecDeque<(u64, MonoTime)>>,
    questions: BTreeMap<SessionId, u64>,
    counters: EntryCounters,
    next_id: u64,
    is_draining: bool,
    drain_step: draining::DrainStep,
    actions: Vec<EntryAction>,
}

/// `EntryCounters` count events since the start, by kind.
#[derive(Clone, Debug, Default, PartialEq, Eq, serde::Serialize)]
pub struct EntryCounters {
    /// Tasks sent to agents.
    pub dispatched: u64,
    /// Task reports that ended a task.
    pub ended: u64,
    /// Tasks that came back without having started.
    pub bounced: u64,
    /// Tasks asked after on a new session.
    pub reclaimed: u64,
    /// Cancels sent to agents, each for all tasks that one event took back there.
    pub cancelled: u64,
    /// Failed jobs sent to agents to be remembered.
    pub seals: u64,
    /// Results that no job wanted.
    pub unwanted: u64,
    /// Freshness answers sent.
    pub echoes: u64,
    /// Configurations sent to agents and peers.
    pub configs: u64,
    /// Heartbeats sent to peers.
    pub gossips: u64,
    /// Calls of the platform.
    pub platform_calls: u64,
    /// Jobs answered whole.
    pub jobs_complete: u64,
    /// Jobs answered as failed.
    pub jobs_failed: u64,
    /// Submissions refused.
    pub refused: u64,
    /// Idempotent requests tried again.
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
        ledger.own(home.clone(), Generation(0), None);
        Self {
            now: MonoTime::ZERO,
            resumed_at: MonoTime::ZERO,
            maintenance_at: MonoTime::ZERO,
            hand_on_at: None,
            zone,
            address: address.clone(),
            mint: TicketIssuer::new(home, secret.clone(), lifetime),
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
            names: VecDeque::new(),
            changes: VecDeque::new(),
            adoptions: BTreeMap::new(),
            disown_at: Vec::new(),
            parked: Vec::new(),
            forwarded: BTreeMap::new(),
            config_calls: BTreeMap::new(),
            requests: BTreeMap::new(),
            seals: BTreeMap::new(),
            cancels: BTreeMap::new(),
            nonces: BTreeMap::new(),
            questions: BTreeMap::new(),
            counters: EntryCounters::default(),
            next_id: 0,
            is_draining: false,
            drain_step: draining::DrainStep::Working,
            actions: Vec::new(),
        }
    }

    /// Takes an event that happened at `now`; returns what is to be done, in order.
    pub fn handle(&mut self, now: MonoTime, event: EntryEvent) -> Vec<EntryAction> {
        if now.since(self.now) > STALL_MIN {
            // This process did not run: what was not heard meanwhile says nothing of the others.
            self.resumed_at = now;
        }
        self.now = self.now.max(now);
        match event {
            EntryEvent::Caller { reply, call } => self.take_call(reply, call),
            EntryEvent::Agent { session, frame } => self.take_agent_frame(session, frame),
            EntryEvent::SessionClosed { session } => self.lose_session(session),
            EntryEvent::PeerCalled { reply, call } => self.take_peer_call(reply, call),
            EntryEvent::PeerReplied { call, reply } => self.take_peer_reply(call, reply),
            EntryEvent::PlatformReplied { call, reply } => self.take_platform_reply(call, reply),
            EntryEvent::Drain => self.start_drain(),
            EntryEvent::Tick => self.tick(),
        }
        self.place();
        self.send_cancels();
        self.send_seals();
        std::mem::take(&mut self.actions)
    }

    /// Returns the home of the tickets that the entry gives out.
    pub fn home(&self) -> &HomeKey {
        self.mint.home()
    }

    /// Returns the configuration held.
    pub fn config(&self) -> &ConfigHolder {
        &self.config
    }

    /// Returns the events counted since the start.
    pub fn counters(&self) -> &EntryCounters {
        &self.counters
    }

    fn tick(&mut self) {
        let effects = self.ledger.expire(self.now);
        self.apply(effects);
        if self.now >= self.maintenance_at {
            self.maintenance_at = self.now + MAINTENANCE_INTERVAL;
            self.keep_up();
        }
        if self.hand_on_at.is_some_and(|at| self.now >= at) {
            self.hand_on_config();
        }
        self.call_peers();
        self.poll_platform();
        self.bind_names();
        self.advance_changes();
        self.advance_adoptions();
        self.retry_parked();
        self.advance_drain();
    }

    /// Does what scans all agents, jobs or witnesses.
    fn keep_up(&mut self) {
        self.close_silent_sessions();
        self.abandon_lost_workers();
        self.dismiss_unsealed();
        let expired_below = self.mint.expired_below(self.now);
        let home = self.mint.home().clone();
        self.ledger.expire_tickets(&home, expired_below);
        self.disown_expired();
        self.witnesses.remove_silent(self.now, WITNESS_SILENCE_TIMEOUT);
        self.fleet.remove_lost(self.now, WITNESS_SILENCE_TIMEOUT);
        self.fleet.remove_exited(expired_below);
        self.peers.forget_workers(self.now, self.policy.ticket_ms.to_duration());
    }

    fn abandon_lost_workers(&mut self) {
        for worker in self.fleet.lost_at_least(self.now, LOST_WORKER_GRACE) {
            let effects = self.ledger.abandon_worker(self.now, &worker);
            self.apply(effects);
        }
    }

    fn apply(&mut self, effects: Vec<LedgerEffect>) {
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
        if reply.0 >= INTERNAL_REPLIES {
            return self.take_request_reply(reply, body);
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

    /// Takes a new run's name after another entry took the old one over, and starts an empty ledger for it.
    fn rotate_home(&mut self) {
        let entry: EntryId = self.mint.home().entry.clone();
        let home = HomeKey { entry, incarnation: Incarnation(self.rng.next_u64()) };
        self.mint = TicketIssuer::new(home.clone(), self.secret.clone(), self.policy.ticket_ms.to_duration());
        self.ledger.own(home, Generation(0), None);
    }

    fn placement_rule(&self) -> PlacementRule {
        PlacementRule {
            policy: self.policy.placement,
            overcommit: self.policy.overcommit,
            zone: self.zone.clone(),
            rank: self.peers.rank(&self.mint.home().entry, self.now),
        }
    }
}

/// The tasks of one placement round for one session and generation, which travel in one frame.
type DispatchBatch = BTreeMap<(SessionId, Generation), Vec<TaskOrder>>;
/// The shared text of a job, as the ledger holds it.
type SharedSpec = Arc<JobSpec>;
