//! Rollouts that overlap and are judged by evidence: each change is tried on some fronts while others, on what is proven,
//! are the control group; what proves harmful is taken out alone, what proves harmless goes on to everyone.
//!
//! A *change* is what one publication brought: the content before it and after it. Changes wait in a queue and are tried in
//! batches. A *batch* goes through two experiments: **canary**, with an arm of a few fronts for each change alone and one
//! for all of them together; then **wide**, all of them together on a share of the fronts. Then its content is *proven*: everyone
//! is to have it, and a change is *in force* once every connected front has confirmed a content that it is in. While
//! one batch is in its wide experiment the next is in its canary experiment, on fronts that have the first already:
//! so nothing that is not proven comes to more than that share.
//!
//! A content gets a number of its own when it is made, and a later one when a front that runs a later number has to come back
//! to it: no front is ever offered a lower number than it runs. Work of an event is for the front that it is about;
//! only where an experiment begins or ends, all fronts are looked at.

mod batch;
mod changes;
mod choose;
mod contents;
mod events;
mod experiment;
mod members;
mod saved;
mod take_out;
mod types;
mod wide;

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::sync::Arc;

use rustc_hash::FxHashMap;

pub use types::*;

use crate::delta::Delta;
use crate::service::{Line, Version};
use crate::{Id, Ticks};
use batch::Batch;
use contents::{Contents, Key};
use members::Member;

/// What is to be done about a front, the store or the people.
#[derive(Clone, Debug)]
pub(crate) enum Step {
    /// It is to be kept and stored.
    Keep(Version),
    /// What everyone is to have has this number now.
    Base(Option<u64>),
    /// Its goal may be another than it was.
    Offer(usize),
    /// It is to report this often.
    Pace(usize, Ticks),
    Tell(Line),
    Wake(Ticks),
}

#[derive(Clone, Debug)]
struct Change {
    id: Id,
    note: Box<str>,
    before: Arc<[u8]>,
    after: Arc<[u8]>,
    /// From after it to before it.
    undo: Delta,
    state: ChangeState,
    /// Tried in a batch of its own: together with others it could not be told who does harm.
    alone: bool,
    unproven: bool,
    /// The head before it.
    previous: Option<Key>,
    /// Observed until then, once it is in force.
    watched_until: Option<Ticks>,
}

/// A proven batch that not all connected fronts have confirmed yet.
#[derive(Clone, Debug)]
struct Spread {
    lineage: u64,
    changes: Vec<u64>,
    /// Not told before: found in the store at a start, when nobody was connected yet.
    not_before: Ticks,
}

#[derive(Clone, Debug)]
pub(crate) struct Trials {
    rules: TrialRules,
    /// The tolerated drop of the answered share, and the tolerated share of refusals.
    drop: f64,
    refused: f64,
    contents: Contents,
    /// The latest batch's; see `Content::lineage`.
    lineage: u64,
    /// Of what was found in the store.
    restored: u64,
    proven: Option<Key>,
    head: Option<Key>,
    /// All that are not settled, by their numbers.
    changes: BTreeMap<u64, Change>,
    queue: BTreeSet<u64>,
    canary: Option<Batch>,
    wide: Option<Batch>,
    /// A batch waits until then for fronts to be known by their long run.
    known_by: Option<Ticks>,
    spreads: VecDeque<Spread>,
    settled: VecDeque<ChangeRow>,
    members: Vec<Member>,
    stations: FxHashMap<Box<str>, u32>,
    /// Connected fronts by the lineage of what they run.
    lineages: BTreeMap<u64, usize>,
    steps: Vec<Step>,
    /// What is stored is out of date.
    dirty: bool,
}

/// Changes that are tried in one batch, at most: nine arms with the combined one, of a few fronts each.
const MOST_BATCH: usize = 8;
/// Of what has passed its trials a few fronts may turn it down, for what is theirs alone: they are named, and go on
/// with what they have.
const MOST_REFUSED_EVERYWHERE: f64 = 0.01;
/// Settled changes that people can still ask for.
const MOST_SETTLED: usize = 1_000;

