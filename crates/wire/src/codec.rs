//! Frames as bytes: a length of four bytes, then a bincode body.

use bincode::config::{Configuration, Fixint, Limit, LittleEndian, Varint};
use bytes::{Buf, BufMut, Bytes, BytesMut};
use serde::de::DeserializeOwned;
use serde::Serialize;
use vanillacleat_core::units::ByteCount;

use crate::errors::WireError;

/// Longest frame body, in bytes.
pub const FRAME_BYTES_MAX: usize = 8 * 1024 * 1024;
/// Length of the prefix, in bytes.
const PREFIX_BYTES: usize = 4;

type FrameConfig = Configuration<LittleEndian, Varint, Limit<FRAME_BYTES_MAX>>;

fn frame_config() -> FrameConfig {
    let fixed: Configuration<LittleEndian, Fixint> = bincode::config::legacy();
    fixed.with_variable_int_encoding().with_limit::<FRAME_BYTES_MAX>()
}

/// Returns `frame` as bytes with its length in front, or an error if it is too long.
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

/// Returns the frame in `body`, or an error if it can't be decoded or leaves bytes over.
pub fn decode_body<T: DeserializeOwned>(body: &[u8]) -> Result<T, WireError> {
    let (frame, used) =
        bincode::serde::decode_from_slice(body, frame_config()).map_err(|error| WireError::Undecodable(error.to_string()))?;
    if used != body.len() {
        return Err(WireError::Undecodable(format!("{} bytes are left over", body.len() - used)));
    }
    Ok(frame)
}

/// A `FrameBuffer` gathers received bytes until they hold a whole frame.
#[derive(Debug, Default)]
pub struct FrameBuffer {
    bytes: BytesMut,
}

impl FrameBuffer {
    /// Adds received bytes.
    pub fn extend(&mut self, bytes: &[u8]) {
        self.bytes.extend_from_slice(bytes);
    }

    /// Returns the next whole frame, nothing if more bytes are needed, or an error for a frame that can't be read.
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
