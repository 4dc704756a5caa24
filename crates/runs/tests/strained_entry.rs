//! An entry on a small host receives, for some seconds, more requests than its processor can handle. Once the burst has ended it
//! must be back at its former goodput. An entry that answers reports late lets the leases of its runs end, starts the
//! runs again, and stays late by that work alone.
//!
//! The model runs the real control states of one entry and its agents with model workers, on a virtual clock in steps of one
//! millisecond. The entry's host is a server with a fixed processor share, and each frame, request and answer costs a fixed
//! time of it. The model leaves out other entries, failures, the buffers' sizes, and how the processor is divided between
//! threads: events wait in one queue in the order of their arrival.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rstest::rstest;
use smol_str::SmolStr;
use vanillacleat_control::{ReplyId, SessionId};
use vanillacleat_core::caller_job::{CallerJobId, JobStep, ResourceAmount};
use vanillacleat_core::ids::Incarnation;
use vanillacleat_core::run_frames::{OrderFrame, RunFrame};
use vanillacleat_core::units::{Megabytes, Millis, MonoTime};
use vanillacleat_runs::agent::{RunnerAction, RunnerControl, RunnerEvent, RunnerOptions, WorkerCall, WorkerNotice, WorkerReply};
use vanillacleat_runs::entry::{
    CallerAnswer, CallerRequest, DispatchAction, DispatchControl, DispatchEvent, JobDraft, JobPhase, RequestKind,
};
use vanillacleat_runs::LeaseTerms;
use vanillacleat_standin::WorkerModel;

mod support;
use support::plans::{make_options, make_plan};

const AGENTS: usize = 52;
/// The processor share of the entry's host, in microseconds a millisecond.
const HOST_SHARE: f64 = 120.0;
/// Processor time that the entry spends on a frame that it receives or sends, in microseconds.
const FRAME_COST: f64 = 45.0;
/// Processor time that the entry spends on receiving a request, and again on answering it, in microseconds.
const REQUEST_COST: f64 = 90.0;
/// Processor time that the entry spends on waking up for a batch of events, in microseconds.
const WAKE_COST: f64 = 30.0;
/// Delay of a frame on the network, in milliseconds.
const TRANSIT_MS: u64 = 1;
/// Requests a second before and after the burst.
const USUAL_RATE: f64 = 195.0;
/// How long a caller waits for its answer, in milliseconds.
const PATIENCE_MS: u64 = 1_900;
/// Delay before a caller resubmits a job that was abandoned, in milliseconds.
const RESUBMIT_MS: u64 = 1_300;
const BURST_MS: std::ops::Range<u64> = 4_000..9_000;
const DEMAND: ResourceAmount = ResourceAmount { millicores: 3_000, memory: Megabytes(64), accelerators: 0 };

/// An agent with its worker, and what is on its way to it.
struct AgentSite {
    control: RunnerControl,
    worker: WorkerModel,
    /// Lease polls that the worker has not answered.
    polls: Vec<OpenPoll>,
    /// Events on their way, by arrival.
    inbox: VecDeque<(u64, RunnerEvent)>,
}

/// A lease poll that waits for an end.
struct OpenPoll {
    incarnation_number: u64,
    fencing_token: u64,
    number: u64,
    observed: u64,
    answered_at: u64,
}

/// A caller's open request.
#[derive(Clone, Copy)]
struct OpenRequest {
    job: CallerJobId,
    width: u16,
    submitted_at: u64,
    expires_at: u64,
}

struct StrainedSite {
    now: u64,
    rng: ChaCha8Rng,
    entry: DispatchControl,
    /// Events that wait for the entry, with their arrival.
    inbox: VecDeque<(u64, DispatchEvent)>,
    /// Processor time that the entry may use now, in microseconds; negative while it is busy.
    credit: f64,
    agents: Vec<AgentSite>,
    requests: BTreeMap<ReplyId, OpenRequest>,
    /// Requests that were interrupted, with the time at which their callers resubmit them.
    resubmissions: VecDeque<(u64, OpenRequest)>,
    next_reply: u64,
    /// When each job that succeeded was submitted.
    succeeded: Vec<u64>,
    submitted: Vec<u64>,
}

