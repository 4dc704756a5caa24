//! Frames between entries and agents, and calls between entries. Each is sent in an [`Envelope`] with the sender's
//! configuration revision, so that a process learns of a newer configuration from any frame that it receives.

use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

use crate::config::ConfigValue;
use crate::ids::{HomeKey, ServiceName, TaskKey, TeamName, UpstreamName, WorkerKey, ZoneName};
use crate::job::{JobSpec, TaskDemand};
use crate::outcome::{CallRefusal, JobAnswer, TaskOutcome};
use crate::run_frames::SessionOrder;
use crate::ticket::Ticket;
use crate::units::{Generation, Millis, Revision};

/// A frame together with its sender's configuration revision.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Envelope<T> {
    /// The highest configuration revision that the sender holds.
    pub revision: Revision,
    /// The frame.
    pub body: T,
}

/// A frame from an agent to an entry on a session.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum AgentFrame {
    /// Opens the session.
    Hello(AgentHello),
    /// Requests a proof that no newer configuration is in force. Also serves as the heartbeat.
    FreshnessRequest(FreshnessRequest),
    /// Reports the states of tasks, together with the agent's load.
    Results(TaskResults),
    /// Answers [`EntryFrame::Fence`] with everything that the agent knows about the home's tasks.
    Inventory(FenceInventory),
    /// Answers [`EntryFrame::Seal`].
    Sealed(SealReply),
    /// Requests the configuration, after a frame carried a newer revision than the agent holds.
    ConfigRequest,
}

/// Introduces an agent to an entry.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AgentHello {
    /// The agent and its incarnation.
    pub worker: WorkerKey,
    /// The place of this session among all that the agent has opened.
    pub order: SessionOrder,
    /// The agent's availability zone.
    pub zone: ZoneName,
    /// The worker's capacity.
    pub capacity: TaskDemand,
    /// The worker's current load.
    pub load: LoadReport,
}

/// An agent's load, summed over all entries.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadReport {
    /// Number of tasks queued at the agent.
    pub queued: u32,
    /// Number of tasks running at the upstreams.
    pub running: u32,
    /// Number of queued and running tasks that belong to the receiving entry.
    pub mine: u32,
    /// The upstreams that may receive tasks.
    pub upstreams: Vec<UpstreamInfo>,
}

/// An upstream at which an agent starts tasks.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct UpstreamInfo {
    /// The upstream's name.
    pub upstream: UpstreamName,
    /// The service whose tasks it runs.
    pub service: ServiceName,
    /// Number of tasks that it runs at once.
    pub slots: u32,
}

/// Requests a proof of freshness. The reply proves that no newer configuration was in force at a certain time: the time at
/// which the request was sent, minus the age of the entry's own proof.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct FreshnessRequest {
    /// Identifies the request on this session.
    pub nonce: u64,
    /// The newest nonce received from the entry. With it, the agent is a witness of the entry's own freshness.
    pub echoed_nonce: u64,
    /// Whether the agent has received a proof since it started. Only then does it count as a witness.
    pub is_settled: bool,
    /// The agent's load; absent while it is unchanged since the last report.
    pub load: Option<LoadReport>,
}

/// Answers a [`FreshnessRequest`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct FreshnessReply {
    /// The nonce of the request.
    pub nonce: u64,
    /// The entry's own nonce, which the next request echoes.
    pub entry_nonce: u64,
    /// Age of the entry's own proof when the reply was sent; absent if the entry has none.
    pub proof_age_ms: Option<Millis>,
}

/// Reports the states of tasks.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TaskResults {
    /// One result per reported task.
    pub results: Vec<TaskResult>,
    /// The agent's load after these results.
    pub load: LoadReport,
    /// A freshness request, which the next frame to the agent answers. It saves separate heartbeats on a busy session.
    pub freshness: FreshnessRequest,
}

/// The state of one task at an agent.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TaskResult {
    /// The task.
    pub key: TaskKey,
    /// The attempt that the status applies to. A final outcome applies to all attempts.
    pub attempt: u32,
    /// The state of the task.
    pub status: TaskStatus,
    /// Run time of the task, in milliseconds.
    pub run_ms: Millis,
}

