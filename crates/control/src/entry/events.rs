//! What happens to an entry and what it wants done.

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

/// `EntryOptions` are what an entry starts with.
#[derive(Clone, Debug)]
pub struct EntryOptions {
    /// The entry's stable name.
    pub id: EntryId,
    /// This run's number, drawn at random.
    pub incarnation: Incarnation,
    /// The entry's availability zone.
    pub zone: ZoneName,
    /// Every availability zone of the deployment.
    pub zones: Vec<ZoneName>,
    /// Where the entry listens for the system's own frames, as `ip:port`.
    pub address: SmolStr,
    /// Addresses of other entries.
    pub seeds: Vec<SmolStr>,
    /// The key of tickets.
    pub secret: TicketSecret,
    /// How work is placed and bounded.
    pub policy: PolicySettings,
    /// Seed of every random choice.
    pub seed: u64,
}

/// An `EntryEvent` is something that happened.
#[derive(Clone, Debug)]
pub enum EntryEvent {
    /// A caller or an operator called.
    Caller {
        /// Who waits.
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
    /// Another entry called.
    PeerCalled {
        /// Who waits.
        reply: ReplyId,
        /// The call.
        call: Envelope<PeerCall>,
    },
    /// Another entry answered, or the call failed.
    PeerReplied {
        /// The call.
        call: CallId,
        /// The answer; absent if it may never come.
        reply: Option<Envelope<PeerReply>>,
    },
    /// The platform answered, or the call failed.
    PlatformReplied {
        /// The call.
        call: CallId,
        /// The answer.
        reply: PlatformReply,
    },
    /// The process was asked to leave.
    Drain,
    /// Time passed.
    Tick,
}

/// A `CallerCall` is what a caller or an operator asks.
#[derive(Clone, Debug)]
pub enum CallerCall {
    /// Gives out tickets.
    Tickets(usize),
    /// Submits a job and waits for its answer.
    Submit(Ticket, JobSpec),
    /// Submits a job under the caller's own name.
    SubmitNamed(JobName, JobSpec),
    /// Runs one task; the flag says that it is idempotent.
    Request(JobSpec, bool),
    /// Asks for a job's answer without waiting.
    Query(Ticket),
    /// Cancels a job.
    Cancel(Ticket),
    /// Changes the configuration.
    Change(ConfigChange),
    /// Reads the configuration.
    ReadConfig,
    /// Asks whether new work is taken.
    Health,
    /// Dumps the control state.
    Dump,
}

/// A `CallerReply` is the answer to a [`CallerCall`].
#[derive(Clone, Debug)]
pub enum CallerReply {
    /// New tickets.
    Tickets(Vec<Ticket>),
    /// A job's whole answer.
    Answer(Arc<JobAnswer>),
    /// The job is known and not yet answered.
    Pending,
    /// The call was refused.
    Refused(CallRefusal),
    /// What became of a change.
    Changed(ChangeOutcome),
    /// The configuration in force.
    Config(Box<ConfigValue>),
    /// Whether new work is taken.
    Health(bool),
    /// The control state.
    Dump(serde_json::Value),
}

impl CallerReply {
    /// Returns the reply as it travels to another entry that forwarded the call.
    pub fn to_peer(&self) -> Option<PeerReply> {
        match self {
            Self::Answer(answer) => Some(PeerReply::Answer((**answer).clone())),
            Self::Pending => Some(PeerReply::Pending),
            Self::Refused(refusal) => Some(PeerReply::Refused(refusal.clone())),
            _ => None,
        }
    }
}

/// An `EntryAction` is something to be done.
#[derive(Clone, Debug)]
pub enum EntryAction {
    /// Answers a caller, an operator, or a peer that forwarded a call.
    Reply {
        /// Who waits.
        reply: ReplyId,
        /// The answer.
        body: CallerReply,
    },
    /// Answers a peer's own call.
    PeerReply {
        /// Who waits.
        reply: ReplyId,
        /// The answer.
        envelope: Envelope<PeerReply>,
    },
    /// Sends a frame to an agent.
    Send {
        /// The session.
        session: SessionId,
        /// The frame.
        envelope: Envelope<EntryFrame>,
    },
    /// Ends a session.
    Close {
        /// The session.
        session: SessionId,
    },
    /// Calls another entry.
    CallPeer {
        /// Names the call.
        call: CallId,
        /// Where the peer listens, as `ip:port`.
        address: SmolStr,
        /// The call.
        envelope: Envelope<PeerCall>,
        /// Whether the answer may take as long as a job.
        is_long: bool,
    },
    /// Calls the platform.
    CallPlatform {
        /// Names the call.
        call: CallId,
        /// The call.
        op: PlatformOp,
    },
    /// A log event.
    Log(EntryLog),
    /// The entry has drained and may exit.
    Drained,
}

/// An `EntryLog` is an event for the log: a name and key=value fields.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EntryLog {
    /// The event's name.
    pub event: &'static str,
    /// The fields, as `key=value` pairs.
    pub fields: String,
}
