//! Why connections end and requests are rejected, for the log, with counts.

use std::collections::BTreeMap;
use std::fmt;

use doorgrade::UnservedReason;

/// Why reading from a connection ended or a write to it was not carried out.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum IoEnd {
    /// Closed by the peer.
    PeerClosed,
    /// The number of a system error.
    OsError(i32),
    /// Data had arrived before the first byte of a request was written, so the connection is out of step.
    UnexpectedData,
    /// The client that the request was for has disconnected.
    ClientLeft,
    /// The client that the request was for has sent data that was not processed yet.
    ClientDataPending,
    /// The request was built too long ago.
    Expired,
}

impl IoEnd {
    pub fn of(error: &std::io::Error) -> IoEnd {
        error.raw_os_error().map_or(IoEnd::PeerClosed, IoEnd::OsError)
    }
}

impl fmt::Display for IoEnd {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            IoEnd::PeerClosed => f.write_str("closed by the peer"),
            IoEnd::OsError(number) => write!(f, "{}", std::io::Error::from_raw_os_error(*number)),
            IoEnd::UnexpectedData => f.write_str("unexpected data had arrived"),
            IoEnd::ClientLeft => f.write_str("its client has left"),
            IoEnd::ClientDataPending => f.write_str("its client has sent more data"),
            IoEnd::Expired => f.write_str("the request is out of date"),
        }
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum ClientEnd {
    /// The client has closed it, or it was lost.
    Left,
    WriteFailed,
    /// It sent invalid FastCGI, or a request beyond the size limits.
    InvalidData,
    /// It continues to send without reading its responses.
    Flooding,
    /// It has not read what was written long ago.
    NotReading,
    Idle,
    /// It has not completed a request for too long.
    Unfinished,
    /// The client requested that it be closed after its request.
    LastRequest,
    /// Its slot was needed for another client.
    Evicted,
    /// The front is shutting down.
    FrontEnds,
    /// It was half-closed, and the client has closed it, too, or took too long.
    Closed,
}

impl fmt::Display for ClientEnd {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            ClientEnd::Left => "the client left",
            ClientEnd::WriteFailed => "a write failed",
            ClientEnd::InvalidData => "invalid data received",
            ClientEnd::Flooding => "the client keeps sending without reading",
            ClientEnd::NotReading => "the client does not read",
            ClientEnd::Idle => "idle",
            ClientEnd::Unfinished => "a request was never finished",
            ClientEnd::LastRequest => "its last request was answered",
            ClientEnd::Evicted => "others need its place",
            ClientEnd::FrontEnds => "the front is shutting down",
            ClientEnd::Closed => "closed after its half-close",
        })
    }
}

/// Why a connection to a cache, a parent or the origin ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum CacheEnd {
    /// Idle for so long that the peer may close it.
    Idle,
    /// Its descriptor was needed for another connection.
    Evicted,
    /// Its member is no longer listed, or has another address.
    Unlisted,
    /// The response announced it, or data followed the response.
    AfterResponse,
    /// It carried an unrepeatable access, which always takes a new connection.
    UsedOnce,
    Broken,
    /// The push on it was ended.
    PushEnded,
    /// Lost before any byte of a request was written to it.
    LostWhileIdle,
    /// Established when no push waited for it any more.
    EstablishedTooLate,
}

impl fmt::Display for CacheEnd {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            CacheEnd::Idle => "idle",
            CacheEnd::Evicted => "another needs its descriptor",
            CacheEnd::Unlisted => "its member has gone or moved",
            CacheEnd::AfterResponse => "ended by its response",
            CacheEnd::UsedOnce => "used for one request only",
            CacheEnd::Broken => "broken",
            CacheEnd::PushEnded => "its push ended",
            CacheEnd::LostWhileIdle => "lost before a request was written",
            CacheEnd::EstablishedTooLate => "established too late",
        })
    }
}

/// Why a request is rejected without a response from a cache.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Rejection {
    /// The front is shutting down.
    ShuttingDown,
    /// No room for its body.
    NoRoom,
    /// Its fields are invalid.
    Invalid,
    /// It did not arrive completely in time, or before its connection was needed for another client.
    Incomplete,
    /// By the decision module.
    Unserved(UnservedReason),
}

impl fmt::Display for Rejection {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Rejection::ShuttingDown => f.write_str("no longer accepting requests"),
            Rejection::NoRoom => f.write_str("no room"),
            Rejection::Invalid => f.write_str("unusable"),
            Rejection::Incomplete => f.write_str("not complete"),
            Rejection::Unserved(reason) => reason.fmt(f),
        }
    }
}

/// How often each reason has occurred since the start.
#[derive(Debug, Default)]
pub struct Counts {
    pub clients: BTreeMap<ClientEnd, u64>,
    pub caches: BTreeMap<CacheEnd, u64>,
    pub rejections: BTreeMap<Rejection, u64>,
    /// Pushes of a request after an earlier one has ended.
    pub retries: u64,
    /// Requests whose connection was closed by this front before their response.
    pub lost: u64,
}

impl fmt::Display for Counts {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} retries, {} lost; clients' connections ended: ", self.retries, self.lost)?;
        list(f, &self.clients)?;
        f.write_str("; caches': ")?;
        list(f, &self.caches)?;
        f.write_str("; refused: ")?;
        list(f, &self.rejections)
    }
}

fn list(f: &mut fmt::Formatter<'_>, counts: &BTreeMap<impl fmt::Display, u64>) -> fmt::Result {
    if counts.is_empty() {
        return f.write_str("none");
    }
    for (index, (reason, count)) in counts.iter().enumerate() {
        let separator = if index == 0 { "" } else { ", " };
        write!(f, "{separator}{count} {reason}")?;
    }
    Ok(())
}
