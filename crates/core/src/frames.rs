//! Frames between the system's own processes. Every frame carries its sender's configuration revision.

use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

use crate::config::ConfigValue;
use crate::ids::{HomeKey, ServiceName, TaskKey, TeamName, UpstreamName, WorkerKey, ZoneName};
use crate::job::{JobSpec, TaskDemand};
use crate::outcome::{CallRefusal, JobAnswer, TaskOutcome};
use crate::ticket::Ticket;
use crate::units::{Generation, Millis, Revision};

/// An `Envelope` is a frame with its sender's configuration revision.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Envelope<T> {
    /// The highest revision that the sender holds.
    pub revision: Revision,
    /// The frame.
    pub body: T,
}

/// An `AgentFrame` goes from an agent to an entry on a session.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum AgentFrame {
    /// Opens the session.
    Hello(AgentHello),
    /// Asks for a proof that no newer configuration is in force; also the heartbeat.
    FreshnessRequest(FreshnessRequest),
    /// Reports tasks, each with its load report.
    Results(TaskResults),
    /// Answers a fence with all that the agent knows of the home's tasks.
    Inventory(FenceInventory),
    /// Answers a seal.
    Sealed(SealReply),
    /// Asks for the configuration, after a frame showed a newer revision.
    ConfigWanted,
}

/// An `AgentHello` introduces an agent.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AgentHello {
    /// The agent and its run.
    pub worker: WorkerKey,
    /// The agent's availability zone.
    pub zone: ZoneName,
    /// What the worker can hold.
    pub capacity: TaskDemand,
    /// The worker's state.
    pub load: LoadReport,
}

/// A `LoadReport` is what an agent carries for all entries together.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadReport {
    /// Tasks queued at the agent.
    pub queued: u32,
    /// Tasks running at the upstreams.
    pub running: u32,
    /// Queued and running tasks of the entry that the report goes to.
    pub mine: u32,
    /// The upstreams that may receive work.
    pub upstreams: Vec<UpstreamInfo>,
}

/// An `UpstreamInfo` is one upstream that an agent starts tasks at.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct UpstreamInfo {
    /// The upstream's name.
    pub upstream: UpstreamName,
    /// The service it runs.
    pub service: ServiceName,
    /// Tasks it runs at once.
    pub slots: u32,
}

/// A `FreshnessRequest` is a question whose answer proves freshness from the moment it was sent.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct FreshnessRequest {
    /// Names the question on this session.
    pub nonce: u64,
    /// The newest nonce received from the entry, which proves the same in the other direction.
    pub echoed_nonce: u64,
    /// Whether the agent has had a proof since it started, so that it counts as a witness.
    pub is_settled: bool,
    /// The agent's load; absent while it is unchanged.
    pub load: Option<LoadReport>,
}

/// A `FreshnessReply` answers a [`FreshnessRequest`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct FreshnessReply {
    /// The question's nonce.
    pub nonce: u64,
    /// The entry's own nonce, to be echoed by the next question.
    pub entry_nonce: u64,
    /// How long before this answer the entry's own proof was taken; absent when it has none.
    pub proof_age_ms: Option<Millis>,
}

/// `TaskResults` reports tasks.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TaskResults {
    /// One status for each reported task.
    pub results: Vec<TaskResult>,
    /// The agent's load after them.
    pub load: LoadReport,
    /// A question that the next frame to the agent answers, so that a busy session needs no heartbeats.
    pub freshness: FreshnessRequest,
}

/// A `TaskResult` is the state of one task at an agent.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TaskResult {
    /// The task.
    pub key: TaskKey,
    /// The attempt that the status speaks of; a final outcome speaks of all.
    pub attempt: u32,
    /// Its state.
    pub status: TaskStatus,
    /// How long it ran, in milliseconds.
    pub run_ms: Millis,
}

/// A `TaskStatus` is what an agent says of a task.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum TaskStatus {
    /// The final outcome.
    Ended(TaskOutcome),
    /// Not started, and will not be on this dispatch.
    Rejected(RejectReason),
    /// Queued or running; the outcome follows on this session.
    Held,
    /// Running after a cancel; the result will be discarded.
    Abandoned,
}

/// Why an agent did not take a task.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum RejectReason {
    /// The queue is full.
    QueueFull,
    /// The agent's availability zone is out of service.
    ZoneOut,
    /// No upstream of the service may receive work here.
    NoUpstream,
    /// The agent cannot prove that its configuration is fresh.
    Stale,
    /// The home was fenced under a higher generation.
    Fenced,
    /// The attempt was reclaimed or refused here before and never starts.
    Reclaimed,
    /// The deadline passed in the queue.
    Deadline,
    /// The home's cancel removed the task from the queue.
    Cancelled,
    /// The agent is draining.
    Draining,
}

/// A `JobSeal` names jobs of a home that are answered as failed, so that no later owner runs them again.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobSeal {
    /// The home and the generation under which the sender owns it.
    pub fence: HomeFence,
    /// The jobs' serials.
    pub serials: Vec<u64>,
}

/// A `SealReply` answers a [`JobSeal`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SealReply {
    /// The seal.
    pub seal: JobSeal,
    /// Whether the agent remembers it; it does not if the home has a newer owner.
    pub is_kept: bool,
}

/// A `FenceInventory` lists what an agent knows of a home's tasks. After it, no older generation starts any.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct FenceInventory {
    /// The fenced home.
    pub home: HomeKey,
    /// The generation now obeyed for it.
    pub generation: Generation,
    /// Serials below this one are forgotten and refused as expired.
    pub expired_below: u64,
    /// Started tasks, with their outcomes where they ended and are kept.
    pub started: Vec<TaskResult>,
    /// Jobs that an owner answered as failed.
    pub sealed: Vec<u64>,
}

