//! What people ask of a service, and what they get. A change names the last version that whoever asks for it has seen:
//! of two that were made at the same time one is told that the other came first, and by what number.

use std::collections::BTreeMap;
use std::fmt;
use std::sync::Arc;

use doorgrade_trust::rotation::{self, KeySetError};
use serde::{Deserialize, Serialize};

use super::{ChangeRow, Do, NotPublished, Progress, Service, State, Status, Stop, Ticks};
use crate::seal::Keys;
use crate::{Id, MOST_NAME};

#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Role {
    /// Looks, and changes nothing.
    Viewer,
    Operator,
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub enum Filter {
    #[default]
    All,
    /// Only those that do not run what is theirs.
    Behind,
    /// Only those that turned something down, are missing, or say what can't be.
    Trouble,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Ask {
    Publish {
        content: Arc<[u8]>,
        note: Box<str>,
        expects: u64,
    },
    RollBack {
        to: u64,
        expects: u64,
    },
    /// Stops the publication under way.
    Stop {
        number: u64,
    },
    TakeOver,
    Status,
    /// Fronts after this name, in the order of their names.
    Fronts {
        after: Box<str>,
        filter: Filter,
    },
    /// Versions with numbers below this, the newest first.
    History {
        below: u64,
    },
    Content {
        number: u64,
    },
    /// What the service tells from now on; the shell keeps to it.
    Watch,
    /// Changes lately published, where rollouts are judged by evidence: the newest first.
    Changes,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Answer {
    Published(Id),
    NotPublished(NotPublished),
    /// It could be published, but no front could use it.
    Unsound(Box<str>),
    /// It could not be stored, and is offered to nobody.
    NotStored(Box<str>),
    Denied(Denied),
    Done,
    Status(Box<Totals>),
    Fronts {
        rows: Vec<Row>,
        /// There are more after the last of these.
        more: bool,
    },
    History(Vec<Past>),
    Content {
        id: Id,
        content: Arc<[u8]>,
    },
    Watching,
    Line(super::Line),
    Changes(Vec<ChangeRow>),
}

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Denied {
    /// A viewer asked for a change.
    OnlyLooks,
    /// The publication under way is another one, or none.
    OtherUnderWay(Option<Id>),
    NoOtherService,
    NoSuchVersion(u64),
}

impl fmt::Display for Denied {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Denied::OnlyLooks => f.write_str("this certificate's name is a viewer's: expected an operator's"),
            Denied::OtherUnderWay(None) => f.write_str("no publication is under way"),
            Denied::OtherUnderWay(Some(id)) => write!(f, "version {id} is under way: expected its number"),
            Denied::NoOtherService => {
                f.write_str("no later service was heard of: nothing is to be taken over")
            }
            Denied::NoSuchVersion(number) => write!(f, "version {number} is not kept here"),
        }
    }
}

impl fmt::Display for NotPublished {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            NotPublished::Expected { last } => {
                write!(f, "somebody has published since: the last version is {last}")
            }
            NotPublished::UnderWay { id } => {
                write!(f, "version {id} is being published: stop it, or wait for it")
            }
            NotPublished::TooLong(bytes) => {
                write!(f, "{bytes} bytes: expected {} at most", crate::MOST_CONTENT)
            }
            NotPublished::NoSuchVersion => f.write_str("that version is not kept here"),
            NotPublished::QueueFull { waiting } => {
                write!(f, "{waiting} changes wait for their trial: publish again when some have passed")
            }
            NotPublished::NoKey => f.write_str("there is no key to seal it with"),
            NotPublished::Superseded { by } => write!(
                f,
                "a service of epoch {by} is about, later than this one: take over if it is no more, or was this one"
            ),
        }
    }
}

