//! What passes between agents and workers.

use super::*;

impl World {
    pub(super) fn send_heartbeat(&mut self, worker: usize) {
        self.beats[worker] += 1;
        let model = &self.workers[worker];
        let notice = WorkerNotice {
            worker: SmolStr::new(&model.name),
            born: model.born,
            sequence: self.beats[worker],
            service: "desk".parse().expect("a valid name"),
            capacity: model.capacity,
            labels: Vec::new(),
            is_ready: !self.draining[worker],
            cold: Millis(0),
        };
        self.reach_agent(worker, self.agents[worker].run, RunnerEvent::Announced(notice));
        self.at(HEARTBEAT, Happening::Heartbeat(worker));
    }

    pub(super) fn call_worker(&mut self, worker: usize, run: u64, incarnation: u64, token: u64, call: WorkerCall) {
        if self.now < self.lose_until[worker] && self.rng.random_bool(0.5) {
            // The call is not answered, and carried out later.
            self.fail_call(worker, run, incarnation, &call);
            let wait = Duration::from_millis(self.rng.random_range(100..3_000));
            let late = Happening::Called(worker, u64::MAX, incarnation, token, call);
            return self.at(wait, late);
        }
        let model = &mut self.workers[worker];
        let reply = match call {
            WorkerCall::Start { run, lease_end, ref payload } => {
                let work = Duration::from_millis(20 + (run.task.job.0 * 7 + u64::from(run.task.index)) % 200);
                let fails = payload.ends_with("13");
                let demand = ResourceAmount { millicores: 3_000, memory: Megabytes(64), accelerators: 0 };
                WorkerReply::Start(run, model.start(self.now, token, run, lease_end, (demand, work, fails)))
            }
            WorkerCall::Stop { run } => WorkerReply::Stop(run, model.stop(self.now, token, run)),
            WorkerCall::LeasePoll { number, lease_end, observed, wait } => {
                let reply = model.lease_poll(self.now, token, lease_end, observed);
                let born = model.born;
                self.watch(worker);
                let has_ended = matches!(&reply, LeasePollReply::Listed(list) if !list.ended.is_empty());
                let wait = if has_ended { Duration::ZERO } else { wait };
                return self.at(wait, Happening::HoldReturns(worker, run, incarnation, token, (number, observed, born)));
            }
        };
        self.watch(worker);
        let wait = self.delay();
        self.at(wait, Happening::ToAgent(worker, run, RunnerEvent::Replied { incarnation, reply }));
    }

    pub(super) fn fail_call(&mut self, worker: usize, run: u64, incarnation: u64, call: &WorkerCall) {
        let reply = match call {
            WorkerCall::Start { run, .. } => WorkerReply::Start(*run, StartReply::Unanswered),
            WorkerCall::Stop { run } => WorkerReply::Stop(*run, StopReply::Unanswered),
            WorkerCall::LeasePoll { number, .. } => WorkerReply::LeasePoll(*number, LeasePollReply::Unanswered),
        };
        self.at(CALL_TIMEOUT, Happening::ToAgent(worker, run, RunnerEvent::Replied { incarnation, reply }));
    }

    pub(super) fn return_hold(&mut self, worker: usize, run: u64, incarnation: u64, token: u64, (number, observed, born): (u64, u64, u64)) {
        let model = &mut self.workers[worker];
        let reply = if model.born == born { model.lease_poll(self.now, token, None, observed) } else { LeasePollReply::Unanswered };
        if let LeasePollReply::Listed(list) = &reply {
            for end in &list.ended {
                if let Some(run) = end.run {
                    self.log.record_end(run, end.outcome);
                }
            }
        }
        self.watch(worker);
        let wait = self.delay();
        self.at(wait, Happening::ToAgent(worker, run, RunnerEvent::Replied { incarnation, reply: WorkerReply::LeasePoll(number, reply) }));
    }
}
