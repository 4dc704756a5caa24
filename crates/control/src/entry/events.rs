//! The events that an entry's control state handles and the actions it returns.

use std::sync::Arc;

use smol_str::SmolStr;
use vanillacleat_core::config::{ChangeOutcome, ConfigChange, ConfigValue};
use vanillacleat_core::frames::{AgentFrame, EntryFrame, Envelope, PeerCall, PeerReply};
use vanillacleat_core::ids::{EntryId, Incarnation, JobName, ZoneName};
use vanillacleat_core::job::JobSpec;
use vanillacleat_core::outcome::{CallRefusal, JobAnswer};
use vanillacleat_core::settings::PolicySettings;
use vanillacleat_core::ticket::{Ticket, TicketSecret};

use super::{PlatformOp, PlatformReply};
use crate::{CallId, ReplyId, SessionId};

/// Holds the settings with which an entry starts.
#[derive(Clone, Debug)]
pub struct EntryOptions {
    /// The entry's stable name.
    pub id: EntryId,
    /// The random number that identifies this incarnation of the entry.
    pub incarnation: Incarnation,
    /// The entry's availability zone.
    pub zone: ZoneName,
    /// All availability zones of the deployment.
    pub zones: Vec<ZoneName>,
    /// Where the entry listens for frames from agents and other entries, as `ip:port`.
    pub address: SmolStr,
    /// The addresses of other entries.
    pub seeds: Vec<SmolStr>,
    /// The key that signs and verifies tickets.
    pub secret: TicketSecret,
    /// How tasks are placed, and the limits on jobs and tickets.
    pub policy: PolicySettings,
    /// The seed of every random choice.
    pub seed: u64,
}

/// An event that the entry's control state handles.
#[derive(Clone, Debug)]
pub enum EntryEvent {
    /// A caller or an operator made a call.
    Caller {
        /// Identifies who waits for the reply.
        reply: ReplyId,
        /// The call.
        call: CallerCall,
    },
    /// An agent sent a frame.
    Agent {
        /// The session.
        session: SessionId,
        /// The frame.
        frame: Envelope<AgentFrame>,
    },
    /// An agent's session ended.
    SessionClosed {
        /// The session.
        session: SessionId,
    },
    /// Another entry made a call.
    PeerCalled {
        /// Identifies who waits for the reply.
        reply: ReplyId,
        /// The call.
        call: Envelope<PeerCall>,
    },
    /// Another entry replied, or the call failed.
    PeerReplied {
        /// The call.
        call: CallId,
        /// The reply; absent if the call failed, in which case it may still have taken effect.
        reply: Option<Envelope<PeerReply>>,
    },
    /// The platform replied, or the call failed.
    PlatformReplied {
        /// The call.
        call: CallId,
        /// The reply.
        reply: PlatformReply,
    },
    /// The process was asked to drain.
    Drain,
    /// The periodic timer fired.
    Tick,
}

/// A call by a caller or an operator.
#[derive(Clone, Debug)]
pub enum CallerCall {
    /// Issues this many tickets.
    Tickets(usize),
    /// Submits a job and waits for its answer.
    Submit(Ticket, JobSpec),
    /// Submits a job under a name that the caller chose, and waits for its answer.
    SubmitNamed(JobName, JobSpec),
    /// Runs a single task and waits for its outcome. The flag states whether the task is idempotent and may be retried.
    Request(JobSpec, bool),
    /// Reads a job's answer without waiting for it.
    Query(Ticket),
    /// Cancels a job.
    Cancel(Ticket),
    /// Changes the configuration.
    Change(ConfigChange),
    /// Reads the configuration.
    ReadConfig,
    /// Queries whether the entry accepts new work.
    Health,
    /// Dumps the control state.
    Dump,
}

/// The reply to a [`CallerCall`].
#[derive(Clone, Debug)]
pub enum CallerReply {
    /// New tickets.
    Tickets(Vec<Ticket>),
    /// The answer of a job.
    Answer(Arc<JobAnswer>),
    /// The job is known and not yet answered.
    Pending,
    /// The call was refused.
    Refused(CallRefusal),
    /// The outcome of a change.
    Changed(ChangeOutcome),
    /// The configuration that the entry holds.
    Config(Box<ConfigValue>),
    /// Whether the entry accepts new work.
    Health(bool),
    /// The control state.
    Dump(serde_json::Value),
}

impl CallerReply {
    /// Returns the reply in the form that is sent to another entry that forwarded the call; nothing if calls with this reply
    /// are never forwarded.
    pub fn to_peer(&self) -> Option<PeerReply> {
        match self {
            Self::Answer(answer) => Some(PeerReply::Answer((**answer).clone())),
            Self::Pending => Some(PeerReply::Pending),
            Self::Refused(refusal) => Some(PeerReply::Refused(refusal.clone())),
            _ => None,
        }
    }
}

/// An action that the entry's control state requests from its embedder.
#[derive(Clone, Debug)]
pub enum EntryAction {
    /// Replies to a caller, an operator, or a peer that forwarded a call.
    Reply {
        /// Identifies who waits for the reply.
        reply: ReplyId,
        /// The reply.
        body: CallerReply,
    },
    /// Replies to a peer's own call.
    PeerReply {
        /// Identifies who waits for the reply.
        reply: ReplyId,
        /// The reply.
        envelope: Envelope<PeerReply>,
    },
    /// Sends a frame to an agent.
    Send {
        /// The session.
        session: SessionId,
        /// The frame.
        envelope: Envelope<EntryFrame>,
    },
    /// Closes a session.
    Close {
        /// The session.
        session: SessionId,
    },
    /// Calls another entry.
    CallPeer {
        /// Identifies the call.
        call: CallId,
        /// Where the peer listens, as `ip:port`.
        address: SmolStr,
        /// The call.
        envelope: Envelope<PeerCall>,
        /// Whether the reply may take as long as a job, so that the call needs a longer timeout.
        forwards_job: bool,
    },
    /// Calls the platform's store.
    CallPlatform {
        /// Identifies the call.
        call: CallId,
        /// The call.
        op: PlatformOp,
    },
    /// Logs an event.
    Log(EntryLog),
    /// The entry has drained and may exit.
    Drained,
}

/// Holds a log event: its name and its fields.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EntryLog {
    /// The event's name.
    pub event: &'static str,
    /// The fields, as `key=value` pairs.
    pub fields: String,
}
