//! Overlapping rollouts that are judged by evidence: each change is tried on some fronts while others, on the
//! proven content, are the control group. A harmful change is removed alone; a harmless one is rolled out to
//! all fronts.
//!
//! A *change* is what one publication modified: the content before it and after it. Changes wait in a queue and are
//! tried in batches. A *batch* goes through two experiments: **canary**, with an arm of a few fronts for each change
//! alone and one arm for all changes combined; then **wide**, all changes combined on a share of the fronts. After that
//! the batch's content is *proven*: all fronts are to run it. A change is *in force* once every connected front has
//! confirmed a content that includes it. While one batch is in its wide experiment, the next one is in its canary
//! experiment on fronts that already run the first, so that unproven changes never reach more than that share.
//!
//! Each content gets its own number when it is created, and a later one when a front that runs a later number
//! has to return to it: no front is ever offered a lower number than it runs. The cost of an event is limited
//! to the front that it is about; all fronts are visited only when an experiment begins or ends.

mod batch;
mod changes;
mod choose;
mod contents;
mod events;
mod experiment;
mod members;
mod removal;
mod saved;
mod types;
mod wide;

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::sync::Arc;

use rustc_hash::FxHashMap;

pub use types::*;

use crate::delta::Delta;
use crate::service::{LogEvent, Version};
use crate::{Ticks, VersionId};
use batch::Batch;
use contents::{ContentKey, Contents};
use members::Member;

/// An action for the service to carry out.
#[derive(Clone, Debug)]
pub(crate) enum Effect {
    /// Store this version.
    Store(Version),
    /// The content that all fronts are to run now has this number.
    SetBase(Option<u64>),
    /// Offer this front its target, which may have changed.
    Offer(usize),
    /// Request reports from this front at this interval.
    SetReportInterval(usize, Ticks),
    Log(LogEvent),
    SetTimer(Ticks),
}

#[derive(Clone, Debug)]
struct Change {
    id: VersionId,
    note: Box<str>,
    before: Arc<[u8]>,
    after: Arc<[u8]>,
    /// Delta from `after` to `before`.
    undo: Delta,
    state: ChangeState,
    /// To be tried in a batch without others: in a batch with others it was not clear which one is harmful.
    try_alone: bool,
    unproven: bool,
    /// The head before this change was published.
    previous: Option<ContentKey>,
    /// How long it is observed after it has come into force.
    watched_until: Option<Ticks>,
}

/// A proven batch that not all connected fronts have confirmed yet.
#[derive(Clone, Debug)]
struct Propagation {
    generation: u64,
    changes: Vec<u64>,
    /// Not reported as in force before this time: the batch was restored from the store, and fronts must have
    /// time to connect.
    log_from: Ticks,
}

#[derive(Clone, Debug)]
pub(crate) struct Trials {
    rules: TrialRules,
    /// The tolerated drop of the answered share, and the tolerated share of rejections.
    tolerated_drop: f64,
    max_rejected_share: f64,
    contents: Contents,
    /// Generation of the latest batch; see `Content::generation`.
    generation: u64,
    /// Generation of the content that was restored from the store.
    restored_generation: u64,
    proven: Option<ContentKey>,
    head: Option<ContentKey>,
    /// All unsettled changes by number.
    changes: BTreeMap<u64, Change>,
    queue: BTreeSet<u64>,
    canary: Option<Batch>,
    wide: Option<Batch>,
    /// Until when the next batch waits for enough fronts to have a baseline.
    baseline_deadline: Option<Ticks>,
    propagations: VecDeque<Propagation>,
    settled: VecDeque<ChangeRow>,
    members: Vec<Member>,
    stations: FxHashMap<Box<str>, u32>,
    /// Number of connected fronts by the generation of their running content.
    generations: BTreeMap<u64, usize>,
    effects: Vec<Effect>,
    /// The stored state is stale.
    dirty: bool,
}

/// Limit of changes in one batch: nine arms including the combined one, of a few fronts each.
const MAX_BATCH: usize = 8;
/// Share of the fronts that may reject a proven content for reasons of their own: they are logged and keep
/// running what they have.
const MAX_REJECTED_SHARE_EVERYWHERE: f64 = 0.01;
/// Settled changes kept for listing.
const MAX_SETTLED: usize = 1_000;

