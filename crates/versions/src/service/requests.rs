//! Requests of operators and their responses. A request to publish names the last version that its sender has seen: if
//! two are made at the same time, the second is rejected with the number of the first.

use std::collections::BTreeMap;
use std::fmt;
use std::sync::Arc;

use doorgrade_trust::rotation::{self, KeySetError};
use serde::{Deserialize, Serialize};

use super::{ChangeRow, Effect, FrontState, Progress, PublishError, Service, Status, StopReason, Ticks};
use crate::seal::Keys;
use crate::{MAX_NAME_BYTES, VersionId};

#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Role {
    /// May read everything but change nothing.
    Viewer,
    Operator,
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub enum Filter {
    #[default]
    All,
    /// Only fronts that do not run their target.
    Behind,
    /// Only fronts that rejected a version, did not respond, or claim an impossible version.
    Trouble,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Request {
    Publish {
        content: Arc<[u8]>,
        note: Box<str>,
        expected_last: u64,
    },
    RollBack {
        to: u64,
        expected_last: u64,
    },
    /// Stops the rollout in progress.
    Stop {
        number: u64,
    },
    TakeOver,
    Status,
    /// Fronts after this name, sorted by name.
    Fronts {
        after: Box<str>,
        filter: Filter,
    },
    /// Versions with numbers below this one, newest first.
    History {
        below: u64,
    },
    Content {
        number: u64,
    },
    /// Subscribes to log events; the caller sends them.
    Watch,
    /// Recently published changes, newest first; only if rollouts are judged by evidence.
    Changes,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Response {
    Published(VersionId),
    NotPublished(PublishError),
    /// The content is not usable by any front.
    Invalid(Box<str>),
    /// The version could not be stored and is not offered to anybody.
    NotStored(Box<str>),
    Denied(Denial),
    Done,
    Status(Box<Totals>),
    Fronts {
        rows: Vec<FrontRow>,
        /// There are more rows after the last one.
        more: bool,
    },
    History(Vec<VersionSummary>),
    Content {
        id: VersionId,
        content: Arc<[u8]>,
    },
    Watching,
    LogEvent(super::LogEvent),
    Changes(Vec<ChangeRow>),
}

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Denial {
    /// A viewer requested a change.
    ReadOnly,
    /// There is no rollout in progress with that number; the one in progress, if any.
    NotInProgress(Option<VersionId>),
    NotSuperseded,
    NoSuchVersion(u64),
}

impl fmt::Display for Denial {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Denial::ReadOnly => f.write_str("this certificate's name is a viewer's: expected an operator's"),
            Denial::NotInProgress(None) => f.write_str("no publication is in progress"),
            Denial::NotInProgress(Some(id)) => {
                write!(f, "version {id} is in progress: expected its number")
            }
            Denial::NotSuperseded => f.write_str("no later service is known: there is nothing to take over"),
            Denial::NoSuchVersion(number) => write!(f, "version {number} is not kept here"),
        }
    }
}

impl fmt::Display for PublishError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            PublishError::Conflict { last } => {
                write!(f, "somebody has published since: the last version is {last}")
            }
            PublishError::InProgress { id } => {
                write!(f, "version {id} is being published: stop it, or wait for it")
            }
            PublishError::TooLarge(bytes) => {
                write!(f, "{bytes} bytes: expected {} at most", crate::MAX_CONTENT_BYTES)
            }
            PublishError::NoSuchVersion => f.write_str("that version is not kept here"),
            PublishError::QueueFull { waiting } => {
                write!(f, "{waiting} changes wait for their trial: publish again when some have passed")
            }
            PublishError::NoKey => f.write_str("there is no key to seal it with"),
            PublishError::Superseded { by } => write!(
                f,
                "a service with the later epoch {by} is active: take over if it no longer exists, or was this one"
            ),
        }
    }
}

impl fmt::Display for StopReason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let share = |thousandths: &u32| f64::from(*thousandths) / 10.0;
        match self {
            StopReason::Rejected { count, of, first } => {
                write!(f, "{count} of {of} fronts turned it down: {first}")
            }
            StopReason::TimedOut { count, of } => write!(f, "{count} of {of} fronts did not answer"),
            StopReason::ServiceDrop { from, to, others } => write!(
                f,
                "the fronts that were offered it served {:.1}% and now serve {:.1}%; all others changed by {:+.1}%",
                share(from),
                share(to),
                f64::from(*others) / 10.0
            ),
            StopReason::Manual => f.write_str("by hand"),
        }
    }
}

