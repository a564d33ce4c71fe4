//! Every order of events of the smallest restart, checked exhaustively: two fronts, one part of one object,
//! purges, crashes, snapshots that are kept, lost or replaced by older ones, messages that are lost and
//! duplicated, a clock that is set back. The memory is [`Memory`] itself, and identities are those of
//! `doorgrade-members`; the invariants are computed independently.

use std::hash::{Hash, Hasher};

use doorgrade::Ticks;
use doorgrade_members::MemberId;
use doorgrade_recall::{Fill, Memory, Purge, Rules, Snapshot, Source};
use foca::Identity;
use stateright::{Checker, Model, Property};

const SECOND: Ticks = 10_000;
const START_TIME: Ticks = 1_000 * SECOND;
const FRESH_TIME: Ticks = 8 * SECOND;
const PURGE_DONE: Ticks = 6 * SECOND;

/// Faults of the shell, each of which the search has to find by the violation of an invariant.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum Fault {
    None,
    /// A start restores its snapshot's fills without the purges.
    RestoresWithoutPurges,
    /// A neighbour's entries are taken as if the front had seen them itself.
    TrustsNeighbours,
    /// A start takes its incarnation from the clock alone.
    IncarnationFromClock,
}

fn rules() -> Rules {
    Rules { fresh_times: vec![FRESH_TIME], purge_done: PURGE_DONE, max_fills: 100 }
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

/// A front that is running.
#[derive(Clone)]
struct RunningFront {
    memory: Memory,
    id: MemberId,
    /// Which identity the other front has, as far as this one knows.
    other: Option<MemberId>,
    /// For the check: what the front has seen itself since its start, and the purges that it knows of.
    own_fill: Option<Fill>,
    purges: Vec<Purge>,
}

#[derive(Clone, Debug, PartialEq, Eq)]
enum Message {
    /// Receiver, sender.
    PageRequest(usize, MemberId),
    Page(usize, MemberId, Vec<Fill>, Vec<Purge>),
}

#[derive(Clone, Copy, Debug, Hash, PartialEq, Eq)]
struct Budget {
    fills: u8,
    purges: u8,
    crashes: u8,
    writes: u8,
    page_requests: u8,
    message_losses: u8,
    duplicates: u8,
    ticks: u8,
    clock_set_back: u8,
}

#[derive(Clone)]
struct World {
    now: Ticks,
    /// When the caches' current copy was made (the last one), and all earlier such times.
    fill_times: Vec<Ticks>,
    /// Purges, and which fronts have received them.
    purges: Vec<(Purge, [bool; 2])>,
    fronts: [Option<RunningFront>; 2],
    /// The latest snapshot, and the one before.
    disks: [[Option<Snapshot>; 2]; 2],
    messages: Vec<Message>,
    budget: Budget,
    violation: Option<&'static str>,
    restored: [bool; 3],
}

impl World {
    /// The whole state as numbers in a fixed order: equal for equal states.
    fn encode(&self) -> Vec<u64> {
        let mut all = vec![self.now];
        let list = |all: &mut Vec<u64>, some: &[u64]| {
            all.push(some.len() as u64);
            all.extend(some);
        };
        let fills = |f: &[Fill]| f.iter().flat_map(|f| [f.made_at, f.requested_at]).collect::<Vec<_>>();
        let purge_times = |p: &[Purge]| p.iter().map(|p| p.at).collect::<Vec<_>>();
        list(&mut all, &self.fill_times);
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
                f.own_fill.map_or(0, |s| s.made_at),
            ]);
            let known: Vec<_> =
                f.memory.entries().flat_map(|(f, s)| [f.made_at, f.requested_at, s as u64]).collect();
            list(&mut all, &known);
            list(&mut all, &purge_times(&f.memory.valid(self.now).1));
            list(&mut all, &purge_times(&f.purges));
        }
        for snapshot in self.disks.iter().flatten() {
            let Some(s) = snapshot else {
                all.push(0);
                continue;
            };
            all.extend([1, s.taken_at, s.incarnation]);
            list(&mut all, &fills(&s.fills));
            list(&mut all, &purge_times(&s.purges));
        }
        for message in &self.messages {
            match message {
                Message::PageRequest(to, from) => all.extend([2, *to as u64, from.incarnation]),
                Message::Page(to, from, f, p) => {
                    all.extend([3, *to as u64, from.incarnation]);
                    list(&mut all, &fills(f));
                    list(&mut all, &purge_times(p));
                }
            }
        }
        let l = &self.budget;
        let budget = [
            l.fills,
            l.purges,
            l.crashes,
            l.writes,
            l.page_requests,
            l.message_losses,
            l.duplicates,
            l.ticks,
            l.clock_set_back,
        ];
        all.extend(budget.map(u64::from));
        all.extend(self.restored.map(u64::from));
        all.push(u64::from(self.violation.is_some()));
        all
    }
}

