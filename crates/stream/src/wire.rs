//! The two halves of a connection: messages are read and written, each within its timeout.

use std::fmt;
use std::time::Duration;

use doorgrade_trust::timeouts::PeerTimeout;
use serde::Serialize;
use serde::de::DeserializeOwned;
use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt};
use tokio::time::timeout;

use crate::clock::now;
use crate::frame::{FrameDecoder, FrameError, encode_frame};

/// Why a connection can't be used any further.
#[derive(Debug)]
pub enum ConnectionError {
    /// The peer closed it between two messages.
    Closed,
    Frame(FrameError),
    /// The peer exceeded a timeout.
    TimedOut,
    Io(std::io::Error),
}

impl fmt::Display for ConnectionError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            ConnectionError::Closed => f.write_str("closed by the peer"),
            ConnectionError::Frame(e) => e.fmt(f),
            ConnectionError::TimedOut => f.write_str("timed out"),
            ConnectionError::Io(e) => e.fmt(f),
        }
    }
}

/// The time until the deadline.
fn remaining(peer_timeout: &PeerTimeout) -> Duration {
    /// In place of a deadline where none is set.
    const NEVER: Duration = Duration::from_secs(86_400 * 365);
    peer_timeout
        .deadline()
        .map_or(NEVER, |deadline| Duration::from_micros(deadline.saturating_sub(now()) * 100))
}

/// Reads messages, each within its timeout.
pub struct Reader<R> {
    stream: R,
    decoder: FrameDecoder,
    peer_timeout: PeerTimeout,
}

/// The most that is read or written at once. The timeout is updated after each chunk.
const CHUNK_BYTES: usize = 16 << 10;

impl<R: AsyncRead + Unpin> Reader<R> {
    /// `first_max`: if set, the peer has to send its first message at once, of at most this many bytes.
    /// `max`: the maximum length of all messages if `first_max` is not set.
    pub fn new(stream: R, first_max: Option<usize>, max: usize) -> Self {
        let mut peer_timeout = PeerTimeout::new(now());
        peer_timeout.handshake_done(now(), first_max.is_some());
        Reader { stream, decoder: FrameDecoder::new(first_max.unwrap_or(max)), peer_timeout }
    }

    /// Sets the maximum length in bytes of the messages that follow.
    pub fn set_max(&mut self, max: usize) {
        self.decoder.set_max(max);
    }

    /// The next message. Cancel safe: received bytes stay in the decoder if the future is dropped.
    pub async fn read<T: DeserializeOwned>(&mut self) -> Result<T, ConnectionError> {
        let mut chunk = [0; CHUNK_BYTES];
        loop {
            if let Some(message) = self.decoder.next_message().map_err(ConnectionError::Frame)? {
                self.peer_timeout.transferred(now(), 0, true);
                if self.decoder.has_partial() {
                    self.peer_timeout.transferred(now(), 0, false);
                }
                return Ok(message);
            }
            let read = timeout(remaining(&self.peer_timeout), self.stream.read(&mut chunk)).await;
            match read.map_err(|_| ConnectionError::TimedOut)?.map_err(ConnectionError::Io)? {
                0 if self.decoder.has_partial() => {
                    return Err(ConnectionError::Io(std::io::ErrorKind::UnexpectedEof.into()));
                }
                0 => return Err(ConnectionError::Closed),
                count => {
                    self.decoder.push(&chunk[..count]);
                    self.peer_timeout.transferred(now(), count as u64, false);
                }
            }
        }
    }
}

/// Writes messages, each within its timeout.
pub struct Writer<W> {
    stream: W,
    pub sent_bytes: u64,
}

impl<W: AsyncWrite + Unpin> Writer<W> {
    pub fn new(stream: W) -> Self {
        Writer { stream, sent_bytes: 0 }
    }

    /// Writes a whole message; fails if the peer takes it at less than the minimum rate. Not cancel safe: after a
    /// dropped write the connection can't be used any further.
    pub async fn write<T: Serialize>(&mut self, message: &T) -> Result<(), ConnectionError> {
        let too_long =
            FrameError::TooLong { bytes: u32::MAX as usize, max: crate::MAX_CONTENT_MESSAGE_BYTES };
        let bytes = encode_frame(message).ok_or(ConnectionError::Frame(too_long))?;
        let mut peer_timeout = PeerTimeout::new(now());
        peer_timeout.handshake_done(now(), false);
        peer_timeout.transferred(now(), 0, false);
        for chunk in bytes.chunks(CHUNK_BYTES) {
            let written = timeout(remaining(&peer_timeout), self.stream.write_all(chunk)).await;
            written.map_err(|_| ConnectionError::TimedOut)?.map_err(ConnectionError::Io)?;
            peer_timeout.transferred(now(), chunk.len() as u64, false);
        }
        let flushed = timeout(remaining(&peer_timeout), self.stream.flush()).await;
        flushed.map_err(|_| ConnectionError::TimedOut)?.map_err(ConnectionError::Io)?;
        self.sent_bytes += bytes.len() as u64;
        Ok(())
    }

    pub async fn close(&mut self) {
        // The connection ends, whether the peer receives the shutdown or not.
        let _ = timeout(Duration::from_secs(1), self.stream.shutdown()).await;
    }
}
