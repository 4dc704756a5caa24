//! Issues tickets and tracks which serials have expired.

use std::collections::VecDeque;
use std::time::Duration;

use vanillacleat_core::ids::HomeKey;
use vanillacleat_core::ticket::{Ticket, TicketSecret};
use vanillacleat_core::units::MonoTime;

/// Minimum interval between two serial marks, which limits how many are kept.
const MARK_INTERVAL: Duration = Duration::from_secs(1);

/// Issues the tickets of one home.
///
/// Unused tickets take no memory: the issuer keeps only a counter and at most one mark for each second of the ticket
/// lifetime.
#[derive(Debug)]
pub struct TicketIssuer {
    home: HomeKey,
    secret: TicketSecret,
    lifetime: Duration,
    next_serial: u64,
    expired_below: u64,
    marks: VecDeque<SerialMark>,
}

/// Records that every serial from `serial` on was issued at `at` or later.
#[derive(Clone, Copy, Debug)]
struct SerialMark {
    at: MonoTime,
    serial: u64,
}

impl TicketIssuer {
    /// Returns the issuer of a new home, which has issued no tickets.
    pub fn new(home: HomeKey, secret: TicketSecret, lifetime: Duration) -> Self {
        Self { home, secret, lifetime, next_serial: 0, expired_below: 0, marks: VecDeque::new() }
    }

    /// Returns the home to which the tickets belong.
    pub fn home(&self) -> &HomeKey {
        &self.home
    }

    /// Returns the serial that the next ticket will have.
    pub fn next_serial(&self) -> u64 {
        self.next_serial
    }

    /// Issues `count` tickets with consecutive serials.
    pub fn issue(&mut self, now: MonoTime, count: usize) -> Vec<Ticket> {
        let is_due = self.marks.back().is_none_or(|mark| now.since(mark.at) >= MARK_INTERVAL);
        if is_due {
            self.marks.push_back(SerialMark { at: now, serial: self.next_serial });
        }
        let first = self.next_serial;
        self.next_serial += count as u64;
        (first..self.next_serial).map(|serial| self.secret.sign(self.home.clone(), serial)).collect()
    }

    /// Returns the lowest serial that is still valid. Every lower one was issued at least a ticket lifetime ago.
    pub fn expired_below(&mut self, now: MonoTime) -> u64 {
        while let Some(mark) = self.marks.get(1) {
            if now.since(mark.at) < self.lifetime {
                break;
            }
            self.expired_below = mark.serial;
            self.marks.pop_front();
        }
        self.expired_below
    }
}
