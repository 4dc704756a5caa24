//! Announcements of open jobs to the other entries.
//!
//! Nothing in a request shows reliably that its caller has submitted the job before. Each entry therefore tells its peers the jobs that
//! are open for so long that their callers may come back, shortly before they can. The announcement is a report that nobody asked for.

use std::time::Duration;

use vanillacleat_control::SessionId;
use vanillacleat_core::caller_job::CallerJobId;
use vanillacleat_core::peer_frames::JobReport;

use super::DispatchControl;

/// Interval of the announcements, which bounds the number of frames on each link.
const ANNOUNCE_INTERVAL: Duration = Duration::from_millis(200);
/// Time before the earliest resubmission at which a job is due to be announced: the interval, and as much for the way.
const ANNOUNCE_LEAD: Duration = Duration::from_millis(500);

impl DispatchControl {
    /// Announces the jobs that are due.
    pub(super) fn announce_jobs(&mut self) {
        if self.now.since(self.announced_at) < ANNOUNCE_INTERVAL || !self.peer_registry.has_links() {
            return;
        }
        self.announced_at = self.now;
        let age_min = self.options.resubmit_after.saturating_sub(ANNOUNCE_LEAD);
        let due = self.job_table.take_unannounced(self.now, age_min);
        let sessions: Vec<SessionId> = self.peer_registry.linked().map(|(session, _)| session).collect();
        sessions.into_iter().for_each(|session| self.announce_to(session, &due));
    }

    /// Announces all open jobs to a new peer. The link may be lost again before they are due.
    pub(super) fn announce_to_new_peer(&mut self, session: SessionId) {
        let open: Vec<CallerJobId> = self.job_table.jobs().map(|job| job.job.id).collect();
        self.announce_to(session, &open);
    }

    fn announce_to(&mut self, session: SessionId, jobs: &[CallerJobId]) {
        jobs.iter().for_each(|job| self.push_announcement(session, *job));
    }

    /// Records the jobs that a peer has announced. One that is open here as well runs at both entries.
    pub(super) fn record_announcements(&mut self, reports: &[JobReport]) {
        for JobReport { job, .. } in reports {
            self.announced_jobs.record(self.now, *job);
            if self.job_table.get(job).is_some() {
                self.log(format!("event=job_open_twice job={job}"));
            }
        }
    }
}