fn session(agent: usize) -> SessionId {
    SessionId(agent as u64 + 1)
}

fn make_agent(number: usize) -> RunnerControl {
    RunnerControl::new(RunnerOptions {
        agent: format!("agent-{number:02}").parse().expect("a valid name"),
        incarnation: Incarnation(1),
        zone: format!("zone-{}", number % 3).parse().expect("a valid name"),
        entries: vec![SmolStr::new_static("entry")],
        fencing_token: 100,
        lease_terms: LeaseTerms::default(),
        drain_timeout: Duration::from_secs(5),
        seed: number as u64,
    })
}

impl StrainedSite {
    fn new(seed: u64) -> Self {
        let mut entry = DispatchControl::new(make_options(0));
        entry.handle(MonoTime::from_millis(1), DispatchEvent::PlanRead(make_plan(4)));
        let capacity = ResourceAmount { millicores: 32_000, memory: Megabytes(65_536), accelerators: 0 };
        let agents = (0..AGENTS).map(|number| AgentSite {
            control: make_agent(number),
            worker: WorkerModel::new(MonoTime::ZERO, &format!("worker-{number}"), 1, capacity),
            polls: Vec::new(),
            inbox: VecDeque::new(),
        });
        let mut site = Self {
            now: 1,
            rng: ChaCha8Rng::seed_from_u64(seed),
            entry,
            inbox: VecDeque::new(),
            credit: 0.0,
            agents: agents.collect(),
            requests: BTreeMap::new(),
            resubmissions: VecDeque::new(),
            next_reply: 0,
            succeeded: Vec::new(),
            submitted: Vec::new(),
        };
        (0..AGENTS).for_each(|agent| site.announce_worker(agent));
        site
    }

    fn announce_worker(&mut self, agent: usize) {
        let notice = WorkerNotice {
            worker: SmolStr::new(format!("worker-{agent}")),
            born: 1,
            sequence: 1,
            service: "desk".parse().expect("a valid name"),
            capacity: self.agents[agent].worker.capacity,
            labels: Vec::new(),
            is_ready: true,
            cold: Millis(0),
            leaves_in: None,
        };
        self.agents[agent].inbox.push_back((1, RunnerEvent::WorkerHeartbeat(notice)));
    }

    /// Advances the model by a millisecond. Callers send `rate` requests a second.
    fn step(&mut self, rate: f64) {
        self.now += 1;
        if self.rng.random_bool(rate / 1_000.0) {
            let (job, width) = (CallerJobId(self.submitted.len() as u64 + 1), self.rng.random_range(2..7));
            self.submitted.push(self.now);
            self.send_request(OpenRequest { job, width, submitted_at: self.now, expires_at: self.now + PATIENCE_MS });
        }
        while self.resubmissions.front().is_some_and(|(at, _)| *at <= self.now) {
            let (_, request) = self.resubmissions.pop_front().expect("it is not empty");
            self.send_request(request);
        }
        self.expire_requests();
        (0..AGENTS).for_each(|agent| self.step_agent(agent));
        self.credit = (self.credit + HOST_SHARE).min(HOST_SHARE);
        if self.now.is_multiple_of(10) {
            self.inbox.push_back((self.now, DispatchEvent::Tick));
        }
        while self.credit > 0.0 && self.inbox.front().is_some_and(|(at, _)| *at <= self.now) {
            self.step_entry();
        }
    }

    fn send_request(&mut self, open: OpenRequest) {
        self.next_reply += 1;
        let reply = ReplyId(self.next_reply);
        let step = JobStep { count: open.width, demand: DEMAND, estimate: Millis(200), ..JobStep::default() };
        let draft = JobDraft { payload: SmolStr::new_static("text"), steps: vec![step], ..JobDraft::default() };
        let request = CallerRequest {
            host: SmolStr::new_static("desk.example"),
            path: SmolStr::new(format!("/bids/{}", open.job)),
            caller_timeout: Some(Duration::from_millis(open.expires_at - self.now)),
            kind: RequestKind::Submit(draft),
        };
        self.requests.insert(reply, open);
        self.inbox.push_back((self.now, DispatchEvent::Requested { reply, request }));
    }