impl std::fmt::Debug for World {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{:?} {:?}", self.encode(), self.violation)
    }
}

impl Hash for World {
    fn hash<H: Hasher>(&self, state: &mut H) {
        self.encode().hash(state);
    }
}

impl PartialEq for World {
    fn eq(&self, other: &World) -> bool {
        self.encode() == other.encode()
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum Disk {
    Kept,
    Older,
    Lost,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum Step {
    /// The caches' copy is refreshed.
    Fill,
    /// A front's request is answered from it.
    Answer(usize),
    Purge,
    DeliverPurge(usize, usize),
    WriteSnapshot(usize),
    Crash(usize),
    /// The flag: by a clock that is set back by a minute.
    Start(usize, Disk, bool),
    RequestPage(usize),
    DeliverMessage(usize),
    LoseMessage(usize),
    DuplicateMessage(usize),
    Tick,
}

struct SmallModel(Budget, Fault);

impl World {
    fn learn_peer(front: &mut RunningFront, from: &MemberId) {
        // As failure detection does: of two identities at one address, the later incarnation wins.
        if front.other.as_ref().is_none_or(|known| from.win_addr_conflict(known)) {
            front.other = Some(from.clone());
        }
    }

    /// Checks the invariants of a front's memory.
    fn check(&mut self, n: usize) {
        let now = self.now;
        let Some(front) = &self.fronts[n] else { return };
        let (fills, purges) = front.memory.valid(now);
        let mut violation = None;
        for fill in &fills {
            if fill.made_at + FRESH_TIME <= now || fill.made_at > now {
                violation = Some("an expired fill, or one from the future, is remembered");
            }
            if !self.fill_times.contains(&fill.made_at) {
                violation = Some("a fill that never happened is remembered");
            }
            if front.purges.iter().any(|p| fill.made_at < p.at) {
                violation = Some("a fill older than a known purge is remembered");
            }
        }
        if front.purges.iter().any(|p| p.at + PURGE_DONE > now && !purges.contains(p)) {
            violation = Some("a known purge is forgotten before it is done");
        }
        let seen = front
            .own_fill
            .filter(|s| s.made_at + FRESH_TIME > now && front.purges.iter().all(|p| s.made_at >= p.at));
        if seen.is_some_and(|s| !fills.iter().any(|f| f.made_at == s.made_at)) {
            violation = Some("a fill that the front saw itself is overruled");
        }
        self.violation = self.violation.or(violation);
    }

    fn start(&mut self, n: usize, disk: Disk, clock_set_back: bool, fault: Fault) {
        let clock = if clock_set_back { self.now - 60 * SECOND } else { self.now };
        let snapshot = match disk {
            Disk::Kept => self.disks[n][0].clone(),
            Disk::Older => self.disks[n][1].clone(),
            Disk::Lost => None,
        };
        if disk == Disk::Lost {
            self.disks[n] = [None, None];
        }
        let mut memory = Memory::new(rules());
        let mut purges = Vec::new();
        let mut life = clock / 10;
        if let Some(snapshot) = &snapshot {
            if fault != Fault::IncarnationFromClock {
                life = life.max(snapshot.incarnation + 1);
            }
            // Memory uses the shared clock: a start by a clock that is set back takes nothing from the
            // future.
            if snapshot.check(&format!("n{n}"), &rules(), clock).is_ok() {
                let restored_purges: &[Purge] =
                    if fault == Fault::RestoresWithoutPurges { &[] } else { &snapshot.purges };
                let (fills, ..) = memory.import(clock, Source::Snapshot, &snapshot.fills, restored_purges);
                self.restored[0] |= !fills.is_empty();
                purges = snapshot.purges.clone();
            }
        }
        // If the clock is set back and the last incarnation was not stored, the front counts as dead until it
        // takes a later incarnation.
        if snapshot.is_some_and(|s| life <= s.incarnation) {
            self.violation = Some("an incarnation that is not later than the last known one");
        }
        self.fronts[n] = Some(RunningFront { memory, id: id(n, life), other: None, own_fill: None, purges });
        self.check(n);
    }

    fn deliver(&mut self, message: Message, fault: Fault) {
        let now = self.now;
        let (Message::PageRequest(to, from) | Message::Page(to, from, ..)) = &message;
        let (to, from) = (*to, from.clone());
        let Some(front) = &mut self.fronts[to] else { return };
        let known_before = front.other.clone();
        World::learn_peer(front, &from);
        let regressed = known_before.is_some_and(|b| {
            front.other.as_ref().is_none_or(|o| o.effective_incarnation() < b.effective_incarnation())
        });
        match message {
            Message::PageRequest(..) => {
                let (fills, purges) = front.memory.valid(now);
                let page = Message::Page(1 - to, front.id.clone(), fills, purges);
                self.messages.push(page);
            }
            Message::Page(_, _, fills, purges) => {
                if fault == Fault::TrustsNeighbours {
                    purges.iter().for_each(|&p| front.memory.record_purge(now, p));
                    fills.iter().for_each(|&f| front.memory.record_fill(now, f));
                } else {
                    let (new_fills, new_purges, _) =
                        front.memory.import(now, Source::Neighbour, &fills, &purges);
                    self.restored[1] |= !new_fills.is_empty();
                    self.restored[2] |= !new_purges.is_empty();
                }
                front.purges.extend(purges.iter().filter(|p| p.at + PURGE_DONE > now));
                front.purges.sort_by_key(|p| p.at);
                front.purges.dedup();
            }
        }
        if regressed {
            self.violation = Some("a past incarnation is accepted again");
        }
        self.check(to);
    }
}

impl Model for SmallModel {
    type State = World;
    type Action = Step;

    fn init_states(&self) -> Vec<World> {
        let mut world = World {
            now: START_TIME,
            fill_times: vec![START_TIME - SECOND],
            purges: Vec::new(),
            fronts: [None, None],
            disks: Default::default(),
            messages: Vec::new(),
            budget: self.0,
            violation: None,
            restored: [false; 3],
        };
        (0..2).for_each(|n| world.start(n, Disk::Lost, false, self.1));
        vec![world]
    }

    fn actions(&self, w: &World, steps: &mut Vec<Step>) {
        let budget = &w.budget;
        let mut add = |possible: bool, step: Step| {
            if possible {
                steps.push(step);
            }
        };
        add(budget.fills > 0, Step::Fill);
        add(budget.purges > 0, Step::Purge);
        add(budget.ticks > 0, Step::Tick);
        for n in 0..2 {
            match &w.fronts[n] {
                Some(front) => {
                    let has_news = front.own_fill.map(|s| s.made_at) != w.fill_times.last().copied();
                    add(has_news, Step::Answer(n));
                    add(budget.writes > 0, Step::WriteSnapshot(n));
                    add(budget.crashes > 0, Step::Crash(n));
                    add(budget.page_requests > 0, Step::RequestPage(n));
                    for (p, (_, received)) in w.purges.iter().enumerate() {
                        add(!received[n], Step::DeliverPurge(n, p));
                    }
                }
                None => {
                    add(true, Step::Start(n, Disk::Kept, false));
                    add(w.disks[n][1].is_some(), Step::Start(n, Disk::Older, false));
                    add(w.disks[n][0].is_some(), Step::Start(n, Disk::Lost, false));
                    add(budget.clock_set_back > 0, Step::Start(n, Disk::Kept, true));
                }
            }
        }
        for message in 0..w.messages.len() {
            add(true, Step::DeliverMessage(message));
            add(budget.message_losses > 0, Step::LoseMessage(message));
            add(budget.duplicates > 0 && w.messages.len() < 3, Step::DuplicateMessage(message));
        }
    }

    fn next_state(&self, last: &World, step: Step) -> Option<World> {
        let mut w = last.clone();
        let now = w.now;
        match step {
            Step::Fill => {
                w.budget.fills -= 1;
                w.fill_times.push(now);
            }
            Step::Answer(n) => {
                let made_at = *w.fill_times.last()?;
                let front = w.fronts[n].as_mut()?;
                // A request after a purge that this front has received is never answered from an older copy.
                if front.purges.iter().all(|p| made_at >= p.at) {
                    let fill = Fill { offering: 0, object: 1, part: 0, group: 0, made_at, requested_at: now };
                    front.memory.record_fill(now, fill);
                    front.own_fill = Some(fill);
                }
                w.check(n);
            }
            Step::Purge => {
                w.budget.purges -= 1;
                w.purges.push((Purge { object: Some(1), group: 0, at: now }, [false; 2]));
            }
            Step::DeliverPurge(n, p) => {
                let (purge, received) = &mut w.purges[p];
                received[n] = true;
                let (purge, front) = (*purge, w.fronts[n].as_mut()?);
                front.memory.record_purge(now, purge);
                if purge.at + PURGE_DONE > now {
                    front.purges.push(purge);
                    front.purges.sort_by_key(|p| p.at);
                    front.purges.dedup();
                }
                w.check(n);
            }
            Step::WriteSnapshot(n) => {
                w.budget.writes -= 1;
                let front = w.fronts[n].as_ref()?;
                let taken = Snapshot::take(&front.memory, &format!("n{n}"), front.id.incarnation, now);
                w.disks[n][1] = w.disks[n][0].replace(taken);
            }
            Step::Crash(n) => {
                w.budget.crashes -= 1;
                w.fronts[n] = None;
                // The feed sends the purges again after a restart.
                w.purges.iter_mut().for_each(|p| p.1[n] = false);
            }
            Step::Start(n, disk, clock_set_back) => {
                w.budget.clock_set_back -= u8::from(clock_set_back);
                w.start(n, disk, clock_set_back, self.1);
            }
            Step::RequestPage(n) => {
                w.budget.page_requests -= 1;
                let own = w.fronts[n].as_ref()?.id.clone();
                w.messages.push(Message::PageRequest(1 - n, own));
            }
            Step::DeliverMessage(message) => {
                let message = w.messages.remove(message);
                w.deliver(message, self.1);
            }
            Step::LoseMessage(message) => {
                w.budget.message_losses -= 1;
                w.messages.remove(message);
            }
            Step::DuplicateMessage(message) => {
                w.budget.duplicates -= 1;
                let message = w.messages[message].clone();
                w.messages.push(message);
            }
            Step::Tick => {
                w.budget.ticks -= 1;
                w.now += 3 * SECOND;
                (0..2).for_each(|n| w.check(n));
            }
        }
        Some(w)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always("no invariant is violated", |_, w: &World| w.violation.is_none()),
            Property::sometimes("a snapshot restores fills", |_, w: &World| w.restored[0]),
            Property::sometimes("a neighbour supplies fills", |_, w: &World| w.restored[1]),
            Property::sometimes("a neighbour supplies purges", |_, w: &World| w.restored[2]),
        ]
    }
}

const BUDGET: Budget = Budget {
    fills: 1,
    purges: 1,
    crashes: 1,
    writes: 2,
    page_requests: 1,
    message_losses: 0,
    duplicates: 0,
    ticks: 2,
    clock_set_back: 0,
};

fn search(budget: Budget, fault: Fault, depth: usize) -> (usize, Option<&'static str>) {
    let checked = SmallModel(budget, fault).checker().threads(2).target_max_depth(depth).spawn_bfs().join();
    let violation = checked.discovery("no invariant is violated").and_then(|p| p.last_state().violation);
    if fault == Fault::None {
        checked.assert_properties();
    }
    (checked.unique_state_count(), violation)
}

#[test]
fn for_any_order_of_crashes_and_restarts_only_valid_entries_are_remembered() {
    let (found, _) = search(BUDGET, Fault::None, 9);
    assert!(found > 50_000, "{found} states: the search covers too little");
}

#[test]
fn lost_and_duplicate_messages_and_a_clock_set_back_break_no_invariant() {
    let budget = Budget {
        message_losses: 1,
        duplicates: 1,
        clock_set_back: 1,
        crashes: 2,
        purges: 0,
        fills: 1,
        ticks: 1,
        writes: 1,
        ..BUDGET
    };
    let (found, _) = search(Budget { purges: 1, ..budget }, Fault::None, 9);
    assert!(found > 20_000, "{found} states: the search covers too little");
}

#[test]
fn each_injected_fault_is_found() {
    for (fault, budget, text) in [
        (Fault::RestoresWithoutPurges, BUDGET, "known purge"),
        (Fault::TrustsNeighbours, BUDGET, "a fill that the front saw itself is overruled"),
        (
            Fault::IncarnationFromClock,
            Budget { clock_set_back: 1, crashes: 2, ..BUDGET },
            "an incarnation that is not later",
        ),
    ] {
        let (_, violation) = search(budget, fault, 9);
        assert!(violation.is_some_and(|b| b.contains(text)), "{fault:?}: {violation:?}");
    }
}
