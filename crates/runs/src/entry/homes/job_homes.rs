//! Which entry is the home of a resubmitted job.
//!
//! A caller whose connection broke on its own side resubmits its job to another entry while the first one still runs it. The second
//! entry therefore asks its peers before it places a task. Until the answer is known, the job is a *claim*. A peer that holds the job
//! keeps it and counts the asking entry as one more waiting caller, a *remote waiter*, under a lease.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use smol_str::SmolStr;
use vanillacleat_control::{ReplyId, SessionId};
use vanillacleat_core::caller_job::{CallerJob, CallerJobId};
use vanillacleat_core::ids::Incarnation;
use vanillacleat_core::site_plan::RouteRule;
use vanillacleat_core::units::MonoTime;

use super::peer_registry::{PeerRegistry, HOLDING_LEASE};

/// Maximum number of claims. Resubmissions beyond it are not admitted.
const CLAIMS_MAX: usize = 4_096;
/// Maximum number of remote waiters. Peers that ask beyond it get no answer.
const REMOTE_WAITERS_MAX: usize = 4_096;
/// Maximum time that a claim waits for entries that don't answer. It allows for a lost link that is dialed again, and for an entry that is
/// behind. The caller then submits the job again, perhaps to the entry that runs it.
const UNRESOLVED_MAX: Duration = Duration::from_secs(1);
/// Time that is left for reading the answers that may have arrived while this process was stalled.
const READING_TIME: Duration = Duration::from_millis(25);
/// Maximum number of times that a claim waits longer because of stalls, so that an entry which gets its processor in slices goes on.
const EXTENSIONS_MAX: u32 = 3;
/// Marks the reply ids of remote waiters. Those of callers are counted from zero.
const REMOTE_MARK: u64 = 1 << 63;

/// What a peer has answered to a query.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(in crate::entry) enum PeerAnswer {
    /// Nothing yet.
    Asked,
    /// It doesn't hold the job.
    Unknown,
    /// It holds the job and will report its end.
    Open,
}

/// A resubmitted job that may have its home at a peer.
#[derive(Clone, Debug)]
pub(in crate::entry) struct JobClaim {
    /// The job.
    pub job: Arc<CallerJob>,
    /// The route that the job was submitted to.
    pub route: Arc<RouteRule>,
    /// When the last of the callers stops waiting.
    pub abandon_at: MonoTime,
    /// When the claim was made.
    pub claimed_at: MonoTime,
    /// The entries that may run the job as far as is known: they have not answered, or can't be asked because they have no link.
    pub unresolved: BTreeSet<SmolStr>,
    /// When the first of these became unresolved, or later if this process was stalled since.
    pub unresolved_since: MonoTime,
    /// Number of times that the claim waits longer because of stalls.
    pub extensions: u32,
    /// When every run of a home that was lost has ended.
    pub blocked_until: MonoTime,
    /// The last home that was lost.
    pub lost_home: Option<Incarnation>,
    /// The callers and remote waiters.
    pub waiters: Vec<ReplyId>,
    /// What the peers that were asked have answered.
    pub peers: PeerAnswers,
}

/// The answers of the peers that were asked for a job.
#[derive(Clone, Debug, Default)]
pub(in crate::entry) struct PeerAnswers {
    answers: BTreeMap<SessionId, PeerAnswer>,
    homes: Vec<SessionId>,
}

impl PeerAnswers {
    /// Returns what a peer has answered, or `None` if it was not asked.
    pub fn get(&self, session: SessionId) -> Option<PeerAnswer> {
        self.answers.get(&session).copied()
    }

    /// Records that a peer was asked, or what it has answered.
    pub fn set(&mut self, session: SessionId, answer: PeerAnswer) {
        self.remove(session);
        self.answers.insert(session, answer);
        if answer == PeerAnswer::Open {
            self.homes.push(session);
        }
    }

    /// Removes a peer whose link was lost, and returns what it has answered.
    pub fn remove(&mut self, session: SessionId) -> Option<PeerAnswer> {
        let answer = self.answers.remove(&session)?;
        self.homes.retain(|home| *home != session);
        Some(answer)
    }

    /// Returns the links to the peers that hold the job.
    pub fn homes(&self) -> &[SessionId] {
        &self.homes
    }
}

/// What to do with a claim.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(in crate::entry) enum ClaimState {
    /// Wait for answers and links, for the end of the job at its home, or for the end of a lost home's leases.
    Wait,
    /// No entry holds the job.
    RunHere,
    /// An entry that may run the job can't be asked.
    Unresolved,
    /// No caller waits any more.
    TimedOut,
}

