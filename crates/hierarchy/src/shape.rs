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

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::fmt;

use arrayvec::ArrayVec;
use rustc_hash::FxHashMap;

pub use crate::order::MOST_SOURCES;
use crate::order::Order;

/// More members than any installation has named, times ten; reckoned at half a kilobyte each, 64 MB in all.
pub const MOST_MEMBERS: usize = 1 << 17;
/// Twelve bytes and a name each: some days of a large installation's restarts.
pub const MOST_DEAD: usize = 1 << 16;
/// Changes kept of one member: the newest, and what to fall back on.
pub const DEPTH: usize = 4;
pub const MOST_TIERS: u8 = 16;
pub const MOST_NAME: usize = 64;

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Standing {
    InService,
    Draining,
}

#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Told {
    /// Tier 0 is nearest to the clients, the archive stands in the highest and fills from nobody.
    Stands { tier: u8, standing: Standing, fills_from: Vec<Box<str>> },
    /// This incarnation, and any before it, has ended.
    Gone,
}

#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Change {
    pub member: Box<str>,
    pub incarnation: u64,
    pub number: u64,
    pub told: Told,
}

/// Why a change was not taken at all. It changes nothing else.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Refusal {
    Name,
    Itself,
    Tier(u8),
    Sources(usize),
    /// Another change of the same number was told; which of the two stands does not depend on their order.
    Contradicts,
    /// Its incarnation, or a later one, has ended.
    Dead {
        ended: u64,
    },
    /// Nothing is known of it, and the dead of this incarnation are forgotten.
    Forgotten {
        up_to: u64,
    },
    Room,
}

/// Why a change that was taken in is not in force.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Why {
    /// The members of the ring it would close, each filling from the next; the first is its own.
    Ring(Vec<Box<str>>),
    LowerTier {
        source: Box<str>,
        tier: u8,
        own: u8,
    },
    /// None of its sources is known and in service.
    NoSource(Vec<Box<str>>),
}

#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Aside {
    pub member: Box<str>,
    pub incarnation: u64,
    pub number: u64,
    pub why: Why,
}

/// What came of a change.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Heard {
    /// It stands, and is in force.
    Taken,
    /// It was known.
    Known,
    /// Newer word of the member is known already (of another incarnation: that one).
    Late {
        incarnation: u64,
        number: u64,
    },
    /// It stands, but can't be in force yet.
    Aside(Why),
    Refused(Refusal),
}

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

