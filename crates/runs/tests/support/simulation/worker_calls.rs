//! Heartbeats of workers, and the calls that agents make to them.

use super::*;

impl Simulation {
    /// Delivers a worker's heartbeat to its agent.
    pub(super) fn send_heartbeat(&mut self, worker: usize) {
        self.heartbeat_counts[worker] += 1;
        let model = &self.workers[worker];
        let notice = WorkerNotice {
            worker: SmolStr::new(&model.name),
            born: model.born,
            sequence: self.heartbeat_counts[worker],
            service: "desk".parse().expect("a valid name"),
            capacity: model.capacity,
            labels: Vec::new(),
            is_ready: !self.is_draining[worker],
            cold: Millis(0),
            leaves_in: None,
        };
        self.deliver_to_agent(worker, self.agents[worker].incarnation, RunnerEvent::WorkerHeartbeat(notice));
        self.schedule(HEARTBEAT_INTERVAL, SimulationEvent::SendHeartbeat(worker));
    }

    /// Executes a call at a worker and schedules its reply. `worker_incarnation` is the agent's number for the incarnation
    /// that it called, and is returned with the reply.
    pub(super) fn call_worker(&mut self, worker: usize, agent_incarnation: u64, worker_incarnation: u64, token: u64, call: WorkerCall) {
        if self.now < self.calls_lost_until[worker] && self.rng.random_bool(0.5) {
            // The agent sees a timeout and the worker executes the call later. No agent has the incarnation `u64::MAX`, so the
            // reply to the late execution is dropped.
            self.report_unanswered(worker, agent_incarnation, worker_incarnation, &call);
            let delay = Duration::from_millis(self.rng.random_range(100..3_000));
            let late_call = SimulationEvent::CallWorker(worker, u64::MAX, worker_incarnation, token, call);
            return self.schedule(delay, late_call);
        }
        let model = &mut self.workers[worker];
        let reply = match call {
            WorkerCall::Start { run, lease_end, ref payload } => {
                let run_time = Duration::from_millis(20 + (run.task.job.0 * 7 + u64::from(run.task.index)) % 200);
                let fails = payload.ends_with("13");
                let demand = ResourceAmount { millicores: 3_000, memory: Megabytes(64), accelerators: 0 };
                WorkerReply::Start(run, model.start(self.now, token, run, lease_end, (demand, run_time, fails)))
            }
            WorkerCall::Stop { run } => WorkerReply::Stop(run, model.stop(self.now, token, run)),
            WorkerCall::LeasePoll { number, lease_end, observed, wait } => {
                let reply = model.lease_poll(self.now, token, lease_end, observed);
                let born = model.born;
                self.record_running(worker);
                let has_ended = matches!(&reply, LeasePollReply::Runs(list) if !list.ended.is_empty());
                let delay = if has_ended { Duration::ZERO } else { wait };
                return self.schedule(
                    delay,
                    SimulationEvent::AnswerLeasePoll(worker, agent_incarnation, worker_incarnation, token, (number, observed, born)),
                );
            }
        };
        self.record_running(worker);
        let delay = self.random_delay();
        self.schedule(
            delay,
            SimulationEvent::DeliverToAgent(
                worker,
                agent_incarnation,
                RunnerEvent::Replied { incarnation_number: worker_incarnation, reply },
            ),
        );
    }

    /// Schedules the timeout of a call that is not answered.
    pub(super) fn report_unanswered(&mut self, worker: usize, agent_incarnation: u64, worker_incarnation: u64, call: &WorkerCall) {
        let reply = match call {
            WorkerCall::Start { run, .. } => WorkerReply::Start(*run, StartReply::Unanswered),
            WorkerCall::Stop { run } => WorkerReply::Stop(*run, StopReply::Unanswered),
            WorkerCall::LeasePoll { number, .. } => WorkerReply::LeasePoll(*number, LeasePollReply::Unanswered),
        };
        self.schedule(
            CALL_TIMEOUT,
            SimulationEvent::DeliverToAgent(
                worker,
                agent_incarnation,
                RunnerEvent::Replied { incarnation_number: worker_incarnation, reply },
            ),
        );
    }

    /// Answers a lease poll at the end of its wait with the worker's current lists, and records the ends listed there. A poll
    /// that a worker received before it crashed is not answered.
    pub(super) fn answer_lease_poll(
        &mut self,
        worker: usize,
        agent_incarnation: u64,
        worker_incarnation: u64,
        token: u64,
        (number, observed, born): (u64, u64, u64),
    ) {
        let model = &mut self.workers[worker];
        let reply = if model.born == born { model.lease_poll(self.now, token, None, observed) } else { LeasePollReply::Unanswered };
        if let LeasePollReply::Runs(list) = &reply {
            for end in &list.ended {
                if let Some(run) = end.run {
                    self.history.record_end(run, end.outcome);
                }
            }
        }
        self.record_running(worker);
        let delay = self.random_delay();
        self.schedule(
            delay,
            SimulationEvent::DeliverToAgent(
                worker,
                agent_incarnation,
                RunnerEvent::Replied { incarnation_number: worker_incarnation, reply: WorkerReply::LeasePoll(number, reply) },
            ),
        );
    }
}