/// One front, as listed for people and scripts.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct FrontRow {
    pub front: Box<str>,
    pub station: Box<str>,
    pub connected: bool,
    pub last_seen: Ticks,
    pub running: Option<VersionId>,
    pub stored: bool,
    pub target: Option<VersionId>,
    pub state: FrontState,
    pub false_claim: bool,
    pub service_level: Option<f32>,
    pub seal_key: Option<u32>,
}

impl From<Status<'_>> for FrontRow {
    fn from(status: Status<'_>) -> FrontRow {
        FrontRow {
            front: status.front.into(),
            station: status.station.into(),
            connected: status.connected,
            last_seen: status.last_seen,
            running: status.running,
            stored: status.stored,
            target: status.target,
            state: status.state,
            false_claim: status.false_claim,
            service_level: status.service_level,
            seal_key: status.seal_key,
        }
    }
}

/// A version without its content.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct VersionSummary {
    pub id: VersionId,
    pub bytes: u64,
    pub note: Box<str>,
    pub published_at: Ticks,
}

/// The state of the service and counts over all fronts.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Totals {
    pub epoch: u64,
    pub last: u64,
    pub base: Option<VersionId>,
    pub publication: Option<Progress>,
    pub superseded: Option<u64>,
    pub fronts: u64,
    pub connected: u64,
    pub current: u64,
    pub offered: u64,
    pub rejected: u64,
    pub timed_out: u64,
    pub waiting: u64,
    pub false_claims: u64,
    /// Fronts whose running version would not be run again after a crash.
    pub unstored: u64,
    /// Number of fronts by running version, largest first.
    pub running: Vec<(Option<VersionId>, u64)>,
    /// Number of fronts by the key that sealed their running version.
    pub seal_keys: Vec<(u32, u64)>,
    /// Keys that are not used any more and may be removed.
    pub spare_keys: Vec<u32>,
}

/// Rows in one response; further pages are requested after the last row.
const MAX_ROWS: usize = 1_000;
/// Running versions that are listed with their counts; normally there are two.
const MAX_LISTED_VERSIONS: usize = 20;
/// A longer note is truncated.
pub const MAX_NOTE_CHARS: usize = 1_000;

impl Role {
    pub fn permits(self, request: &Request) -> bool {
        let changes = matches!(
            request,
            Request::Publish { .. } | Request::RollBack { .. } | Request::Stop { .. } | Request::TakeOver
        );
        self == Role::Operator || !changes
    }
}

impl Service {
    /// `validate` checks whether a front could use a content at all; it is called only if nothing else prevents
    /// the publication.
    pub fn handle_request(
        &mut self,
        now: Ticks,
        role: Role,
        request: Request,
        validate: impl FnOnce(&[u8]) -> Result<(), String>,
        effects: &mut Vec<Effect>,
    ) -> Response {
        if !role.permits(&request) {
            return Response::Denied(Denial::ReadOnly);
        }
        let publish_response = |result: Result<VersionId, PublishError>| {
            result.map_or_else(Response::NotPublished, Response::Published)
        };
        match request {
            Request::Publish { content, note, expected_last } => {
                if let Err(reason) = self.may_publish(content.len(), expected_last) {
                    return Response::NotPublished(reason);
                }
                if let Err(reason) = validate(&content) {
                    return Response::Invalid(reason.into());
                }
                let note: String = note.chars().take(MAX_NOTE_CHARS).collect();
                publish_response(self.publish(now, content, &note, expected_last, effects))
            }
            Request::RollBack { expected_last, .. } if expected_last != self.last() => {
                Response::NotPublished(PublishError::Conflict { last: self.last() })
            }
            Request::RollBack { to, .. } => publish_response(self.roll_back(now, to, effects)),
            Request::Stop { number } if self.trials.is_some() => self.remove_change(now, number, effects),
            Request::Stop { number } => {
                let in_progress = self.rollout.as_ref().filter(|r| r.stopped.is_none()).map(|r| r.id);
                if in_progress.is_none_or(|id| id.number != number) {
                    return Response::Denied(Denial::NotInProgress(in_progress));
                }
                self.stop(StopReason::Manual, effects);
                Response::Done
            }
            Request::TakeOver if self.superseded.is_none() => Response::Denied(Denial::NotSuperseded),
            Request::TakeOver => {
                self.take_over(effects);
                Response::Done
            }
            Request::Status => Response::Status(Box::new(self.totals())),
            Request::Fronts { after, filter } => self.rows(&after, filter),
            Request::History { below } => {
                let versions = self.versions.range(..below).rev().take(MAX_ROWS).map(|(_, v)| v);
                let versions = versions.map(|v| VersionSummary {
                    id: v.id,
                    bytes: v.content.len() as u64,
                    note: v.note.clone(),
                    published_at: v.published_at,
                });
                Response::History(versions.collect())
            }
            Request::Content { number } => match self.versions.get(&number) {
                Some(v) => Response::Content { id: v.id, content: v.content.clone() },
                None => Response::Denied(Denial::NoSuchVersion(number)),
            },
            Request::Watch => Response::Watching,
            Request::Changes => {
                Response::Changes(self.trials.as_ref().map_or(Vec::new(), |t| t.rows(MAX_ROWS)))
            }
        }
    }