    fn expire_requests(&mut self) {
        let now = self.now;
        let expired: Vec<ReplyId> =
            self.requests.iter().filter(|(_, request)| request.expires_at <= now).map(|(reply, _)| *reply).collect();
        for reply in expired {
            self.requests.remove(&reply);
            self.inbox.push_back((now, DispatchEvent::CallerDisconnected(reply)));
        }
    }

    /// Lets the entry handle the events that wait, and charges its host for them.
    fn step_entry(&mut self) {
        let oldest = self.inbox.front().map_or(self.now, |(at, _)| *at);
        let arrived = self.inbox.iter().take_while(|(at, _)| *at <= self.now).count();
        let events: Vec<DispatchEvent> = self.inbox.drain(..arrived.min(64)).map(|(_, event)| event).collect();
        self.credit -= WAKE_COST + events.iter().map(received_cost).sum::<f64>();
        let lag = Duration::from_millis(self.now - oldest);
        let actions = self.entry.handle_batch(MonoTime::from_millis(self.now), lag, events);
        for action in actions {
            self.credit -= sent_cost(&action);
            // What the entry sends leaves its host once the work before it is done.
            let delay = (-self.credit).max(0.0) / HOST_SHARE;
            let arrives_at = self.now + TRANSIT_MS + delay as u64;
            match action {
                DispatchAction::Reply { reply, answer } => self.record_answer(reply, &answer),
                DispatchAction::Send { session, frame } => {
                    let event = RunnerEvent::Frame { session, frame };
                    self.agents[session.0 as usize - 1].inbox.push_back((arrives_at, event));
                }
                _ => {}
            }
        }
    }

    fn record_answer(&mut self, reply: ReplyId, answer: &CallerAnswer) {
        if let Some(request) = self.requests.remove(&reply) {
            match answer {
                CallerAnswer::Ended(JobPhase::Succeeded) => self.succeeded.push(request.submitted_at),
                CallerAnswer::Abandoned(_) if request.expires_at > self.now + RESUBMIT_MS => {
                    self.resubmissions.push_back((self.now + RESUBMIT_MS, request));
                }
                _ => {}
            }
        }
    }

    /// Delivers to an agent what has arrived, and a tick every 10 ms.
    fn step_agent(&mut self, agent: usize) {
        let now = self.now;
        if (now + agent as u64).is_multiple_of(10) {
            self.agents[agent].inbox.push_back((now, RunnerEvent::Tick));
        }
        self.answer_polls(agent);
        let (due, waiting) = std::mem::take(&mut self.agents[agent].inbox).into_iter().partition(|(at, _)| *at <= now);
        self.agents[agent].inbox = waiting;
        let due: VecDeque<(u64, RunnerEvent)> = due;
        for (_, event) in due {
            let actions = self.agents[agent].control.handle(MonoTime::from_millis(now), event);
            actions.into_iter().for_each(|action| self.execute(agent, action));
        }
    }

