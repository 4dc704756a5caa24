//! The links to the other entries: which to dial, when to send a pulse, and what each peer has last reported.
//!
//! Of two entries, the one with the lower address dials. A link is used once the hello of the peer was received. Peers hold
//! callers' jobs for each other under a lease, which a pulse renews by echoing the holder's clock.

use std::collections::BTreeMap;
use std::time::Duration;

use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use smol_str::SmolStr;
use vanillacleat_control::agent::EntryDialer;
use vanillacleat_control::SessionId;
use vanillacleat_core::ids::{Incarnation, ProcessStart, ZoneName};
use vanillacleat_core::peer_frames::{PeerHello, PeerLoad, PeerPulse};
use vanillacleat_core::run_frames::{EntryRecord, SessionOrder};
use vanillacleat_core::units::{Millis, MonoTime};

use super::known_peers::KnownPeers;

/// Interval of the pulses on a link over which no jobs are held.
pub const PULSE_INTERVAL: Duration = Duration::from_secs(1);
/// Interval of the pulses on a link over which a job is held. Several of them renew the lease in time.
pub const HOLDING_PULSE_INTERVAL: Duration = Duration::from_millis(150);
/// Lease of what an entry holds for a peer.
pub const HOLDING_LEASE: Duration = Duration::from_millis(600);
/// Minimum interval of pulses that are sent early because the entry's state has changed. Other changes of its load wait for a pulse.
const CHANGE_INTERVAL: Duration = Duration::from_millis(250);
/// Time without a frame after which a link is closed: a little over two pulses.
const SILENCE_TIMEOUT: Duration = Duration::from_millis(2_200);
/// Maximum number of links, including those that have not said hello.
const LINKS_MAX: usize = 512;
/// Maximum length of a peer's address, in bytes.
const ADDRESS_BYTES_MAX: usize = 64;
/// Maximum number of services whose load a peer reports.
pub const SERVICES_MAX: usize = 32;
/// Delay before the first redial after a failure.
const REDIAL_MIN: Duration = Duration::from_millis(200);
/// Number of redials after the first delay. The entry is usually reachable again within them, and callers come back meanwhile.
const STEADY_REDIALS: u32 = 8;
/// Maximum delay between redials. Resubmissions wait for the link; an entry that has left is forgotten within some seconds.
const REDIAL_MAX: Duration = Duration::from_secs(1);

/// Introduces the own entry, except for the number of the link.
#[derive(Clone, Debug)]
pub struct PeerIdentity {
    /// Where this entry accepts sessions. If it is empty, this entry dials no other.
    pub address: SmolStr,
    /// The entry's incarnation.
    pub incarnation: Incarnation,
    /// The start of the entry's process.
    pub process_start: ProcessStart,
    /// The entry's availability zone.
    pub zone: ZoneName,
}

/// A link to another entry.
#[derive(Clone, Debug)]
pub struct PeerLink {
    /// The address that this entry dialed; absent if the peer has dialed.
    pub dialed: Option<SmolStr>,
    /// The number of the hello that this entry has sent, if it has dialed.
    hello_number: Option<u64>,
    /// The peer's hello; absent until it is received.
    pub hello: Option<PeerHello>,
    /// When the last frame was received, or the link was opened.
    pub received_at: MonoTime,
    /// The peer's load.
    pub load: PeerLoad,
    /// The latest own clock that the peer has echoed.
    pub echo: MonoTime,
    /// The latest clock of the peer.
    pub peer_clock: Millis,
    /// When the latest clock of the peer was received. The peer's lease on what it holds for this entry counts from no later time.
    pub peer_clock_at: MonoTime,
    /// Whether a pulse is due at once.
    pub is_pulse_due: bool,
    pulsed_at: MonoTime,
    sent_load: PeerLoad,
}

/// Why a frame of a peer was refused. The link is closed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FrameRefusal {
    /// The frame came before the hello, or is a second hello.
    OutOfOrder,
    /// The hello is this entry's own.
    OwnHello,
    /// The hello comes from an earlier link than one that is in use.
    Outdated,
    /// The peer echoed a clock that this entry has not reached.
    FutureEcho,
    /// The frame has too many items or too long a name, or there are too many links or entries that are not listed.
    Oversized,
}

