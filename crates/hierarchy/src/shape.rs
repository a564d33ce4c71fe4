//! Which members there are and from whom each fills, out of numbered changes.
//!
//! **What is merged.** A member is known by its name; each start of it is an incarnation, and each change it
//! tells has a number within that. A change says the member's tier, its standing and the list of sources it
//! fills from, whole: the newest stands, older ones are kept a few deep to fall back on. That an incarnation
//! has ended (`Told::Gone`) is final for it and all before it. So the shape is a function of the set of changes
//! heard, whatever their order and however often they came: see `in_force`.
//!
//! **What is in force.** Of a member's changes the newest that can be used. One can't be used while none of its
//! sources is known and in service, while a source stands in a lower tier than the member, or while it would
//! close a loop. Since no edge leads to a lower tier, all members of a ring stand in one tier, and only edges
//! within a tier can close one. Of a ring, the change with the greatest number gives way (of equal ones that of
//! the greatest name): where numbers come from one sequence that is the newest, else one that all fronts agree
//! on. Its member keeps what it told before. When what it waited for is heard, it is taken at once.
//!
//! **What is forgotten.** The dead are kept by name and incarnation, `MOST_DEAD` of them, those of the lowest
//! incarnations go first. From then on no unknown member of such an incarnation is taken in, so that late word
//! of the dead never brings them back; a live one that nobody had told of by then has to take a new incarnation.

mod rings;
mod types;
mod view;

use std::collections::BTreeSet;

use arrayvec::ArrayVec;
use rustc_hash::FxHashMap;

pub use crate::order::MOST_SOURCES;
use crate::order::Order;
pub use types::{Aside, Change, Heard, Member, Refusal, Standing, Told, Why};

/// More members than any installation has named, times ten; reckoned at half a kilobyte each, 64 MB in all.
pub const MOST_MEMBERS: usize = 1 << 17;
/// Twelve bytes and a name each: some days of a large installation's restarts.
pub const MOST_DEAD: usize = 1 << 16;
/// Changes kept of one member: the newest, and what to fall back on.
pub const DEPTH: usize = 4;
pub const MOST_TIERS: u8 = 16;
pub const MOST_NAME: usize = 64;

#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Kept {
    stamp: (u64, u64),
    tier: u8,
    standing: Standing,
    /// Slots of its sources, in the order told.
    sources: ArrayVec<u32, MOST_SOURCES>,
}

/// Whatever is named: a member, or a source that nobody has told of.
#[derive(Default)]
struct Slot {
    name: Box<str>,
    /// Newest first; empty where it is no live member.
    words: ArrayVec<Kept, DEPTH>,
    /// Which of the words is in force; as many as there are words where none is.
    stands: usize,
    /// The sources in force.
    sources: ArrayVec<u32, MOST_SOURCES>,
    /// Members that name it in any word kept, and how often.
    named_by: FxHashMap<u32, u32>,
}

impl Slot {
    fn live(&self) -> bool {
        !self.words.is_empty()
    }

    /// May be filled from.
    fn serves(&self) -> bool {
        self.words.first().is_some_and(|w| w.standing == Standing::InService)
    }

    fn tier(&self) -> u8 {
        self.words.first().map_or(0, |w| w.tier)
    }
}

#[derive(Default)]
pub struct Shape {
    slots: Vec<Slot>,
    free: Vec<u32>,
    by_name: FxHashMap<Box<str>, u32>,
    live: usize,
    order: Order,
    /// Members whose place in a ring keeps a word of theirs out of force.
    ringed: BTreeSet<u32>,
    /// Members whose newest word is not in force, for whatever reason.
    aside: BTreeSet<u32>,
    dead: FxHashMap<Box<str>, u64>,
    dead_by_age: BTreeSet<(u64, Box<str>)>,
    floor: u64,
    most_dead: usize,
    /// Grows with each change of what is in force.
    pub revision: u64,
}

impl Shape {
    pub fn new() -> Shape {
        Shape { most_dead: MOST_DEAD, ..Shape::default() }
    }

    /// With room for fewer of the dead.
    pub fn remembering(most_dead: usize) -> Shape {
        Shape { most_dead, ..Shape::default() }
    }

    // ---- what is told

    pub fn hear(&mut self, change: &Change) -> Heard {
        match self.take(change) {
            Ok(heard) => heard,
            Err(refusal) => Heard::Refused(refusal),
        }
    }

