//! Embeds the start gate in another program. The gate starts a task at most once: the second attempt of the same task starts
//! nothing and returns the state of the first.

use smol_str::SmolStr;
use vanillacleat_control::gate::{StartGate, UpstreamAnnouncement};
use vanillacleat_core::errors::Error;
use vanillacleat_core::frames::TaskOrder;
use vanillacleat_core::ids::{HomeKey, Incarnation, TaskKey};
use vanillacleat_core::settings::{FreshnessPolicy, GateSettings};
use vanillacleat_core::units::{Generation, Millis, MonoTime};

fn main() -> Result<(), Error> {
    let settings = GateSettings { freshness: FreshnessPolicy::Open, ..GateSettings::default() };
    let mut gate = StartGate::new("burgos".parse()?, settings);
    let now = MonoTime::from_millis(1);
    let address = SmolStr::new_static("127.0.0.1:9000");
    let announcement =
        UpstreamAnnouncement { upstream: "pricing-1".parse()?, service: "pricing".parse()?, address, slots: 8, connections: 64 };
    gate.upstreams().record_announcement(now, announcement);
    let home = HomeKey { entry: "my-program".parse()?, incarnation: Incarnation(1) };
    let key = TaskKey { home, serial: 0, task: 0 };
    for attempt in 1..=2 {
        let order = TaskOrder { key: key.clone(), attempt, service: "pricing".parse()?, left_ms: Millis(500), payload: "lot 7".to_owned() };
        let known = gate.admit(now, Generation(0), order);
        let starts = gate.start_ready(now);
        println!("attempt={attempt} known={} starts={}", known.is_some(), starts.len());
    }
    Ok(())
}
