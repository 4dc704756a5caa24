//! Tickets: names for jobs that their home gives out before the job is submitted.

use std::fmt;
use std::str::FromStr;

use hmac::{Hmac, Mac};
use serde::{Deserialize, Serialize};
use sha2::Sha256;

use crate::errors::{malformed_error, Error};
use crate::ids::{EntryId, HomeKey, Incarnation};

const TICKET_ALLOWED: &str = "entry.incarnation.serial.code as an entry gave it out";
const MAC_BYTES: usize = 16;

/// A `TicketSecret` is the key, shared by the entries, under which tickets are authenticated.
#[derive(Clone)]
pub struct TicketSecret(Vec<u8>);

impl TicketSecret {
    /// Returns the secret with the given key bytes.
    pub fn new(key: &[u8]) -> Self {
        Self(key.to_vec())
    }

    fn start_mac(&self, home: &HomeKey, serial: u64) -> Hmac<Sha256> {
        let mut mac = Hmac::<Sha256>::new_from_slice(&self.0).expect("HMAC takes a key of any length");
        mac.update(home.entry.as_str().as_bytes());
        mac.update(&[0]);
        mac.update(&home.incarnation.0.to_be_bytes());
        mac.update(&serial.to_be_bytes());
        mac
    }

    /// Returns the ticket for `serial` at `home`.
    pub fn sign(&self, home: HomeKey, serial: u64) -> Ticket {
        let digest = self.start_mac(&home, serial).finalize().into_bytes();
        let mut code = [0; MAC_BYTES];
        code.copy_from_slice(&digest[..MAC_BYTES]);
        Ticket { home, serial, code }
    }

    /// Returns an error if `ticket` was not signed under this secret.
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

/// A `Ticket` names a job: its home, a serial there, and a code that only an entry can make.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Ticket {
    /// The entry incarnation that gave the ticket out.
    pub home: HomeKey,
    /// The ticket's number at its home.
    pub serial: u64,
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
        let refusal = || malformed_error("ticket", text, TICKET_ALLOWED);
        let parts: Vec<&str> = text.split('.').collect();
        let [entry, incarnation, serial, code] = parts[..] else {
            return Err(refusal());
        };
        let entry: EntryId = entry.parse().map_err(|_| refusal())?;
        let incarnation: Incarnation = incarnation.parse().map_err(|_| refusal())?;
        let serial = serial.parse().map_err(|_| refusal())?;
        let code = parse_code(code).ok_or_else(refusal)?;
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