/// An entry that waits for a job that is held here, on behalf of its own callers.
#[derive(Clone, Copy, Debug)]
pub(in crate::entry) struct RemoteWaiter {
    /// The link to the entry.
    pub session: SessionId,
    /// The entry's process.
    pub incarnation: Incarnation,
    /// The job.
    pub job: CallerJobId,
    /// When the entry was told that the job is open here.
    pub told_at: MonoTime,
    /// The start of the waiter's lease: the latest own clock that the entry is known to have received.
    pub leased_from: MonoTime,
    /// Whether the entry is known to have received the answer and not to run the job itself. Until then no task is started.
    pub is_confirmed: bool,
}

/// Holds the claims of this entry's callers and the remote waiters for its jobs.
#[derive(Debug, Default)]
pub(in crate::entry) struct JobHomes {
    claims: BTreeMap<CallerJobId, JobClaim>,
    /// The claim that each of its waiters waits for.
    claimants: BTreeMap<ReplyId, CallerJobId>,
    remote_waiters: BTreeMap<ReplyId, RemoteWaiter>,
    remote_replies: BTreeMap<(SessionId, CallerJobId), ReplyId>,
    last_remote: u64,
    /// The jobs of which no task is started, because a remote waiter is not confirmed.
    unconfirmed: BTreeSet<CallerJobId>,
    /// Whether a claim may have changed since this was last taken.
    pub is_changed: bool,
    /// Number of claims so far.
    pub claim_count: u64,
}

impl JobClaim {
    /// Returns what to do at `now`. A home is waited for until `home_end`, when its runs have ended if nothing more is received from it, and
    /// lost homes and replaced processes until `blocked_until`.
    pub fn state(&self, now: MonoTime, knows_all_peers: bool, home_end: impl Fn(SessionId) -> MonoTime) -> ClaimState {
        let has_home = self.peers.homes().iter().any(|session| now < home_end(*session));
        if now >= self.abandon_at {
            ClaimState::TimedOut
        } else if has_home || now < self.blocked_until {
            ClaimState::Wait
        } else if self.unresolved.is_empty() && knows_all_peers {
            ClaimState::RunHere
        } else if now.since(self.unresolved_since) < UNRESOLVED_MAX {
            ClaimState::Wait
        } else {
            ClaimState::Unresolved
        }
    }

    /// Records that an entry may run the job.
    pub fn add_unresolved(&mut self, now: MonoTime, address: SmolStr) {
        if self.unresolved.is_empty() {
            self.unresolved_since = now;
        }
        self.unresolved.insert(address);
    }

    /// Leaves time for reading the peers' answers after a stall of this process.
    pub fn extend(&mut self, now: MonoTime) {
        if self.extensions < EXTENSIONS_MAX {
            self.extensions += 1;
            self.unresolved_since = self.unresolved_since.max(now.before(UNRESOLVED_MAX) + READING_TIME);
        }
    }
}

impl JobHomes {
    /// Returns whether a further claim may be added.
    pub fn has_room(&self) -> bool {
        self.claims.len() < CLAIMS_MAX
    }

    /// Returns whether there is a claim.
    pub fn has_claims(&self) -> bool {
        !self.claims.is_empty()
    }

    /// Returns whether there is neither a claim nor a remote waiter.
    pub fn is_empty(&self) -> bool {
        self.claims.is_empty() && self.remote_waiters.is_empty()
    }

    /// Returns the claims.
    pub fn claims(&self) -> impl Iterator<Item = (&CallerJobId, &JobClaim)> {
        self.claims.iter()
    }

    /// Returns the claims for changes other than of their waiters.
    pub fn claims_mut(&mut self) -> impl Iterator<Item = (&CallerJobId, &mut JobClaim)> {
        self.is_changed = true;
        self.claims.iter_mut()
    }

    /// Returns the claim for a job for changes other than of its waiters.
    pub fn claim_mut(&mut self, id: &CallerJobId) -> Option<&mut JobClaim> {
        self.is_changed = true;
        self.claims.get_mut(id)
    }

    /// Adds a claim without waiters.
    pub fn add_claim(&mut self, claim: JobClaim) {
        self.claim_count += 1;
        self.claims.insert(claim.job.id, claim);
    }

