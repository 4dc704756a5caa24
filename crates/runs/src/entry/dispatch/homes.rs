//! One home for each resubmitted job: queries to peers and their answers, remote waiters, and jobs whose home was lost.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use serde_json::{json, Value};
use smol_str::SmolStr;
use vanillacleat_control::{ReplyId, SessionId};
use vanillacleat_core::caller_job::{CallerJob, CallerJobId};
use vanillacleat_core::peer_frames::{HeldState, JobQuery, JobReport, JobReports, JobVerdict, PeerFrame};
use vanillacleat_core::site_plan::RouteRule;
use vanillacleat_core::units::{Millis, MonoTime};

use super::{DispatchControl, MAINTENANCE_INTERVAL};
use crate::entry::caller_api::{CallerAnswer, JobPhase};
use crate::entry::homes::job_homes::{ClaimState, JobClaim, PeerAnswer, PeerAnswers, RemoteWaiter};
use crate::entry::homes::peer_registry::{clock_millis, FrameRefusal, PeerLink, HOLDING_LEASE};
use crate::entry::order::job_order::{job_age, resubmit_delay};
use crate::log_fields::format_list;

/// Minimum interval of the frames with queries, which bounds their number when many callers resubmit.
const QUERY_INTERVAL: Duration = Duration::from_millis(25);
/// Maximum number of items in a frame.
const ITEMS_MAX: usize = 512;
/// Gap between two events above which the peers' answers may wait unread.
const ANSWER_GAP_MAX: Duration = Duration::from_millis(50);

/// Clock of reports that announce jobs: nobody has asked for them, and they answer no question. No process sends frames in its first
/// millisecond.
const ANNOUNCED: Millis = Millis(0);

/// Frames about jobs that wait to be sent, by link.
#[derive(Debug, Default)]
pub(super) struct PeerOutbox {
    queries: BTreeMap<SessionId, Vec<JobQuery>>,
    queries_sent_at: MonoTime,
    reports: BTreeMap<SessionId, Vec<JobReport>>,
    announcements: BTreeMap<SessionId, Vec<JobReport>>,
    withdrawals: BTreeMap<SessionId, Vec<CallerJobId>>,
    takeovers: BTreeMap<SessionId, Vec<CallerJobId>>,
}

impl DispatchControl {
    /// Returns whether other entries have to be asked for a job before it is admitted, because its caller has submitted it before. First
    /// submissions cause no message.
    pub(super) fn must_ask(&self, id: &CallerJobId, route: &RouteRule, caller_timeout: Option<Duration>) -> bool {
        let age = |timeout| job_age(timeout, route.timeout.to_duration(), self.options.resubmit_after);
        let is_resubmission = caller_timeout.is_some_and(|timeout| !age(timeout).is_zero()) || self.announced_jobs.contains(id);
        is_resubmission && (self.peer_registry.may_have_peers() || self.has_unknown_peers())
    }

    /// Makes a caller wait for a claim that exists. Returns whether there is one.
    pub(super) fn join_claim(&mut self, reply: ReplyId, id: &CallerJobId, caller_timeout: Option<Duration>) -> bool {
        self.job_homes.add_claimant(id, reply, self.now + caller_timeout.unwrap_or_default())
    }

    /// Claims a job: asks all peers for it.
    pub(super) fn ask_peers(&mut self, reply: ReplyId, job: Arc<CallerJob>, route: &Arc<RouteRule>, abandon_at: MonoTime) {
        let id = job.id;
        if !self.job_homes.has_room() {
            self.log(format!("event=job_unasked job={id}"));
            return self.reply(reply, CallerAnswer::Abandoned("too many jobs are being asked for"));
        }
        let sessions: Vec<SessionId> = self.peer_registry.linked().map(|(session, _)| session).collect();
        let unresolved: BTreeSet<SmolStr> = self.peer_registry.known_addresses().cloned().collect();
        let unlinked = unresolved.len().saturating_sub(sessions.len());
        self.log(format!("event=job_asked job={id} peers={} unlinked={unlinked}", sessions.len()));
        let claim = JobClaim {
            job,
            route: route.clone(),
            abandon_at,
            claimed_at: self.now,
            unresolved,
            unresolved_since: self.now,
            extensions: 0,
            blocked_until: self.peer_registry.former_runs_end(),
            lost_home: None,
            waiters: Vec::new(),
            peers: PeerAnswers::default(),
        };
        self.job_homes.add_claim(claim);
        self.job_homes.add_claimant(&id, reply, abandon_at);
        sessions.into_iter().for_each(|session| self.ask_peer(session, &id));
    }

