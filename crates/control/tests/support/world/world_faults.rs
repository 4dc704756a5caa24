//! Carries out faults.

use std::time::Duration;

use vanillacleat_control::entry::CallerCall;
use vanillacleat_control::entry::EntryEvent;
use vanillacleat_control::SessionId;
use vanillacleat_core::config::ConfigEdit;

use super::{zone_name, FaultKind, Waiter, World, WorldEvent};

impl World {
    pub(super) fn apply_fault(&mut self, kind: FaultKind) {
        let (entries, agents) = (self.entries.len(), self.agents.len());
        let millis = Duration::from_millis;
        match kind {
            FaultKind::KillEntry(index) => {
                let others = self.entries.iter().filter(|node| node.control.is_some()).count();
                if others > 1 {
                    self.stop_entry(index % entries);
                }
            }
            FaultKind::RestartEntry(index) => {
                self.stop_entry(index % entries);
                let at = self.now + millis(700);
                self.push(at, WorldEvent::StartEntry(index % entries));
            }
            FaultKind::PauseEntry(index, span) => self.entries[index % entries].paused_until = self.now + millis(span),
            FaultKind::RestartAgent(index) => {
                let index = index % agents;
                self.agents[index].control = None;
                self.agents[index].run += 1;
                let links: Vec<SessionId> =
                    self.links.iter().filter(|(_, link)| link.agent == index).map(|(session, _)| *session).collect();
                links.into_iter().for_each(|session| self.break_link(session));
                self.push(self.now + millis(400), WorldEvent::StartAgent(index));
            }
            FaultKind::PauseAgent(index, span) => self.agents[index % agents].paused_until = self.now + millis(span),
            FaultKind::BreakLink(index) => {
                let up: Vec<SessionId> = self.links.iter().filter(|(_, link)| link.is_up).map(|(session, _)| *session).collect();
                if !up.is_empty() {
                    self.break_link(up[index % up.len()]);
                }
            }
            FaultKind::CutPeers(span) => self.peers_cut_until = self.now + millis(span),
            FaultKind::StoreDown(span) => self.store.down_until = self.now + millis(span),
            FaultKind::StoreSilent(span) => self.store.silent_until = self.now + millis(span),
            FaultKind::ZoneOut(index) => self.change(index % entries, ConfigEdit::ZoneOut(zone_name(index))),
            FaultKind::ZoneIn(index) => {
                let zone = zone_name(index);
                let now = self.now;
                self.zone_ins.insert(zone.clone(), now);
                self.zone_outs.iter_mut().filter(|out| out.zone == zone).for_each(|out| out.asked_in_at = out.asked_in_at.or(Some(now)));
                self.change(index % entries, ConfigEdit::ZoneIn(zone));
            }
            FaultKind::CancelJob(index) => {
                let job = index % self.jobs.len();
                let entry = index % entries;
                if let (Some(ticket), true) = (self.jobs[job].ticket.clone(), self.entries[entry].control.is_some()) {
                    self.ask(entry, CallerCall::Cancel(ticket), Waiter::Job(job));
                }
            }
            FaultKind::DrainEntry(index) => {
                let index = index % entries;
                let run = self.entries[index].run;
                let others = self.entries.iter().filter(|node| node.control.is_some()).count();
                if others > 1 {
                    self.push(self.now, WorldEvent::Entry { index, run, event: EntryEvent::Drain });
                }
            }
        }
    }
}
