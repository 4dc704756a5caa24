//! The operators' sheet: the changes of a day in one TOML file.

use std::collections::{BTreeMap, BTreeSet};

use serde::Deserialize;
use vanillacleat_core::config::{ConfigEdit, ServicePolicy, TeamPolicy};
use vanillacleat_core::ids::{ChangeId, ServiceName, TeamName, UpstreamName, ZoneName};
use vanillacleat_core::units::Revision;

/// A `ChangeSet` is a set of changes that take effect together.
#[derive(Clone, Debug, Default, PartialEq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct ChangeSet {
    /// The change's id.
    pub id: Option<ChangeId>,
    /// The revision that the planner saw.
    pub based_on: Option<Revision>,
    /// Availability zones to take out.
    pub zones_out: BTreeSet<ZoneName>,
    /// Availability zones to bring back.
    pub zones_in: BTreeSet<ZoneName>,
    /// Upstreams to retire.
    pub upstreams_retire: BTreeSet<UpstreamName>,
    /// Upstreams to restore.
    pub upstreams_restore: BTreeSet<UpstreamName>,
    /// Quotas of teams.
    pub teams: BTreeMap<TeamName, TeamPolicy>,
    /// Settings of services.
    pub services: BTreeMap<ServiceName, ServicePolicy>,
}

impl ChangeSet {
    /// Returns the sheet in `text`, or what is wrong with it.
    pub fn parse(text: &str) -> Result<Self, String> {
        let sheet: Self = toml::from_str(text).map_err(|error| error.to_string())?;
        if let Some(zone) = sheet.zones_out.intersection(&sheet.zones_in).next() {
            return Err(format!("availability zone {zone} stands under zones_out and zones_in"));
        }
        if let Some(upstream) = sheet.upstreams_retire.intersection(&sheet.upstreams_restore).next() {
            return Err(format!("upstream {upstream} stands under upstreams_retire and upstreams_restore"));
        }
        Ok(sheet)
    }

    /// Returns the sheet's edits.
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