    fn ask_peer(&mut self, session: SessionId, id: &CallerJobId) {
        let now = self.now;
        let address = self.peer_registry.get(session).and_then(PeerLink::address).cloned();
        let Some(claim) = self.job_homes.claim_mut(id) else {
            return;
        };
        claim.peers.set(session, PeerAnswer::Asked);
        address.into_iter().for_each(|address| claim.add_unresolved(now, address));
        let query = JobQuery { job: *id, patience: Millis::from_duration(claim.abandon_at.since(now)) };
        self.peer_outbox.queries.entry(session).or_default().push(query);
    }

    /// Asks a new peer for all claimed jobs: it may be the home, whose link was lost.
    pub(super) fn ask_new_peer(&mut self, session: SessionId) {
        let ids: Vec<CallerJobId> = self.job_homes.claims().map(|(id, _)| *id).collect();
        ids.iter().for_each(|id| self.ask_peer(session, id));
    }

    pub(super) fn handle_job_frame(&mut self, session: SessionId, frame: PeerFrame) -> Result<(), FrameRefusal> {
        let items = match &frame {
            PeerFrame::Queries(queries) => queries.len(),
            PeerFrame::Reports(reports) => reports.reports.len(),
            PeerFrame::Withdrawals(jobs) | PeerFrame::Takeovers(jobs) => jobs.len(),
            PeerFrame::Hello(_) | PeerFrame::Pulse(_) => 0,
        };
        if items > ITEMS_MAX {
            return Err(FrameRefusal::Oversized);
        }
        match frame {
            PeerFrame::Queries(queries) => queries.iter().for_each(|query| self.answer_query(session, query)),
            PeerFrame::Reports(JobReports { clock: ANNOUNCED, reports }) => self.record_announcements(&reports),
            PeerFrame::Reports(JobReports { clock, reports }) => {
                self.peer_registry.record_clock(self.now, session, clock);
                reports.iter().for_each(|report| self.handle_job_report(session, report));
            }
            PeerFrame::Withdrawals(jobs) => jobs.iter().for_each(|job| self.remove_remote(session, *job)),
            PeerFrame::Takeovers(jobs) => jobs.iter().for_each(|job| self.yield_job(session, *job)),
            PeerFrame::Hello(_) | PeerFrame::Pulse(_) => {}
        }
        Ok(())
    }

    fn answer_query(&mut self, session: SessionId, query: &JobQuery) {
        // The first submission may still be on its way to here.
        self.announced_jobs.record(self.now, query.job);
        if let Some(state) = self.held_state(session, query) {
            self.push_report(session, query.job, state);
        }
    }

    pub(super) fn push_announcement(&mut self, session: SessionId, job: CallerJobId) {
        self.peer_outbox.announcements.entry(session).or_default().push(JobReport { job, state: HeldState::Open });
    }

    fn push_report(&mut self, session: SessionId, job: CallerJobId, state: HeldState) {
        self.peer_outbox.reports.entry(session).or_default().push(JobReport { job, state });
    }

