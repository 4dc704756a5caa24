//! Callers and faults.

use super::*;

impl World {
    pub(super) fn submit(&mut self, caller: usize) {
        let entry = self.rng.random_range(0..ENTRIES);
        let state = &mut self.callers[caller];
        if state.tries == 0 {
            state.first_at = self.now;
        }
        state.tries += 1;
        if !self.entries[entry].is_up {
            // No connection: the caller comes back.
            state.tries -= 1;
            return self.at(Duration::from_millis(100), Happening::Submit(caller));
        }
        let reply = ReplyId(self.next);
        state.open = Some((reply, entry));
        let request: CallerRequest = state.request();
        self.open.insert((entry, reply), caller);
        let run = self.entries[entry].run;
        let wait = self.delay();
        self.at(wait, Happening::ToEntry(entry, run, DispatchEvent::Requested { reply, request }));
    }

    pub(super) fn answer(&mut self, entry: usize, reply: ReplyId, answer: CallerAnswer) {
        let Some(caller) = self.open.remove(&(entry, reply)) else {
            return;
        };
        let is_abandoned = matches!(answer, CallerAnswer::Abandoned(_));
        let state = &mut self.callers[caller];
        state.open = None;
        state.answers.push((self.now, answer));
        if is_abandoned {
            self.at(RESUBMIT_AFTER, Happening::Submit(caller));
        }
    }

    /// Breaks the open requests at an entry; their callers come back.
    pub(super) fn break_requests(&mut self, entry: usize, is_heard: bool) {
        let broken: Vec<((usize, ReplyId), usize)> =
            self.open.iter().filter(|((at, _), _)| *at == entry).map(|(key, caller)| (*key, *caller)).collect();
        for ((at, reply), caller) in broken {
            self.open.remove(&(at, reply));
            self.callers[caller].open = None;
            if is_heard {
                let run = self.entries[entry].run;
                self.at(Duration::from_millis(1), Happening::ToEntry(entry, run, DispatchEvent::CallerDisconnected(reply)));
            }
            self.at(RESUBMIT_AFTER, Happening::Submit(caller));
        }
    }

    pub(super) fn strike(&mut self, fault: WorldFault) {
        self.lines.push(format!("{} FAULT {fault:?}", self.now));
        match fault {
            WorldFault::KillEntry(entry) => {
                self.end_sessions(|session| session.entry == entry);
                self.entries[entry].is_up = false;
                self.break_requests(entry, false);
                self.at(DOWN_TIME, Happening::RestartEntry(entry));
            }
            WorldFault::KillAgent(agent) => {
                self.end_sessions(|session| session.agent == agent);
                self.agents[agent].is_up = false;
                self.at(DOWN_TIME, Happening::RestartAgent(agent));
            }
            WorldFault::CrashWorker(worker) => {
                let born = self.workers[worker].born + 1;
                self.workers[worker] = make_worker(self.now, worker, born);
                (self.beats[worker], self.draining[worker]) = (0, false);
                self.watch(worker);
            }
            WorldFault::FreezeEntry(entry, span) => self.entries[entry].frozen_until = self.now + Duration::from_millis(span),
            WorldFault::FreezeAgent(agent, span) => self.agents[agent].frozen_until = self.now + Duration::from_millis(span),
            WorldFault::ResetSession(agent, entry) => self.end_sessions(|session| (session.agent, session.entry) == (agent, entry)),
            WorldFault::CutSession(agent, entry, span) => {
                self.cut_until.insert((agent, entry), self.now + Duration::from_millis(span));
            }
            WorldFault::LoseCalls(worker, span) => self.lose_until[worker] = self.now + Duration::from_millis(span),
            WorldFault::SlowWorker(worker, times, span) => {
                self.workers[worker].slowness = times;
                self.slow_until[worker] = self.now + Duration::from_millis(span);
            }
            WorldFault::DrainWorker(worker) => self.draining[worker] = true,
            WorldFault::ResetCallers(entry) => self.break_requests(entry, true),
            WorldFault::ToggleZone(zone) => self.toggle_zone(zone),
        }
    }

    pub(super) fn toggle_zone(&mut self, zone: usize) {
        let zone = zone_name(zone);
        if !self.plan.zones_out.remove(&zone) {
            self.plan.zones_out.insert(zone);
        }
        self.plan.zones_revision += 1;
        for entry in 0..ENTRIES {
            let (run, wait) = (self.entries[entry].run, self.delay());
            self.at(wait, Happening::ToEntry(entry, run, DispatchEvent::PlanRead(self.plan.clone())));
        }
    }

    pub(super) fn restart_entry(&mut self, entry: usize) {
        // One that was killed twice while it was down starts once: a second start would end requests unheard.
        if self.entries[entry].is_up {
            return;
        }
        let run = self.entries[entry].run + 1;
        self.entries[entry] = make_entry(self.now, entry, run);
        self.reach_entry(entry, run, DispatchEvent::PlanRead(self.plan.clone()));
    }

    pub(super) fn restart_agent(&mut self, agent: usize) {
        if self.agents[agent].is_up {
            return;
        }
        let run = self.agents[agent].run + 1;
        self.agents[agent] = make_agent(self.now, agent, run);
    }
}