    /// Adds a waiter to a claim. Returns whether there is one.
    pub fn add_claimant(&mut self, id: &CallerJobId, waiter: ReplyId, abandon_at: MonoTime) -> bool {
        let Some(claim) = self.claims.get_mut(id) else {
            return false;
        };
        claim.waiters.push(waiter);
        claim.abandon_at = claim.abandon_at.max(abandon_at);
        self.claimants.insert(waiter, *id);
        true
    }

    /// Removes a waiter. Returns its job, and the claim if nobody else waits for it; the claim is then removed as well.
    pub fn remove_claimant(&mut self, waiter: ReplyId) -> Option<(CallerJobId, Option<JobClaim>)> {
        let id = self.claimants.remove(&waiter)?;
        let claim = self.claims.get_mut(&id)?;
        claim.waiters.retain(|other| *other != waiter);
        let is_last = claim.waiters.is_empty();
        Some((id, if is_last { self.take_claim(&id) } else { None }))
    }

    /// Removes a claim.
    pub fn take_claim(&mut self, id: &CallerJobId) -> Option<JobClaim> {
        let claim = self.claims.remove(id)?;
        for waiter in &claim.waiters {
            self.claimants.remove(waiter);
        }
        Some(claim)
    }

    /// Adds a remote waiter, or renews the one that the entry already has. Returns its reply id with whether it is new, or `None` if
    /// there are too many.
    pub fn add_remote(
        &mut self,
        told_at: MonoTime,
        session: SessionId,
        incarnation: Incarnation,
        job: CallerJobId,
    ) -> Option<(ReplyId, bool)> {
        let known = self.remote_replies.get(&(session, job)).copied();
        if known.is_none() && self.remote_waiters.len() >= REMOTE_WAITERS_MAX {
            return None;
        }
        let reply = known.unwrap_or_else(|| {
            self.last_remote += 1;
            ReplyId(REMOTE_MARK | self.last_remote)
        });
        self.remote_waiters.insert(reply, RemoteWaiter { session, incarnation, job, told_at, leased_from: told_at, is_confirmed: false });
        self.remote_replies.insert((session, job), reply);
        Some((reply, known.is_none()))
    }

    /// Returns the remote waiter of an entry for a job.
    pub fn remote_reply(&self, session: SessionId, job: CallerJobId) -> Option<ReplyId> {
        self.remote_replies.get(&(session, job)).copied()
    }

    /// Removes a remote waiter. Returns `None` if `reply` belongs to a caller of this entry.
    pub fn take_remote(&mut self, reply: ReplyId) -> Option<RemoteWaiter> {
        let waiter = self.remote_waiters.remove(&reply)?;
        self.remote_replies.remove(&(waiter.session, waiter.job));
        Some(waiter)
    }

    /// Returns whether a process waits for a job.
    pub fn has_remote(&self, incarnation: Incarnation, job: &CallerJobId) -> bool {
        self.remote_waiters.values().any(|waiter| waiter.incarnation == incarnation && waiter.job == *job)
    }

    /// Renews the leases of remote waiters from what the peers have echoed. Returns those whose leases have ended.
    pub fn renew_remotes(&mut self, now: MonoTime, registry: &PeerRegistry) -> Vec<ReplyId> {
        for waiter in self.remote_waiters.values_mut() {
            let echo = registry.get(waiter.session).map_or(MonoTime::ZERO, |link| link.echo);
            waiter.leased_from = waiter.leased_from.max(echo);
            waiter.is_confirmed |= echo >= waiter.told_at;
        }
        let unconfirmed = self.remote_waiters.values().filter(|waiter| !waiter.is_confirmed);
        self.unconfirmed = unconfirmed.map(|waiter| waiter.job).collect();
        let has_ended = |waiter: &RemoteWaiter| now.since(waiter.leased_from) >= HOLDING_LEASE;
        self.remote_waiters.iter().filter(|(_, waiter)| has_ended(waiter)).map(|(reply, _)| *reply).collect()
    }

    /// Returns whether an entry that was told that a job is open here may not have received that, and may run the job itself.
    pub fn is_unconfirmed(&self, id: &CallerJobId) -> bool {
        !self.remote_waiters.is_empty() && self.unconfirmed.contains(id)
    }

    /// Returns the links over which one side holds a job for the other.
    pub fn holding_sessions(&self) -> BTreeSet<SessionId> {
        let homes = self.claims.values().flat_map(|claim| claim.peers.homes().iter().copied());
        homes.chain(self.remote_waiters.values().map(|waiter| waiter.session)).collect()
    }
}
