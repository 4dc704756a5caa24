//! Errors of the transport.

use vanillacleat_core::units::ByteCount;

/// Reasons why a frame could not be sent or read.
#[derive(Debug, thiserror::Error)]
pub enum WireError {
    /// The frame is longer than allowed.
    #[error("a frame of {0} bytes is over the limit")]
    Oversized(ByteCount),
    /// The frame's body is not what was expected.
    #[error("the frame can't be decoded: {0}")]
    Undecodable(String),
    /// The stream or the connection ended.
    #[error("the connection ended: {0}")]
    Closed(String),
}

/// Returns the error for an ended connection.
pub(crate) fn closed_error(cause: impl std::fmt::Display) -> WireError {
    WireError::Closed(cause.to_string())
}
