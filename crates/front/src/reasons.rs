//! Why connections end and requests go unanswered, as the log has it, and how often each has happened.

use std::collections::BTreeMap;
use std::fmt;

use doorgrade::UnservedReason;

/// Why nothing more comes over a connection, or goes out on it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Cut {
    /// The other side has ended it.
    Ended,
    /// The system's error, by its number.
    Failed(i32),
    /// Something had come before the first byte was written: the connection can't be trusted with a request.
    SpokenOn,
    /// The client for whom a request was to begin has left.
    ClientLeft,
    /// The client for whom a request was to begin has said something that was not heard yet.
    Unheard,
    /// The request that was to begin was made too long ago.
    Stale,
}

impl Cut {
    pub fn of(error: &std::io::Error) -> Cut {
        error.raw_os_error().map_or(Cut::Ended, Cut::Failed)
    }
}

impl fmt::Display for Cut {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Cut::Ended => f.write_str("ended by the other side"),
            Cut::Failed(number) => write!(f, "{}", std::io::Error::from_raw_os_error(*number)),
            Cut::SpokenOn => f.write_str("something had come on it"),
            Cut::ClientLeft => f.write_str("its client has left"),
            Cut::Unheard => f.write_str("its client has said something since"),
            Cut::Stale => f.write_str("it was made too long ago"),
        }
    }
}

/// Why a client's connection ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum ClientEnd {
    /// The client has ended it, or it was lost on the way.
    Left,
    WriteFailed,
    /// Something on it is no FastCGI, or a request without end.
    Unreadable,
    /// It sends on and reads nothing.
    Flooding,
    /// It has not read what was written long ago.
    NotReading,
    Idle,
    /// It owes the rest of a request for too long.
    Unfinished,
    /// The client asked for one request only.
    LastRequest,
    /// Others need its place.
    Evicted,
    /// The front ends.
    FrontEnds,
    /// It was ended in order, and the client has ended it, too, or took too long.
    Closed,
}

impl fmt::Display for ClientEnd {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            ClientEnd::Left => "the client left",
            ClientEnd::WriteFailed => "a write failed",
            ClientEnd::Unreadable => "what comes can't be read",
            ClientEnd::Flooding => "the client sends on and reads nothing",
            ClientEnd::NotReading => "the client does not read",
            ClientEnd::Idle => "idle",
            ClientEnd::Unfinished => "a request was never finished",
            ClientEnd::LastRequest => "its last request was answered",
            ClientEnd::Evicted => "others need its place",
            ClientEnd::FrontEnds => "the front ends",
            ClientEnd::Closed => "closed after its end",
        })
    }
}

/// Why a connection to a cache, a parent or the origin ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum CacheEnd {
    /// At rest for so long that the other side may end it.
    Rested,
    /// Another needs its descriptor.
    Displaced,
    /// Its member is not listed any more, or stands elsewhere.
    Unlisted,
    /// The answer said so, or more followed it.
    AfterAnswer,
    /// It carried what must not run twice, for which a new one is taken each time.
    UsedOnce,
    Broken,
    /// The attempt on it was given up.
    GivenUp,
    /// Lost before anything of a request was written on it.
    LostAtRest,
    /// It came up when nobody waited for it any more.
    TooLate,
}

impl fmt::Display for CacheEnd {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            CacheEnd::Rested => "idle",
            CacheEnd::Displaced => "another needs its descriptor",
            CacheEnd::Unlisted => "its member has gone or moved",
            CacheEnd::AfterAnswer => "the answer ended it",
            CacheEnd::UsedOnce => "used for one request only",
            CacheEnd::Broken => "broken",
            CacheEnd::GivenUp => "the attempt was given up",
            CacheEnd::LostAtRest => "lost before a request was written",
            CacheEnd::TooLate => "came up too late",
        })
    }
}

/// Why a request is answered without a cache's answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Refusal {
    /// The front ends.
    Ending,
    /// No room for its body.
    NoRoom,
    /// Its fields can't be used.
    Unusable,
    /// Its decisions say so.
    Decided(UnservedReason),
}

impl fmt::Display for Refusal {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Refusal::Ending => f.write_str("the front ends"),
            Refusal::NoRoom => f.write_str("no room"),
            Refusal::Unusable => f.write_str("unusable"),
            Refusal::Decided(why) => why.fmt(f),
        }
    }
}

/// How often each reason was met since the start.
#[derive(Debug, Default)]
pub struct Counts {
    pub clients: BTreeMap<ClientEnd, u64>,
    pub caches: BTreeMap<CacheEnd, u64>,
    pub refusals: BTreeMap<Refusal, u64>,
    /// Further attempts of a request after one that failed.
    pub retries: u64,
    /// Requests whose connection this front ended before their answer.
    pub lost: u64,
}

impl fmt::Display for Counts {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} retries, {} lost; clients' connections ended: ", self.retries, self.lost)?;
        list(f, &self.clients)?;
        f.write_str("; caches': ")?;
        list(f, &self.caches)?;
        f.write_str("; refused: ")?;
        list(f, &self.refusals)
    }
}

fn list(f: &mut fmt::Formatter<'_>, counts: &BTreeMap<impl fmt::Display, u64>) -> fmt::Result {
    if counts.is_empty() {
        return f.write_str("none");
    }
    for (place, (reason, count)) in counts.iter().enumerate() {
        let before = if place == 0 { "" } else { ", " };
        write!(f, "{before}{count} {reason}")?;
    }
    Ok(())
}
