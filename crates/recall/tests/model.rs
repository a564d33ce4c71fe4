//! Every order of events of the smallest return, looked at one by one: two fronts, one part of one object, purges, deaths,
//! snapshots that are kept, lost, or put back from before, words that are lost and repeated, a clock that is set back. The
//! memory is [`Memory`] itself and the lives are those of `doorgrade-members`; what must hold is reckoned apart from them.

use std::hash::{Hash, Hasher};

use doorgrade::Ticks;
use doorgrade_members::MemberId;
use doorgrade_recall::{Fill, Memory, Purge, Rules, Snapshot, Source};
use foca::Identity;
use stateright::{Checker, Model, Property};

const S: Ticks = 10_000;
const START: Ticks = 1_000 * S;
const FRESH: Ticks = 8 * S;
const DONE: Ticks = 6 * S;

/// Faults of the shell that the search is to find, each by the property that stands for it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum Fault {
    None,
    /// A start reads its snapshot's parts without the purges beside them.
    PurgesLeftOut,
    /// What a neighbour says is taken as if the front had seen it.
    SecondHandFirst,
    /// A start takes its life from the clock alone.
    LifeByClock,
}

fn rules() -> Rules {
    Rules { fresh: vec![FRESH], purge_done: DONE, most: 100 }
}

fn at(n: usize) -> std::net::SocketAddrV4 {
    std::net::SocketAddrV4::new([10, 0, 0, n as u8 + 1].into(), 7_460)
}

fn id(n: usize, life: u64) -> MemberId {
    MemberId {
        name: format!("n{n}").into(),
        station: "s".into(),
        address: at(n),
        incarnation: life,
        renewals: 0,
    }
}

/// A front that runs.
#[derive(Clone)]
struct Runs {
    memory: Memory,
    id: MemberId,
    /// Whom it believes to be the other, and in which life.
    other: Option<MemberId>,
    /// For the check: what it has seen itself since its start, and purges that it knows of.
    saw: Option<Fill>,
    purges: Vec<Purge>,
}

#[derive(Clone, Debug, PartialEq, Eq)]
enum Word {
    /// To whom, from whom.
    Ask(usize, MemberId),
    Page(usize, MemberId, Vec<Fill>, Vec<Purge>),
}

#[derive(Clone, Copy, Debug, Hash, PartialEq, Eq)]
struct Left {
    fills: u8,
    purges: u8,
    deaths: u8,
    writes: u8,
    asks: u8,
    losses: u8,
    repeats: u8,
    ticks: u8,
    back: u8,
}

#[derive(Clone)]
struct World {
    now: Ticks,
    /// When the caches' copy was made, and all times at which one was.
    made: Vec<Ticks>,
    /// Purges told, and who has heard them.
    purges: Vec<(Purge, [bool; 2])>,
    fronts: [Option<Runs>; 2],
    /// The last snapshot, and the one before.
    disks: [[Option<Snapshot>; 2]; 2],
    words: Vec<Word>,
    left: Left,
    broken: Option<&'static str>,
    recalled: [bool; 3],
}

impl World {
    /// All of it in numbers, in an order of its own: two worlds that are the same have the same ones.
    fn numbers(&self) -> Vec<u64> {
        let mut all = vec![self.now];
        let list = |all: &mut Vec<u64>, some: &[u64]| {
            all.push(some.len() as u64);
            all.extend(some);
        };
        let fills = |f: &[Fill]| f.iter().flat_map(|f| [f.made, f.seen]).collect::<Vec<_>>();
        let told = |p: &[Purge]| p.iter().map(|p| p.at).collect::<Vec<_>>();
        list(&mut all, &self.made);
        let purges = self.purges.iter().flat_map(|(p, h)| [p.at, u64::from(h[0]), u64::from(h[1])]);
        list(&mut all, &purges.collect::<Vec<_>>());
        for front in &self.fronts {
            let Some(f) = front else {
                all.push(0);
                continue;
            };
            all.extend([
                1,
                f.id.incarnation,
                f.other.as_ref().map_or(0, |o| o.incarnation),
                f.saw.map_or(0, |s| s.made),
            ]);
            let known: Vec<_> = f.memory.known().flat_map(|(f, s)| [f.made, f.seen, s as u64]).collect();
            list(&mut all, &known);
            list(&mut all, &told(&f.memory.all(self.now).1));
            list(&mut all, &told(&f.purges));
        }
        for snapshot in self.disks.iter().flatten() {
            let Some(s) = snapshot else {
                all.push(0);
                continue;
            };
            all.extend([1, s.taken, s.life]);
            list(&mut all, &fills(&s.fills));
            list(&mut all, &told(&s.purges));
        }
        for word in &self.words {
            match word {
                Word::Ask(to, from) => all.extend([2, *to as u64, from.incarnation]),
                Word::Page(to, from, f, p) => {
                    all.extend([3, *to as u64, from.incarnation]);
                    list(&mut all, &fills(f));
                    list(&mut all, &told(p));
                }
            }
        }
        let l = &self.left;
        let left = [l.fills, l.purges, l.deaths, l.writes, l.asks, l.losses, l.repeats, l.ticks, l.back];
        all.extend(left.map(u64::from));
        all.extend(self.recalled.map(u64::from));
        all.push(u64::from(self.broken.is_some()));
        all
    }
}

