//! The operators' configuration. It is one value under one key of the platform's store. Changes consist of edits, each
//! of which names the subject it changes, so that conflicting changes are detected.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt;

use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

use crate::ids::{ChangeId, ServiceName, TeamName, UpstreamName, ZoneName};
use crate::units::Revision;

/// Number of recent changes whose ids are kept in the configuration. An operator who missed the answer to a change can
/// read from them whether it took effect.
pub const REMEMBERED_CHANGES_MAX: usize = 256;

/// One revision of the whole configuration.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfigValue {
    /// Number of the revision. Each accepted change is stored by compare-and-swap and raises it by one.
    pub revision: Revision,
    /// Availability zones that are out of service: no task may start in them.
    pub zones_out: BTreeSet<ZoneName>,
    /// Retired upstreams, which receive no new tasks.
    pub upstreams_retired: BTreeSet<UpstreamName>,
    /// Quota of each team that has one.
    pub teams: BTreeMap<TeamName, TeamPolicy>,
    /// Policy of each service that has one.
    pub services: BTreeMap<ServiceName, ServicePolicy>,
    /// The revision at which each subject was last changed; see [`ConfigEdit::subject`].
    pub touched: BTreeMap<SmolStr, Revision>,
    /// The newest [`REMEMBERED_CHANGES_MAX`] changes, oldest first.
    pub recent: Vec<AcceptedChange>,
}

/// Records a change that took effect.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AcceptedChange {
    /// The change's id.
    pub id: ChangeId,
    /// The revision that the change created.
    pub revision: Revision,
}

/// A team's quota.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TeamPolicy {
    /// Maximum number of the team's tasks that are queued at or running on workers at once, summed over all entries.
    pub in_flight: u32,
}

/// The operators' limits for a service.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ServicePolicy {
    /// Maximum number of the service's tasks that wait at one entry.
    pub queue_limit: u32,
}

/// One edit of a change.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ConfigEdit {
    /// Takes an availability zone out of service.
    ZoneOut(ZoneName),
    /// Puts an availability zone back into service.
    ZoneIn(ZoneName),
    /// Retires an upstream, which then receives no new tasks.
    UpstreamRetire(UpstreamName),
    /// Lets a retired upstream receive tasks again.
    UpstreamRestore(UpstreamName),
    /// Sets a team's quota.
    TeamSet(TeamName, TeamPolicy),
    /// Sets a service's limits.
    ServiceSet(ServiceName, ServicePolicy),
}

impl ConfigEdit {
    /// Returns the subject that the edit changes. Edits of the same subject conflict.
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

/// A change requested by an operator: edits that take effect together or not at all.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ConfigChange {
    /// Identifies the change. Submitting it again has no further effect while it is among the recent changes.
    pub id: ChangeId,
    /// The revision that the operator read before making the change.
    pub based_on: Revision,
    /// The edits, in the order in which they are applied.
    pub edits: Vec<ConfigEdit>,
}

/// Why a change was refused: a subject that it edits was changed after the revision that it is based on.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ChangeConflict {
    /// The subject that both changes edit.
    pub subject: SmolStr,
    /// The revision at which the subject was last changed.
    pub touched_at: Revision,
    /// The revision that the refused change is based on.
    pub based_on: Revision,
}

impl fmt::Display for ChangeConflict {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} was changed at revision {}, after revision {}", self.subject, self.touched_at, self.based_on)
    }
}

/// The effect of an accepted change.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ChangeOutcome {
    /// The revision that the change created.
    pub revision: Revision,
    /// Whether processes in more than half of the availability zones hold the revision.
    pub in_force: bool,
    /// Processes that do not hold the revision yet.
    pub missing: Vec<SmolStr>,
}

impl ConfigValue {
    /// Returns the revision that change `id` created, if it is among the recent changes.
    pub fn find_change(&self, id: &ChangeId) -> Option<Revision> {
        self.recent.iter().rev().find(|change| change.id == *id).map(|change| change.revision)
    }

    /// Returns the next revision with `change` applied, or the conflict with a later change of the same subject.
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
        let excess = value.recent.len().saturating_sub(REMEMBERED_CHANGES_MAX);
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