    /// Returns what a peer is told of a job, or `None` if there are too many remote waiters or the job has been given up to another entry:
    /// an answer that it is unknown would not be true. If the job is open here, the peer becomes a remote waiter.
    fn held_state(&mut self, session: SessionId, query: &JobQuery) -> Option<HeldState> {
        let id = query.job;
        if let Some(phase) = self.job_table.final_phase(&id) {
            return Some(verdict_of(&CallerAnswer::Ended(phase)).map_or(HeldState::Unknown, HeldState::Ended));
        }
        if self.job_table.get(&id).is_none() && !self.is_first_claimant(session, &id) {
            return Some(HeldState::Unknown);
        }
        let told_at = MonoTime::from_elapsed(clock_millis(self.now).to_duration());
        if self.job_table.get(&id).is_some_and(|job| job.is_given_up) {
            return None;
        }
        let incarnation = self.peer_registry.get(session)?.hello.as_ref()?.incarnation;
        let (reply, is_new) = self.job_homes.add_remote(told_at, session, incarnation, id)?;
        let abandon_at = self.now + query.patience.to_duration();
        if !self.job_table.join(&id, reply, abandon_at, is_new) && is_new {
            self.job_homes.add_claimant(&id, reply, abandon_at);
        }
        if is_new {
            self.log(format!("event=job_held job={id} session={session}"));
        }
        Some(HeldState::Open)
    }

    /// Returns whether this entry claims a job and goes before a peer that claims it as well. The peer that has been asked and did not
    /// claim it yet goes last. If both have asked each other, the lower incarnation goes first.
    fn is_first_claimant(&mut self, session: SessionId, id: &CallerJobId) -> bool {
        let own = self.options.incarnation;
        let peer = self.peer_registry.get(session).and_then(|link| link.hello.as_ref()).map(|hello| hello.incarnation);
        let Some(claim) = self.job_homes.claim_mut(id) else {
            return false;
        };
        match claim.peers.get(session) {
            Some(PeerAnswer::Asked) => peer.is_some_and(|peer| own < peer),
            Some(PeerAnswer::Open) => false,
            Some(PeerAnswer::Unknown) | None => true,
        }
    }

    fn handle_job_report(&mut self, session: SessionId, report: &JobReport) {
        let id = report.job;
        let link = self.peer_registry.get(session);
        let incarnation = link.and_then(|link| link.hello.as_ref()).map(|hello| hello.incarnation);
        let address = link.and_then(PeerLink::address).cloned().unwrap_or_default();
        let Some(claim) = self.job_homes.claim_mut(&id) else {
            return self.handle_late_report(session, report);
        };
        let Some(known) = claim.peers.get(session) else {
            return;
        };
        claim.unresolved.remove(&address);
        match (known, report.state) {
            (PeerAnswer::Open, HeldState::Unknown) => self.ask_peer(session, &id),
            (_, HeldState::Unknown | HeldState::Ended(JobVerdict::Refused)) => {
                claim.peers.set(session, PeerAnswer::Unknown);
                if incarnation.is_some() && claim.lost_home == incarnation {
                    claim.blocked_until = MonoTime::ZERO;
                }
            }
            (_, HeldState::Open) => {
                claim.peers.set(session, PeerAnswer::Open);
                // The pulse confirms to the peer that this entry waits.
                self.peer_registry.request_pulse(session);
                self.log(format!("event=job_claimed job={id} home={address} session={session}"));
            }
            (_, HeldState::Ended(verdict)) => self.finish_claim(&id, answer_of(verdict)),
        }
    }

    /// Handles a report for a job that is not claimed any more: its callers were answered, or the peer has answered too late and the
    /// job was placed here. The work of a home that was too late is given up, because it may have stopped meanwhile.
    fn handle_late_report(&mut self, session: SessionId, report: &JobReport) {
        if report.state != HeldState::Open {
            return;
        }
        let is_open = self.job_table.get(&report.job).is_some();
        self.log(format!("event=job_report_late job={} session={session} open={is_open}", report.job));
        let outbox = if is_open { &mut self.peer_outbox.takeovers } else { &mut self.peer_outbox.withdrawals };
        outbox.entry(session).or_default().push(report.job);
    }