impl FrameRefusal {
    /// Returns the reason's name, as used in logs.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::OutOfOrder => "out_of_order",
            Self::OwnHello => "own_hello",
            Self::Outdated => "outdated",
            Self::FutureEcho => "future_echo",
            Self::Oversized => "oversized",
        }
    }
}

/// Holds the links to the other entries.
#[derive(Debug)]
pub struct PeerRegistry {
    identity: PeerIdentity,
    dialer: EntryDialer,
    rng: ChaCha8Rng,
    known: KnownPeers,
    /// When every run of a process that was replaced by another one at its address has ended.
    former_runs_end: MonoTime,
    links: BTreeMap<SessionId, PeerLink>,
    last_number: u64,
    has_due_pulse: bool,
}

impl PeerRegistry {
    /// Returns a registry without links. The incarnation seeds the jitter of redials.
    pub fn new(identity: PeerIdentity) -> Self {
        let dialer = EntryDialer::new(Vec::new()).with_redial(REDIAL_MIN, REDIAL_MAX, STEADY_REDIALS);
        let rng = ChaCha8Rng::seed_from_u64(identity.incarnation.0);
        let known = KnownPeers::new(identity.address.clone());
        let (links, former_runs_end) = (BTreeMap::new(), MonoTime::ZERO);
        Self { identity, dialer, rng, known, former_runs_end, links, last_number: 0, has_due_pulse: false }
    }

    /// Records the entries that the platform's store lists. Returns the addresses of those that were not known.
    pub fn set_entries(&mut self, now: MonoTime, entries: &[EntryRecord]) -> Vec<SmolStr> {
        let new = self.known.record_list(now, entries.iter().map(|entry| entry.address.clone()));
        self.update_dialer();
        new
    }

    /// Forgets entries that are gone. Returns their addresses.
    pub fn forget_gone(&mut self, now: MonoTime) -> Vec<SmolStr> {
        let links = &self.links;
        let gone = self.known.forget_gone(now, |address| links.values().any(|link| link.address() == Some(address)));
        if !gone.is_empty() {
            self.update_dialer();
        }
        gone
    }

    fn update_dialer(&mut self) {
        let own = &self.identity.address;
        let dialed: Vec<&SmolStr> = self.known.addresses().filter(|address| !own.is_empty() && *address > own).collect();
        self.dialer.retain_addresses(|address| dialed.contains(&address));
        dialed.into_iter().for_each(|address| self.dialer.add_address(address.clone()));
    }

    /// Returns the addresses to dial now.
    pub fn due_dials(&mut self, now: MonoTime) -> Vec<SmolStr> {
        self.dialer.due_addresses(now, &mut self.rng)
    }

    /// Records that a dial failed.
    pub fn record_failed_dial(&mut self, now: MonoTime, address: &SmolStr) {
        self.dialer.record_disconnected(address, now, &mut self.rng);
    }

    /// Records a link that was opened. Returns the hello to send if this entry has dialed, and an error if there are too many links.
    pub fn record_opened(&mut self, now: MonoTime, session: SessionId, dialed: Option<SmolStr>) -> Result<Option<PeerHello>, FrameRefusal> {
        if let Some(address) = &dialed {
            self.dialer.record_connected(address);
        }
        let hello = dialed.is_some().then(|| self.make_hello());
        let link = PeerLink {
            dialed,
            hello_number: hello.as_ref().map(|hello| hello.order.number),
            hello: None,
            received_at: now,
            load: PeerLoad::default(),
            echo: MonoTime::ZERO,
            peer_clock: Millis(0),
            peer_clock_at: now,
            is_pulse_due: false,
            pulsed_at: now,
            sent_load: PeerLoad::default(),
        };
        self.links.insert(session, link);
        if self.links.len() > LINKS_MAX {
            return Err(FrameRefusal::Oversized);
        }
        Ok(hello)
    }

