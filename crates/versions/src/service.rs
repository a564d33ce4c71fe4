//! The service's side: what each front has, wants and said; publication in waves; who comes in, and when.
//!
//! **Who gets what.** Every front has a rank, the hash of its name. A publication goes to a few canaries of
//! different stations first, then to a share of all ranks from a place that its number draws, then to all. A front
//! is offered what it is its turn to have; one that runs something later is never offered anything older.
//!
//! **When it stops.** When refusals, missing answers or drops of service among those it went to pass a bound. Then
//! nobody else is offered it; those that run it go on until a version with a new number is published to them, be
//! it the content that was good before.
//!
//! **Work.** A publication costs work for the fronts whose turn it is, and an answer for one front: all that is
//! asked of many is kept as counts.

mod ask;
mod fronts;
mod status;
mod waves;

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::sync::Arc;

pub use crate::trial::{
    ChangeRow, ChangeState, Harm, RolloutMode, SavedChange, SavedTrials, Stage, ThinTraffic, TrialRules,
};
pub use ask::{Answer, Ask, Denied, Filter, Past, Role, Row, Totals};
use rustc_hash::FxHashMap;
use serde::{Deserialize, Serialize};

use crate::delta;
use crate::message::ToFront;
use crate::seal::Keys;
use crate::{Id, Reason, Tenths};

pub type Conn = u64;

#[derive(Clone, Debug, PartialEq)]
pub struct Rules {
    /// Fronts let in a second when many come at once.
    pub admit: f64,
    /// Something is said to each front at least this often.
    pub alive: Tenths,
    /// A front that was offered a version has to answer in this time.
    pub answer_within: Tenths,
    /// How long a wave that has answered is watched before the next.
    pub soak: Tenths,
    pub canaries: usize,
    /// Shares of all fronts that the waves after the canaries bring it to; the last is 1.
    pub shares: Vec<f64>,
    /// A publication stops when a greater share of those it went to turned it down, or did not answer.
    pub refused: f64,
    pub missing: f64,
    /// ... or when their service has fallen by more than this against what it was when it came to them, less what
    /// that of all others has fallen meanwhile: a storm is not the version's fault.
    pub drop: f64,
    pub most_fronts: usize,
    /// Contents kept, for deltas and for going back.
    pub history: usize,
    /// A service that starts on what it finds in its store offers nothing for so long to fronts that run nothing: the
    /// store may be an older copy, and whoever ran what came after it has to be heard first.
    pub listen: Tenths,
    pub rollout: RolloutMode,
}

impl Default for Rules {
    fn default() -> Rules {
        Rules {
            // A guess, until the transport is there to be measured.
            admit: 200.0,
            alive: 50_000,
            answer_within: 300_000,
            // Long enough for a change to show in the service of some hundred accesses a front.
            soak: 300_000,
            canaries: 2,
            shares: vec![0.1, 0.5, 1.0],
            refused: 0.0,
            missing: 0.2,
            drop: 0.03,
            most_fronts: 200_000,
            history: 64,
            // The longest pause between a front's tries: whoever lives has come by then.
            listen: 600_000,
            rollout: RolloutMode::Waves,
        }
    }
}

#[derive(Clone, Debug, PartialEq)]
pub enum Do {
    Send(Conn, ToFront),
    Close(Conn),
    /// Before anything of it is offered, the version is to be on the disk.
    Store(Version),
    /// The epoch changes, or how far a publication is.
    StoreState {
        epoch: u64,
        base: Option<u64>,
        rollout: Option<Saved>,
    },
    Wake(Tenths),
    Tell(Line),
    /// What survives a restart where rollouts are judged by evidence; beside the state, in a record of its own.
    StoreTrials(SavedTrials),
    /// A version that nothing needs any more is to leave the store.
    Forget(Id),
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Line {
    Wave {
        id: Id,
        wave: usize,
        of: usize,
        fronts: usize,
    },
    Stopped {
        id: Id,
        why: Stop,
    },
    Everywhere(Id),
    TurnedDown {
        front: Box<str>,
        id: Id,
        why: Reason,
    },
    /// A front says what can't be.
    Lies {
        front: Box<str>,
        id: Id,
    },
    /// Fronts have what this service does not know: it lost its store, or found an old one.
    NewEpoch {
        epoch: u64,
        because: Id,
    },
    /// Another service, of a later epoch, is about; this one publishes nothing.
    Superseded {
        by: u64,
    },
    /// A stage of trials begins, on so many fronts, for these changes.
    Trial {
        stage: Stage,
        changes: Vec<u64>,
        fronts: usize,
    },
    /// A change is in nobody's configuration any more, or on its way out of it.
    TakenOut {
        change: u64,
        why: Harm,
    },
    /// Every connected front has confirmed what this change, and all before it, came to.
    InForce(Id),
    /// Everyone's service has fallen since these changes came: each is tried without.
    UnderWatch {
        changes: Vec<u64>,
    },
    /// Too few accesses to tell; the setting says that it goes on.
    WentOnUnproven {
        change: u64,
    },
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Version {
    pub id: Id,
    pub content: Arc<[u8]>,
    pub note: Box<str>,
    pub at: Tenths,
}

/// What of a publication survives a restart.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Saved {
    pub id: Id,
    pub wave: usize,
    /// By name: after a restart nobody else is to go first.
    pub canaries: BTreeSet<Box<str>>,
    pub stopped: Option<Stop>,
}

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Stop {
    Refused {
        count: usize,
        of: usize,
        first: Reason,
    },
    Missing {
        count: usize,
        of: usize,
    },
    /// In thousandths of the benefit; `others`: by how much that of all others changed meanwhile.
    Dropped {
        from: u32,
        to: u32,
        others: i32,
    },
    ByHand,
}

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum NotPublished {
    /// Somebody else has published since.
    Expected {
        last: u64,
    },
    UnderWay {
        id: Id,
    },
    TooLong(usize),
    NoSuchVersion,
    NoKey,
    Superseded {
        by: u64,
    },
    /// So many changes wait for their trial.
    QueueFull {
        waiting: usize,
    },
}

/// What a front was last known to be doing.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum State {
    /// It runs what it is its turn to have.
    Current,
    /// It was offered a version and has not answered yet.
    Offered,
    TurnedDown(Reason),
    /// It has not answered in time.
    Missing,
    /// Nothing was published yet, or it waits for its wave.
    Waiting,
}

