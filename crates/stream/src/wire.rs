//! A connection's two halves: messages read and written, each within its time.

use std::fmt;
use std::time::Duration;

use doorgrade_trust::timeouts::PeerTimeout;
use serde::Serialize;
use serde::de::DeserializeOwned;
use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt};
use tokio::time::timeout;

use crate::clock::now;
use crate::frame::{Broken, Frames, frame};

/// Why a connection is of no further use.
#[derive(Debug)]
pub enum Ended {
    /// The other side ended it between two messages.
    Closed,
    Broken(Broken),
    /// It took longer than it may.
    Slow,
    Failed(std::io::Error),
}

impl fmt::Display for Ended {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Ended::Closed => f.write_str("closed by the other side"),
            Ended::Broken(broken) => broken.fmt(f),
            Ended::Slow => f.write_str("took too long"),
            Ended::Failed(e) => e.fmt(f),
        }
    }
}

fn left(pace: &PeerTimeout) -> Duration {
    const NEVER: Duration = Duration::from_secs(86_400 * 365);
    pace.deadline().map_or(NEVER, |at| Duration::from_micros(at.saturating_sub(now()) * 100))
}

pub struct Reader<R> {
    stream: R,
    frames: Frames,
    pace: PeerTimeout,
}

/// Read at once at most: a frame's bytes are put by as they come.
const PIECE: usize = 16 << 10;

impl<R: AsyncRead + Unpin> Reader<R> {
    /// `first`: a first word of at most so many bytes is owed at once.
    pub fn new(stream: R, first: Option<usize>, most: usize) -> Self {
        let mut pace = PeerTimeout::new(now());
        pace.handshake_done(now(), first.is_some());
        Reader { stream, frames: Frames::new(first.unwrap_or(most)), pace }
    }

    pub fn set_most(&mut self, most: usize) {
        self.frames.set_most(most);
    }

    /// The next message. May be given up at any time and called again: nothing that has come is lost.
    pub async fn read<T: DeserializeOwned>(&mut self) -> Result<T, Ended> {
        let mut piece = [0; PIECE];
        loop {
            if let Some(message) = self.frames.take().map_err(Ended::Broken)? {
                self.pace.transferred(now(), 0, true);
                if self.frames.begun() {
                    self.pace.transferred(now(), 0, false);
                }
                return Ok(message);
            }
            let read = timeout(left(&self.pace), self.stream.read(&mut piece)).await;
            match read.map_err(|_| Ended::Slow)?.map_err(Ended::Failed)? {
                0 if self.frames.begun() => {
                    return Err(Ended::Failed(std::io::ErrorKind::UnexpectedEof.into()));
                }
                0 => return Err(Ended::Closed),
                count => {
                    self.frames.put(&piece[..count]);
                    self.pace.transferred(now(), count as u64, false);
                }
            }
        }
    }
}

pub struct Writer<W> {
    stream: W,
    pub sent: u64,
}

impl<W: AsyncWrite + Unpin> Writer<W> {
    pub fn new(stream: W) -> Self {
        Writer { stream, sent: 0 }
    }

    /// A message, whole, at no less than the least rate. A write that was given up leaves the connection of no use.
    pub async fn write<T: Serialize>(&mut self, message: &T) -> Result<(), Ended> {
        let long = Broken::Long { bytes: u32::MAX as usize, most: crate::MOST_WITH_CONTENT };
        let bytes = frame(message).ok_or(Ended::Broken(long))?;
        let mut pace = PeerTimeout::new(now());
        pace.handshake_done(now(), false);
        pace.transferred(now(), 0, false);
        for piece in bytes.chunks(PIECE) {
            let wrote = timeout(left(&pace), self.stream.write_all(piece)).await;
            wrote.map_err(|_| Ended::Slow)?.map_err(Ended::Failed)?;
            pace.transferred(now(), piece.len() as u64, false);
        }
        let flushed = timeout(left(&pace), self.stream.flush()).await;
        flushed.map_err(|_| Ended::Slow)?.map_err(Ended::Failed)?;
        self.sent += bytes.len() as u64;
        Ok(())
    }

    pub async fn close(&mut self) {
        // Whether the other side hears of it or not, it is over.
        let _ = timeout(Duration::from_secs(1), self.stream.shutdown()).await;
    }
}