impl Trials {
    pub(crate) fn new(rules: TrialRules, drop: f64, refused: f64, epoch: u64, newest: u64) -> Trials {
        Trials {
            rules,
            drop,
            refused,
            contents: Contents::new(epoch, newest),
            lineage: 0,
            restored: 0,
            proven: None,
            head: None,
            changes: BTreeMap::new(),
            queue: BTreeSet::new(),
            canary: None,
            wide: None,
            known_by: None,
            spreads: VecDeque::new(),
            settled: VecDeque::new(),
            members: Vec::new(),
            stations: FxHashMap::default(),
            lineages: BTreeMap::new(),
            steps: Vec::new(),
            dirty: false,
        }
    }

    /// What a front is to have now.
    pub(crate) fn goal(&self, at: usize) -> Option<Id> {
        let place = self.members.get(at).and_then(|m| m.place);
        place.or(self.proven).and_then(|key| self.contents.id(key))
    }

    /// Whether that was found in the store, which may be an older copy.
    pub(crate) fn goal_is_old(&self, at: usize) -> bool {
        let place = self.members.get(at).and_then(|m| m.place);
        place.or(self.proven).is_some_and(|key| self.contents.lineage(key) <= self.restored)
    }

    /// Whether a change can still be taken out.
    pub(crate) fn is_open(&self, number: u64) -> bool {
        self.changes.contains_key(&number)
    }

    /// A content under the number that it was offered by.
    pub(crate) fn content(&self, id: &Id) -> Option<Arc<[u8]>> {
        let content = self.contents.by_number(id.number)?;
        let same = id.epoch == self.contents.epoch && id.hash == content.version.id.hash;
        same.then(|| content.version.content.clone())
    }

    /// A content that was given out lately, by its hash: a base for deltas.
    pub(crate) fn base(&self, hash: &[u8; 32]) -> Option<Arc<[u8]>> {
        self.contents.by_hash(hash).map(|c| c.version.content.clone())
    }

    /// Whether this service may have given out that number: arms' contents are not stored.
    pub(crate) fn given_out(&self, number: u64) -> bool {
        number <= self.contents.reserved
    }

    /// The number of the content with all changes that are not taken out.
    pub(crate) fn head(&self) -> u64 {
        self.head.and_then(|key| self.contents.id(key)).map_or(0, |id| id.number)
    }

    /// Whether a stored version is still needed: for a restart, or as what everyone has.
    pub(crate) fn needs(&self, number: u64) -> bool {
        let number_of = |key: Option<Key>| key.and_then(|k| self.contents.id(k)).map(|id| id.number);
        self.changes.contains_key(&number)
            || number_of(self.proven) == Some(number)
            || number_of(self.head) == Some(number)
    }

    /// The steps since the last time, and whether what is stored has changed.
    pub(crate) fn take_steps(&mut self) -> (Vec<Step>, bool) {
        if self.contents.reserve() {
            self.dirty = true;
        }
        (std::mem::take(&mut self.steps), std::mem::take(&mut self.dirty))
    }

    /// Changes, the newest first.
    pub(crate) fn rows(&self, most: usize) -> Vec<ChangeRow> {
        let row = |(&number, c): (&u64, &Change)| ChangeRow {
            number,
            note: c.note.clone(),
            state: c.state.clone(),
        };
        let mut rows: Vec<ChangeRow> =
            self.changes.iter().map(row).chain(self.settled.iter().cloned()).collect();
        rows.sort_by_key(|r| std::cmp::Reverse(r.number));
        rows.truncate(most);
        rows
    }

    fn tell(&mut self, line: Line) {
        self.steps.push(Step::Tell(line));
    }

    fn settle(&mut self, row: ChangeRow) {
        if self.settled.len() == MOST_SETTLED {
            self.settled.pop_front();
        }
        self.settled.push_back(row);
        self.dirty = true;
    }

    fn next_lineage(&mut self) -> u64 {
        self.lineage += 1;
        self.lineage
    }
}
