//! Dumps an entry's state for operators.

use serde_json::{json, Value};

use super::EntryControl;

impl EntryControl {
    /// Returns the entry's state as JSON, with counts in place of long lists.
    pub fn dump(&self) -> Value {
        json!({
            "home": self.home().to_string(),
            "zone": self.zone,
            "now": self.now.to_string(),
            "draining": self.is_draining,
            "drain_step": self.drain_step,
            "ownership_proven": self.is_ownership_proven(),
            "config": self.config.value(),
            "config_behind": self.config.is_outdated(),
            "platform_failing": self.pacer.is_failing(),
            "platform_calls_open": self.platform_ops.len(),
            "fleet_version": self.fleet.version(),
            "agents": self.fleet.agents().collect::<Vec<_>>(),
            "peers": self.peers.dump(),
            "owned_homes": self.ledger.owned_homes().map(|(home, generation)| json!({"home": home.to_string(), "generation": generation})).collect::<Vec<_>>(),
            "adoptions": self.dump_adoptions(),
            "open_breakers": self.breakers.open_breakers().iter().map(|(service, agent)| format!("{service}@{agent}")).collect::<Vec<_>>(),
            "jobs_open": self.ledger.open_jobs(),
            "jobs_remembered": self.ledger.retained_jobs(),
            "tasks_waiting": self.ledger.waiting_tasks(),
            "answer_bytes_kept": self.ledger.retained_bytes(),
            "calls_parked": self.parked.len(),
            "calls_forwarded": self.forwarded.len(),
            "counters": self.counters,
        })
    }
}