impl std::fmt::Debug for World {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{:?} {:?}", self.numbers(), self.broken)
    }
}

impl Hash for World {
    fn hash<H: Hasher>(&self, state: &mut H) {
        self.numbers().hash(state);
    }
}

impl PartialEq for World {
    fn eq(&self, other: &World) -> bool {
        self.numbers() == other.numbers()
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum Disk {
    Kept,
    Before,
    Lost,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum Step {
    /// The caches' copy is renewed.
    Fill,
    /// A front is answered from it.
    See(usize),
    Purge,
    Hear(usize, usize),
    Write(usize),
    Die(usize),
    /// `back`: by a clock that is a minute back.
    Start(usize, Disk, bool),
    Ask(usize),
    Deliver(usize),
    Lose(usize),
    Repeat(usize),
    Tick,
}

struct Small(Left, Fault);

impl World {
    fn believe(front: &mut Runs, from: &MemberId) {
        // As the detection does: of two at one address the later life goes.
        if front.other.as_ref().is_none_or(|known| from.win_addr_conflict(known)) {
            front.other = Some(from.clone());
        }
    }

    /// What must hold of a front's memory, whatever led to it.
    fn check(&mut self, n: usize) {
        let now = self.now;
        let Some(front) = &self.fronts[n] else { return };
        let (fills, purges) = front.memory.all(now);
        let mut wrong = None;
        for fill in &fills {
            if fill.made + FRESH <= now || fill.made > now {
                wrong = Some("what is over, or to come, is believed");
            }
            if !self.made.contains(&fill.made) {
                wrong = Some("what nobody saw is believed");
            }
            if front.purges.iter().any(|p| fill.made < p.at) {
                wrong = Some("a copy older than a purge that it knew of is believed");
            }
        }
        if front.purges.iter().any(|p| p.at + DONE > now && !purges.contains(p)) {
            wrong = Some("a purge that it knew of is forgotten before it is done");
        }
        let seen = front.saw.filter(|s| s.made + FRESH > now && front.purges.iter().all(|p| s.made >= p.at));
        if seen.is_some_and(|s| !fills.iter().any(|f| f.made == s.made)) {
            wrong = Some("what it saw itself is overruled");
        }
        self.broken = self.broken.or(wrong);
    }

    fn start(&mut self, n: usize, disk: Disk, back: bool, fault: Fault) {
        let clock = if back { self.now - 60 * S } else { self.now };
        let snapshot = match disk {
            Disk::Kept => self.disks[n][0].clone(),
            Disk::Before => self.disks[n][1].clone(),
            Disk::Lost => None,
        };
        if disk == Disk::Lost {
            self.disks[n] = [None, None];
        }
        let mut memory = Memory::new(rules());
        let mut purges = Vec::new();
        let mut life = clock / 10;
        if let Some(snapshot) = &snapshot {
            if fault != Fault::LifeByClock {
                life = life.max(snapshot.life + 1);
            }
            // Memory goes by the clock that caches have: a start by one that is back reads nothing of the future.
            if snapshot.check(&format!("n{n}"), &rules(), clock).is_ok() {
                let told: &[Purge] = if fault == Fault::PurgesLeftOut { &[] } else { &snapshot.purges };
                let (fills, ..) = memory.hear(clock, Source::Snapshot, &snapshot.fills, told);
                self.recalled[0] |= !fills.is_empty();
                purges = snapshot.purges.clone();
            }
        }
        // Where the clock is back and nothing was written of the last life, it is taken for dead until it begins a later one.
        if snapshot.is_some_and(|s| life <= s.life) {
            self.broken = Some("a life that is no later than the one it knows of");
        }
        self.fronts[n] = Some(Runs { memory, id: id(n, life), other: None, saw: None, purges });
        self.check(n);
    }

    fn deliver(&mut self, word: Word, fault: Fault) {
        let now = self.now;
        let (Word::Ask(to, from) | Word::Page(to, from, ..)) = &word;
        let (to, from) = (*to, from.clone());
        let Some(front) = &mut self.fronts[to] else { return };
        let before = front.other.clone();
        World::believe(front, &from);
        let back = before.is_some_and(|b| {
            front.other.as_ref().is_none_or(|o| o.effective_incarnation() < b.effective_incarnation())
        });
        match word {
            Word::Ask(..) => {
                let (fills, purges) = front.memory.all(now);
                let page = Word::Page(1 - to, front.id.clone(), fills, purges);
                self.words.push(page);
            }
            Word::Page(_, _, fills, purges) => {
                if fault == Fault::SecondHandFirst {
                    purges.iter().for_each(|&p| front.memory.purged(now, p));
                    fills.iter().for_each(|&f| front.memory.saw(now, f));
                } else {
                    let (news, told, _) = front.memory.hear(now, Source::Neighbour, &fills, &purges);
                    self.recalled[1] |= !news.is_empty();
                    self.recalled[2] |= !told.is_empty();
                }
                front.purges.extend(purges.iter().filter(|p| p.at + DONE > now));
                front.purges.sort_by_key(|p| p.at);
                front.purges.dedup();
            }
        }
        if back {
            self.broken = Some("a life that is over is believed again");
        }
        self.check(to);
    }
}

impl Model for Small {
    type State = World;
    type Action = Step;

    fn init_states(&self) -> Vec<World> {
        let mut world = World {
            now: START,
            made: vec![START - S],
            purges: Vec::new(),
            fronts: [None, None],
            disks: Default::default(),
            words: Vec::new(),
            left: self.0,
            broken: None,
            recalled: [false; 3],
        };
        (0..2).for_each(|n| world.start(n, Disk::Lost, false, self.1));
        vec![world]
    }

    fn actions(&self, w: &World, steps: &mut Vec<Step>) {
        let left = &w.left;
        let mut may = |when: bool, step: Step| {
            if when {
                steps.push(step);
            }
        };
        may(left.fills > 0, Step::Fill);
        may(left.purges > 0, Step::Purge);
        may(left.ticks > 0, Step::Tick);
        for n in 0..2 {
            match &w.fronts[n] {
                Some(front) => {
                    let news = front.saw.map(|s| s.made) != w.made.last().copied();
                    may(news, Step::See(n));
                    may(left.writes > 0, Step::Write(n));
                    may(left.deaths > 0, Step::Die(n));
                    may(left.asks > 0, Step::Ask(n));
                    for (p, (_, heard)) in w.purges.iter().enumerate() {
                        may(!heard[n], Step::Hear(n, p));
                    }
                }
                None => {
                    may(true, Step::Start(n, Disk::Kept, false));
                    may(w.disks[n][1].is_some(), Step::Start(n, Disk::Before, false));
                    may(w.disks[n][0].is_some(), Step::Start(n, Disk::Lost, false));
                    may(left.back > 0, Step::Start(n, Disk::Kept, true));
                }
            }
        }
        for word in 0..w.words.len() {
            may(true, Step::Deliver(word));
            may(left.losses > 0, Step::Lose(word));
            may(left.repeats > 0 && w.words.len() < 3, Step::Repeat(word));
        }
    }

    fn next_state(&self, last: &World, step: Step) -> Option<World> {
        let mut w = last.clone();
        let now = w.now;
        match step {
            Step::Fill => {
                w.left.fills -= 1;
                w.made.push(now);
            }
            Step::See(n) => {
                let made = *w.made.last()?;
                let front = w.fronts[n].as_mut()?;
                // An access after a purge that this front was told of is never answered from an older copy.
                if front.purges.iter().all(|p| made >= p.at) {
                    let fill = Fill { offering: 0, object: 1, part: 0, group: 0, made, seen: now };
                    front.memory.saw(now, fill);
                    front.saw = Some(fill);
                }
                w.check(n);
            }
            Step::Purge => {
                w.left.purges -= 1;
                w.purges.push((Purge { object: Some(1), group: 0, at: now }, [false; 2]));
            }
            Step::Hear(n, p) => {
                let (purge, heard) = &mut w.purges[p];
                heard[n] = true;
                let (purge, front) = (*purge, w.fronts[n].as_mut()?);
                front.memory.purged(now, purge);
                if purge.at + DONE > now {
                    front.purges.push(purge);
                    front.purges.sort_by_key(|p| p.at);
                    front.purges.dedup();
                }
                w.check(n);
            }
            Step::Write(n) => {
                w.left.writes -= 1;
                let front = w.fronts[n].as_ref()?;
                let taken = Snapshot::take(&front.memory, &format!("n{n}"), front.id.incarnation, now);
                w.disks[n][1] = w.disks[n][0].replace(taken);
            }
            Step::Die(n) => {
                w.left.deaths -= 1;
                w.fronts[n] = None;
                // The feed tells it anew from what its configuration says, which is before all of this.
                w.purges.iter_mut().for_each(|p| p.1[n] = false);
            }
            Step::Start(n, disk, back) => {
                w.left.back -= u8::from(back);
                w.start(n, disk, back, self.1);
            }
            Step::Ask(n) => {
                w.left.asks -= 1;
                let own = w.fronts[n].as_ref()?.id.clone();
                w.words.push(Word::Ask(1 - n, own));
            }
            Step::Deliver(word) => {
                let word = w.words.remove(word);
                w.deliver(word, self.1);
            }
            Step::Lose(word) => {
                w.left.losses -= 1;
                w.words.remove(word);
            }
            Step::Repeat(word) => {
                w.left.repeats -= 1;
                let word = w.words[word].clone();
                w.words.push(word);
            }
            Step::Tick => {
                w.left.ticks -= 1;
                w.now += 3 * S;
                (0..2).for_each(|n| w.check(n));
            }
        }
        Some(w)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always("no rule is broken", |_, w: &World| w.broken.is_none()),
            Property::sometimes("a snapshot brings something", |_, w: &World| w.recalled[0]),
            Property::sometimes("a neighbour brings something", |_, w: &World| w.recalled[1]),
            Property::sometimes("a neighbour tells of a purge", |_, w: &World| w.recalled[2]),
        ]
    }
}

const LEFT: Left =
    Left { fills: 1, purges: 1, deaths: 1, writes: 2, asks: 1, losses: 0, repeats: 0, ticks: 2, back: 0 };

fn search(left: Left, fault: Fault, depth: usize) -> (usize, Option<&'static str>) {
    let checked = Small(left, fault).checker().threads(2).target_max_depth(depth).spawn_bfs().join();
    let broken = checked.discovery("no rule is broken").and_then(|p| p.last_state().broken);
    if fault == Fault::None {
        checked.assert_properties();
    }
    (checked.unique_state_count(), broken)
}

#[test]
fn in_whatever_order_a_front_dies_and_returns_it_believes_nothing_that_does_not_hold() {
    let (found, _) = search(LEFT, Fault::None, 9);
    assert!(found > 50_000, "{found} states: the search has become small");
}

#[test]
fn words_that_are_lost_and_repeated_and_a_clock_set_back_change_nothing_of_it() {
    let left =
        Left { losses: 1, repeats: 1, back: 1, deaths: 2, purges: 0, fills: 1, ticks: 1, writes: 1, ..LEFT };
    let (found, _) = search(Left { purges: 1, ..left }, Fault::None, 9);
    assert!(found > 20_000, "{found} states: the search has become small");
}

#[test]
fn a_planted_fault_of_each_kind_is_found() {
    for (fault, left, says) in [
        (Fault::PurgesLeftOut, LEFT, "purge that it knew of"),
        (Fault::SecondHandFirst, LEFT, "what it saw itself is overruled"),
        (Fault::LifeByClock, Left { back: 1, deaths: 2, ..LEFT }, "a life that is no later"),
    ] {
        let (_, broken) = search(left, fault, 9);
        assert!(broken.is_some_and(|b| b.contains(says)), "{fault:?}: {broken:?}");
    }
}
