//! Gives out tickets and knows which serials have outlived their lifetime.

use std::collections::VecDeque;
use std::time::Duration;

use vanillacleat_core::ids::HomeKey;
use vanillacleat_core::ticket::{Ticket, TicketSecret};
use vanillacleat_core::units::MonoTime;

/// Shortest time between two marks, which bounds their number.
const MARK_PERIOD: Duration = Duration::from_secs(1);

/// A `TicketIssuer` gives out one home's tickets. Unused tickets cost it nothing: it keeps a counter and a mark a second.
#[derive(Debug)]
pub struct TicketIssuer {
    home: HomeKey,
    secret: TicketSecret,
    lifetime: Duration,
    next_serial: u64,
    expired_below: u64,
    marks: VecDeque<SerialMark>,
}

/// A `SerialMark` says that every serial from `serial` on was given out at `at` or later.
#[derive(Clone, Copy, Debug)]
struct SerialMark {
    at: MonoTime,
    serial: u64,
}

impl TicketIssuer {
    /// Returns the issuer of a new home.
    pub fn new(home: HomeKey, secret: TicketSecret, lifetime: Duration) -> Self {
        Self { home, secret, lifetime, next_serial: 0, expired_below: 0, marks: VecDeque::new() }
    }

    /// Returns the home that the tickets name.
    pub fn home(&self) -> &HomeKey {
        &self.home
    }

    /// Returns the serial after the last one given out.
    pub fn next_serial(&self) -> u64 {
        self.next_serial
    }

    /// Returns `count` new tickets.
    pub fn issue(&mut self, now: MonoTime, count: usize) -> Vec<Ticket> {
        let is_due = self.marks.back().is_none_or(|mark| now.since(mark.at) >= MARK_PERIOD);
        if is_due {
            self.marks.push_back(SerialMark { at: now, serial: self.next_serial });
        }
        let first = self.next_serial;
        self.next_serial += count as u64;
        (first..self.next_serial).map(|serial| self.secret.sign(self.home.clone(), serial)).collect()
    }

    /// Returns the lowest serial that may still be used; every lower one was given out a lifetime or longer ago.
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