/// The state of a task, as an agent reports it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum TaskStatus {
    /// The task has its final outcome.
    Ended(TaskOutcome),
    /// The attempt was rejected: it has not started and never will.
    Rejected(RejectReason),
    /// The task is queued or running. Its outcome follows on this session.
    Held,
    /// The task is still running after a cancel. Its result will be discarded.
    Abandoned,
}

/// Why an agent rejected an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum RejectReason {
    /// The agent's queue is full.
    QueueFull,
    /// The agent's availability zone is out of service.
    ZoneOut,
    /// The agent has no upstream of the service that may receive tasks.
    NoUpstream,
    /// The agent cannot prove that its configuration is fresh.
    Stale,
    /// The home was fenced with a higher generation.
    Fenced,
    /// The attempt was reclaimed or rejected here earlier and never starts.
    Reclaimed,
    /// The deadline passed while the task was queued.
    Deadline,
    /// A cancel by the home removed the task from the queue.
    Cancelled,
    /// The agent is draining.
    Draining,
}

/// Names jobs of a home that are about to be answered as failed. Agents remember them, so that no later owner of the
/// home runs them again.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobSeal {
    /// The home, and the generation with which the sender owns it.
    pub fence: HomeFence,
    /// The serials of the jobs' tickets.
    pub serials: Vec<u64>,
}

/// Answers a [`JobSeal`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SealReply {
    /// The seal that is answered.
    pub seal: JobSeal,
    /// Whether the agent stored the seal. It does not if the home has a newer owner.
    pub is_recorded: bool,
}

/// Lists what an agent knows about a home's tasks. Once it is sent, the agent starts no task of an older generation.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct FenceInventory {
    /// The fenced home.
    pub home: HomeKey,
    /// The lowest generation that the agent now accepts for the home.
    pub generation: Generation,
    /// Tickets with serials below this one have expired. Their tasks may be missing from the list and never start.
    pub expired_below: u64,
    /// Started tasks, with the outcomes that the agent still retains.
    pub started: Vec<TaskResult>,
    /// Serials of the sealed jobs, which an owner may have answered as failed.
    pub sealed: Vec<u64>,
}

/// A frame from an entry to an agent on a session.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum EntryFrame {
    /// Answers [`AgentFrame::Hello`].
    Welcome(EntryWelcome),
    /// Answers [`AgentFrame::FreshnessRequest`].
    FreshnessReply(FreshnessReply),
    /// Sends tasks to start.
    Dispatch(TaskDispatch),
    /// Cancels tasks.
    Cancel(TaskRevocation),
    /// Requests the states of tasks that were sent on an earlier session. Attempts that did not arrive never start.
    Reclaim(TaskRevocation),
    /// Fences a home against its older owners.
    Fence(HomeFence),
    /// Seals jobs before they are answered as failed.
    Seal(JobSeal),
    /// Sends the configuration.
    Config(Box<ConfigValue>),
}

/// Introduces an entry to an agent, and names the entries that it knows.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EntryWelcome {
    /// The entry and its incarnation.
    pub home: HomeKey,
    /// Addresses of the known entries, as `ip:port`.
    pub entries: Vec<SmolStr>,
}

/// Sends tasks of one home to an agent.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TaskDispatch {
    /// The generation with which the sender owns the home.
    pub generation: Generation,
    /// The tasks to start.
    pub tasks: Vec<TaskOrder>,
    /// Answers the newest freshness request that came with results.
    pub freshness: Option<FreshnessReply>,
}

/// Names dispatched attempts of a home's tasks that are cancelled or reclaimed. An attempt that arrives at the agent
/// only afterwards never starts.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TaskRevocation {
    /// The generation with which the sender owns the home.
    pub generation: Generation,
    /// The tasks, each with the last attempt that was sent.
    pub tasks: Vec<TaskAttempt>,
}

