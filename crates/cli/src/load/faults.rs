//! Carries out the schedule of faults.

use std::sync::Arc;
use std::time::{Duration, Instant};

use vanillacleat_agent::AgentDaemon;
use vanillacleat_client::CallerClient;
use vanillacleat_core::api::ChangeRequest;
use vanillacleat_core::config::ConfigEdit;
use vanillacleat_standin::{PlatformFaults, UpstreamFaults};

use super::settings::{FaultKind, LoadFault};
use crate::deployment::LocalDeployment;

/// A `FaultStep` is the start or the end of a fault.
#[derive(Clone, Debug)]
pub struct FaultStep {
    /// When, after the first arrival.
    pub at: Duration,
    /// The fault.
    pub fault: LoadFault,
    /// Whether the fault ends.
    pub is_end: bool,
}

/// A `ChangeSeen` is an operators' change with its times.
#[derive(Clone, Debug)]
pub struct ChangeSeen {
    /// The fault's kind.
    pub kind: FaultKind,
    /// The agent that it is about.
    pub index: usize,
    /// Whether it takes something out.
    pub is_out: bool,
    /// When the operator asked.
    pub asked_at: Instant,
    /// When the change was accepted; absent if it was not.
    pub accepted_at: Option<Instant>,
}

/// Returns the steps of a schedule in order.
pub fn plan_steps(faults: &[LoadFault]) -> Vec<FaultStep> {
    let start = |fault: &LoadFault| FaultStep { at: Duration::from_secs_f64(fault.at), fault: fault.clone(), is_end: false };
    let end = |fault: &LoadFault| FaultStep { at: Duration::from_secs_f64(fault.at + fault.seconds), fault: fault.clone(), is_end: true };
    let mut steps: Vec<FaultStep> = faults.iter().map(start).collect();
    steps.extend(faults.iter().filter(|fault| fault.seconds > 0.0).map(end));
    steps.sort_by_key(|step| step.at);
    steps
}

/// Carries out one step. Changes of the operators are returned as they were seen.
pub fn apply_step(deployment: &mut LocalDeployment, client: &Arc<CallerClient>, step: &FaultStep) -> Option<ChangeSeen> {
    let FaultStep { fault, is_end, .. } = step;
    let index = fault.index;
    let span = Duration::from_secs_f64(fault.seconds);
    match fault.kind {
        FaultKind::ZoneOut | FaultKind::UpstreamRetire => return Some(change(deployment, client, fault, !is_end)),
        FaultKind::UpstreamStall => {
            let stall = if *is_end { Duration::ZERO } else { span };
            deployment.upstreams[index].set_faults(UpstreamFaults { stall, ..UpstreamFaults::default() });
        }
        FaultKind::UpstreamBroken => {
            deployment.upstreams[index].set_faults(UpstreamFaults { is_broken: !is_end, ..UpstreamFaults::default() })
        }
        FaultKind::AgentKill if *is_end => deployment.agents[index] = AgentDaemon::start(&deployment.agent_settings[index]).ok(),
        FaultKind::AgentKill => drop(deployment.agents[index].take()),
        FaultKind::AgentPause => deployment.agents[index].iter().for_each(|agent| agent.pause().set(!is_end)),
        FaultKind::EntryKill => drop(deployment.entries[index].take()),
        FaultKind::EntryPause => deployment.entries[index].iter().for_each(|entry| entry.pause().set(!is_end)),
        FaultKind::PlatformDown => deployment.platform.set_faults(PlatformFaults { is_down: !is_end, ..PlatformFaults::default() }),
        FaultKind::PlatformSlow => {
            let delay = if *is_end { Duration::ZERO } else { Duration::from_secs(1) };
            deployment.platform.set_faults(PlatformFaults { delay, ..PlatformFaults::default() });
        }
        FaultKind::PlatformSilent => {
            let lose_answer_every = if *is_end { 0 } else { 2 };
            deployment.platform.set_faults(PlatformFaults { lose_answer_every, ..PlatformFaults::default() });
        }
        FaultKind::CancelWave => {}
    }
    None
}

fn change(deployment: &LocalDeployment, client: &Arc<CallerClient>, fault: &LoadFault, is_out: bool) -> ChangeSeen {
    let settings = &deployment.agent_settings[fault.index];
    let zone = settings.zone.clone();
    let upstream = || format!("upstream-{}", settings.id).parse().expect("the name is valid");
    let edit = match (fault.kind, is_out) {
        (FaultKind::ZoneOut, true) => ConfigEdit::ZoneOut(zone),
        (FaultKind::ZoneOut, false) => ConfigEdit::ZoneIn(zone),
        (_, true) => ConfigEdit::UpstreamRetire(upstream()),
        (_, false) => ConfigEdit::UpstreamRestore(upstream()),
    };
    let asked_at = Instant::now();
    let id = format!("load-{:016x}", rand::random::<u64>()).parse().expect("the id is valid");
    let accepted = deployment.runtime.block_on(async {
        let based_on = client.read_config().await.ok()?.revision;
        let outcome = client.change_config(&ChangeRequest { id, based_on, edits: vec![edit] }).await.ok()?;
        outcome.in_force.then(Instant::now)
    });
    ChangeSeen { kind: fault.kind, index: fault.index, is_out, asked_at, accepted_at: accepted }
}
