//! The behaviour of callers, and the injection of faults.

use super::*;

impl Simulation {
    /// Submits a caller's job to an entry chosen at random.
    pub(super) fn submit(&mut self, caller: usize) {
        let entry = self.rng.random_range(0..ENTRIES);
        let state = &mut self.callers[caller];
        if state.submissions == 0 {
            state.first_submitted_at = self.now;
        }
        state.submissions += 1;
        if !self.entries[entry].is_up {
            // The connection is refused, so the caller retries soon.
            state.submissions -= 1;
            return self.schedule(Duration::from_millis(100), SimulationEvent::Submit(caller));
        }
        let reply = ReplyId(self.last_event_id);
        state.open_request = Some((reply, entry));
        let request: CallerRequest = state.request();
        self.open_requests.insert((entry, reply), caller);
        let incarnation = self.entries[entry].incarnation;
        let delay = self.random_delay();
        self.schedule(delay, SimulationEvent::DeliverToEntry(entry, incarnation, DispatchEvent::Requested { reply, request }));
    }

    /// Delivers an answer to its caller, unless the connection has been lost. A caller whose job was abandoned resubmits it.
    pub(super) fn deliver_answer(&mut self, entry: usize, reply: ReplyId, answer: CallerAnswer) {
        let Some(caller) = self.open_requests.remove(&(entry, reply)) else {
            return;
        };
        let is_abandoned = matches!(answer, CallerAnswer::Abandoned(_));
        let state = &mut self.callers[caller];
        state.open_request = None;
        state.answers.push((self.now, answer));
        if is_abandoned {
            self.schedule(RESUBMIT_AFTER, SimulationEvent::Submit(caller));
        }
    }

    /// Breaks the connections of all open requests at an entry; the callers resubmit their jobs. `is_entry_notified` says
    /// whether the entry learns of it, which an entry that was killed can't.
    pub(super) fn disconnect_callers(&mut self, entry: usize, is_entry_notified: bool) {
        let interrupted_requests: Vec<((usize, ReplyId), usize)> = self
            .open_requests
            .iter()
            .filter(|((request_entry, _), _)| *request_entry == entry)
            .map(|(key, caller)| (*key, *caller))
            .collect();
        for ((request_entry, reply), caller) in interrupted_requests {
            self.open_requests.remove(&(request_entry, reply));
            self.callers[caller].open_request = None;
            if is_entry_notified {
                let incarnation = self.entries[entry].incarnation;
                self.schedule(
                    Duration::from_millis(1),
                    SimulationEvent::DeliverToEntry(entry, incarnation, DispatchEvent::CallerDisconnected(reply)),
                );
            }
            self.schedule(RESUBMIT_AFTER, SimulationEvent::Submit(caller));
        }
    }

    /// Logs a fault and applies it.
    pub(super) fn inject_fault(&mut self, fault: SimulatedFault) {
        self.log_lines.push(format!("{} FAULT {fault:?}", self.now));
        match fault {
            SimulatedFault::KillEntry(entry) => {
                self.close_sessions(|session| session.entry == entry);
                self.entries[entry].is_up = false;
                self.disconnect_callers(entry, false);
                self.schedule(RESTART_DELAY, SimulationEvent::RestartEntry(entry));
            }
            SimulatedFault::KillAgent(agent) => {
                self.close_sessions(|session| session.agent == agent);
                self.agents[agent].is_up = false;
                self.schedule(RESTART_DELAY, SimulationEvent::RestartAgent(agent));
            }
            SimulatedFault::CrashWorker(worker) => {
                let born = self.workers[worker].born + 1;
                self.workers[worker] = make_worker(self.now, worker, born);
                (self.heartbeat_counts[worker], self.is_draining[worker]) = (0, false);
                self.record_running(worker);
            }
            SimulatedFault::FreezeEntry(entry, duration) => self.entries[entry].paused_until = self.now + Duration::from_millis(duration),
            SimulatedFault::FreezeAgent(agent, duration) => self.agents[agent].paused_until = self.now + Duration::from_millis(duration),
            SimulatedFault::ResetSession(agent, entry) => self.close_sessions(|session| (session.agent, session.entry) == (agent, entry)),
            SimulatedFault::CutSession(agent, entry, duration) => {
                self.cut_until.insert((agent, entry), self.now + Duration::from_millis(duration));
            }
            SimulatedFault::LoseCalls(worker, duration) => self.calls_lost_until[worker] = self.now + Duration::from_millis(duration),
            SimulatedFault::SlowWorker(worker, factor, duration) => {
                self.workers[worker].slowness = factor;
                self.slow_until[worker] = self.now + Duration::from_millis(duration);
            }
            SimulatedFault::DrainWorker(worker) => self.is_draining[worker] = true,
            SimulatedFault::ResetCallers(entry) => self.disconnect_callers(entry, true),
            SimulatedFault::ToggleZone(zone) => self.toggle_zone(zone),
        }
    }

    /// Takes a zone out of service or puts it back, and delivers the changed plan to all entries.
    pub(super) fn toggle_zone(&mut self, zone: usize) {
        let zone = zone_name(zone);
        if !self.plan.zones_out.remove(&zone) {
            self.plan.zones_out.insert(zone);
        }
        self.plan.zones_revision += 1;
        for entry in 0..ENTRIES {
            let (incarnation, delay) = (self.entries[entry].incarnation, self.random_delay());
            self.schedule(delay, SimulationEvent::DeliverToEntry(entry, incarnation, DispatchEvent::PlanRead(self.plan.clone())));
        }
    }

    /// Starts the next incarnation of a killed entry.
    pub(super) fn restart_entry(&mut self, entry: usize) {
        // An entry that was killed again while it was down has two restarts scheduled. The second one would drop requests
        // that the entry has received since the first, without breaking their connections: the callers would wait forever.
        if self.entries[entry].is_up {
            return;
        }
        let incarnation = self.entries[entry].incarnation + 1;
        self.entries[entry] = make_entry(self.now, entry, incarnation);
        self.deliver_to_entry(entry, incarnation, DispatchEvent::PlanRead(self.plan.clone()));
    }

    /// Starts the next incarnation of a killed agent.
    pub(super) fn restart_agent(&mut self, agent: usize) {
        if self.agents[agent].is_up {
            return;
        }
        let incarnation = self.agents[agent].incarnation + 1;
        self.agents[agent] = make_agent(self.now, agent, incarnation);
    }
}
