//! Embeds the ticket issuer and the job ledger in another program. The ledger answers a job once, when all its tasks have
//! ended.

use std::sync::Arc;
use std::time::Duration;

use vanillacleat_control::ledger::{JobAdmission, JobKey, JobLedger, LedgerEffect};
use vanillacleat_control::ticket_issuer::TicketIssuer;
use vanillacleat_control::ReplyId;
use vanillacleat_core::errors::Error;
use vanillacleat_core::frames::{TaskResult, TaskStatus};
use vanillacleat_core::ids::{HomeKey, Incarnation, TaskKey, WorkerKey};
use vanillacleat_core::job::{JobSpec, TaskSpec};
use vanillacleat_core::outcome::TaskOutcome;
use vanillacleat_core::ticket::TicketSecret;
use vanillacleat_core::units::{Generation, Millis, MonoTime};

fn main() -> Result<(), Error> {
    let now = MonoTime::from_millis(1);
    let home = HomeKey { entry: "my-program".parse()?, incarnation: Incarnation(1) };
    let mut issuer = TicketIssuer::new(home.clone(), TicketSecret::new(b"a key of my own"), Duration::from_secs(600));
    let ticket = issuer.issue(now, 1).remove(0);
    let mut ledger = JobLedger::new(1_000_000);
    ledger.take_ownership(home.clone(), Generation(0), None);

    let tasks = vec![TaskSpec::default(); 2];
    let spec = Arc::new(JobSpec { service: "pricing".parse()?, team: "growers".parse()?, deadline_ms: Millis(1_000), tasks });
    let job_key = JobKey { home: home.clone(), serial: ticket.serial };
    let (digest, deadline) = (spec.digest(), MonoTime::from_millis(1_001));
    let admission = JobAdmission { job_key, spec, digest, deadline, rank: 0, waiter: Some(ReplyId(1)), is_private: false };
    ledger.accept(now, admission);

    let worker = WorkerKey { agent: "my-worker".parse()?, incarnation: Incarnation(1) };
    for task in 0..2 {
        let key = TaskKey { home: home.clone(), serial: ticket.serial, task };
        let attempt = ledger.mark_sent(&key, &worker).expect("the task is waiting to be sent");
        let status = TaskStatus::Ended(TaskOutcome::Done(format!("price {task}")));
        for effect in ledger.record_result(now, &worker, TaskResult { key, attempt, status, run_ms: Millis(3) }) {
            if let LedgerEffect::Answer { waiters, answer, .. } = effect {
                println!("waiters={} complete={} outcomes={}", waiters.len(), answer.is_complete(), answer.outcomes.len());
            }
        }
    }
    Ok(())
}
