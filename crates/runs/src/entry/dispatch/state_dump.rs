//! The dump of an entry's state for operators.

use serde_json::{json, Value};

use super::DispatchControl;
use crate::entry::workers::worker_capacity::WorkerCapacity;

impl DispatchControl {
    /// Returns the entry's state as JSON, for operators.
    pub fn dump(&self) -> Value {
        let jobs = self.job_table.jobs().map(|job| {
            json!({
                "job": job.job.id.to_string(),
                "route": job.route.name,
                "phase": format!("{:?}", job.phase()),
                "arrived": job.arrived_at.to_string(),
                "wanted": job.times.target_at.to_string(),
                "runs": job.sent_runs().iter().map(|(sent, agent)| format!("{}@{agent}", sent.run)).collect::<Vec<_>>(),
            })
        });
        let workers = self.worker_registry.workers().map(|worker| {
            json!({
                "agent": worker.agent,
                "zone": worker.zone,
                "is_connected": worker.session.is_some(),
                "is_usable": self.worker_registry.is_usable(self.now, worker),
                "room_millicores": worker.free_capacity().millicores,
                "runs": worker.runs,
                "entries": worker.entries,
                "report_delay_ms": worker.report_delay.as_millis(),
                "heard": worker.last_received_at.to_string(),
                "kind": worker.kind(),
                "is_slow": worker.is_slow,
                "speeds": self.dump_speeds(worker),
            })
        });
        json!({
            "zone": self.options.zone,
            "now": self.now.to_string(),
            "plan_version": self.plan.version(),
            "zones_out": self.plan.zones_out,
            "is_draining": self.is_draining(),
            "is_strained": self.load.is_strained(),
            "awaits_callers": self.resume_barrier.is_raised(),
            "entries": self.entries.iter().map(|entry| &entry.address).collect::<Vec<_>>(),
            "peers": self.dump_peers(),
            "claims": self.dump_claims(),
            "workers": workers.collect::<Vec<_>>(),
            "crash_suspects": self.crash_log.len(),
            "confined_routes": self.worker_registry.quarantine().confined_routes().collect::<Vec<_>>(),
            "speeds_refused": self.worker_registry.refused_speeds(),
            "cold_factor": self.worker_registry.speed_table().cold_factor(),
            "jobs": jobs.collect::<Vec<_>>(),
        })
    }

    /// Returns the expected ratios of run time to estimate at a worker in percent, by route.
    fn dump_speeds(&self, worker: &WorkerCapacity) -> Value {
        let speed_table = self.worker_registry.speed_table();
        let percent = |ratio: f64| (ratio * 100.0).round() as u64;
        let speeds = speed_table.routes().map(|(index, route)| {
            let ratio = speed_table.ratio(self.now, index, worker);
            let runs = worker.speeds.get(route).map_or(0, |speed| speed.runs);
            (route.to_string(), json!({ "expected_percent": percent(ratio.expected), "runs": runs }))
        });
        Value::Object(speeds.collect())
    }
}
