//! The site plan and the entry options that several tests use.

use std::sync::Arc;
use std::time::Duration;

use smol_str::SmolStr;
use vanillacleat_core::ids::{Incarnation, ProcessStart};
use vanillacleat_core::site_plan::{RouteRule, RouteTable, SitePlan};
use vanillacleat_core::units::{Millis, Revision};
use vanillacleat_runs::entry::DispatchOptions;
use vanillacleat_runs::LeaseTerms;

use super::callers::RESUBMIT_AFTER;

/// Returns a plan with one route, `/bids/` at `desk.example`, whose jobs fail once a task has failed `attempts_max` times.
pub fn make_plan(attempts_max: u32) -> SitePlan {
    let route = RouteRule {
        name: SmolStr::new_static("bids"),
        host: SmolStr::new_static("desk.example"),
        prefix: SmolStr::new_static("/bids/"),
        service: "desk".parse().expect("a valid name"),
        timeout: Millis(1_500),
        target_latency: Millis(60),
        slack_percent: 160,
        priority: 0,
        attempts_max,
    };
    let table = RouteTable { version: Revision(1), routes: vec![Arc::new(route)], body_bytes_max: 100_000 };
    SitePlan { table: Some(Arc::new(table)), zones_revision: 1, ..SitePlan::default() }
}

/// Returns the options of an entry in the availability zone of this number.
pub fn make_options(zone: usize) -> DispatchOptions {
    DispatchOptions {
        incarnation: Incarnation(zone as u64),
        process_start: ProcessStart(1),
        address: SmolStr::new(format!("entry-{zone}")),
        zone: format!("zone-{zone}").parse().expect("a valid name"),
        lease_terms: LeaseTerms::default(),
        resubmit_after: RESUBMIT_AFTER,
        drain_delay: Duration::from_secs(3),
        drain_timeout: Duration::from_secs(5),
    }
}