    fn rows(&self, after: &str, filter: Filter) -> Response {
        // Sorted by name without sorting all fronts for each page: drops the greatest name beyond the page
        // size.
        let mut rows: BTreeMap<&str, usize> = BTreeMap::new();
        let wanted = |s: &Status<'_>| match filter {
            Filter::All => true,
            Filter::Behind => s.state != FrontState::Current,
            Filter::Trouble => {
                s.false_claim || matches!(s.state, FrontState::Rejected(_) | FrontState::TimedOut)
            }
        };
        for (index, status) in self.fronts().enumerate() {
            if status.front > after && wanted(&status) {
                rows.insert(&self.fronts[index].name, index);
                if rows.len() > MAX_ROWS + 1 {
                    rows.pop_last();
                }
            }
        }
        let more = rows.len() > MAX_ROWS;
        let rows = rows.into_values().take(MAX_ROWS).map(|index| self.status(index).into()).collect();
        Response::Fronts { rows, more }
    }

    /// Number of fronts by the key that sealed their running version.
    pub fn keys_used(&self) -> BTreeMap<u32, usize> {
        let mut used = BTreeMap::new();
        for key in self.fronts.iter().filter(|f| f.running.is_some()).filter_map(|f| f.seal_key) {
            *used.entry(key).or_default() += 1;
        }
        used
    }

    /// Replaces the keys, unless a front runs a version whose seal could then no longer be verified.
    pub fn set_keys(&mut self, keys: Vec<(u32, Vec<u8>)>) -> Result<(), KeySetError> {
        rotation::check_replacement(self.keys.all(), &keys, &self.keys_used())?;
        self.keys = Keys::new(keys);
        Ok(())
    }

    pub fn totals(&self) -> Totals {
        let base = self.base.and_then(|n| self.versions.get(&n)).map(|v| v.id);
        let used = self.keys_used();
        let mut t = Totals {
            epoch: self.epoch,
            last: self.last(),
            base,
            publication: self.progress(),
            superseded: self.superseded,
            spare_keys: rotation::removable(self.keys.all(), &used),
            seal_keys: used.into_iter().map(|(key, count)| (key, count as u64)).collect(),
            ..Totals::default()
        };
        let mut running: BTreeMap<Option<VersionId>, u64> = BTreeMap::new();
        for s in self.fronts() {
            t.fronts += 1;
            t.connected += u64::from(s.connected);
            t.false_claims += u64::from(s.false_claim);
            t.unstored += u64::from(s.running.is_some() && !s.stored);
            *running.entry(s.running).or_default() += 1;
            match s.state {
                FrontState::Current => t.current += 1,
                FrontState::Offered => t.offered += 1,
                FrontState::Rejected(_) => t.rejected += 1,
                FrontState::TimedOut => t.timed_out += 1,
                FrontState::Waiting => t.waiting += 1,
            }
        }
        let mut running: Vec<_> = running.into_iter().collect();
        running.sort_by_key(|r| std::cmp::Reverse(r.1));
        running.truncate(MAX_LISTED_VERSIONS);
        t.running = running;
        t
    }

    /// Whether a name is valid for a front or a station.
    pub fn is_valid_name(name: &str) -> bool {
        !name.is_empty() && name.len() <= MAX_NAME_BYTES
    }
}