    fn take(&mut self, change: &Change) -> Result<Heard, Refusal> {
        let Change { member, incarnation, number, told } = change;
        check_name(member)?;
        let Told::Stands { tier, standing, fills_from } = told else {
            return Ok(self.end(member, *incarnation));
        };
        if *tier >= MOST_TIERS {
            return Err(Refusal::Tier(*tier));
        }
        if fills_from.len() > MOST_SOURCES {
            return Err(Refusal::Sources(fills_from.len()));
        }
        fills_from.iter().try_for_each(|s| check_name(s))?;
        if fills_from.contains(member) {
            return Err(Refusal::Itself);
        }
        if let Some(&ended) = self.dead.get(member).filter(|&&ended| *incarnation <= ended) {
            return Err(Refusal::Dead { ended });
        }
        let known = self.by_name.get(member).copied().filter(|&s| self.slots[s as usize].live());
        let older = |s: u32| self.slots[s as usize].words.first().is_some_and(|w| *incarnation < w.stamp.0);
        if known.is_none_or(older) && *incarnation <= self.floor {
            return Err(Refusal::Forgotten { up_to: self.floor });
        }
        if known.is_none() && self.live >= MOST_MEMBERS {
            return Err(Refusal::Room);
        }
        let stamp = (*incarnation, *number);
        let slot = self.slot(member);
        // A source named twice is one.
        let mut sources = ArrayVec::new();
        for source in fills_from {
            let at = self.slot(source);
            if !sources.contains(&at) {
                sources.push(at);
            }
        }
        let word = Kept { stamp, tier: *tier, standing: *standing, sources };
        // Before any other word is dropped: a name that both mention must not be given back in between.
        for &source in &word.sources {
            *self.slots[source as usize].named_by.entry(slot).or_default() += 1;
        }
        let words = &self.slots[slot as usize].words;
        let newest = words.first().map(|w| w.stamp);
        let at = words.iter().position(|w| w.stamp <= stamp).unwrap_or(words.len());
        let mut heard = Ok(Heard::Taken);
        if let Some(same) = words.get(at).filter(|w| w.stamp == stamp) {
            if *same == word {
                self.unname(slot, &word.sources);
                return Ok(Heard::Known);
            }
            // The greater stands: a choice, but the same for all who hear both.
            heard = Err(Refusal::Contradicts);
            if *same > word {
                self.unname(slot, &word.sources);
                return heard;
            }
            self.drop_word(slot, at);
        } else if at == DEPTH {
            self.unname(slot, &word.sources);
            return Ok(late(newest));
        } else if words.is_full() {
            self.drop_word(slot, DEPTH - 1);
        }
        let born = !self.slots[slot as usize].live();
        if born {
            self.live += 1;
            self.order.open(slot);
        }
        let looks = |s: &Slot| (s.serves(), s.tier());
        let before = looks(&self.slots[slot as usize]);
        self.slots[slot as usize].words.insert(at, word);
        let seen = before != looks(&self.slots[slot as usize]);
        self.settle(slot, born || seen);
        heard?;
        if at > 0 {
            return Ok(late(newest));
        }
        Ok(self.why(slot).map_or(Heard::Taken, Heard::Aside))
    }

    /// An incarnation has ended.
    fn end(&mut self, member: &str, incarnation: u64) -> Heard {
        let ended = self.dead.get(member).copied();
        if ended.is_some_and(|ended| incarnation <= ended) || ended.is_none() && incarnation <= self.floor {
            let known = self.by_name.get(member).map(|&s| &self.slots[s as usize]);
            // A live one may be older than what is forgotten; its end must still be heard.
            if !known.is_some_and(|s| s.words.iter().any(|w| w.stamp.0 <= incarnation)) {
                return Heard::Known;
            }
        }
        if let Some(old) = ended {
            self.dead_by_age.remove(&(old, member.into()));
        }
        self.dead.insert(member.into(), incarnation);
        self.dead_by_age.insert((incarnation, member.into()));
        while self.dead.len() > self.most_dead
            && let Some((age, name)) = self.dead_by_age.pop_first()
        {
            self.dead.remove(&name);
            self.floor = self.floor.max(age);
        }
        let Some(&slot) = self.by_name.get(member) else { return Heard::Taken };
        let was = self.slots[slot as usize].live();
        while self.slots[slot as usize].words.last().is_some_and(|w| w.stamp.0 <= incarnation) {
            let last = self.slots[slot as usize].words.len() - 1;
            self.drop_word(slot, last);
        }
        if was {
            if !self.slots[slot as usize].live() {
                self.live -= 1;
            }
            self.settle(slot, true);
            self.tidy(slot);
        }
        Heard::Taken
    }

    // ---- names and slots

    fn slot(&mut self, name: &str) -> u32 {
        if let Some(&slot) = self.by_name.get(name) {
            return slot;
        }
        let new = Slot { name: name.into(), ..Slot::default() };
        let slot = match self.free.pop() {
            Some(slot) => {
                self.slots[slot as usize] = new;
                slot
            }
            None => {
                self.slots.push(new);
                (self.slots.len() - 1) as u32
            }
        };
        self.order.open(slot);
        self.by_name.insert(name.into(), slot);
        slot
    }