    /// Records a hello. Returns the hello to answer with if the peer has dialed, and the earlier link of the peer, which is replaced.
    /// The runs of a former process at the peer's address end within `loss_timeout`.
    pub fn record_hello(
        &mut self,
        now: MonoTime,
        session: SessionId,
        hello: PeerHello,
        loss_timeout: Duration,
    ) -> Result<(Option<PeerHello>, Option<SessionId>), FrameRefusal> {
        if hello.incarnation == self.identity.incarnation {
            self.record_own_hello(&hello);
            return Err(FrameRefusal::OwnHello);
        }
        if hello.address.len() > ADDRESS_BYTES_MAX || !self.known.has_room(&hello.address) {
            return Err(FrameRefusal::Oversized);
        }
        let earlier = self.linked().find(|(other, link)| *other != session && link.address() == Some(&hello.address));
        let earlier = earlier.map(|(other, link)| (other, link.hello.as_ref().is_some_and(|known| known.order > hello.order)));
        if earlier.is_some_and(|(_, is_later)| is_later) {
            return Err(FrameRefusal::Outdated);
        }
        let answer = self.make_hello();
        let link = self.links.get_mut(&session).filter(|link| link.hello.is_none()).ok_or(FrameRefusal::OutOfOrder)?;
        let incarnation = hello.incarnation;
        (link.hello, link.received_at, link.is_pulse_due) = (Some(hello), now, true);
        if link.address().is_some_and(|address| self.known.record_hello(now, address, incarnation)) {
            self.former_runs_end = now + loss_timeout;
        }
        Ok((link.dialed.is_none().then_some(answer), earlier.map(|(other, _)| other)))
    }

    /// Records that this entry has dialed itself under another address.
    fn record_own_hello(&mut self, hello: &PeerHello) {
        let own_links = self.links.values().filter(|link| link.hello_number == Some(hello.order.number));
        let own_addresses: Vec<SmolStr> = own_links.filter_map(|link| link.dialed.clone()).collect();
        own_addresses.iter().for_each(|address| self.known.record_own(address));
        self.update_dialer();
    }

    /// Records that a frame other than a hello was received.
    pub fn record_frame(&mut self, now: MonoTime, session: SessionId) -> Result<(), FrameRefusal> {
        let link = self.links.get_mut(&session).filter(|link| link.hello.is_some()).ok_or(FrameRefusal::OutOfOrder)?;
        link.received_at = now;
        Ok(())
    }

    /// Records a pulse.
    pub fn record_pulse(&mut self, now: MonoTime, session: SessionId, pulse: PeerPulse) -> Result<(), FrameRefusal> {
        if pulse.echo > clock_millis(now) {
            return Err(FrameRefusal::FutureEcho);
        }
        let echo = MonoTime::from_millis(pulse.echo.0);
        if pulse.load.as_ref().is_some_and(|load| load.services.len() > SERVICES_MAX) {
            return Err(FrameRefusal::Oversized);
        }
        if let Some(link) = self.links.get_mut(&session) {
            link.echo = link.echo.max(echo);
            link.load = pulse.load.unwrap_or_else(|| std::mem::take(&mut link.load));
        }
        self.record_clock(now, session, pulse.clock);
        Ok(())
    }

    /// Records a reading of the peer's clock that was received now.
    pub fn record_clock(&mut self, now: MonoTime, session: SessionId, clock: Millis) {
        if let Some(link) = self.links.get_mut(&session).filter(|link| clock >= link.peer_clock) {
            (link.peer_clock, link.peer_clock_at) = (clock, now);
        }
    }

    /// Removes a link that was closed or lost. Its address will be dialed again if this entry has dialed it and has no other link to it.
    pub fn record_closed(&mut self, now: MonoTime, session: SessionId) -> Option<PeerLink> {
        let link = self.links.remove(&session)?;
        if let (Some(address), Some(_)) = (link.address(), &link.hello) {
            self.known.record_lost(now, address);
        }
        let is_dialed = |address: &SmolStr| self.links.values().any(|other| other.dialed.as_ref() == Some(address));
        if let Some(address) = link.dialed.as_ref().filter(|address| !is_dialed(address)) {
            self.dialer.record_disconnected(address, now, &mut self.rng);
        }
        Some(link)
    }

