//! Errors of the transport.

use vanillacleat_core::units::ByteCount;

/// The reason why a frame could not be sent or received.
#[derive(Debug, thiserror::Error)]
pub enum WireError {
    /// The frame's body is longer than [`crate::FRAME_BYTES_MAX`].
    #[error("a frame of {0} bytes is over the size limit")]
    Oversized(ByteCount),
    /// The frame's body is not a valid encoding of the expected type, or a frame could not be encoded.
    #[error("the frame can't be decoded: {0}")]
    Undecodable(String),
    /// The stream or the connection was closed or lost, or could not be opened.
    #[error("the connection ended: {0}")]
    Closed(String),
}

/// Returns the error of a closed connection.
pub(crate) fn closed_error(cause: impl std::fmt::Display) -> WireError {
    WireError::Closed(cause.to_string())
}
