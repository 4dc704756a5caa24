//! Change sets: several configuration changes that operators write into one TOML file, such as the changes of a day.

use std::collections::{BTreeMap, BTreeSet};

use serde::Deserialize;
use vanillacleat_core::config::{ConfigEdit, ServicePolicy, TeamPolicy};
use vanillacleat_core::ids::{ChangeId, ServiceName, TeamName, UpstreamName, ZoneName};
use vanillacleat_core::units::Revision;

/// Configuration changes that are applied together or not at all. The field names are the keys of the TOML file.
#[derive(Clone, Debug, Default, PartialEq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct ChangeSet {
    /// Id of the change. A change with an id that was accepted before has no further effect.
    pub id: Option<ChangeId>,
    /// Revision of the configuration that the author of the file worked from.
    pub based_on: Option<Revision>,
    /// Availability zones to take out of service.
    pub zones_out: BTreeSet<ZoneName>,
    /// Availability zones to bring back into service.
    pub zones_in: BTreeSet<ZoneName>,
    /// Upstreams to retire.
    pub upstreams_retire: BTreeSet<UpstreamName>,
    /// Upstreams to restore.
    pub upstreams_restore: BTreeSet<UpstreamName>,
    /// Quotas of teams, by team.
    pub teams: BTreeMap<TeamName, TeamPolicy>,
    /// Settings of services, by service.
    pub services: BTreeMap<ServiceName, ServicePolicy>,
}

impl ChangeSet {
    /// Parses a change set in TOML. The error states why it is invalid. A zone or upstream must not be both taken out
    /// of service and brought back.
    pub fn parse(text: &str) -> Result<Self, String> {
        let change_set: Self = toml::from_str(text).map_err(|error| error.to_string())?;
        if let Some(zone) = change_set.zones_out.intersection(&change_set.zones_in).next() {
            return Err(format!("availability zone {zone} is listed under both zones_out and zones_in"));
        }
        if let Some(upstream) = change_set.upstreams_retire.intersection(&change_set.upstreams_restore).next() {
            return Err(format!("upstream {upstream} is listed under both upstreams_retire and upstreams_restore"));
        }
        Ok(change_set)
    }

    /// Returns the edits of the configuration, in the order in which they are applied.
    pub fn edits(&self) -> Vec<ConfigEdit> {
        let zones_out = self.zones_out.iter().cloned().map(ConfigEdit::ZoneOut);
        let zones_in = self.zones_in.iter().cloned().map(ConfigEdit::ZoneIn);
        let retired = self.upstreams_retire.iter().cloned().map(ConfigEdit::UpstreamRetire);
        let restored = self.upstreams_restore.iter().cloned().map(ConfigEdit::UpstreamRestore);
        let teams = self.teams.iter().map(|(team, policy)| ConfigEdit::TeamSet(team.clone(), *policy));
        let services = self.services.iter().map(|(service, policy)| ConfigEdit::ServiceSet(service.clone(), *policy));
        zones_out.chain(zones_in).chain(retired).chain(restored).chain(teams).chain(services).collect()
    }
}