impl Trials {
    pub(crate) fn new(
        rules: TrialRules,
        tolerated_drop: f64,
        max_rejected_share: f64,
        epoch: u64,
        newest: u64,
    ) -> Trials {
        Trials {
            rules,
            tolerated_drop,
            max_rejected_share,
            contents: Contents::new(epoch, newest),
            generation: 0,
            restored_generation: 0,
            proven: None,
            head: None,
            changes: BTreeMap::new(),
            queue: BTreeSet::new(),
            canary: None,
            wide: None,
            baseline_deadline: None,
            propagations: VecDeque::new(),
            settled: VecDeque::new(),
            members: Vec::new(),
            stations: FxHashMap::default(),
            generations: BTreeMap::new(),
            effects: Vec::new(),
            dirty: false,
        }
    }

    /// The version that a front is to run now.
    pub(crate) fn target(&self, index: usize) -> Option<VersionId> {
        let assigned = self.members.get(index).and_then(|m| m.assigned);
        assigned.or(self.proven).and_then(|key| self.contents.id(key))
    }

    /// Whether that version was restored from the store, which may be an older copy.
    pub(crate) fn target_is_restored(&self, index: usize) -> bool {
        let assigned = self.members.get(index).and_then(|m| m.assigned);
        assigned.or(self.proven).is_some_and(|key| self.contents.generation(key) <= self.restored_generation)
    }

    /// Whether a change is unsettled and can still be removed.
    pub(crate) fn is_unsettled(&self, number: u64) -> bool {
        self.changes.contains_key(&number)
    }

    /// The content of a version that was offered under this id.
    pub(crate) fn content(&self, id: &VersionId) -> Option<Arc<[u8]>> {
        let content = self.contents.by_number(id.number)?;
        let same = id.epoch == self.contents.epoch && id.hash == content.version.id.hash;
        same.then(|| content.version.content.clone())
    }

    /// A recent content by its hash, as a base for deltas.
    pub(crate) fn base(&self, hash: &[u8; 32]) -> Option<Arc<[u8]>> {
        self.contents.by_hash(hash).map(|c| c.version.content.clone())
    }

    /// Whether this service may have issued that number: contents of arms are not stored.
    pub(crate) fn may_have_issued(&self, number: u64) -> bool {
        number <= self.contents.reserved
    }

    /// The number of the content with all changes that were not removed.
    pub(crate) fn head(&self) -> u64 {
        self.head.and_then(|key| self.contents.id(key)).map_or(0, |id| id.number)
    }

    /// Whether a stored version is still needed, for a restart or as the version for all fronts.
    pub(crate) fn is_needed(&self, number: u64) -> bool {
        let number_of = |key: Option<ContentKey>| key.and_then(|k| self.contents.id(k)).map(|id| id.number);
        self.changes.contains_key(&number)
            || number_of(self.proven) == Some(number)
            || number_of(self.head) == Some(number)
    }

    /// The effects since the last call, and whether the stored state is stale.
    pub(crate) fn take_effects(&mut self) -> (Vec<Effect>, bool) {
        if self.contents.reserve() {
            self.dirty = true;
        }
        (std::mem::take(&mut self.effects), std::mem::take(&mut self.dirty))
    }

    /// Changes, newest first.
    pub(crate) fn rows(&self, max: usize) -> Vec<ChangeRow> {
        let row = |(&number, c): (&u64, &Change)| ChangeRow {
            number,
            note: c.note.clone(),
            state: c.state.clone(),
        };
        let mut rows: Vec<ChangeRow> =
            self.changes.iter().map(row).chain(self.settled.iter().cloned()).collect();
        rows.sort_by_key(|r| std::cmp::Reverse(r.number));
        rows.truncate(max);
        rows
    }

    fn log(&mut self, event: LogEvent) {
        self.effects.push(Effect::Log(event));
    }

    fn settle(&mut self, row: ChangeRow) {
        if self.settled.len() == MAX_SETTLED {
            self.settled.pop_front();
        }
        self.settled.push_back(row);
        self.dirty = true;
    }

    fn next_generation(&mut self) -> u64 {
        self.generation += 1;
        self.generation
    }
}
