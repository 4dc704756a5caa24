//! The site plan: the routes that the operators of a deployment configure, and the availability zones that they take
//! out of service.

use std::collections::BTreeSet;
use std::sync::Arc;

use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

use crate::ids::{ServiceName, ZoneName};
use crate::units::{Millis, Revision};

/// A route to which callers submit jobs; its jobs wait in a queue of their own.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RouteRule {
    /// The route's name.
    pub name: SmolStr,
    /// Host that callers address, in lower case.
    pub host: SmolStr,
    /// Prefix of the paths that belong to the route.
    pub prefix: SmolStr,
    /// The service whose workers run the tasks.
    pub service: ServiceName,
    /// Maximum wait for a job's start, in milliseconds, where the caller sets no timeout.
    pub timeout: Millis,
    /// Constant part of the target for the time to a job's answer, in milliseconds.
    pub target_latency: Millis,
    /// Proportional part of that target, in percent of the expected run time of the job's longest chain of steps.
    pub slack_percent: u32,
    /// Priority of the route's jobs; zero is the highest.
    pub priority: u32,
    /// Number of failed runs of one task after which its job fails.
    pub attempts_max: u32,
}

/// One version of the routes.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RouteTable {
    /// Version that the operators set; a higher version replaces a lower one.
    pub version: Revision,
    /// The routes.
    pub routes: Vec<Arc<RouteRule>>,
    /// Maximum length of a request body, in bytes.
    pub body_bytes_max: u64,
}

impl RouteTable {
    /// Returns the route of `host` with the longest prefix of `path`, together with the rest of the path.
    pub fn find<'a>(&self, host: &str, path: &'a str) -> Option<(&Arc<RouteRule>, &'a str)> {
        let matching = self.routes.iter().filter(|route| route.host.eq_ignore_ascii_case(host));
        let matching = matching.filter_map(|route| path.strip_prefix(route.prefix.as_str()).map(|rest| (route, rest)));
        matching.max_by_key(|(route, _)| route.prefix.len())
    }
}

/// The operators' settings for the site, as far as a process knows them.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct SitePlan {
    /// The routes; absent until a first version has been read.
    pub table: Option<Arc<RouteTable>>,
    /// Availability zones that are out of service; their workers receive no tasks.
    pub zones_out: BTreeSet<ZoneName>,
    /// Revision of the store at which the zones were read.
    pub zones_revision: u64,
}

impl SitePlan {
    /// Adopts the parts of `other` that are newer, so that no version ever decreases. Returns whether the routes or the
    /// zones changed.
    pub fn merge(&mut self, other: &SitePlan) -> bool {
        let own_version = self.table.as_ref().map(|table| table.version);
        let has_newer_table = other.table.as_ref().map(|table| table.version) > own_version;
        let has_newer_zones = other.zones_revision > self.zones_revision;
        if has_newer_table {
            self.table.clone_from(&other.table);
        }
        let is_changed = has_newer_table || (has_newer_zones && other.zones_out != self.zones_out);
        if has_newer_zones {
            self.zones_out.clone_from(&other.zones_out);
            self.zones_revision = other.zones_revision;
        }
        is_changed
    }

    /// Returns the plan without its routes, for processes that need not hold them.
    pub fn without_routes(&self) -> Self {
        Self { table: None, zones_out: self.zones_out.clone(), zones_revision: self.zones_revision }
    }

    /// Returns the version of the routes; zero if none have been read.
    pub fn version(&self) -> Revision {
        self.table.as_ref().map_or(Revision(0), |table| table.version)
    }
}