    fn execute(&mut self, agent: usize, action: RunnerAction) {
        let now = MonoTime::from_millis(self.now);
        match action {
            RunnerAction::Send { session, frame } => {
                self.inbox.push_back((self.now + TRANSIT_MS, DispatchEvent::Frame { session, frame }));
            }
            RunnerAction::Call { incarnation_number, fencing_token, call, .. } => {
                let site = &mut self.agents[agent];
                let reply = match call {
                    WorkerCall::Start { run, lease_end, .. } => {
                        let run_time = Duration::from_millis(100 + run.task.job.0 * 37 % 200);
                        WorkerReply::Start(run, site.worker.start(now, fencing_token, run, lease_end, (DEMAND, run_time, false)))
                    }
                    WorkerCall::Stop { run } => WorkerReply::Stop(run, site.worker.stop(now, fencing_token, run)),
                    WorkerCall::LeasePoll { number, lease_end, observed, wait } => {
                        site.worker.lease_poll(now, fencing_token, lease_end, observed);
                        let answered_at = self.now + wait.as_millis() as u64;
                        return site.polls.push(OpenPoll { incarnation_number, fencing_token, number, observed, answered_at });
                    }
                };
                site.inbox.push_back((self.now + 1, RunnerEvent::Replied { incarnation_number, reply }));
            }
            // An agent that gave the session up dials again.
            RunnerAction::Close(closed) => {
                self.inbox.push_back((self.now + TRANSIT_MS, DispatchEvent::SessionClosed(closed)));
            }
            RunnerAction::Dial(address) => {
                let opened = RunnerEvent::SessionOpened { session: session(agent), address };
                self.agents[agent].inbox.push_back((self.now + 2 * TRANSIT_MS, opened));
            }
            RunnerAction::Log(_) | RunnerAction::EndRecorded { .. } | RunnerAction::Drained => {}
        }
    }

    /// Answers the lease polls whose wait is over or whose worker has an end to report.
    fn answer_polls(&mut self, agent: usize) {
        let (now, site) = (self.now, &mut self.agents[agent]);
        site.worker.advance(MonoTime::from_millis(now));
        let polls = std::mem::take(&mut site.polls);
        for poll in polls {
            if poll.answered_at > now && !site.worker.has_ended(poll.observed) {
                site.polls.push(poll);
                continue;
            }
            let reply = site.worker.lease_poll(MonoTime::from_millis(now), poll.fencing_token, None, poll.observed);
            let reply = WorkerReply::LeasePoll(poll.number, reply);
            site.inbox.push_back((now, RunnerEvent::Replied { incarnation_number: poll.incarnation_number, reply }));
        }
    }

    /// Returns the share of the jobs submitted in a period that succeeded.
    fn goodput(&self, period: std::ops::Range<u64>) -> f64 {
        let count = |times: &[u64]| times.iter().filter(|at| period.contains(*at)).count() as f64;
        count(&self.succeeded) / count(&self.submitted).max(1.0)
    }
}

fn received_cost(event: &DispatchEvent) -> f64 {
    match event {
        DispatchEvent::Frame { frame: RunFrame::Report(_) | RunFrame::Hello(_) | RunFrame::Plan(_), .. } => FRAME_COST,
        DispatchEvent::Requested { .. } => REQUEST_COST,
        DispatchEvent::SessionClosed(_) => FRAME_COST,
        _ => 0.0,
    }
}

fn sent_cost(action: &DispatchAction) -> f64 {
    match action {
        DispatchAction::Send { frame: OrderFrame::Orders(_) | OrderFrame::Plan(_) | OrderFrame::Entries(_), .. } => FRAME_COST,
        DispatchAction::Reply { .. } => REQUEST_COST,
        _ => 0.0,
    }
}

#[rstest]
#[case::double(2.0)]
#[case::fourfold(4.0)]
fn entry_is_back_at_its_goodput_three_seconds_after_a_burst(#[case] burst: f64) {
    for seed in 0..3 {
        let mut site = StrainedSite::new(seed);
        while site.now < 18_000 {
            let rate = if BURST_MS.contains(&site.now) { USUAL_RATE * burst } else { USUAL_RATE };
            site.step(rate);
        }
        let (before, during, after) = (site.goodput(1_000..4_000), site.goodput(BURST_MS), site.goodput(BURST_MS.end + 3_000..15_500));
        println!("burst {burst} seed {seed}: goodput {before:.3} before, {during:.3} during, {after:.3} after");
        assert!(before > 0.97, "seed {seed}: {before:.3} before the burst");
        assert!(after >= before - 0.01, "seed {seed}: goodput {after:.3} after the burst, {before:.3} before");
    }
}
