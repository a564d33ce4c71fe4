//! Messages as frames. Nothing is put by for a message before its length has been looked at, and no more than has come.

use std::fmt;

use serde::Serialize;
use serde::de::DeserializeOwned;

/// What a peer sent that can't be read.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Broken {
    Long {
        bytes: usize,
        most: usize,
    },
    /// It is no message of this protocol.
    Message,
    /// Bytes follow the message within its frame.
    Rest(usize),
}

impl fmt::Display for Broken {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Broken::Long { bytes, most } => write!(f, "a message of {bytes} bytes: expected {most} at most"),
            Broken::Message => f.write_str("a message that can't be read"),
            Broken::Rest(bytes) => write!(f, "{bytes} bytes too many in a message"),
        }
    }
}

const HEAD: usize = 4;

/// A message as a frame; none where it is longer than any frame.
pub fn frame<T: Serialize>(message: &T) -> Option<Vec<u8>> {
    let mut bytes = postcard::to_extend(message, vec![0; HEAD]).ok()?;
    let length = u32::try_from(bytes.len() - HEAD).ok()?;
    bytes[..HEAD].copy_from_slice(&length.to_be_bytes());
    Some(bytes)
}

/// Bytes as they come, and the messages in them.
pub struct Frames {
    bytes: Vec<u8>,
    most: usize,
}

/// A buffer that held a long message is given back after it.
const KEPT: usize = 64 << 10;

impl Frames {
    pub fn new(most: usize) -> Frames {
        Frames { bytes: Vec::new(), most }
    }

    /// From now on messages may be so long.
    pub fn set_most(&mut self, most: usize) {
        self.most = most;
    }

    pub fn put(&mut self, bytes: &[u8]) {
        self.bytes.extend_from_slice(bytes);
    }

    /// Whether a message has begun.
    pub fn begun(&self) -> bool {
        !self.bytes.is_empty()
    }

    /// The next whole message, if it has come.
    pub fn take<T: DeserializeOwned>(&mut self) -> Result<Option<T>, Broken> {
        let Some((head, rest)) = self.bytes.split_first_chunk::<HEAD>() else { return Ok(None) };
        let length = u32::from_be_bytes(*head) as usize;
        if length > self.most {
            return Err(Broken::Long { bytes: length, most: self.most });
        }
        let Some(payload) = rest.get(..length) else { return Ok(None) };
        let (message, left) = postcard::take_from_bytes(payload).map_err(|_| Broken::Message)?;
        if !left.is_empty() {
            return Err(Broken::Rest(left.len()));
        }
        self.bytes.drain(..HEAD + length);
        if self.bytes.capacity() > KEPT && self.bytes.len() < KEPT {
            self.bytes.shrink_to(KEPT);
        }
        Ok(Some(message))
    }
}
