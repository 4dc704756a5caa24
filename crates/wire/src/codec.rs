//! Encoding and decoding of frames. A frame is a big-endian length of four bytes followed by a bincode body.

use bincode::config::{Configuration, Fixint, Limit, LittleEndian, Varint};
use bytes::{Buf, BufMut, Bytes, BytesMut};
use serde::de::DeserializeOwned;
use serde::Serialize;
use vanillacleat_core::units::ByteCount;

use crate::errors::WireError;

/// Maximum length of a frame body, in bytes.
pub const FRAME_BYTES_MAX: usize = 8 * 1024 * 1024;
/// Size of the length prefix, in bytes.
const PREFIX_BYTES: usize = 4;

type FrameConfig = Configuration<LittleEndian, Varint, Limit<FRAME_BYTES_MAX>>;

fn frame_config() -> FrameConfig {
    let fixed: Configuration<LittleEndian, Fixint> = bincode::config::legacy();
    fixed.with_variable_int_encoding().with_limit::<FRAME_BYTES_MAX>()
}

/// Encodes `frame` with its length prefix. Fails if the body is over [`FRAME_BYTES_MAX`].
pub fn encode_frame<T: Serialize>(frame: &T) -> Result<Bytes, WireError> {
    let body = bincode::serde::encode_to_vec(frame, frame_config()).map_err(|error| WireError::Undecodable(error.to_string()))?;
    if body.len() > FRAME_BYTES_MAX {
        return Err(WireError::Oversized(ByteCount(body.len() as u64)));
    }
    let mut bytes = BytesMut::with_capacity(PREFIX_BYTES + body.len());
    bytes.put_u32(body.len() as u32);
    bytes.put_slice(&body);
    Ok(bytes.freeze())
}

/// Decodes a frame from `body`. Fails if `body` is not a valid encoding or has bytes after the frame.
pub fn decode_body<T: DeserializeOwned>(body: &[u8]) -> Result<T, WireError> {
    let (frame, decoded) =
        bincode::serde::decode_from_slice(body, frame_config()).map_err(|error| WireError::Undecodable(error.to_string()))?;
    if decoded != body.len() {
        return Err(WireError::Undecodable(format!("{} bytes follow the frame", body.len() - decoded)));
    }
    Ok(frame)
}

/// Collects received bytes and splits them into frames.
#[derive(Debug, Default)]
pub struct FrameBuffer {
    bytes: BytesMut,
}

impl FrameBuffer {
    /// Appends received bytes.
    pub fn extend(&mut self, bytes: &[u8]) {
        self.bytes.extend_from_slice(bytes);
    }

    /// Removes and returns the next frame. Returns `None` if the frame is not complete yet, and an error if it is over the
    /// limit or can't be decoded.
    pub fn try_next<T: DeserializeOwned>(&mut self) -> Result<Option<T>, WireError> {
        if self.bytes.len() < PREFIX_BYTES {
            return Ok(None);
        }
        let mut prefix = &self.bytes[..PREFIX_BYTES];
        let length = prefix.get_u32() as usize;
        if length > FRAME_BYTES_MAX {
            return Err(WireError::Oversized(ByteCount(length as u64)));
        }
        if self.bytes.len() < PREFIX_BYTES + length {
            return Ok(None);
        }
        self.bytes.advance(PREFIX_BYTES);
        let body = self.bytes.split_to(length);
        decode_body(&body).map(Some)
    }
}