    /// Gives a slot back that is neither a member nor named by one.
    fn tidy(&mut self, slot: u32) {
        let s = &self.slots[slot as usize];
        if !s.live() && s.named_by.is_empty() && self.by_name.remove(&s.name).is_some() {
            self.slots[slot as usize] = Slot::default();
            self.free.push(slot);
        }
    }

    /// A member names these no more in a word that was dropped, or never taken.
    fn unname(&mut self, slot: u32, sources: &[u32]) {
        for &source in sources {
            let named_by = &mut self.slots[source as usize].named_by;
            if let Some(count) = named_by.get_mut(&slot) {
                *count -= 1;
                if *count == 0 {
                    named_by.remove(&slot);
                }
            }
            self.tidy(source);
        }
    }

    fn drop_word(&mut self, slot: u32, at: usize) {
        let word = self.slots[slot as usize].words.remove(at);
        self.unname(slot, &word.sources);
    }

    // ---- what is in force

    /// Whether a word could be used if no loop stood in the way.
    fn usable(&self, own: u8, word: &Kept) -> bool {
        let mut served = word.sources.is_empty();
        for source in word.sources.iter().map(|&s| &self.slots[s as usize]).filter(|s| s.serves()) {
            if source.tier() < own {
                return false;
            }
            served = true;
        }
        served
    }

    /// The first word from `from` on that can be used, loops aside.
    fn first_usable(&self, slot: u32, from: usize) -> usize {
        let s = &self.slots[slot as usize];
        let usable = |&n: &usize| self.usable(s.tier(), &s.words[n]);
        (from..s.words.len()).find(usable).unwrap_or(s.words.len())
    }

    /// Takes the edges of a member's word in force, as they are now, without a look at loops.
    fn hang(&mut self, slot: u32, stands: usize) {
        let s = &self.slots[slot as usize];
        let sources = s.words.get(stands).map(|w| {
            let serving = w.sources.iter().copied().filter(|&x| self.slots[x as usize].serves());
            serving.collect::<ArrayVec<u32, MOST_SOURCES>>()
        });
        let s = &mut self.slots[slot as usize];
        let sources = sources.unwrap_or_default();
        if s.sources != sources || s.stands != stands {
            self.revision += 1;
        }
        (s.stands, s.sources) = (stands, sources);
        if s.live() && s.stands != 0 {
            self.aside.insert(slot);
        } else {
            self.aside.remove(&slot);
        }
    }

    /// Puts a member's edges within its tier into the order; false where they close a loop.
    fn order_edges(&mut self, slot: u32) -> bool {
        self.order.cut(slot);
        let s = &self.slots[slot as usize];
        let tier = s.tier();
        let level = s.sources.iter().copied().filter(|&x| self.slots[x as usize].tier() == tier);
        for source in level.collect::<ArrayVec<u32, MOST_SOURCES>>() {
            if self.order.add(slot, source).is_err() {
                self.order.cut(slot);
                return false;
            }
        }
        true
    }

    /// Brings into force what a change of one member asks for. `seen`: others that name it are concerned.
    fn settle(&mut self, slot: u32, seen: bool) {
        let mut changed = BTreeSet::from([slot]);
        if seen {
            changed.extend(self.slots[slot as usize].named_by.keys());
        }
        // Rings may be undone by it, so what gave way in one begins again.
        let ringed = std::mem::take(&mut self.ringed);
        let mut sound = ringed.is_empty();
        changed.extend(ringed);
        changed.iter().for_each(|&c| self.order.cut(c));
        for &c in &changed {
            let stands = self.first_usable(c, 0);
            self.hang(c, stands);
        }
        if sound {
            sound = changed.iter().all(|&c| self.order_edges(c));
        }
        if !sound {
            changed.iter().for_each(|&c| self.order.cut(c));
            self.break_rings(&mut changed);
            for &c in &changed {
                let fits = self.order_edges(c);
                debug_assert!(fits, "rings were broken");
            }
        }
    }
}

fn late(newest: Option<(u64, u64)>) -> Heard {
    let (incarnation, number) = newest.unwrap_or_default();
    Heard::Late { incarnation, number }
}

/// Names stand in headers, logs and files: letters, digits and a few marks that mean nothing there.
fn check_name(name: &str) -> Result<(), Refusal> {
    let plain = |b: u8| b.is_ascii_alphanumeric() || matches!(b, b'-' | b'_' | b'.');
    let good = !name.is_empty() && name.len() <= MOST_NAME && name.bytes().all(plain);
    if good { Ok(()) } else { Err(Refusal::Name) }
}