    /// Answers the callers of a claim, and tells the other peers that hold the job that nobody waits.
    fn finish_claim(&mut self, id: &CallerJobId, answer: CallerAnswer) {
        let Some(claim) = self.job_homes.take_claim(id) else {
            return;
        };
        self.log(format!("event=claim_answered job={id} answer={answer:?} waiters={}", claim.waiters.len()));
        self.withdraw_claim(id, &claim);
        claim.waiters.into_iter().for_each(|waiter| self.reply(waiter, answer.clone()));
    }

    fn withdraw_claim(&mut self, id: &CallerJobId, claim: &JobClaim) {
        for session in claim.peers.homes() {
            self.peer_outbox.withdrawals.entry(*session).or_default().push(*id);
        }
    }

    /// Removes a caller that has disconnected from its claim. Returns whether it had one.
    pub(super) fn withdraw_claimant(&mut self, reply: ReplyId) -> bool {
        let Some((id, claim)) = self.job_homes.remove_claimant(reply) else {
            return false;
        };
        self.log(format!("event=caller_disconnected job={id} claimed=true last={}", claim.is_some()));
        if let Some(claim) = claim {
            self.withdraw_claim(&id, &claim);
        }
        true
    }

    /// Removes a remote waiter whose entry has withdrawn it, and stops its job if nobody else waits for it.
    fn remove_remote(&mut self, session: SessionId, job: CallerJobId) {
        if let Some(reply) = self.job_homes.remote_reply(session, job) {
            self.job_homes.take_remote(reply);
            self.handle_disconnected_caller(reply);
        }
    }

    /// Stops a job that a peer runs, because it has learned too late that the job is open here.
    fn yield_job(&mut self, session: SessionId, job: CallerJobId) {
        if self.job_homes.remote_reply(session, job).is_none() {
            return;
        }
        self.log(format!("event=job_yielded job={job} session={session}"));
        self.remove_remote(session, job);
        let effects = self.job_table.give_up_job(&job);
        self.apply_effects(effects);
    }

    /// Records the loss of a link. A home that was lost may still run its job for the callers of this entry: until the lease of the
    /// remote waiter has ended, and then until the leases of its runs have. Remote waiters stay until their leases end, because
    /// the link may be opened again.
    pub(super) fn release_peer_jobs(&mut self, session: SessionId, link: &PeerLink) {
        self.peer_outbox.remove(session);
        let free_at = self.home_end(link);
        let (mut lost, mut unanswered) = (Vec::new(), Vec::new());
        for (id, claim) in self.job_homes.claims_mut() {
            match claim.peers.remove(session) {
                Some(PeerAnswer::Open) => {
                    claim.blocked_until = claim.blocked_until.max(free_at);
                    claim.lost_home = link.hello.as_ref().map(|hello| hello.incarnation);
                    lost.push(*id);
                }
                Some(PeerAnswer::Asked) => unanswered.push(*id),
                Some(PeerAnswer::Unknown) | None => {}
            }
        }
        let wait = free_at.since(self.now).as_millis();
        lost.into_iter().for_each(|id| self.log(format!("event=job_home_lost job={id} session={session} wait_ms={wait}")));
        self.lost_questions += unanswered.len() as u64;
        unanswered.into_iter().for_each(|id| self.log(format!("event=job_question_lost job={id} session={session}")));
    }

    /// Returns when every run of a home has ended if nothing more is received from it: the lease of the remote waiter ends, then those
    /// of the runs.
    fn home_end(&self, link: &PeerLink) -> MonoTime {
        link.peer_clock_at + HOLDING_LEASE + self.options.lease_terms.agent_loss_timeout()
    }

