//! Encoding and decoding of length-prefixed frames. The decoder checks a frame's length as soon as the header has
//! arrived, and buffers only bytes that were received.

use std::fmt;

use serde::Serialize;
use serde::de::DeserializeOwned;

/// Why a frame from the peer can't be decoded.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum FrameError {
    TooLong {
        bytes: usize,
        max: usize,
    },
    /// The payload is not a message of this protocol.
    Malformed,
    /// This many bytes follow the message within its frame.
    TrailingBytes(usize),
}

impl fmt::Display for FrameError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            FrameError::TooLong { bytes, max } => {
                write!(f, "a message of {bytes} bytes: expected {max} at most")
            }
            FrameError::Malformed => f.write_str("a message that can't be decoded"),
            FrameError::TrailingBytes(bytes) => write!(f, "{bytes} trailing bytes after a message"),
        }
    }
}

const HEADER_BYTES: usize = 4;

/// Encodes a message as a frame. None if its length does not fit into the header.
pub fn encode_frame<T: Serialize>(message: &T) -> Option<Vec<u8>> {
    let mut bytes = postcard::to_extend(message, vec![0; HEADER_BYTES]).ok()?;
    let length = u32::try_from(bytes.len() - HEADER_BYTES).ok()?;
    bytes[..HEADER_BYTES].copy_from_slice(&length.to_be_bytes());
    Some(bytes)
}

/// Collects received bytes and decodes the messages in them.
pub struct FrameDecoder {
    bytes: Vec<u8>,
    max: usize,
}

/// After a longer message the buffer is shrunk to this capacity.
const IDLE_CAPACITY_BYTES: usize = 64 << 10;

impl FrameDecoder {
    pub fn new(max: usize) -> FrameDecoder {
        FrameDecoder { bytes: Vec::new(), max }
    }

    /// Sets the maximum length in bytes of the messages that follow.
    pub fn set_max(&mut self, max: usize) {
        self.max = max;
    }

    pub fn push(&mut self, bytes: &[u8]) {
        self.bytes.extend_from_slice(bytes);
    }

    /// Whether bytes of a message that was not returned yet are buffered.
    pub fn has_partial(&self) -> bool {
        !self.bytes.is_empty()
    }

    /// The next message, if all of it was received.
    pub fn next_message<T: DeserializeOwned>(&mut self) -> Result<Option<T>, FrameError> {
        let Some((header, rest)) = self.bytes.split_first_chunk::<HEADER_BYTES>() else { return Ok(None) };
        let length = u32::from_be_bytes(*header) as usize;
        if length > self.max {
            return Err(FrameError::TooLong { bytes: length, max: self.max });
        }
        let Some(payload) = rest.get(..length) else { return Ok(None) };
        let (message, trailing) = postcard::take_from_bytes(payload).map_err(|_| FrameError::Malformed)?;
        if !trailing.is_empty() {
            return Err(FrameError::TrailingBytes(trailing.len()));
        }
        self.bytes.drain(..HEADER_BYTES + length);
        if self.bytes.capacity() > IDLE_CAPACITY_BYTES && self.bytes.len() < IDLE_CAPACITY_BYTES {
            self.bytes.shrink_to(IDLE_CAPACITY_BYTES);
        }
        Ok(Some(message))
    }
}