#[derive(Clone, Debug)]
struct Front {
    name: Box<str>,
    station: Box<str>,
    rank: u64,
    conn: Option<Conn>,
    heard: Tenths,
    runs: Option<Id>,
    stored: bool,
    offered: Option<(Id, Tenths)>,
    turned_down: Option<(Id, Reason)>,
    /// How it counts in the tally of the publication of this number.
    account: (u64, Account),
    lies: bool,
    /// What it serves counts in the tally of that publication.
    counted: bool,
    /// The key that sealed what it runs, and what was sent to it last.
    sealed: Option<u32>,
    sent: Option<(Id, u32)>,
    /// Benefit that it serves, an average; NaN until it has said so.
    serves: f32,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Account {
    Apart,
    Went,
    Runs,
    Refused,
    Missing,
}

#[derive(Clone, Debug, Default)]
struct Tally {
    went: usize,
    runs: usize,
    refused: usize,
    missing: usize,
    first: Option<Reason>,
    served: Served,
}

/// How the fronts serve that a publication has gone to: their sum when it came to each, and now; and the sum of the
/// mean service that all others had when it came to each, where that was known.
#[derive(Clone, Debug, Default)]
struct Served {
    before: f64,
    now: f64,
    count: usize,
    others: f64,
    beside: usize,
}

impl Tally {
    fn count(&mut self, account: Account) -> Option<&mut usize> {
        match account {
            Account::Apart | Account::Went => None,
            Account::Runs => Some(&mut self.runs),
            Account::Refused => Some(&mut self.refused),
            Account::Missing => Some(&mut self.missing),
        }
    }
}

#[derive(Clone, Debug)]
struct Rollout {
    id: Id,
    wave: usize,
    since: Tenths,
    /// Since when all of the wave have answered.
    answered: Option<Tenths>,
    tally: Tally,
    canaries: BTreeSet<Box<str>>,
    stopped: Option<Stop>,
    /// Since when the service of those it went to has been too low.
    falling: Option<Tenths>,
}

/// A delta that was made, with the hashes it leads from and to.
type Made = ([u8; 32], [u8; 32], Arc<Vec<delta::Step>>);

#[derive(Clone, Debug)]
pub struct Service {
    rules: Rules,
    keys: Keys,
    epoch: u64,
    versions: BTreeMap<u64, Version>,
    /// The version that all are to have, the rollout's apart.
    base: Option<u64>,
    rollout: Option<Rollout>,
    fronts: Vec<Front>,
    by_name: FxHashMap<Box<str>, usize>,
    by_conn: FxHashMap<Conn, usize>,
    by_rank: BTreeMap<(u64, usize), ()>,
    /// Connected fronts in the order in which they are due a word.
    due: VecDeque<(Tenths, usize, Conn)>,
    /// Offers that are to be answered by a time.
    awaited: VecDeque<(Tenths, usize, Id)>,
    /// When the next front may come in, and who was told when.
    next_place: f64,
    places: FxHashMap<Box<str>, Tenths>,
    superseded: Option<u64>,
    /// Until when its store may be an older copy, of which it would hear.
    listens: Option<Tenths>,
    /// The first number that was published since its start.
    first: u64,
    /// The earliest time asked for that has not come: there is one timer, however much waits.
    wakes: Option<Tenths>,
    /// Deltas made lately, by what they lead from and to.
    deltas: VecDeque<Made>,
    /// The sum of what all fronts serve that have said so, and their count.
    serves: (f64, usize),
}

fn rank(name: &str) -> u64 {
    let hash = blake3::hash(name.as_bytes());
    u64::from_le_bytes(*hash.as_bytes().first_chunk::<8>().unwrap_or(&[0; 8]))
}

/// Deltas kept: two publications back, for those who missed one.
const MOST_DELTAS: usize = 8;

/// What a service finds in its store.
#[derive(Clone, Debug, Default)]
pub struct Found {
    pub epoch: u64,
    pub versions: Vec<Version>,
    pub base: Option<u64>,
    pub rollout: Option<Saved>,
    pub trials: Option<SavedTrials>,
}

impl Service {
    /// `found.epoch` 0: there was no store, and a new epoch is opened.
    pub fn start(now: Tenths, rules: Rules, keys: Keys, found: Found, out: &mut Vec<Do>) -> Service {
        let fresh = found.epoch == 0;
        let listens = (!found.versions.is_empty()).then_some(now + rules.listen);
        let mut service = Service {
            rules,
            keys,
            epoch: if fresh { now.max(1) } else { found.epoch },
            versions: found.versions.into_iter().map(|v| (v.id.number, v)).collect(),
            base: found.base,
            rollout: None,
            fronts: Vec::new(),
            by_name: FxHashMap::default(),
            by_conn: FxHashMap::default(),
            by_rank: BTreeMap::new(),
            due: VecDeque::new(),
            awaited: VecDeque::new(),
            next_place: now as f64,
            places: FxHashMap::default(),
            superseded: None,
            listens,
            first: u64::MAX,
            wakes: None,
            deltas: VecDeque::new(),
            serves: (0.0, 0),
        };
        service.rollout = found.rollout.map(|saved| Rollout {
            id: saved.id,
            wave: saved.wave,
            since: now,
            answered: None,
            tally: Tally::default(),
            canaries: saved.canaries,
            stopped: saved.stopped,
            falling: None,
        });
        if fresh {
            service.store_state(out);
        }
        service.wake(now + service.rules.alive, out);
        listens.into_iter().for_each(|at| service.wake(at, out));
        service
    }

