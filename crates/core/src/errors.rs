//! The error type for texts and values that fail validation, with its constructors.

use std::fmt;

use smol_str::SmolStr;

/// Why a text or value from outside the system was rejected.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    /// A text is not a valid identifier, unit or ticket.
    #[error("{kind} {text:?} is not valid: {allowed}")]
    Malformed {
        /// What the text was parsed as.
        kind: &'static str,
        /// The start of the received text, at most 80 characters.
        text: SmolStr,
        /// The expected form.
        allowed: &'static str,
    },
    /// A setting is outside its allowed range.
    #[error("{key}: {problem}")]
    Setting {
        /// The dotted key of the setting, from the root of the file.
        key: SmolStr,
        /// The violated rule and the allowed values.
        problem: SmolStr,
    },
    /// The message authentication code of a ticket does not verify.
    #[error("the ticket's authentication code does not verify")]
    Forged,
}

/// The result of parsing or validating a value.
pub type Result<T> = std::result::Result<T, Error>;

/// Maximum length of the rejected text that an error quotes, in characters.
const QUOTED_CHARS_MAX: usize = 80;

/// Returns an [`Error::Malformed`] that quotes the start of `text`.
pub fn malformed_error(kind: &'static str, text: &str, allowed: &'static str) -> Error {
    let text = text.chars().take(QUOTED_CHARS_MAX).collect();
    Error::Malformed { kind, text, allowed }
}

/// Returns an [`Error::Setting`] for the dotted `key`.
pub fn setting_error(key: impl fmt::Display, problem: impl fmt::Display) -> Error {
    Error::Setting { key: SmolStr::new(key.to_string()), problem: SmolStr::new(problem.to_string()) }
}
