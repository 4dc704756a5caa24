//! Schedules faults and configuration changes and injects them into a deployment.

use std::sync::Arc;
use std::time::{Duration, Instant};

use vanillacleat_client::CallerClient;
use vanillacleat_core::api::ChangeRequest;
use vanillacleat_core::config::ConfigEdit;
use vanillacleat_standin::{PlatformFaults, UpstreamFaults};

use super::settings::{FaultKind, LoadFault};
use crate::deployment::LocalDeployment;

/// The start or the end of a fault.
#[derive(Clone, Debug)]
pub struct FaultStep {
    /// Time of the step, counted from the start of the arrivals.
    pub offset: Duration,
    /// The fault.
    pub fault: LoadFault,
    /// Whether the fault ends with this step; otherwise it starts.
    pub is_end: bool,
}

/// A change of the configuration, as the operator who submitted it observed it.
#[derive(Clone, Debug)]
pub struct ChangeObservation {
    /// Kind of the fault that the change belongs to.
    pub kind: FaultKind,
    /// Index of the agent whose availability zone or upstream is changed.
    pub index: usize,
    /// Whether the change takes the availability zone or the upstream out of service; otherwise it brings it back.
    pub is_removal: bool,
    /// When the operator sent the change.
    pub requested_at: Instant,
    /// When the change was accepted; `None` if it was not.
    pub accepted_at: Option<Instant>,
}

/// Returns the starts and ends of the faults, ordered by time.
pub fn plan_steps(faults: &[LoadFault]) -> Vec<FaultStep> {
    let start = |fault: &LoadFault| FaultStep { offset: Duration::from_secs_f64(fault.at), fault: fault.clone(), is_end: false };
    let end =
        |fault: &LoadFault| FaultStep { offset: Duration::from_secs_f64(fault.at + fault.seconds), fault: fault.clone(), is_end: true };
    let mut steps: Vec<FaultStep> = faults.iter().map(start).collect();
    steps.extend(faults.iter().filter(|fault| fault.seconds > 0.0).map(end));
    steps.sort_by_key(|step| step.offset);
    steps
}

/// Executes one step. If the step is a change of the configuration, submits the change and returns what its operator
/// observed. Does nothing for a cancel wave, which the caller of this function handles.
pub fn apply_step(deployment: &mut LocalDeployment, client: &Arc<CallerClient>, step: &FaultStep) -> Option<ChangeObservation> {
    let FaultStep { fault, is_end, .. } = step;
    let index = fault.index;
    let duration = Duration::from_secs_f64(fault.seconds);
    match fault.kind {
        FaultKind::ZoneOut | FaultKind::UpstreamRetire => return Some(submit_change(deployment, client, fault, !is_end)),
        FaultKind::UpstreamStall => {
            let stall = if *is_end { Duration::ZERO } else { duration };
            deployment.upstreams[index].set_faults(UpstreamFaults { stall, ..UpstreamFaults::default() });
        }
        FaultKind::UpstreamBroken => {
            deployment.upstreams[index].set_faults(UpstreamFaults { is_broken: !is_end, ..UpstreamFaults::default() })
        }
        FaultKind::AgentKill if *is_end => {
            if let Err(error) = deployment.start_agent(index) {
                log::error!("event=agent_not_restarted agent={index} cause={error:?}");
            }
        }
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

/// Submits the change of a zone or upstream fault and waits until it is accepted or refused.
fn submit_change(deployment: &LocalDeployment, client: &Arc<CallerClient>, fault: &LoadFault, is_removal: bool) -> ChangeObservation {
    let settings = &deployment.agent_settings[fault.index];
    let zone = settings.zone.clone();
    let make_upstream = || format!("upstream-{}", settings.id).parse().expect("the name is valid");
    let edit = match (fault.kind, is_removal) {
        (FaultKind::ZoneOut, true) => ConfigEdit::ZoneOut(zone),
        (FaultKind::ZoneOut, false) => ConfigEdit::ZoneIn(zone),
        (_, true) => ConfigEdit::UpstreamRetire(make_upstream()),
        (_, false) => ConfigEdit::UpstreamRestore(make_upstream()),
    };
    let requested_at = Instant::now();
    let id = format!("load-{:016x}", rand::random::<u64>()).parse().expect("the id is valid");
    let accepted_at = deployment.runtime.block_on(async {
        let based_on = client.read_config().await.ok()?.revision;
        let outcome = client.change_config(&ChangeRequest { id, based_on, edits: vec![edit] }).await.ok()?;
        outcome.in_force.then(Instant::now)
    });
    ChangeObservation { kind: fault.kind, index: fault.index, is_removal, requested_at, accepted_at }
}
