//! Tickets: authenticated job identifiers, which an entry issues before the job is submitted.

use std::fmt;
use std::str::FromStr;

use hmac::{Hmac, Mac};
use serde::{Deserialize, Serialize};
use sha2::Sha256;

use crate::errors::{malformed_error, Error};
use crate::ids::{EntryId, HomeKey, Incarnation};

/// Text form of a ticket, as described in error messages.
const TICKET_ALLOWED: &str = "entry.incarnation.serial.code, as issued by an entry";
/// Length of the truncated message authentication code, in bytes.
const MAC_BYTES: usize = 16;

/// The key with which the entries authenticate tickets. All entries share it.
#[derive(Clone)]
pub struct TicketSecret(Vec<u8>);

impl TicketSecret {
    /// Returns the secret with the given key bytes.
    pub fn new(key: &[u8]) -> Self {
        Self(key.to_vec())
    }

    fn start_mac(&self, home: &HomeKey, serial: u64) -> Hmac<Sha256> {
        let mut mac = Hmac::<Sha256>::new_from_slice(&self.0).expect("HMAC accepts a key of any length");
        mac.update(home.entry.as_str().as_bytes());
        mac.update(&[0]);
        mac.update(&home.incarnation.0.to_be_bytes());
        mac.update(&serial.to_be_bytes());
        mac
    }

    /// Returns the authenticated ticket for `serial` at `home`.
    pub fn sign(&self, home: HomeKey, serial: u64) -> Ticket {
        let digest = self.start_mac(&home, serial).finalize().into_bytes();
        let mut code = [0; MAC_BYTES];
        code.copy_from_slice(&digest[..MAC_BYTES]);
        Ticket { home, serial, code }
    }

    /// Returns [`Error::Forged`] if `ticket` was not signed with this secret.
    pub fn verify(&self, ticket: &Ticket) -> Result<(), Error> {
        let mac = self.start_mac(&ticket.home, ticket.serial);
        mac.verify_truncated_left(&ticket.code).map_err(|_| Error::Forged)
    }
}

impl fmt::Debug for TicketSecret {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("TicketSecret(..)")
    }
}

/// Identifies a job by its home, a serial number issued there, and an authentication code that only entries can compute.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Ticket {
    /// The entry incarnation that issued the ticket.
    pub home: HomeKey,
    /// Serial number of the ticket. Each number is issued once per home.
    pub serial: u64,
    /// HMAC-SHA256 of the home and the serial, truncated to its first [`MAC_BYTES`] bytes.
    code: [u8; MAC_BYTES],
}

impl fmt::Display for Ticket {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}.", self.home, self.serial)?;
        self.code.iter().try_for_each(|byte| write!(f, "{byte:02x}"))
    }
}

impl FromStr for Ticket {
    type Err = Error;

    fn from_str(text: &str) -> Result<Self, Error> {
        let malformed = || malformed_error("ticket", text, TICKET_ALLOWED);
        let parts: Vec<&str> = text.split('.').collect();
        let [entry, incarnation, serial, code] = parts[..] else {
            return Err(malformed());
        };
        let entry: EntryId = entry.parse().map_err(|_| malformed())?;
        let incarnation: Incarnation = incarnation.parse().map_err(|_| malformed())?;
        let serial = serial.parse().map_err(|_| malformed())?;
        let code = parse_code(code).ok_or_else(malformed)?;
        Ok(Self { home: HomeKey { entry, incarnation }, serial, code })
    }
}

fn parse_code(text: &str) -> Option<[u8; MAC_BYTES]> {
    if text.len() != MAC_BYTES * 2 || !text.is_ascii() {
        return None;
    }
    let mut code = [0; MAC_BYTES];
    for (index, byte) in code.iter_mut().enumerate() {
        *byte = u8::from_str_radix(&text[index * 2..index * 2 + 2], 16).ok()?;
    }
    Some(code)
}
