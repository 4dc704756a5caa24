//! Agents whose workers share one host. The host serves the calls to all of them one after the other, each for a service time, and
//! also those that have timed out meanwhile.

use std::collections::{BTreeMap, VecDeque};

use vanillacleat_core::run_frames::RunOutcome;
use vanillacleat_runs::agent::{LeasePollReply, WorkerCall, WorkerReply};

use super::agent_bench::{run, AgentBench, SentCall, CALL_TIMEOUT};

/// Microseconds of service in a millisecond.
const MILLISECOND: u64 = 1_000;

/// A host with its agents and their load.
pub struct SharedHost {
    /// The agents, each with its worker.
    pub agents: Vec<AgentBench>,
    /// Time for which the host serves one call, in microseconds.
    pub service_time: u64,
    /// Number of calls that the host has received, by their kinds.
    pub received: BTreeMap<&'static str, u64>,
    order_interval: u64,
    last_order: u16,
    last_call: u64,
    /// Calls that the agents wait for, by their numbers, with the agents' indices.
    open: BTreeMap<u64, (usize, SentCall)>,
    /// Calls that wait for service.
    queue: VecDeque<(u64, usize, SentCall)>,
    /// Lease polls that were served and wait for the end of a run.
    waiting: Vec<(u64, usize, SentCall)>,
    /// Service for which the host has time, in microseconds.
    free_service: u64,
}

impl SharedHost {
    /// Returns a host with `count` agents. Each receives an order to start a run every `order_interval` milliseconds, and a run takes
    /// `run_time` milliseconds.
    pub fn new(count: u64, order_interval: u64, run_time: u64, service_time: u64) -> Self {
        let new_agent = |number| {
            let mut agent = AgentBench::settled(number);
            agent.run_time = std::time::Duration::from_millis(run_time);
            agent.open_session(1);
            agent.advance(20);
            agent.holds_calls = true;
            agent
        };
        Self {
            agents: (1..=count).map(new_agent).collect(),
            service_time,
            received: BTreeMap::new(),
            order_interval,
            last_order: 0,
            last_call: 0,
            open: BTreeMap::new(),
            queue: VecDeque::new(),
            waiting: Vec::new(),
            free_service: 0,
        }
    }

    /// Returns the time in milliseconds.
    pub fn now(&self) -> u64 {
        self.agents[0].now()
    }

    /// Returns the number of calls that wait for service.
    pub fn backlog(&self) -> usize {
        self.queue.len()
    }

    /// Returns the number of runs whose completion the agents have reported.
    pub fn completed(&self) -> usize {
        let done = |agent: &AgentBench| agent.ends.iter().filter(|(_, _, end)| end.outcome == RunOutcome::Done).count();
        self.agents.iter().map(done).sum()
    }

    /// Advances the time to `end` under the load.
    pub fn advance(&mut self, end: u64) {
        while self.now() < end {
            let now = self.now() + 1;
            for index in 0..self.agents.len() {
                self.agents[index].advance(now);
                if (now + index as u64).is_multiple_of(self.order_interval) {
                    self.last_order += 1;
                    self.agents[index].order_start(1, run(self.last_order, 1));
                }
            }
            self.fail_calls();
            self.receive_calls();
            self.serve_calls();
            self.answer_polls();
        }
    }

    fn receive_calls(&mut self) {
        for (index, agent) in self.agents.iter_mut().enumerate() {
            for sent in agent.take_calls() {
                let kind = match sent.call {
                    WorkerCall::Start { .. } => "start",
                    WorkerCall::Stop { .. } => "stop",
                    WorkerCall::LeasePoll { .. } => "poll",
                };
                *self.received.entry(kind).or_default() += 1;
                self.last_call += 1;
                self.open.insert(self.last_call, (index, sent.clone()));
                self.queue.push_back((self.last_call, index, sent));
            }
        }
    }

    fn serve_calls(&mut self) {
        self.free_service += MILLISECOND;
        while self.free_service >= self.service_time {
            let Some((number, index, sent)) = self.queue.pop_front() else {
                self.free_service = self.free_service.min(MILLISECOND);
                return;
            };
            self.free_service -= self.service_time;
            let reply = self.agents[index].execute(&sent);
            match (&sent.call, &reply) {
                (WorkerCall::LeasePoll { wait, .. }, WorkerReply::LeasePoll(_, LeasePollReply::Runs(list)))
                    if !wait.is_zero() && list.ended.is_empty() =>
                {
                    self.waiting.push((number, index, sent));
                }
                _ => self.answer(number, reply),
            }
        }
    }

    fn answer_polls(&mut self) {
        for (number, index, sent) in std::mem::take(&mut self.waiting) {
            let WorkerCall::LeasePoll { number: poll, wait, observed, .. } = sent.call else {
                continue;
            };
            let agent = &mut self.agents[index];
            if agent.now() < sent.sent_at + wait.as_millis() as u64 && !agent.worker.has_ended(observed) {
                self.waiting.push((number, index, sent));
                continue;
            }
            let list = agent.worker.lease_poll(agent.worker_time(), sent.token, None, observed);
            self.answer(number, WorkerReply::LeasePoll(poll, list));
        }
    }

    /// Delivers the reply to a call that has not timed out.
    fn answer(&mut self, number: u64, reply: WorkerReply) {
        if let Some((index, sent)) = self.open.remove(&number) {
            self.agents[index].reply(&sent, reply);
        }
    }

    fn fail_calls(&mut self) {
        let now = self.now();
        let is_late = |sent: &SentCall| {
            let wait = if let WorkerCall::LeasePoll { wait, .. } = &sent.call { wait.as_millis() as u64 } else { 0 };
            now >= sent.sent_at + wait + CALL_TIMEOUT
        };
        let late: Vec<u64> = self.open.iter().filter(|(_, (_, sent))| is_late(sent)).map(|(number, _)| *number).collect();
        for number in late {
            if let Some((index, sent)) = self.open.remove(&number) {
                self.agents[index].fail(&sent);
            }
        }
    }
}