    pub fn epoch(&self) -> u64 {
        self.epoch
    }

    pub fn last(&self) -> u64 {
        self.versions.last_key_value().map_or(0, |v| *v.0)
    }

    pub fn version(&self, number: u64) -> Option<&Version> {
        self.versions.get(&number)
    }

    pub fn history(&self) -> impl DoubleEndedIterator<Item = &Version> {
        self.versions.values()
    }

    fn store_state(&self, out: &mut Vec<Do>) {
        let rollout = self.rollout.as_ref();
        let rollout = rollout.map(|r| Saved {
            id: r.id,
            wave: r.wave,
            canaries: r.canaries.clone(),
            stopped: r.stopped.clone(),
        });
        out.push(Do::StoreState { epoch: self.epoch, base: self.base, rollout });
    }

    // ---- time

    fn wake(&mut self, at: Tenths, out: &mut Vec<Do>) {
        if self.wakes.is_none_or(|w| at < w) {
            self.wakes = Some(at);
            out.push(Do::Wake(at));
        }
    }

    pub fn due(&mut self, now: Tenths, out: &mut Vec<Do>) {
        if self.wakes.is_some_and(|w| w > now) {
            return;
        }
        self.wakes = None;
        if self.listens.is_some_and(|at| at <= now) {
            self.listens = None;
            (0..self.fronts.len()).for_each(|at| self.offer(now, at, out));
        }
        while let Some(&(at, front, conn)) = self.due.front() {
            if at > now {
                break;
            }
            self.due.pop_front();
            if self.fronts[front].conn == Some(conn) {
                out.push(Do::Send(conn, ToFront::Alive));
                self.due.push_back((now + self.rules.alive, front, conn));
            }
        }
        self.places.retain(|_, place| *place + 600_000 > now);
        self.look(now, out);
        self.wake(now + self.rules.alive / 4, out);
        self.listens.into_iter().for_each(|at| self.wake(at, out));
    }
}

#[derive(Clone, Debug, PartialEq)]
pub struct Status<'a> {
    pub front: &'a str,
    pub station: &'a str,
    pub connected: bool,
    pub heard: Tenths,
    pub runs: Option<Id>,
    pub stored: bool,
    pub goal: Option<Id>,
    pub state: State,
    pub lies: bool,
    /// What share of the benefit asked for it serves; none until it has said so.
    pub serves: Option<f32>,
    /// The key that sealed what it runs.
    pub sealed: Option<u32>,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Progress {
    pub id: Id,
    pub wave: usize,
    pub went: usize,
    pub runs: usize,
    pub refused: usize,
    pub missing: usize,
    pub stopped: Option<Stop>,
}
