//! The operators' configuration: one value under one key, changed only by edits that name what they touch.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt;

use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

use crate::ids::{ChangeId, ServiceName, TeamName, UpstreamName, ZoneName};
use crate::units::Revision;

/// Changes whose ids the value remembers, so that a lost answer can be settled by reading.
pub const REMEMBERED_CHANGES: usize = 256;

/// A `ConfigValue` is the whole configuration that is in force.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfigValue {
    /// Counts the accepted values; each change raises it by one under compare-and-swap.
    pub revision: Revision,
    /// Availability zones in which nothing may start.
    pub zones_out: BTreeSet<ZoneName>,
    /// Upstreams that may receive no new work.
    pub upstreams_retired: BTreeSet<UpstreamName>,
    /// Quotas of teams.
    pub teams: BTreeMap<TeamName, TeamPolicy>,
    /// Settings of services.
    pub services: BTreeMap<ServiceName, ServicePolicy>,
    /// The revision at which each subject was last changed.
    pub touched: BTreeMap<SmolStr, Revision>,
    /// The newest changes, oldest first.
    pub recent: Vec<AcceptedChange>,
}

/// An `AcceptedChange` is the memory of a change that took effect.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AcceptedChange {
    /// The change's id.
    pub id: ChangeId,
    /// The revision it made.
    pub revision: Revision,
}

/// A `TeamPolicy` is a team's quota.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TeamPolicy {
    /// Most tasks of the team that may be queued at or running on workers at once, over all entries.
    pub in_flight: u32,
}

/// A `ServicePolicy` is what the operators set for a service.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ServicePolicy {
    /// Most tasks of the service that one entry keeps waiting.
    pub queue_limit: u32,
}

/// A `ConfigEdit` is one step of a change.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ConfigEdit {
    /// Takes an availability zone out of service.
    ZoneOut(ZoneName),
    /// Brings an availability zone back.
    ZoneIn(ZoneName),
    /// Gives an upstream no more work.
    UpstreamRetire(UpstreamName),
    /// Gives an upstream work again.
    UpstreamRestore(UpstreamName),
    /// Sets a team's quota.
    TeamSet(TeamName, TeamPolicy),
    /// Sets a service's settings.
    ServiceSet(ServiceName, ServicePolicy),
}

impl ConfigEdit {
    /// Returns the subject the edit touches; two edits conflict when they touch the same one.
    pub fn subject(&self) -> SmolStr {
        let text = match self {
            Self::ZoneOut(zone) | Self::ZoneIn(zone) => format!("zone/{zone}"),
            Self::UpstreamRetire(upstream) | Self::UpstreamRestore(upstream) => format!("upstream/{upstream}"),
            Self::TeamSet(team, _) => format!("team/{team}"),
            Self::ServiceSet(service, _) => format!("service/{service}"),
        };
        SmolStr::new(text)
    }
}

/// A `ConfigChange` is what an operator asks for: edits that take effect together or not at all.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ConfigChange {
    /// The change's id; submitting it again has no further effect.
    pub id: ChangeId,
    /// The revision that the operator saw.
    pub based_on: Revision,
    /// The edits.
    pub edits: Vec<ConfigEdit>,
}

/// A `ChangeConflict` shows both sides of a refused change.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ChangeConflict {
    /// The subject that both changes touch.
    pub subject: SmolStr,
    /// The revision at which the other change touched it.
    pub touched_at: Revision,
    /// The revision that the refused change is based on.
    pub based_on: Revision,
}

impl fmt::Display for ChangeConflict {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} was changed at revision {}, after revision {}", self.subject, self.touched_at, self.based_on)
    }
}

/// A `ChangeOutcome` is what became of a change.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ChangeOutcome {
    /// The revision that the change made.
    pub revision: Revision,
    /// Whether processes in more than half of the availability zones hold it.
    pub in_force: bool,
    /// Processes that do not hold it yet.
    pub missing: Vec<SmolStr>,
}

impl ConfigValue {
    /// Returns the revision that change `id` made, if it is among the remembered ones.
    pub fn find_change(&self, id: &ChangeId) -> Option<Revision> {
        self.recent.iter().rev().find(|change| change.id == *id).map(|change| change.revision)
    }

    /// Returns the value after `change`, or the conflict with a later change of the same subject.
    pub fn apply(&self, change: &ConfigChange) -> Result<ConfigValue, ChangeConflict> {
        if let Some(conflict) = change.edits.iter().find_map(|edit| self.find_conflict(edit, change.based_on)) {
            return Err(conflict);
        }
        let mut value = self.clone();
        value.revision = self.revision.next();
        for edit in &change.edits {
            value.touched.insert(edit.subject(), value.revision);
            value.apply_edit(edit);
        }
        value.recent.push(AcceptedChange { id: change.id.clone(), revision: value.revision });
        let excess = value.recent.len().saturating_sub(REMEMBERED_CHANGES);
        value.recent.drain(..excess);
        Ok(value)
    }

    fn find_conflict(&self, edit: &ConfigEdit, based_on: Revision) -> Option<ChangeConflict> {
        let subject = edit.subject();
        let touched_at = *self.touched.get(&subject)?;
        (touched_at > based_on).then_some(ChangeConflict { subject, touched_at, based_on })
    }

    fn apply_edit(&mut self, edit: &ConfigEdit) {
        match edit.clone() {
            ConfigEdit::ZoneOut(zone) => drop(self.zones_out.insert(zone)),
            ConfigEdit::ZoneIn(zone) => drop(self.zones_out.remove(&zone)),
            ConfigEdit::UpstreamRetire(upstream) => drop(self.upstreams_retired.insert(upstream)),
            ConfigEdit::UpstreamRestore(upstream) => drop(self.upstreams_retired.remove(&upstream)),
            ConfigEdit::TeamSet(team, policy) => drop(self.teams.insert(team, policy)),
            ConfigEdit::ServiceSet(service, policy) => drop(self.services.insert(service, policy)),
        }
    }
}