    /// Ends remote waiters without a lease, and admits, answers or keeps each claim. `gap` is the time since the previous events.
    pub(super) fn update_homes(&mut self, gap: Duration) {
        if self.job_homes.is_empty() {
            return;
        }
        for reply in self.job_homes.renew_remotes(self.now, &self.peer_registry) {
            let Some(RemoteWaiter { session, incarnation, job, .. }) = self.job_homes.take_remote(reply) else {
                continue;
            };
            // Without its lease the entry may run the job itself, unless it waits over another link. The job stops even if a caller has come
            // here since: that caller submits it again.
            let has_left = !self.job_homes.has_remote(incarnation, &job);
            self.log(format!("event=remote_waiter_expired job={job} session={session} last={has_left}"));
            self.handle_disconnected_caller(reply);
            if has_left {
                let effects = self.job_table.give_up_job(&job);
                self.apply_effects(effects);
            }
            self.push_report(session, job, HeldState::Unknown);
        }
        if gap > ANSWER_GAP_MAX {
            let now = self.now;
            self.job_homes.claims_mut().for_each(|(_, claim)| claim.extend(now));
        }
        let is_due = std::mem::take(&mut self.job_homes.is_changed) || self.now.since(self.claims_checked_at) >= MAINTENANCE_INTERVAL;
        if is_due && !self.resume_barrier.is_raised() {
            self.claims_checked_at = self.now;
            self.resolve_claims();
        }
    }

    fn resolve_claims(&mut self) {
        let home_end = |session| self.peer_registry.get(session).map_or(MonoTime::ZERO, |link| self.home_end(link));
        let knows_all_peers = self.peer_registry.is_list_read() && !self.has_unknown_peers();
        let state = |claim: &JobClaim| claim.state(self.now, knows_all_peers, home_end);
        let states = self.job_homes.claims().map(|(id, claim)| (*id, state(claim)));
        let due: Vec<(CallerJobId, ClaimState)> = states.filter(|(_, state)| *state != ClaimState::Wait).collect();
        for (id, state) in due {
            match state {
                ClaimState::RunHere => self.admit_claim(&id),
                ClaimState::Unresolved => self.abandon_claim(&id),
                ClaimState::TimedOut => self.finish_claim(&id, CallerAnswer::Abandoned("no time was left")),
                ClaimState::Wait => {}
            }
        }
    }

    /// Gives a claim up because an entry that may run the job can't be asked. The answer says that the job may have run.
    fn abandon_claim(&mut self, id: &CallerJobId) {
        let unresolved = self.job_homes.claim_mut(id).map(|claim| claim.unresolved.clone()).unwrap_or_default();
        self.log(format!("event=claim_unresolved job={id} entries={}", format_list(unresolved.iter())));
        self.finish_claim(id, CallerAnswer::Abandoned("an entry that may run the job can't be asked"));
    }

    /// Admits a job that no peer holds, unless this entry has no room for it now.
    fn admit_claim(&mut self, id: &CallerJobId) {
        let Some(claim) = self.job_homes.take_claim(id) else {
            return;
        };
        for session in claim.peers.homes() {
            self.peer_outbox.takeovers.entry(*session).or_default().push(*id);
        }
        let waited = self.now.since(claim.claimed_at).as_millis();
        self.log(format!("event=claim_admitted job={id} waited_ms={waited}"));
        let caller_timeout = Some(claim.abandon_at.since(self.now));
        let times = self.job_times(&claim.job, &claim.route, caller_timeout);
        for waiter in claim.waiters {
            if self.refuses_new_jobs() || self.load.is_strained() {
                self.log(format!("event=job_refused job={id} reason=claimed"));
                self.refuse(waiter, "the entry is overloaded", resubmit_delay(None, *id));
            } else {
                self.admit_job(waiter, claim.job.clone(), &claim.route, times);
            }
        }
    }

    /// Tells the entry of a remote waiter how the job has ended. Returns whether `reply` belongs to one.
    pub(super) fn reply_remote(&mut self, reply: ReplyId, answer: &CallerAnswer) -> bool {
        let Some(RemoteWaiter { session, job, .. }) = self.job_homes.take_remote(reply) else {
            return false;
        };
        self.push_report(session, job, HeldState::Ended(verdict_of(answer).unwrap_or(JobVerdict::Abandoned)));
        true
    }