/// An `EntryFrame` goes from an entry to an agent on a session.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum EntryFrame {
    /// Answers [`AgentFrame::Hello`].
    Welcome(EntryWelcome),
    /// Answers [`AgentFrame::FreshnessRequest`].
    FreshnessReply(FreshnessReply),
    /// Hands over tasks.
    Dispatch(TaskDispatch),
    /// Asks that tasks not start.
    Cancel(TaskRevocation),
    /// Asks what became of tasks that were sent on an earlier session.
    Reclaim(TaskRevocation),
    /// Fences a home.
    Fence(HomeFence),
    /// Asks that failed jobs be remembered as answered.
    Seal(JobSeal),
    /// The configuration.
    Config(Box<ConfigValue>),
}

/// An `EntryWelcome` introduces an entry and the entries it knows.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EntryWelcome {
    /// The entry's run.
    pub home: HomeKey,
    /// Addresses of entries, as `ip:port`.
    pub entries: Vec<SmolStr>,
}

/// A `TaskDispatch` hands over tasks of one home.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TaskDispatch {
    /// The generation under which the sender owns the home.
    pub generation: Generation,
    /// The tasks.
    pub tasks: Vec<TaskOrder>,
    /// Answers the newest question that came with results.
    pub freshness: Option<FreshnessReply>,
}

/// A `TaskRevocation` names dispatched tasks of a home; none of the named attempts starts after it, if it has not yet.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TaskRevocation {
    /// The generation under which the sender owns the home.
    pub generation: Generation,
    /// The tasks, each with the last attempt that was sent.
    pub tasks: Vec<TaskAttempt>,
}

/// A `TaskAttempt` is one sending of a task by its home.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct TaskAttempt {
    /// The task.
    pub key: TaskKey,
    /// Counts the sendings under one generation, from one.
    pub attempt: u32,
}

/// A `TaskOrder` is one task to start.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TaskOrder {
    /// The task.
    pub key: TaskKey,
    /// Counts the sendings of the task under one generation, from one.
    pub attempt: u32,
    /// The service.
    pub service: ServiceName,
    /// Time left until the deadline when the frame was sent, in milliseconds.
    pub left_ms: Millis,
    /// The text for the upstream.
    pub payload: String,
}

/// A `HomeFence` makes an agent refuse a home's older owners.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HomeFence {
    /// The home.
    pub home: HomeKey,
    /// The generation from which dispatches are obeyed.
    pub generation: Generation,
}

/// A `PeerCall` is a call from one entry to another.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum PeerCall {
    /// Submits a job at its home.
    Submit(Ticket, JobSpec),
    /// Asks for a job's answer.
    Query(Ticket),
    /// Cancels a job.
    Cancel(Ticket),
    /// Exchanges state; also the heartbeat between entries.
    Gossip(PeerGossip),
    /// Hands over a configuration.
    Config(Box<ConfigValue>),
    /// Hands over a draining home.
    Handover(Box<HomeHandover>),
}

/// A `PeerReply` answers a [`PeerCall`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum PeerReply {
    /// The job's answer.
    Answer(JobAnswer),
    /// The job is known and not yet answered.
    Pending,
    /// The call was refused.
    Refused(CallRefusal),
    /// The state of the answering entry.
    Gossip(PeerGossip),
    /// The call took effect.
    Accepted,
}

/// A `PeerGossip` is what one entry tells another every period.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PeerGossip {
    /// The sender's run.
    pub home: HomeKey,
    /// The sender's availability zone.
    pub zone: ZoneName,
    /// Where the sender listens for the system's own frames, as `ip:port`.
    pub address: SmolStr,
    /// Names this message.
    pub nonce: u64,
    /// The newest nonce heard from the receiver, which proves that it was heard after it was sent.
    pub echoed_nonce: u64,
    /// Whether the sender is draining.
    pub draining: bool,
    /// Whether the sender has had a proof since it started, so that it counts as a witness.
    pub is_settled: bool,
    /// Counts the changes of the sender's list of agent runs.
    pub version: u64,
    /// The version of the receiver's list that the sender holds; zero if none.
    pub held_version: u64,
    /// Agent runs that the sender used or may use; absent while the receiver holds the newest list.
    pub workers: Option<Vec<WorkerUsage>>,
    /// Homes that the sender owns besides its own run.
    pub owned: Vec<HomeFence>,
    /// Tasks of each team that the sender has queued or in flight, for the division of quotas.
    pub demand: Vec<(TeamName, u32)>,
}

/// A `WorkerUsage` says that an entry used or may use an agent run.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WorkerUsage {
    /// The agent run.
    pub worker: WorkerKey,
    /// For a lost run, the serial from which no ticket of the entry's own home can have used it.
    pub unused_from: Option<u64>,
}

/// A `HomeHandover` carries a draining home to a peer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HomeHandover {
    /// The home and the generation that the peer owns it under.
    pub fence: HomeFence,
    /// Serials below this one are expired.
    pub expired_below: u64,
    /// Every answer still kept.
    pub answers: Vec<HandoverAnswer>,
}

/// A `HandoverAnswer` is one kept answer of a handed-over home.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HandoverAnswer {
    /// The ticket's serial.
    pub serial: u64,
    /// The digest of the job's body.
    pub digest: crate::job::BodyDigest,
    /// The answer; absent where it is no longer kept.
    pub answer: Option<JobAnswer>,
}