impl fmt::Display for Stop {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let share = |thousandths: &u32| f64::from(*thousandths) / 10.0;
        match self {
            Stop::Refused { count, of, first } => write!(f, "{count} of {of} fronts turned it down: {first}"),
            Stop::Missing { count, of } => write!(f, "{count} of {of} fronts did not answer"),
            Stop::Dropped { from, to, others } => write!(
                f,
                "the fronts it went to served {:.1}% and now serve {:.1}%; all others changed by {:+.1}%",
                share(from),
                share(to),
                f64::from(*others) / 10.0
            ),
            Stop::ByHand => f.write_str("by hand"),
        }
    }
}

/// One front, for people and scripts.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Row {
    pub front: Box<str>,
    pub station: Box<str>,
    pub connected: bool,
    pub heard: Ticks,
    pub runs: Option<Id>,
    pub stored: bool,
    pub goal: Option<Id>,
    pub state: State,
    pub lies: bool,
    pub serves: Option<f32>,
    pub sealed: Option<u32>,
}

impl From<Status<'_>> for Row {
    fn from(s: Status<'_>) -> Row {
        let Status { connected, heard, runs, stored, goal, state, lies, serves, sealed, .. } = s;
        let (front, station) = (s.front.into(), s.station.into());
        Row { front, station, connected, heard, runs, stored, goal, state, lies, serves, sealed }
    }
}

/// A version without its content.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Past {
    pub id: Id,
    pub bytes: u64,
    pub note: Box<str>,
    pub at: Ticks,
}

/// All fronts in counts.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Totals {
    pub epoch: u64,
    pub last: u64,
    pub base: Option<Id>,
    pub publication: Option<Progress>,
    pub superseded: Option<u64>,
    pub fronts: u64,
    pub connected: u64,
    pub current: u64,
    pub offered: u64,
    pub turned_down: u64,
    pub missing: u64,
    pub waiting: u64,
    pub lies: u64,
    /// They run it, but would not after a crash.
    pub unstored: u64,
    /// Fronts by what they run, the greatest counts first.
    pub runs: Vec<(Option<Id>, u64)>,
    /// Fronts by the key that sealed what they run.
    pub sealed: Vec<(u32, u64)>,
    /// Keys that could be dropped.
    pub spare_keys: Vec<u32>,
}

/// Rows in one answer; more are asked for after the last of them.
const MOST_ROWS: usize = 1_000;
/// Versions that are listed by their counts: in a calm fleet there are two.
const MOST_RUNS: usize = 20;
pub const MOST_NOTE: usize = 1_000;

impl Role {
    pub fn may(self, ask: &Ask) -> bool {
        let changes =
            matches!(ask, Ask::Publish { .. } | Ask::RollBack { .. } | Ask::Stop { .. } | Ask::TakeOver);
        self == Role::Operator || !changes
    }
}

