//! Embeds the placement in another program: of three workers that report different loads, it chooses the least loaded one.

use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use vanillacleat_control::breaker::BreakerRegistry;
use vanillacleat_control::fleet::{FleetView, PlacementRequest, PlacementRule};
use vanillacleat_control::SessionId;
use vanillacleat_core::config::ConfigValue;
use vanillacleat_core::errors::Error;
use vanillacleat_core::frames::{AgentHello, LoadReport, UpstreamInfo};
use vanillacleat_core::ids::{Incarnation, WorkerKey};
use vanillacleat_core::job::TaskDemand;
use vanillacleat_core::run_frames::SessionOrder;
use vanillacleat_core::settings::PlacementPolicy;
use vanillacleat_core::units::MonoTime;

fn main() -> Result<(), Error> {
    let now = MonoTime::from_millis(1);
    let mut fleet = FleetView::default();
    for (index, running) in [6, 2, 4].into_iter().enumerate() {
        let worker = WorkerKey { agent: format!("worker-{index}").parse()?, incarnation: Incarnation(1) };
        let upstream = UpstreamInfo { upstream: format!("upstream-{index}").parse()?, service: "pricing".parse()?, slots: 8 };
        let load = LoadReport { queued: 0, running, mine: 0, upstreams: vec![upstream] };
        let hello = AgentHello { worker, order: SessionOrder::default(), zone: "burgos".parse()?, capacity: TaskDemand::default(), load };
        fleet.record_hello(now, SessionId(index as u64), &hello, 0);
    }
    let rule = PlacementRule { policy: PlacementPolicy::LateBinding, overcommit: 1, zone: "burgos".parse()?, rank: (0, 1) };
    let (service, config) = ("pricing".parse()?, ConfigValue::default());
    let request =
        PlacementRequest { service: &service, demand: &TaskDemand::default(), config: &config, announced_version: fleet.version() };
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    let chosen = fleet.choose(now, &rule, request, &BreakerRegistry::new(50), &mut rng);
    println!("chosen={}", chosen.map_or("none", |view| view.worker.agent.as_str()));
    Ok(())
}
