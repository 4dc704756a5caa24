//! Callers and operators.

use rand::Rng;
use vanillacleat_control::entry::{CallerCall, CallerReply, EntryAction, EntryEvent};
use vanillacleat_control::ReplyId;
use vanillacleat_core::config::{ConfigChange, ConfigEdit};
use vanillacleat_core::frames::Envelope;
use vanillacleat_core::ids::ChangeId;
use vanillacleat_core::outcome::RefusalCode;
use vanillacleat_core::ticket::Ticket;
use vanillacleat_core::units::MonoTime;

use super::super::trace::show_reply;
use super::{AnswerSeen, Waiter, World, WorldEvent, ZoneOut, CALLER_RETRY, NOBODY};

impl World {
    pub fn give_ticket(&mut self, index: usize) -> Ticket {
        let replies = self.call_entry(index, CallerCall::Tickets(1));
        match replies.into_iter().next() {
            Some(CallerReply::Tickets(mut tickets)) => tickets.remove(0),
            other => panic!("no ticket: {other:?}"),
        }
    }

    /// Calls an entry and returns the replies that it gives at once.
    pub fn call_entry(&mut self, index: usize, call: CallerCall) -> Vec<CallerReply> {
        let now = self.local_time(self.entries[index].started_at);
        let control = self.entries[index].control.as_mut().expect("the entry runs");
        let actions = control.handle(now, EntryEvent::Caller { reply: NOBODY, call });
        let replies = actions.iter().filter_map(|action| match action {
            EntryAction::Reply { reply, body } if *reply == NOBODY => Some(body.clone()),
            _ => None,
        });
        let replies = replies.collect();
        self.execute_entry(index, actions);
        replies
    }

    pub fn submit(&mut self, job: usize, entry: usize) {
        let Some(ticket) = self.jobs[job].ticket.clone() else {
            return;
        };
        let call = CallerCall::Submit(ticket, self.jobs[job].spec.clone());
        self.ask(entry, call, Waiter::Job(job));
    }

    pub fn change(&mut self, entry: usize, edit: ConfigEdit) {
        if self.entries[entry].control.is_none() {
            return;
        }
        self.next += 1;
        let id: ChangeId = format!("change-{}", self.next).parse().unwrap();
        let based_on = self.store.config().map_or_else(Default::default, |value| value.revision);
        let change = ConfigChange { id, based_on, edits: vec![edit.clone()] };
        self.ask(entry, CallerCall::Change(change), Waiter::Change(edit, self.now));
    }

    pub(super) fn ask(&mut self, entry: usize, call: CallerCall, waiter: Waiter) {
        self.next += 1;
        let reply = ReplyId(self.next);
        let run = self.entries[entry].run;
        self.waiters.insert((entry, run, reply), waiter);
        let at = self.soon();
        self.push(at, WorldEvent::Entry { index: entry, run, event: EntryEvent::Caller { reply, call } });
    }

    pub(super) fn take_reply(&mut self, index: usize, run: u64, reply: ReplyId, body: CallerReply) {
        match self.waiters.remove(&(index, run, reply)) {
            Some(Waiter::Peer { entry, run, call }) => {
                let revision = self.entries[index].control.as_ref().map_or(Default::default(), |control| control.config().revision());
                let envelope = body.to_peer().map(|body| Envelope { revision, body });
                self.answer_peer(entry, run, call, envelope);
            }
            Some(Waiter::Job(job)) => {
                self.note(Some(show_reply(&body)), || format!("entry-{index} -> caller of job {job}"));
                self.take_job_reply(job, index, body);
            }
            Some(Waiter::Change(edit, asked_at)) => {
                self.note(Some(show_reply(&body)), || format!("entry-{index} -> operator"));
                self.take_change_reply(edit, asked_at, body);
            }
            None => {}
        }
    }

    pub(super) fn take_job_reply(&mut self, job: usize, entry: usize, body: CallerReply) {
        match body {
            CallerReply::Answer(answer) => {
                let seen = AnswerSeen { at: self.now, entry, answer: (*answer).clone() };
                let ticket = self.jobs[job].ticket.clone().expect("the job has a ticket");
                self.answers.entry(ticket).or_default().push(seen);
                self.jobs[job].is_settled = true;
            }
            CallerReply::Refused(refusal) => {
                self.jobs[job].refusals.push(refusal.code);
                let is_passing = matches!(
                    refusal.code,
                    RefusalCode::Draining | RefusalCode::HomeFenced | RefusalCode::HomeUnreachable | RefusalCode::ServiceUnknown
                );
                // Operators who take every zone out leave nothing that could run the job.
                let is_all_out = self.store.config().is_some_and(|value| value.zones_out.len() == 3);
                if is_passing && !is_all_out {
                    self.retry_job(job);
                } else {
                    self.jobs[job].is_settled = true;
                }
            }
            other => panic!("a submission was answered {other:?}"),
        }
    }

    pub(super) fn retry_job(&mut self, job: usize) {
        let at = self.now + CALLER_RETRY;
        self.push(at, WorldEvent::Submit(job));
    }

    pub(super) fn take_change_reply(&mut self, edit: ConfigEdit, asked_at: MonoTime, body: CallerReply) {
        let CallerReply::Changed(outcome) = body else {
            return;
        };
        if let (ConfigEdit::ZoneOut(zone), true) = (&edit, outcome.in_force) {
            // A later change may have been asked for meanwhile; then this one's acceptance says nothing of now.
            let is_overtaken = self.zone_ins.get(zone).is_some_and(|at| *at >= asked_at);
            if !is_overtaken && self.store.config().is_some_and(|value| value.zones_out.contains(zone)) {
                self.zone_outs.push(ZoneOut { zone: zone.clone(), accepted_at: self.now, asked_in_at: None });
            }
        }
    }

    pub(super) fn submit_somewhere(&mut self, job: usize) {
        let live: Vec<usize> = (0..self.entries.len()).filter(|index| self.entries[*index].control.is_some()).collect();
        if live.is_empty() {
            return self.retry_job(job);
        }
        let entry = live[self.rng.random_range(0..live.len())];
        if self.jobs[job].ticket.is_none() {
            let replies = self.call_entry(entry, CallerCall::Tickets(1));
            match replies.into_iter().next() {
                Some(CallerReply::Tickets(mut tickets)) => self.jobs[job].ticket = Some(tickets.remove(0)),
                _ => return self.retry_job(job),
            }
        }
        let entry = live[self.rng.random_range(0..live.len())];
        self.submit(job, entry);
    }
}
