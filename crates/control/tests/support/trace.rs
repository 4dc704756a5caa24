//! Formats frames, calls and replies as short lines for the golden files. Functions that return an `Option` return `None`
//! for periodic messages such as heartbeats, which the golden files omit.

use vanillacleat_control::entry::{CallerReply, PlatformOp};
use vanillacleat_core::frames::{AgentFrame, EntryFrame, PeerCall, TaskAttempt, TaskResult, TaskStatus};
use vanillacleat_core::ids::TaskKey;
use vanillacleat_core::outcome::TaskOutcome;

pub fn format_agent_frame(frame: &AgentFrame) -> Option<String> {
    match frame {
        AgentFrame::Hello(hello) => Some(format!("hello agent={} zone={}", hello.worker.agent, hello.zone)),
        AgentFrame::FreshnessRequest(_) => None,
        AgentFrame::Results(results) => Some(format!("results {}", join(results.results.iter().map(format_result)))),
        AgentFrame::Inventory(inventory) => {
            let started = join(inventory.started.iter().map(format_result));
            Some(format!("inventory generation={} started=[{started}] sealed={:?}", inventory.generation, inventory.sealed))
        }
        AgentFrame::Sealed(reply) => Some(format!("sealed serials={:?} kept={}", reply.seal.serials, reply.is_recorded)),
        AgentFrame::ConfigRequest => Some("config_wanted".to_owned()),
    }
}

pub fn format_entry_frame(frame: &EntryFrame) -> Option<String> {
    match frame {
        EntryFrame::Welcome(_) | EntryFrame::FreshnessReply(_) => None,
        EntryFrame::Dispatch(dispatch) => {
            let tasks = dispatch.tasks.iter().map(|order| format!("{}#{}", format_key(&order.key), order.attempt));
            Some(format!("dispatch generation={} {}", dispatch.generation, join(tasks)))
        }
        EntryFrame::Cancel(recall) => Some(format!("cancel {}", join(recall.tasks.iter().map(format_attempt)))),
        EntryFrame::Reclaim(recall) => Some(format!("reclaim {}", join(recall.tasks.iter().map(format_attempt)))),
        EntryFrame::Fence(fence) => Some(format!("fence home={} generation={}", fence.home.entry, fence.generation)),
        EntryFrame::Seal(seal) => Some(format!("seal home={} serials={:?}", seal.fence.home.entry, seal.serials)),
        EntryFrame::Config(value) => Some(format!("config revision={}", value.revision)),
    }
}

pub fn format_peer_call(call: &PeerCall) -> Option<String> {
    match call {
        PeerCall::Submit(ticket, _) => Some(format!("submit {}/{}", ticket.home.entry, ticket.serial)),
        PeerCall::Query(ticket) => Some(format!("query {}/{}", ticket.home.entry, ticket.serial)),
        PeerCall::Cancel(ticket) => Some(format!("cancel {}/{}", ticket.home.entry, ticket.serial)),
        PeerCall::Handover(handover) => Some(format!("handover home={} answers={}", handover.fence.home.entry, handover.answers.len())),
        PeerCall::Heartbeat(_) | PeerCall::Config(_) => None,
    }
}

pub fn format_store_call(op: &PlatformOp) -> Option<String> {
    match op {
        PlatformOp::WriteConfig(version, value) => Some(format!("write_config expected={} revision={}", version.0, value.revision)),
        PlatformOp::ReadClaim(home) => Some(format!("read_claim home={}", home.entry)),
        PlatformOp::WriteClaim(home, version, claim) => Some(format!(
            "write_claim home={} expected={} owner={} generation={}",
            home.entry, version.0, claim.owner.entry, claim.generation
        )),
        PlatformOp::BindNames(bindings) => Some(format!("bind_names count={}", bindings.len())),
        PlatformOp::ReadConfig | PlatformOp::Announce(_) => None,
    }
}

pub fn format_reply(reply: &CallerReply) -> String {
    match reply {
        CallerReply::Answer(answer) => {
            let verdict = if answer.is_complete() { "complete" } else { "failed" };
            format!("{verdict} [{}]", join(answer.outcomes.iter().map(format_outcome)))
        }
        CallerReply::Pending => "pending".to_owned(),
        CallerReply::Refused(refusal) => format!("refused code={}", refusal.code),
        CallerReply::Changed(outcome) => format!("changed revision={} in_force={}", outcome.revision, outcome.in_force),
        CallerReply::Tickets(tickets) => format!("tickets count={}", tickets.len()),
        CallerReply::Config(value) => format!("config revision={}", value.revision),
        CallerReply::Health(is_ready) => format!("health ready={is_ready}"),
        CallerReply::Dump(_) => "dump".to_owned(),
    }
}

fn format_result(result: &TaskResult) -> String {
    let status = match &result.status {
        TaskStatus::Ended(outcome) => format_outcome(outcome),
        TaskStatus::Rejected(reason) => format!("bounced:{reason:?}"),
        TaskStatus::Held => "held".to_owned(),
        TaskStatus::Abandoned => "abandoned".to_owned(),
    };
    format!("{}={status}", format_key(&result.key))
}

fn format_outcome(outcome: &TaskOutcome) -> String {
    match outcome {
        TaskOutcome::Done(_) | TaskOutcome::Failed(_) => outcome.name().to_owned(),
        TaskOutcome::NotRun(reason) => format!("not_run:{}", reason.as_str()),
        TaskOutcome::Unknown(reason) => format!("unknown:{}", reason.as_str()),
    }
}

fn format_attempt(task: &TaskAttempt) -> String {
    format!("{}#{}", format_key(&task.key), task.attempt)
}

fn format_key(key: &TaskKey) -> String {
    format!("{}/{}/{}", key.home.entry, key.serial, key.task)
}

fn join(parts: impl Iterator<Item = String>) -> String {
    parts.collect::<Vec<_>>().join(" ")
}
