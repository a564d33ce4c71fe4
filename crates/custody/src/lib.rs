//! Keeps requests in progress when the front that handles them is lost: another front takes each of them
//! over, and none runs twice.
//!
//! A request carries an id that its client repeats with each retry ([`RequestId`]). Three *replicas*, fronts
//! that the id selects from a roster configured by operators, store the state of the request ([`Replica`]).
//! The front that handles it, its *owner*, has each stage stored by two of the three before the next begins
//! ([`Coordinator`]): accepted and about to be pushed, and to which cache; the result of the push; the
//! outcome. Each write carries a *term*. To take a request over, a front has two replicas promise a later
//! term; from then on those two reject writes of earlier terms, so that no such write can reach a majority: a
//! former owner that was paused, or is on the wrong side of a partition, gets no further push through. No
//! clock takes part in this.
//!
//! After a takeover: if no push was stored as intended, the request is pushed as if it were new. If one was,
//! and its result is unknown, then an unrepeatable request is never pushed again and ends as 'may have run';
//! a deduplicated one is pushed again only within its window, by the replicas' clocks; an idempotent one is
//! pushed again.
//!
//! Three things can't be known. Whether an intended push has run, if no response was received. Whether a front
//! that does not answer is dead: any front may consider any other dead at any time, and the only cost is the
//! outcome 'may have run'. Whether an id was used before the retention time: replicas have dropped its record,
//! and the same id is a new request.
#![forbid(unsafe_code)]

mod coordinator;
mod replica;
mod restart;
mod roster;

use doorgrade::Ticks;
use serde::{Deserialize, Serialize};

pub use coordinator::{Coordinator, Effect, Phase, PushOutcome};
pub use replica::{Replica, StoredRecord};
pub use restart::{RestartCheck, StartAck, StartNotice, StoredIncarnations};
pub use roster::{Candidate, ReplicaSet, Roster};

/// A front, identified by the hash of its name.
pub type FrontId = u64;

/// Identifies a request. Chosen by the client, and the same for each retry.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct RequestId(pub u128);

impl RequestId {
    /// Parses 16 to 64 hex digits, in upper or lower case.
    pub fn parse(text: &str) -> Option<RequestId> {
        let valid = (16..=64).contains(&text.len()) && text.bytes().all(|b| b.is_ascii_hexdigit());
        let hash = valid.then(|| blake3::hash(text.to_ascii_lowercase().as_bytes()))?;
        Some(RequestId(u128::from_le_bytes(*hash.as_bytes().first_chunk()?)))
    }
}

/// Whether a request may be pushed again after it may have run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum RepeatPolicy {
    Idempotent,
    Deduplicated { window: Ticks },
    Unrepeatable,
}

/// A period of ownership of a request. The first is that of the front that accepted it; each later one was
/// promised by two replicas.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Term {
    pub number: u32,
    pub owner: FrontId,
    pub incarnation: u64,
}

/// One push, as it is stored before it is sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Push {
    /// The cache, by the hash of its name.
    pub cache: u64,
    /// Known not to have run.
    pub not_run: bool,
}

/// Maximum number of pushes of one request; the decision module makes no more for an access.
pub const MAX_PUSHES: usize = 8;

/// How a request ended, reported to each client that sends it.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Outcome {
    Done(Response),
    NotRun,
    MayHaveRun,
}

/// The response to a request, as it is stored.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Response {
    pub status: u16,
    pub body: Box<[u8]>,
}

/// All that is known of a request under one term, at one version.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct RequestRecord {
    /// Distinguishes it from another request with the same id.
    pub creation_id: u64,
    /// Hash of the object and the body.
    pub fingerprint: u64,
    pub repeat_policy: RepeatPolicy,
    pub pushes: Vec<Push>,
    pub outcome: Option<Outcome>,
}

/// Maximum size of a stored response body, as registrations state it. A longer response is passed on to the
/// client, and stored as 'may have run'.
pub const MAX_RESPONSE_BYTES: usize = 16 << 10;

impl RequestRecord {
    /// Whether it is within the limits that every front of this program enforces.
    pub fn within_limits(&self) -> bool {
        let body = match &self.outcome {
            Some(Outcome::Done(response)) => response.body.len(),
            _ => 0,
        };
        self.pushes.len() <= MAX_PUSHES && body <= MAX_RESPONSE_BYTES
    }

    /// A push was intended and is not known not to have run.
    pub fn may_have_run(&self) -> bool {
        self.pushes.iter().any(|p| !p.not_run)
    }
}

/// A record as a replica reports it.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct RecordView {
    pub written: Term,
    pub version: u32,
    pub record: RequestRecord,
    /// How long ago the replica learned of the first intended push; no push can have run before that.
    pub push_age: Ticks,
    /// Time until the client's deadline.
    pub time_left: Ticks,
}

/// A message to a replica.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum ReplicaRequest {
    /// Stores a new request, unless the replica has a record with this id.
    Create { term: Term, record: RequestRecord, time_left: Ticks },
    /// Stores the next state of a request.
    Write { term: Term, version: u32, record: RequestRecord, time_left: Ticks },
    /// Claims ownership under a later term, along with what is known, for a replica that has no record.
    Claim { term: Term, view: RecordView },
    /// The sender created a request under an id that was in use already; its copy is void.
    Discard { creation_id: u64 },
    /// Requests the stored record.
    Read,
}

/// A replica's answer.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum ReplicaResponse {
    /// The change is on disk. `creation_id`: the same front may have tried before under the same term.
    Stored { creation_id: u64, term: Term, version: u32 },
    /// Writes of terms before this one are rejected from now on.
    Promised { term: Term, view: RecordView },
    /// Another request has this id, or a later term was promised.
    Rejected { promised: Term, view: RecordView },
    /// The stored record; the answer to `Read`.
    Current { promised: Term, view: RecordView },
    /// There is no record; also the answer to `Discard`.
    Empty,
    /// The replica has no room, or the record exceeds the limits.
    Full,
    /// The replica may have lost what it had acknowledged, and has no vote yet.
    NotVoting,
}