impl Service {
    /// `sound`: whether a content could be used by any front at all, and why not; it is only asked where all else would
    /// let it through.
    pub fn asked(
        &mut self,
        now: Ticks,
        role: Role,
        ask: Ask,
        sound: impl FnOnce(&[u8]) -> Result<(), String>,
        out: &mut Vec<Do>,
    ) -> Answer {
        if !role.may(&ask) {
            return Answer::Denied(Denied::OnlyLooks);
        }
        let published =
            |made: Result<Id, NotPublished>| made.map_or_else(Answer::NotPublished, Answer::Published);
        match ask {
            Ask::Publish { content, note, expects } => {
                if let Err(why) = self.may_publish(content.len(), expects) {
                    return Answer::NotPublished(why);
                }
                if let Err(why) = sound(&content) {
                    return Answer::Unsound(why.into());
                }
                let note: String = note.chars().take(MOST_NOTE).collect();
                published(self.publish(now, content, &note, expects, out))
            }
            Ask::RollBack { expects, .. } if expects != self.last() => {
                Answer::NotPublished(NotPublished::Expected { last: self.last() })
            }
            Ask::RollBack { to, .. } => published(self.roll_back(now, to, out)),
            Ask::Stop { number } if self.trials.is_some() => self.take_out(now, number, out),
            Ask::Stop { number } => {
                let under_way = self.rollout.as_ref().filter(|r| r.stopped.is_none()).map(|r| r.id);
                if under_way.is_none_or(|id| id.number != number) {
                    return Answer::Denied(Denied::OtherUnderWay(under_way));
                }
                self.stop(Stop::ByHand, out);
                Answer::Done
            }
            Ask::TakeOver if self.superseded.is_none() => Answer::Denied(Denied::NoOtherService),
            Ask::TakeOver => {
                self.take_over(out);
                Answer::Done
            }
            Ask::Status => Answer::Status(Box::new(self.totals())),
            Ask::Fronts { after, filter } => self.rows(&after, filter),
            Ask::History { below } => {
                let past = self.versions.range(..below).rev().take(MOST_ROWS).map(|(_, v)| v);
                let past = past.map(|v| Past {
                    id: v.id,
                    bytes: v.content.len() as u64,
                    note: v.note.clone(),
                    at: v.at,
                });
                Answer::History(past.collect())
            }
            Ask::Content { number } => match self.versions.get(&number) {
                Some(v) => Answer::Content { id: v.id, content: v.content.clone() },
                None => Answer::Denied(Denied::NoSuchVersion(number)),
            },
            Ask::Watch => Answer::Watching,
            Ask::Changes => Answer::Changes(self.trials.as_ref().map_or(Vec::new(), |t| t.rows(MOST_ROWS))),
        }
    }

    fn rows(&self, after: &str, filter: Filter) -> Answer {
        // Names in order, without sorting all of them for each page: the greatest of those kept falls out.
        let mut rows: BTreeMap<&str, usize> = BTreeMap::new();
        let wanted = |s: &Status<'_>| match filter {
            Filter::All => true,
            Filter::Behind => s.state != State::Current,
            Filter::Trouble => s.lies || matches!(s.state, State::TurnedDown(_) | State::Missing),
        };
        for (at, status) in self.fronts().enumerate() {
            if status.front > after && wanted(&status) {
                rows.insert(&self.fronts[at].name, at);
                if rows.len() > MOST_ROWS + 1 {
                    rows.pop_last();
                }
            }
        }
        let more = rows.len() > MOST_ROWS;
        let rows = rows.into_values().take(MOST_ROWS).map(|at| self.status(at).into()).collect();
        Answer::Fronts { rows, more }
    }

    /// Fronts by the key that sealed what they run.
    pub fn keys_used(&self) -> BTreeMap<u32, usize> {
        let mut used = BTreeMap::new();
        for key in self.fronts.iter().filter(|f| f.runs.is_some()).filter_map(|f| f.sealed) {
            *used.entry(key).or_default() += 1;
        }
        used
    }

    /// Other keys from now on, unless somebody's true word would look made up.
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
            sealed: used.into_iter().map(|(key, count)| (key, count as u64)).collect(),
            ..Totals::default()
        };
        let mut runs: BTreeMap<Option<Id>, u64> = BTreeMap::new();
        for s in self.fronts() {
            t.fronts += 1;
            t.connected += u64::from(s.connected);
            t.lies += u64::from(s.lies);
            t.unstored += u64::from(s.runs.is_some() && !s.stored);
            *runs.entry(s.runs).or_default() += 1;
            match s.state {
                State::Current => t.current += 1,
                State::Offered => t.offered += 1,
                State::TurnedDown(_) => t.turned_down += 1,
                State::Missing => t.missing += 1,
                State::Waiting => t.waiting += 1,
            }
        }
        let mut runs: Vec<_> = runs.into_iter().collect();
        runs.sort_by_key(|r| std::cmp::Reverse(r.1));
        runs.truncate(MOST_RUNS);
        t.runs = runs;
        t
    }

    /// Whether a name can be a front's or a station's.
    pub fn fits(name: &str) -> bool {
        !name.is_empty() && name.len() <= MOST_NAME
    }
}
