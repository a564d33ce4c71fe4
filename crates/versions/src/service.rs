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
mod evidence;
mod fronts;
mod status;
mod types;
mod waves;

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::sync::Arc;

pub use crate::trial::{
    ChangeRow, ChangeState, Harm, RolloutMode, SavedChange, SavedTrials, Stage, ThinTraffic, TrialRules,
};
pub use ask::{Answer, Ask, Denied, Filter, Past, Role, Row, Totals};
use rustc_hash::FxHashMap;
pub use types::{Do, Found, Line, NotPublished, Progress, Rules, Saved, State, Status, Stop, Version};

use crate::delta;
use crate::message::ToFront;
use crate::seal::Keys;
use crate::trial::Trials;
use crate::{Id, Reason, Ticks};

pub type Conn = u64;

#[derive(Clone, Debug)]
struct Front {
    name: Box<str>,
    station: Box<str>,
    rank: u64,
    conn: Option<Conn>,
    heard: Ticks,
    runs: Option<Id>,
    stored: bool,
    offered: Option<(Id, Ticks)>,
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
    since: Ticks,
    /// Since when all of the wave have answered.
    answered: Option<Ticks>,
    tally: Tally,
    canaries: BTreeSet<Box<str>>,
    stopped: Option<Stop>,
    /// Since when the service of those it went to has been too low.
    falling: Option<Ticks>,
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
    due: VecDeque<(Ticks, usize, Conn)>,
    /// Offers that are to be answered by a time.
    awaited: VecDeque<(Ticks, usize, Id)>,
    /// When the next front may come in, and who was told when.
    next_place: f64,
    places: FxHashMap<Box<str>, Ticks>,
    superseded: Option<u64>,
    /// Until when its store may be an older copy, of which it would hear.
    listens: Option<Ticks>,
    /// The first number that was published since its start.
    first: u64,
    /// The earliest time asked for that has not come: there is one timer, however much waits.
    wakes: Option<Ticks>,
    /// Deltas made lately, by what they lead from and to.
    deltas: VecDeque<Made>,
    /// The sum of what all fronts serve that have said so, and their count.
    serves: (f64, usize),
    /// Where rollouts are judged by evidence: all about them.
    trials: Option<Trials>,
    /// Numbers up to this were given out by a service that judged by evidence, whatever is kept of them.
    spent: u64,
}

fn rank(name: &str) -> u64 {
    let hash = blake3::hash(name.as_bytes());
    u64::from_le_bytes(*hash.as_bytes().first_chunk::<8>().unwrap_or(&[0; 8]))
}

/// Deltas kept: two publications back, for those who missed one.
const MOST_DELTAS: usize = 8;
/// ... and where trials overlap: two batches of nine arms, each from what is proven and from the one before, and back.
const MOST_DELTAS_OF_TRIALS: usize = 64;

impl Service {
    /// `found.epoch` 0: there was no store, and a new epoch is opened.
    pub fn start(now: Ticks, rules: Rules, keys: Keys, found: Found, out: &mut Vec<Do>) -> Service {
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
            trials: None,
            spent: found.trials.as_ref().filter(|t| t.epoch == found.epoch).map_or(0, |t| t.reserved),
        };
        if let RolloutMode::Evidence(_) = service.rules.rollout {
            service.start_trials(now, found.rollout, found.trials);
        } else {
            service.go_on(now, found.rollout);
        }
        if fresh {
            service.store_state(out);
        }
        service.drain(now, out);
        service.wake(now + service.rules.alive, out);
        listens.into_iter().for_each(|at| service.wake(at, out));
        service
    }

    fn go_on(&mut self, now: Ticks, saved: Option<Saved>) {
        self.rollout = saved.map(|saved| Rollout {
            id: saved.id,
            wave: saved.wave,
            since: now,
            answered: None,
            tally: Tally::default(),
            canaries: saved.canaries,
            stopped: saved.stopped,
            falling: None,
        });
    }

    pub fn epoch(&self) -> u64 {
        self.epoch
    }

    /// The last number that was published; where rollouts are judged by evidence, that of the content with all changes.
    pub fn last(&self) -> u64 {
        match &self.trials {
            Some(trials) => trials.head(),
            None => self.versions.last_key_value().map_or(0, |v| *v.0).max(self.spent),
        }
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

    fn wake(&mut self, at: Ticks, out: &mut Vec<Do>) {
        if self.wakes.is_none_or(|w| at < w) {
            self.wakes = Some(at);
            out.push(Do::Wake(at));
        }
    }

    pub fn due(&mut self, now: Ticks, out: &mut Vec<Do>) {
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
        self.trials_due(now, out);
        self.look(now, out);
        self.wake(now + self.rules.alive / 4, out);
        self.listens.into_iter().for_each(|at| self.wake(at, out));
    }
}