    /// Sends what has accumulated for the peers.
    pub(super) fn flush_peer_frames(&mut self) {
        if self.peer_registry.has_due_pulse() {
            self.send_pulses();
        }
        let clock = clock_millis(self.now);
        let outbox = &mut self.peer_outbox;
        let mut frames: Vec<(SessionId, PeerFrame)> = Vec::new();
        if self.now.since(outbox.queries_sent_at) >= QUERY_INTERVAL && !outbox.queries.is_empty() {
            outbox.queries_sent_at = self.now;
            frames.extend(split_items(&mut outbox.queries).map(|(session, items)| (session, PeerFrame::Queries(items))));
        }
        let reports = split_items(&mut outbox.reports);
        frames.extend(reports.map(|(session, reports)| (session, PeerFrame::Reports(JobReports { clock, reports }))));
        let announced = split_items(&mut outbox.announcements);
        frames.extend(announced.map(|(session, reports)| (session, PeerFrame::Reports(JobReports { clock: ANNOUNCED, reports }))));
        frames.extend(split_items(&mut outbox.withdrawals).map(|(session, jobs)| (session, PeerFrame::Withdrawals(jobs))));
        frames.extend(split_items(&mut outbox.takeovers).map(|(session, jobs)| (session, PeerFrame::Takeovers(jobs))));
        for (session, frame) in frames {
            if self.peer_registry.get(session).is_some() {
                self.send_peer(session, frame);
            }
        }
    }

    /// Returns the number of jobs for which peers were asked.
    pub fn claim_count(&self) -> u64 {
        self.job_homes.claim_count
    }

    /// Returns the number of questions about jobs whose link was lost before the answer.
    pub fn lost_questions(&self) -> u64 {
        self.lost_questions
    }

    pub(super) fn dump_claims(&self) -> Vec<Value> {
        let claims = self.job_homes.claims().map(|(id, claim)| {
            json!({
                "job": id.to_string(),
                "homes": claim.peers.homes().iter().map(ToString::to_string).collect::<Vec<_>>(),
                "unresolved": claim.unresolved.iter().collect::<Vec<_>>(),
                "blocked_until": claim.blocked_until.to_string(),
                "waiters": claim.waiters.len(),
            })
        });
        claims.collect()
    }
}

impl PeerOutbox {
    fn remove(&mut self, session: SessionId) {
        self.queries.remove(&session);
        self.reports.remove(&session);
        self.announcements.remove(&session);
        self.withdrawals.remove(&session);
        self.takeovers.remove(&session);
    }
}

/// Takes all items and splits them into lists that fit into a frame.
fn split_items<T: Clone>(items: &mut BTreeMap<SessionId, Vec<T>>) -> impl Iterator<Item = (SessionId, Vec<T>)> {
    std::mem::take(items).into_iter().flat_map(|(session, items)| {
        let chunks: Vec<_> = items.chunks(ITEMS_MAX).map(|chunk| (session, chunk.to_vec())).collect();
        chunks
    })
}

fn verdict_of(answer: &CallerAnswer) -> Option<JobVerdict> {
    match answer {
        CallerAnswer::Ended(JobPhase::Succeeded) => Some(JobVerdict::Succeeded),
        CallerAnswer::Ended(JobPhase::Failed) => Some(JobVerdict::Failed),
        CallerAnswer::Ended(JobPhase::Cancelled) | CallerAnswer::Cancelled => Some(JobVerdict::Cancelled),
        CallerAnswer::Refused { .. } => Some(JobVerdict::Refused),
        _ => None,
    }
}

fn answer_of(verdict: JobVerdict) -> CallerAnswer {
    match verdict {
        JobVerdict::Succeeded => CallerAnswer::Ended(JobPhase::Succeeded),
        JobVerdict::Failed => CallerAnswer::Ended(JobPhase::Failed),
        JobVerdict::Cancelled => CallerAnswer::Ended(JobPhase::Cancelled),
        JobVerdict::Refused | JobVerdict::Abandoned => CallerAnswer::Abandoned("no time was left"),
    }
}