/// One dispatch of a task by the owner of its home.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct TaskAttempt {
    /// The task.
    pub key: TaskKey,
    /// Number of the dispatch within one generation, counted from one.
    pub attempt: u32,
}

/// One task to start.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TaskOrder {
    /// The task.
    pub key: TaskKey,
    /// Number of the task's dispatch within one generation, counted from one.
    pub attempt: u32,
    /// The service that runs the task.
    pub service: ServiceName,
    /// Time left until the deadline when the frame was sent, in milliseconds.
    pub left_ms: Millis,
    /// The payload that the upstream receives.
    pub payload: String,
}

/// A home and one generation of its owners. Sent as a fence, it makes an agent reject every owner of an older
/// generation.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HomeFence {
    /// The home.
    pub home: HomeKey,
    /// The generation; a fenced agent accepts dispatches from this one on.
    pub generation: Generation,
}

/// A call from one entry to another.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum PeerCall {
    /// Submits a job at the owner of its ticket's home.
    Submit(Ticket, JobSpec),
    /// Requests a job's answer.
    Query(Ticket),
    /// Cancels a job.
    Cancel(Ticket),
    /// Exchanges state. Also serves as the heartbeat between entries.
    Heartbeat(PeerHeartbeat),
    /// Sends a configuration.
    Config(Box<ConfigValue>),
    /// Transfers the home of a draining entry to the receiver.
    Handover(Box<HomeHandover>),
}

/// Answers a [`PeerCall`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum PeerReply {
    /// The job's answer.
    Answer(JobAnswer),
    /// The job is known and has no answer yet.
    Pending,
    /// The call was refused.
    Refused(CallRefusal),
    /// The state of the replying entry.
    Heartbeat(PeerHeartbeat),
    /// The call took effect.
    Accepted,
}

/// The state that an entry sends to each of its peers at every heartbeat.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PeerHeartbeat {
    /// The sender and its incarnation.
    pub home: HomeKey,
    /// The sender's availability zone.
    pub zone: ZoneName,
    /// Address at which the sender accepts sessions and peer calls, as `ip:port`.
    pub address: SmolStr,
    /// Identifies this message.
    pub nonce: u64,
    /// The newest nonce that the sender has received from this peer. It proves to the peer that this message was sent
    /// after the one with that nonce arrived.
    pub echoed_nonce: u64,
    /// Whether the sender is draining.
    pub draining: bool,
    /// Whether the sender has had a proof of freshness since it started. Only then does it count as a witness.
    pub is_settled: bool,
    /// Version of the sender's list of agent incarnations, incremented with each change.
    pub version: u64,
    /// Version of the receiver's list that the sender holds; zero if it holds none.
    pub held_version: u64,
    /// Agent incarnations that the sender used or may use; absent while the receiver holds the newest list.
    pub workers: Option<Vec<WorkerUsage>>,
    /// Homes that the sender owns in addition to its own.
    pub owned: Vec<HomeFence>,
    /// Number of tasks that the sender has queued or in flight for each team. The entries divide each team's quota in
    /// proportion to it.
    pub demand: Vec<(TeamName, u32)>,
}

/// An agent incarnation that an entry used or may use.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WorkerUsage {
    /// The agent incarnation.
    pub worker: WorkerKey,
    /// Set if the incarnation is lost: no ticket of the entry's own home with this serial or a higher one can have used
    /// the incarnation.
    pub unused_from: Option<u64>,
}

/// Transfers the home of a draining entry to a peer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HomeHandover {
    /// The home, and the generation with which the peer will own it.
    pub fence: HomeFence,
    /// Tickets with serials below this one have expired.
    pub expired_below: u64,
    /// Every answered job whose ticket has not expired.
    pub answers: Vec<HandoverAnswer>,
}

/// An answered job of a home that is handed over.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HandoverAnswer {
    /// The serial of the job's ticket.
    pub serial: u64,
    /// Digest of the job's body.
    pub digest: crate::job::BodyDigest,
    /// The answer; absent if it is no longer retained.
    pub answer: Option<JobAnswer>,
}
