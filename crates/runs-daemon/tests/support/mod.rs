//! The site plan of the tests of entries.

use std::sync::Arc;
use std::time::Duration;

use smol_str::SmolStr;
use vanillacleat_core::site_plan::{RouteRule, RouteTable, SitePlan};
use vanillacleat_core::units::{Millis, Revision};

/// The route's timeout. A request that waits for less is a resubmission.
pub const ROUTE_TIMEOUT: Duration = Duration::from_secs(60);

/// Returns a plan with one route, `/bids/` at `desk.example`.
pub fn make_plan() -> SitePlan {
    let route = RouteRule {
        name: SmolStr::new_static("bids"),
        host: SmolStr::new_static("desk.example"),
        prefix: SmolStr::new_static("/bids/"),
        service: "desk".parse().expect("a valid name"),
        timeout: Millis::from_duration(ROUTE_TIMEOUT),
        target_latency: Millis::from_duration(ROUTE_TIMEOUT),
        slack_percent: 160,
        priority: 0,
        attempts_max: 2,
    };
    let table = RouteTable { version: Revision(1), routes: vec![Arc::new(route)], body_bytes_max: 100_000 };
    SitePlan { table: Some(Arc::new(table)), zones_revision: 1, ..SitePlan::default() }
}