    /// Returns the links on which nothing was received for too long. Time before `resumed_at` doesn't count, because this process was
    /// stalled then.
    pub fn silent_links(&self, now: MonoTime, resumed_at: MonoTime) -> Vec<SessionId> {
        let is_silent = |link: &PeerLink| now.since(link.received_at.max(resumed_at)) >= SILENCE_TIMEOUT;
        self.links.iter().filter(|(_, link)| is_silent(link)).map(|(session, _)| *session).collect()
    }

    /// Returns the links whose peers have said hello.
    pub fn linked(&self) -> impl Iterator<Item = (SessionId, &PeerLink)> {
        self.links.iter().filter(|(_, link)| link.hello.is_some()).map(|(session, link)| (*session, link))
    }

    /// Returns a link whose peer has said hello.
    pub fn get(&self, session: SessionId) -> Option<&PeerLink> {
        self.links.get(&session).filter(|link| link.hello.is_some())
    }

    /// Returns the addresses of all entries that may run a job, with or without a link.
    pub fn known_addresses(&self) -> impl Iterator<Item = &SmolStr> {
        self.known.addresses()
    }

    /// Returns whether other entries may run a job: one is known, or the store's list has not been read.
    pub fn may_have_peers(&self) -> bool {
        !self.known.is_list_read() || self.known.addresses().next().is_some()
    }

    /// Returns whether the store's list was read, so that no entry that may run a job is unknown.
    pub fn is_list_read(&self) -> bool {
        self.known.is_list_read()
    }

    /// Returns when every run of a process that was replaced by another one at its address has ended.
    pub fn former_runs_end(&self) -> MonoTime {
        self.former_runs_end
    }

    /// Returns whether a peer has said hello.
    pub fn has_links(&self) -> bool {
        self.linked().next().is_some()
    }

    /// Makes a pulse on a link due at once.
    pub fn request_pulse(&mut self, session: SessionId) {
        if let Some(link) = self.links.get_mut(&session) {
            (link.is_pulse_due, self.has_due_pulse) = (true, true);
        }
    }

    /// Returns whether a pulse is due at once.
    pub fn has_due_pulse(&self) -> bool {
        self.has_due_pulse
    }

    /// Returns the pulses that are due. `is_holding` tells whether one side of a link holds a job for the other.
    pub fn due_pulses(&mut self, now: MonoTime, load: &PeerLoad, is_holding: impl Fn(SessionId) -> bool) -> Vec<(SessionId, PeerPulse)> {
        let mut pulses = Vec::new();
        self.has_due_pulse = false;
        for (session, link) in self.links.iter_mut().filter(|(_, link)| link.hello.is_some()) {
            let interval = if is_holding(*session) { HOLDING_PULSE_INTERVAL } else { PULSE_INTERVAL };
            let is_changed = link.sent_load != *load;
            let is_urgent = !link.sent_load.has_same_state(load) && now.since(link.pulsed_at) >= CHANGE_INTERVAL;
            if !link.is_pulse_due && !is_urgent && now.since(link.pulsed_at) < interval {
                continue;
            }
            if is_changed {
                link.sent_load = load.clone();
            }
            (link.is_pulse_due, link.pulsed_at) = (false, now);
            let pulse = PeerPulse { clock: clock_millis(now), echo: link.peer_clock, load: is_changed.then(|| load.clone()) };
            pulses.push((*session, pulse));
        }
        pulses
    }

    fn make_hello(&mut self) -> PeerHello {
        self.last_number += 1;
        let PeerIdentity { address, incarnation, process_start, zone } = self.identity.clone();
        PeerHello { address, incarnation, order: SessionOrder { process_start, number: self.last_number }, zone }
    }
}

impl PeerLink {
    /// Returns where the peer accepts sessions: the address that was dialed, or the one of its hello.
    pub fn address(&self) -> Option<&SmolStr> {
        self.dialed.as_ref().or(self.hello.as_ref().map(|hello| &hello.address))
    }
}

/// Returns the clock reading that peers receive: whole milliseconds, rounded down.
pub fn clock_millis(now: MonoTime) -> Millis {
    Millis::from_duration(now.since(MonoTime::ZERO))
}
