//! The types that pass between a link (bench adapter, real front) and the decisions in `control`.
//! Times are whole tenths of a millisecond.

use arrayvec::ArrayVec;

pub type Tenths = u64;
pub type AccessId = u64;

/// What a repeat of an access of an offering may do.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Effect {
    Idempotent,
    Deduplicated { within: Group, window: Tenths },
    Unrepeatable,
}

/// The caches that recognise a repeat between them.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Group {
    All,
    Zone,
    Cell,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Standing {
    Listed,
    Draining,
    Gone,
}

/// What answers tell about how they came about.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Notes {
    All,
    Hits,
    Never,
}

#[derive(Clone, Debug, PartialEq)]
pub struct Offering {
    pub soft: Tenths,
    /// The soft limit grows by this multiple of the access's own sending time.
    pub stretch: f64,
    pub benefit: f64,
    pub effect: Effect,
    /// 0: a copy is good until it is purged.
    pub fresh: Tenths,
    /// Runs at the origin and leaves no copy.
    pub uncacheable: bool,
}

/// What a front is told once, at its start.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    pub offerings: Vec<Offering>,
    pub zone: usize,
    /// Fronts that serve this front's zone, itself included.
    pub crew: u32,
    pub parent_kind: Option<usize>,
    pub origin_kind: Option<usize>,
    pub notes: Notes,
    pub may: Powers,
    pub max_pushes: usize,
    /// Members' weights can be compared with one another.
    pub weights: bool,
    /// The list of members is sent only after it was asked for.
    pub list_on_request: bool,
    /// Shortest time between two inputs.
    pub quantum: Tenths,
    pub flow_kb_per_s: f64,
    pub cold: Cold,
    pub parent_cold: Cold,
    pub purge_done: Tenths,
}

/// What the settings allow beyond the ordinary.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Powers {
    /// An access may join a fill under way.
    pub joins: bool,
    /// An access may go straight to a parent or the origin.
    pub straight: bool,
    pub cancels: bool,
    /// Two pushes of one access may be out at once.
    pub second_copies: bool,
}

/// What a member that has just started can do, and when more than that makes it fall.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Cold {
    pub from: f64,
    pub lasts: Tenths,
    pub multiple: f64,
    pub window: Tenths,
}

/// One line of a list of caches, parents and origin.
#[derive(Clone, Debug)]
pub struct Member {
    pub id: Box<str>,
    pub zone: usize,
    pub kind: usize,
    pub cell: u64,
    pub standing: Standing,
    pub weight: f64,
    pub started: Option<Tenths>,
}

#[derive(Clone, Copy, Debug)]
pub struct Access {
    pub id: AccessId,
    pub offering: usize,
    pub object: u64,
    pub part: u32,
    pub group: u64,
    /// 0 where it is not told.
    pub kb: f64,
    pub until: Tenths,
    /// It carries the mark by which caches know a repeat of it.
    pub marked: bool,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    Handled,
    Error,
    Full,
    TimedOut,
    Unreachable,
    Broken,
    Withdrawn,
    NeverSent,
    Miss,
}

impl Outcome {
    /// The push is known not to have run.
    pub fn proves_unrun(self) -> bool {
        matches!(self, Outcome::Full | Outcome::Unreachable | Outcome::NeverSent | Outcome::Miss)
    }
}

/// What an answer says about how it came about.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Note {
    Untold,
    Hit,
    Filled,
    FilledByOrigin,
    Joined,
    Stale,
    SourceRefused,
    SourceLost,
    SourceLacks,
    NoFillPlace,
    OriginFailed,
}

#[derive(Clone, Copy, Debug)]
pub struct Ended {
    pub push: usize,
    pub outcome: Outcome,
    pub settled: bool,
    pub lag: Tenths,
    pub note: Note,
    /// When the origin gave out the copy that was answered, where that is told. Another machine's clock.
    pub made: Option<Tenths>,
}

/// Why an access ends without an answer of a cache.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Unserved {
    /// Its hard limit is too near for another push.
    OutOfTime,
    /// It has had as many pushes as the settings allow.
    OutOfPushes,
    /// Caches that are well have as much out as they answer in time.
    Crowded,
    /// No cache that may be asked is well, warm enough, or in the group that knows a repeat.
    NoCache,
    /// No source of a fill is well or has room.
    NoSource,
    /// The fund for further pushes is empty.
    NoSparePushes,
    OriginFailed,
    /// Nobody holds it, and while the origin refuses nobody fetches it.
    NotHeld,
    /// Two caches failed it.
    FailedTwice,
    /// The front is about to stop.
    FrontEnds,
}

impl std::fmt::Display for Unserved {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str(match self {
            Unserved::OutOfTime => "out of time",
            Unserved::OutOfPushes => "out of attempts",
            Unserved::Crowded => "caches are crowded",
            Unserved::NoCache => "no cache may be asked",
            Unserved::NoSource => "no source to fill from",
            Unserved::NoSparePushes => "no retries to spare",
            Unserved::OriginFailed => "the origin failed",
            Unserved::NotHeld => "nobody holds it",
            Unserved::FailedTwice => "failed twice",
            Unserved::FrontEnds => "the front ends",
        })
    }
}

/// One push of an access, as it goes out.
#[derive(Clone, Copy, Debug)]
pub struct Push<'a> {
    pub access: AccessId,
    pub cache: &'a str,
    pub source: &'a str,
    pub wait: Tenths,
    /// From then on it must not be begun, however long its connection took to come up.
    pub begin_by: Tenths,
    /// Oldest copy that will do; 0 leaves it to the offering's fresh time.
    pub age: Tenths,
    pub rank: u8,
    pub join: bool,
    pub renew: bool,
    /// The source gives only what it holds, and asks nobody.
    pub kept_only: bool,
}

/// A source that may be named now, by the hash of its id.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Way {
    pub key: u64,
    /// Only for what it holds.
    pub kept_only: bool,
    /// Straight to this parent, which takes the copy over; where accesses may go straight, once the cache lacks it.
    pub through: Option<u64>,
}

pub const MOST_WAYS: usize = 24;

/// The sources that an access may be filled from now, the first to be tried first, where the parents stand in a
/// hierarchy of a shape of its own.
#[derive(Clone, Debug, Default)]
pub struct Ways {
    /// Without it the parents are one flat list.
    pub given: bool,
    pub order: ArrayVec<Way, MOST_WAYS>,
    /// When there will be more of them, if none of these will do.
    pub again: Option<Tenths>,
}

/// Where the decisions go.
pub trait Outlet {
    /// Asked before each push of an access that may be filled; `until` is its soft limit.
    fn ways(&mut self, _access: &Access, _until: Tenths) -> Ways {
        Ways::default()
    }

    fn push(&mut self, push: &Push<'_>);
    fn withdraw(&mut self, access: AccessId, push: usize);
    fn decline(&mut self, access: AccessId, why: Unserved);
    fn give_up(&mut self, access: AccessId, why: Unserved);
    fn wake(&mut self, at: Tenths, key: u64);
    fn follow_list(&mut self);
    fn log(&mut self, text: std::fmt::Arguments<'_>);
}