/// One member as it stands.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Member<'a> {
    pub name: &'a str,
    pub incarnation: u64,
    pub number: u64,
    pub tier: u8,
    pub standing: Standing,
    /// In force; empty for the archive, and for a member cut off from all its sources.
    pub fills_from: Vec<&'a str>,
    /// It told of no sources.
    pub root: bool,
    /// Its newest change is in force.
    pub newest: bool,
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

    /// While there is a ring, its greatest change gives way to the next word of its member. Every ring has an
    /// edge of a member in `changed`: the others were without one. That makes the result the same as if all
    /// members were looked at, and so independent of the order in which changes came.
    fn break_rings(&mut self, changed: &mut BTreeSet<u32>) {
        loop {
            let rings = self.rings(changed);
            if rings.is_empty() {
                return;
            }
            for ring in rings {
                let number = |&n: &u32| {
                    let s = &self.slots[n as usize];
                    (s.words[s.stands].stamp.1, &*s.name)
                };
                let Some(&gives_way) = ring.iter().max_by(|a, b| number(a).cmp(&number(b))) else { continue };
                self.order.cut(gives_way);
                changed.insert(gives_way);
                let next = self.first_usable(gives_way, self.slots[gives_way as usize].stands + 1);
                self.hang(gives_way, next);
                self.ringed.insert(gives_way);
            }
        }
    }

    /// The edges in force that lead on within a member's tier.
    fn level(&self, slot: u32) -> impl Iterator<Item = u32> + '_ {
        let s = &self.slots[slot as usize];
        let tier = s.tier();
        s.sources.iter().copied().filter(move |&x| self.slots[x as usize].tier() == tier)
    }

    /// Sets of members that reach one another, of those reached from the given ones (Tarjan, without recursion).
    fn rings(&self, from: &BTreeSet<u32>) -> Vec<Vec<u32>> {
        let mut rings = Vec::new();
        // Index and lowest link; a finished one has no place on the stack.
        let mut seen: FxHashMap<u32, (u32, u32, bool)> = FxHashMap::default();
        let (mut stack, mut path): (Vec<u32>, Vec<(u32, Vec<u32>)>) = Default::default();
        for &root in from {
            if seen.contains_key(&root) || !self.slots[root as usize].live() {
                continue;
            }
            let index = seen.len() as u32;
            seen.insert(root, (index, index, true));
            stack.push(root);
            path.push((root, self.level(root).collect()));
            while let Some((node, left)) = path.last_mut() {
                let node = *node;
                if let Some(next) = left.pop() {
                    match seen.get(&next).copied() {
                        None => {
                            let index = seen.len() as u32;
                            seen.insert(next, (index, index, true));
                            stack.push(next);
                            path.push((next, self.level(next).collect()));
                        }
                        Some((index, _, true)) => {
                            let own = seen.entry(node).or_default();
                            own.1 = own.1.min(index);
                        }
                        Some(_) => {}
                    }
                    continue;
                }
                path.pop();
                let (index, low, _) = seen[&node];
                if let Some((above, _)) = path.last() {
                    let above = seen.entry(*above).or_default();
                    above.1 = above.1.min(low);
                }
                if index == low {
                    let start = stack.iter().rposition(|&n| n == node).unwrap_or(0);
                    let ring = stack.split_off(start);
                    ring.iter().for_each(|n| seen.entry(*n).or_default().2 = false);
                    if ring.len() > 1 {
                        rings.push(ring);
                    }
                }
            }
        }
        rings
    }

    // ---- what stands

    /// Why a member's newest change is not in force.
    fn why(&self, slot: u32) -> Option<Why> {
        let s = &self.slots[slot as usize];
        let word = s.words.first().filter(|_| s.stands != 0)?;
        let name = |n: u32| self.slots[n as usize].name.clone();
        let serving = || word.sources.iter().copied().filter(|&x| self.slots[x as usize].serves());
        if let Some(low) = serving().find(|&x| self.slots[x as usize].tier() < s.tier()) {
            let tier = self.slots[low as usize].tier();
            return Some(Why::LowerTier { source: name(low), tier, own: s.tier() });
        }
        if serving().next().is_none() {
            return Some(Why::NoSource(word.sources.iter().map(|&x| name(x)).collect()));
        }
        // What is in force closes it, or what others wish that gave way, too.
        let ring = self.way_round(slot, false).or_else(|| self.way_round(slot, true));
        Some(Why::Ring(ring.unwrap_or_else(|| vec![slot]).into_iter().map(name).collect()))
    }

    /// The shortest ring that a member's newest change would close, within its tier.
    fn way_round(&self, slot: u32, wishes: bool) -> Option<Vec<u32>> {
        let tier = self.slots[slot as usize].tier();
        let mut from: BTreeMap<u32, u32> = BTreeMap::new();
        let mut queue: VecDeque<u32> = [slot].into();
        while let Some(node) = queue.pop_front() {
            let n = &self.slots[node as usize];
            let wished = n.words.first().filter(|_| wishes || node == slot).map_or(&[][..], |w| &w.sources);
            let in_force = if node == slot { &[][..] } else { &n.sources };
            for &x in in_force.iter().chain(wished) {
                if x == slot {
                    let before = |at: &u32| from.get(at).copied();
                    let mut ring: Vec<u32> = std::iter::successors(Some(node), before).collect();
                    ring.reverse();
                    return Some(ring);
                }
                let s = &self.slots[x as usize];
                if s.serves() && s.tier() == tier && !from.contains_key(&x) {
                    from.insert(x, node);
                    queue.push_back(x);
                }
            }
        }
        None
    }

    /// Changes that stand but are not in force, by their members' names.
    pub fn asides(&self) -> Vec<Aside> {
        let mut asides: Vec<Aside> = self
            .aside
            .iter()
            .filter_map(|&slot| {
                let s = &self.slots[slot as usize];
                let (incarnation, number) = s.words.first()?.stamp;
                Some(Aside { member: s.name.clone(), incarnation, number, why: self.why(slot)? })
            })
            .collect();
        asides.sort_by(|a, b| a.member.cmp(&b.member));
        asides
    }

    fn view(&self, slot: u32) -> Option<Member<'_>> {
        let s = &self.slots[slot as usize];
        let newest = s.words.first()?;
        Some(Member {
            name: &s.name,
            incarnation: newest.stamp.0,
            number: newest.stamp.1,
            tier: newest.tier,
            standing: newest.standing,
            fills_from: s.sources.iter().map(|&x| &*self.slots[x as usize].name).collect(),
            root: newest.sources.is_empty(),
            newest: s.stands == 0,
        })
    }

    pub fn member(&self, name: &str) -> Option<Member<'_>> {
        self.view(*self.by_name.get(name)?)
    }

    /// All live members, the highest tier first, by name within it.
    pub fn members(&self) -> Vec<Member<'_>> {
        let mut all: Vec<_> = (0..self.slots.len() as u32).filter_map(|n| self.view(n)).collect();
        all.sort_by(|a, b| (b.tier, a.name).cmp(&(a.tier, b.name)));
        all
    }

    pub fn len(&self) -> usize {
        self.live
    }

    pub fn is_empty(&self) -> bool {
        self.live == 0
    }

    /// The least incarnation that a member of this name may start under now.
    pub fn free_incarnation(&self, name: &str) -> u64 {
        let ended = self.dead.get(name).map_or(0, |ended| ended.saturating_add(1));
        let forgotten = if self.floor > 0 { self.floor.saturating_add(1) } else { 0 };
        ended.max(forgotten)
    }

    /// Names held of the dead, and the incarnation up to which the dead are forgotten.
    pub fn dead(&self) -> (usize, u64) {
        (self.dead.len(), self.floor)
    }

    /// Slots in use, for members and for names that somebody mentions.
    pub fn names(&self) -> usize {
        self.by_name.len()
    }

    /// The most members that a fill can come through, the first and the last included: a fill that has come
    /// through more goes round a ring that this shape doesn't show. At least 1.
    pub fn depth(&self) -> usize {
        let mut depth: Vec<u32> = vec![0; self.slots.len()];
        let mut path: Vec<(u32, usize)> = Vec::new();
        for root in 0..self.slots.len() as u32 {
            path.push((root, 0));
            while let Some((node, at)) = path.pop() {
                let s = &self.slots[node as usize];
                if depth[node as usize] > 0 || !s.live() {
                    continue;
                }
                if let Some(&next) = s.sources.get(at) {
                    path.push((node, at + 1));
                    path.push((next, 0));
                } else {
                    depth[node as usize] =
                        1 + s.sources.iter().map(|&x| depth[x as usize]).max().unwrap_or(0);
                }
            }
        }
        depth.into_iter().max().unwrap_or(0).max(1) as usize
    }

    /// Live members whose fills can't end at a root, by name: one walk over all.
    pub fn cut_off(&self) -> Vec<&str> {
        // Of each slot whether it reaches one, once that is known; nothing in force leads round.
        let mut reaches: Vec<Option<bool>> = vec![None; self.slots.len()];
        let mut path: Vec<u32> = Vec::new();
        for start in 0..self.slots.len() as u32 {
            path.push(start);
            while let Some(&node) = path.last() {
                let s = &self.slots[node as usize];
                let root = s.serves() && s.words.first().is_some_and(|w| w.sources.is_empty());
                let unknown = s.sources.iter().copied().find(|&x| reaches[x as usize].is_none());
                match unknown.filter(|_| !root && reaches[node as usize].is_none()) {
                    Some(above) => path.push(above),
                    None => {
                        let above = s.sources.iter().any(|&x| reaches[x as usize] == Some(true));
                        reaches[node as usize].get_or_insert(root || above);
                        path.pop();
                    }
                }
            }
        }
        let cut = |(s, reaches): &(&Slot, &Option<bool>)| s.live() && **reaches != Some(true);
        let mut names: Vec<&str> =
            self.slots.iter().zip(&reaches).filter(cut).map(|(s, _)| &*s.name).collect();
        names.sort_unstable();
        names
    }

    /// Whether a fill that a member asks its sources for can end at a root.
    pub fn reaches_root(&self, name: &str) -> bool {
        self.member(name).is_some() && !self.cut_off().contains(&name)
    }

    /// All that is known, as changes: whoever hears them all ends with this shape.
    pub fn changes(&self) -> Vec<Change> {
        let mut all = Vec::new();
        for s in self.slots.iter().filter(|s| s.live()) {
            for w in &s.words {
                let fills_from = w.sources.iter().map(|&x| self.slots[x as usize].name.clone()).collect();
                let told = Told::Stands { tier: w.tier, standing: w.standing, fills_from };
                let (incarnation, number) = w.stamp;
                all.push(Change { member: s.name.clone(), incarnation, number, told });
            }
        }
        let ends = self.dead.iter().map(|(member, &incarnation)| Change {
            member: member.clone(),
            incarnation,
            number: 0,
            told: Told::Gone,
        });
        all.extend(ends);
        all.sort();
        all
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

impl fmt::Display for Refusal {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Refusal::Name => {
                write!(f, "a name that is not 1 to {MOST_NAME} letters, digits, '-', '_' or '.'")
            }
            Refusal::Itself => f.write_str("it fills from itself"),
            Refusal::Tier(tier) => write!(f, "tier {tier}: expected 0 to {}", MOST_TIERS - 1),
            Refusal::Sources(count) => write!(f, "{count} sources: expected {MOST_SOURCES} at the most"),
            Refusal::Contradicts => f.write_str("another change of the same incarnation and number was told"),
            Refusal::Dead { ended } => write!(f, "incarnation {ended} of it has ended"),
            Refusal::Forgotten { up_to } => {
                write!(f, "the dead up to incarnation {up_to} are forgotten: expected a later incarnation")
            }
            Refusal::Room => write!(f, "no room for more than {MOST_MEMBERS} members"),
        }
    }
}

impl fmt::Display for Why {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Why::Ring(ring) => {
                f.write_str("it would close a ring: ")?;
                ring.iter().try_for_each(|name| write!(f, "{name} -> "))?;
                f.write_str(ring.first().map_or("", |n| n))
            }
            Why::LowerTier { source, tier, own } => {
                write!(f, "its source {source} stands in tier {tier}, below its own tier {own}")
            }
            Why::NoSource(sources) => {
                write!(f, "none of its sources is known and in service: {}", sources.join(", "))
            }
        }
    }
}
