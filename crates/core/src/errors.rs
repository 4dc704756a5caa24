//! The one error enum of the workspace's shared vocabulary, with small constructors.

use std::fmt;

use smol_str::SmolStr;

/// Reasons why a text or a value was refused at a border of the system.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    /// A text is not a valid identifier, unit or ticket.
    #[error("{kind} {text:?} is not valid: {allowed}")]
    Malformed {
        /// What the text should have named.
        kind: &'static str,
        /// The text as received, cut to a printable length.
        text: SmolStr,
        /// What is allowed.
        allowed: &'static str,
    },
    /// A setting is outside its allowed range.
    #[error("{key}: {problem}")]
    Setting {
        /// The key, dotted from the root of the file.
        key: SmolStr,
        /// What is wrong and what is allowed.
        problem: SmolStr,
    },
    /// A ticket carries a message authentication code that does not verify.
    #[error("the ticket's authentication code does not verify")]
    Forged,
}

/// The result of parsing or checking a value.
pub type Result<T> = std::result::Result<T, Error>;

/// Longest part of a refused text that is repeated in an error, in characters.
const QUOTED_CHARS: usize = 80;

/// Returns an [`Error::Malformed`] that quotes the start of `text`.
pub fn malformed_error(kind: &'static str, text: &str, allowed: &'static str) -> Error {
    let text = text.chars().take(QUOTED_CHARS).collect();
    Error::Malformed { kind, text, allowed }
}

/// Returns an [`Error::Setting`] for the dotted `key`.
pub fn setting_error(key: impl fmt::Display, problem: impl fmt::Display) -> Error {
    Error::Setting { key: SmolStr::new(key.to_string()), problem: SmolStr::new(problem.to_string()) }
}
