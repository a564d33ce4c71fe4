//! Instances that die, lie, hang and take their time, and agents that die at any point; what must hold is checked after
//! each step.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap};

use doorgrade_fleet::instance::{Check, Exit, Kept};
use doorgrade_fleet::order::Progress;
use doorgrade_fleet::{
    Do, Fleet, Line, Order, Phase, Process, Refused, Rules, Run, TICKS_PER_SECOND, Want, What,
};
use fastrand::Rng;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

const START: u64 = 17_000_000_000_000;

/// How an instance behaves from its next start on.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Kind {
    Good,
    /// Ends soon after each start: its port is taken, say.
    Dies,
    /// Says that it is ready, and answers nothing else.
    Hollow,
    /// Does not heed SIGTERM.
    Deaf,
}

#[derive(Clone, Debug)]
struct Proc {
    name: Box<str>,
    run: Run,
    process: Process,
    kind: Kind,
    ready_at: u64,
    drains: bool,
    /// It has had its SIGTERM, and when it ends.
    ends_at: Option<u64>,
}

#[derive(Clone, Debug)]
enum Event {
    Started(Box<str>, Run, Process),
    Found(Box<str>),
    Checked(Box<str>, Run),
    Exited(Box<str>, Process, Exit),
    Due(u32),
    Ends(Process),
}

struct World {
    now: u64,
    rng: Rng,
    events: BinaryHeap<Reverse<(u64, u64)>>,
    what: BTreeMap<u64, (u32, Event)>,
    count: u64,
    fleet: Option<Fleet>,
    /// Which agent's life it is: what an earlier one asked for is answered to nobody.
    life: u32,
    places: Vec<(Box<str>, Box<str>)>,
    rules: Rules,
    journal: BTreeMap<Box<str>, Kept>,
    procs: Vec<Proc>,
    kinds: BTreeMap<Box<str>, Kind>,
    next_pid: u32,
    /// The agent dies before it does this effect, counted from its first.
    dies_at: Option<u32>,
    done: u32,
    wake: u32,
    full: bool,
    lines: Vec<Line>,
    terms: BTreeMap<Process, u32>,
    most_cold: usize,
    most_down: usize,
}

impl World {
    fn new(seed: u64, stations: usize, each: usize, rules: Rules) -> World {
        let place = |n: usize| (format!("i{n}").into(), format!("s{}", n % stations).into());
        let mut w = World {
            now: START,
            rng: Rng::with_seed(seed),
            events: BinaryHeap::new(),
            what: BTreeMap::new(),
            count: 0,
            fleet: None,
            life: 0,
            places: (0..stations * each).map(place).collect(),
            rules,
            journal: BTreeMap::new(),
            procs: Vec::new(),
            kinds: BTreeMap::new(),
            next_pid: 100,
            dies_at: None,
            done: 0,
            wake: 0,
            full: false,
            lines: Vec::new(),
            terms: BTreeMap::new(),
            most_cold: 0,
            most_down: 0,
        };
        w.agent();
        w
    }

    /// A new agent, from what the journal has.
    fn agent(&mut self) {
        self.life += 1;
        let mut out = Vec::new();
        let (seed, kept) = (u64::from(self.life), self.journal.clone());
        let fleet = Fleet::start(self.now, self.rules.clone(), seed, &self.places, kept, &mut out);
        self.fleet = Some(fleet);
        self.perform(out);
    }

    fn at(&mut self, after: u64, event: Event) {
        self.count += 1;
        self.events.push(Reverse((self.now + after, self.count)));
        self.what.insert(self.count, (self.life, event));
    }

    fn perform(&mut self, out: Vec<Do>) {
        for each in out {
            if self.fleet.is_none() {
                return;
            }
            let outward = !matches!(each, Do::Wake(_) | Do::Tell(_));
            self.done += u32::from(outward);
            if outward && self.dies_at == Some(self.done) {
                self.fleet = None;
                return;
            }
            let lag = 1 + self.rng.u64(0..300);
            match each {
                Do::Keep(name, kept) => {
                    if self.full {
                        let mut more = Vec::new();
                        let now = self.now;
                        self.fleet.iter_mut().for_each(|f| f.not_kept(now, &name, "no space", &mut more));
                        self.perform(more);
                    } else {
                        self.journal.insert(name, kept);
                    }
                }
                Do::Start { name, run } => self.start(&name, run, lag),
                Do::Look { name } => self.at(lag, Event::Found(name)),
                Do::Check { name, run } => self.at(lag, Event::Checked(name, run)),
                Do::Drain { process, on, .. } => {
                    for p in self.procs.iter_mut().filter(|p| p.process == process) {
                        assert!(on || p.ends_at.is_none(), "after its SIGTERM nothing is taken back");
                        p.drains = on;
                    }
                }
                Do::Signal { name, process, kill } => self.signal(&name, process, kill, lag),
                Do::Wake(at) => {
                    // As in the shell: the last one counts.
                    self.wake += 1;
                    self.at(at.saturating_sub(self.now), Event::Due(self.wake));
                }
                Do::Tell(line) => self.lines.push(line),
            }
        }
    }

    fn start(&mut self, name: &str, run: Run, lag: u64) {
        let living = self.procs.iter().filter(|p| &*p.name == name).count();
        assert_eq!(living, 0, "{name} is started twice");
        let kind = self.kinds.get(name).copied().unwrap_or(Kind::Good);
        self.next_pid += 1;
        // Ids are used again; the moment of birth tells them apart.
        let process = Process { id: 100 + self.next_pid % 7, born: self.now + u64::from(self.next_pid) };
        let ready_at = self.now + 2_000 + self.rng.u64(0..8_000);
        self.procs.push(Proc {
            name: name.into(),
            run,
            process,
            kind,
            ready_at,
            drains: false,
            ends_at: None,
        });
        self.at(lag, Event::Started(name.into(), run, process));
        if kind == Kind::Dies {
            let after = lag + 500 + self.rng.u64(0..3_000);
            self.at(after, Event::Ends(process));
        }
    }

    fn signal(&mut self, name: &str, process: Process, kill: bool, lag: u64) {
        let now = self.now;
        let Some(p) = self.procs.iter_mut().find(|p| p.process == process) else { return };
        assert_eq!(&*p.name, name, "somebody else's process");
        if kill || p.kind != Kind::Deaf && p.ends_at.is_none() {
            p.ends_at = Some(now + lag);
            *self.terms.entry(process).or_default() += 1;
            self.at(lag, Event::Ends(process));
        }
    }

    /// A process ends: whoever is there to see it is told.
    fn ends(&mut self, process: Process, exit: Exit) {
        if let Some(at) = self.procs.iter().position(|p| p.process == process) {
            let name = self.procs.remove(at).name;
            self.at(10, Event::Exited(name, process, exit));
        }
    }

    fn kill(&mut self, name: &str) {
        let process = self.procs.iter().find(|p| &*p.name == name).map(|p| p.process);
        process.into_iter().for_each(|process| self.ends(process, Exit::Signal(9)));
    }

    fn on(&mut self, act: impl FnOnce(&mut Fleet, u64, &mut Vec<Do>)) {
        let (now, mut out) = (self.now, Vec::new());
        if let Some(fleet) = &mut self.fleet {
            act(fleet, now, &mut out);
        }
        self.perform(out);
    }

    fn step(&mut self) -> bool {
        let Some(Reverse((at, number))) = self.events.pop() else { return false };
        let Some((life, event)) = self.what.remove(&number) else { return true };
        self.now = self.now.max(at);
        if let Event::Ends(process) = event {
            let killed = self.procs.iter().any(|p| p.process == process && p.ends_at.is_some());
            self.ends(process, if killed { Exit::Signal(15) } else { Exit::Code(1) });
            return true;
        }
        // Exits are seen by whoever is there: a later agent looks at the table and finds it gone.
        if life != self.life && !matches!(event, Event::Exited(..)) {
            return true;
        }
        match event {
            Event::Started(name, run, process) => {
                self.on(|f, now, out| f.started(now, &name, run, Ok(process), out))
            }
            Event::Found(name) => {
                let all: Vec<_> =
                    self.procs.iter().filter(|p| p.name == name).map(|p| (p.run, p.process)).collect();
                self.on(|f, now, out| f.found(now, &name, &all, out));
            }
            Event::Checked(name, run) => {
                let now = self.now;
                let check = match self.procs.iter().find(|p| p.name == name && p.run == run) {
                    None => Check::Silent,
                    Some(p) if p.kind == Kind::Hollow => Check::Silent,
                    Some(p) if now < p.ready_at => Check::Silent,
                    Some(p) if p.drains || p.ends_at.is_some() => Check::NotReady,
                    Some(_) => Check::Ready,
                };
                self.on(|f, now, out| f.checked(now, &name, run, check, out));
            }
            Event::Exited(name, process, exit) => {
                self.on(|f, now, out| f.exited(now, &name, process, exit, out))
            }
            Event::Due(wake) if wake == self.wake => self.on(|f, now, out| f.due(now, out)),
            Event::Due(_) => {}
            Event::Ends(_) => {}
        }
        self.look();
        true
    }

    fn look(&mut self) {
        let Some(fleet) = &self.fleet else { return };
        let mut cold: BTreeMap<&str, usize> = BTreeMap::new();
        let mut down: BTreeMap<&str, usize> = BTreeMap::new();
        for (station, i) in fleet.instances() {
            *cold.entry(station).or_default() += usize::from(i.phase == Phase::Starting);
            let going = i.phase == Phase::Stopping || i.phase == Phase::Draining && !i.drained;
            *down.entry(station).or_default() += usize::from(going);
        }
        self.most_cold = self.most_cold.max(cold.into_values().max().unwrap_or(0));
        self.most_down = self.most_down.max(down.into_values().max().unwrap_or(0));
    }

    fn pass(&mut self, time: u64) {
        let end = self.now + time;
        while self.events.peek().is_some_and(|Reverse((at, _))| *at <= end) {
            self.step();
        }
        self.now = end;
    }

    fn order(&mut self, what: What, names: &[&str]) -> Result<u64, Refused> {
        self.order_as("anna", what, names, None)
    }

    fn order_as(&mut self, by: &str, what: What, names: &[&str], seen: Option<u64>) -> Result<u64, Refused> {
        let targets = names.iter().map(|&n| (n.into(), seen)).collect();
        let order = Order { by: by.into(), what, targets, force: BTreeSet::new() };
        let mut result = Err(Refused::NoTargets);
        self.on(|f, now, out| result = f.order(now, &order, out));
        result
    }

    fn all(&self) -> Vec<String> {
        self.places.iter().map(|p| p.0.to_string()).collect()
    }

    fn order_all(&mut self, what: What) -> u64 {
        let all = self.all();
        let names: Vec<&str> = all.iter().map(String::as_str).collect();
        self.order(what, &names).unwrap()
    }

    fn phases(&self, phase: Phase) -> usize {
        self.fleet.as_ref().map_or(0, |f| f.instances().filter(|i| i.1.phase == phase).count())
    }

    fn progress(&self, number: u64) -> Progress {
        self.fleet.as_ref().unwrap().progress(number).unwrap()
    }

    fn until(&mut self, what: &str, most: u64, holds: impl Fn(&World) -> bool) -> u64 {
        let begun = self.now;
        while !holds(self) {
            assert!(
                self.now < begun + most,
                "{what}: {:?}",
                self.lines.iter().rev().take(12).collect::<Vec<_>>()
            );
            self.pass(TICKS_PER_SECOND / 10);
        }
        self.now - begun
    }
}

fn up(stations: usize, each: usize) -> World {
    let mut w = World::new(1, stations, each, Rules::default());
    w.pass(TICKS_PER_SECOND);
    w.order_all(What::Start);
    let all = stations * each;
    w.until("all run", 120 * TICKS_PER_SECOND, |w| w.phases(Phase::Ready) == all);
    w
}

#[test]
fn a_start_a_drain_taken_back_a_stop_and_a_rolling_restart() {
    let mut w = up(2, 10);
    assert!(w.most_cold <= 4);
    let drain = w.order(What::Drain, &["i0", "i2", "i4"]).unwrap();
    w.until("they drain", 60 * TICKS_PER_SECOND, |w| w.progress(drain).done == 3);
    assert_eq!((w.phases(Phase::Draining), w.most_down), (3, 1), "one of ten at a time is on its way");
    // Taken back for one of them.
    let back = w.order(What::Start, &["i2"]).unwrap();
    w.until("it serves again", 20 * TICKS_PER_SECOND, |w| w.progress(back).done == 1);
    assert_eq!(w.progress(drain).overtaken, 1);
    w.order(What::Stop, &["i0", "i4"]).unwrap();
    w.until("they have ended", 60 * TICKS_PER_SECOND, |w| w.phases(Phase::Stopped) == 2);
    let before: BTreeSet<Process> = w.procs.iter().map(|p| p.process).collect();
    let renew = w.order_all(What::Restart);
    w.until("all were restarted", 600 * TICKS_PER_SECOND, |w| w.progress(renew).over());
    assert_eq!(w.progress(renew).done, 20);
    assert!(w.procs.iter().all(|p| !before.contains(&p.process)));
    assert!(w.terms.values().all(|&times| times == 1), "nothing is stopped twice");
    assert!(w.lines.contains(&Line::Done { number: renew, what: What::Restart }));
}

#[test]
fn nearly_half_die_at_once_some_again_and_one_always_and_the_restore_is_ordered_twice() {
    let mut w = up(4, 5);
    w.kinds.insert("i3".into(), Kind::Dies);
    for n in 0..9 {
        w.kill(&format!("i{n}"));
    }
    w.pass(TICKS_PER_SECOND / 10);
    let first = w.order_all(What::Restore);
    let second = w.order_all(What::Restore);
    assert_eq!(second, first + 1);
    // Some die again while they start.
    w.pass(TICKS_PER_SECOND);
    w.kill("i1");
    w.kill("i5");
    w.most_cold = 0;
    let took = w.until("all but one are back", 60 * TICKS_PER_SECOND, |w| w.phases(Phase::Ready) == 19);
    assert!(took < 20 * TICKS_PER_SECOND, "{took}");
    assert!(w.most_cold <= 4, "{} cold at once in a station", w.most_cold);
    w.until("that one is set aside", 300 * TICKS_PER_SECOND, |w| {
        w.lines.iter().any(|l| matches!(l, Line::SetAside { name, failures: 5 } if &**name == "i3"))
    });
    let runs = w.fleet.as_ref().unwrap().instance("i3").unwrap().kept.run;
    w.pass(600 * TICKS_PER_SECOND);
    assert_eq!(w.fleet.as_ref().unwrap().instance("i3").unwrap().kept.run, runs, "nobody tries it any more");
    assert_eq!(w.progress(second).failed, ["i3".into()]);
    // Mended, and ordered.
    w.kinds.remove("i3");
    w.order(What::Start, &["i3"]).unwrap();
    w.until("it is back, too", 30 * TICKS_PER_SECOND, |w| w.phases(Phase::Ready) == 20);
}

#[test]
fn of_two_orders_that_conflict_one_wins_and_the_other_is_told() {
    let mut w = up(1, 4);
    let seen = w.fleet.as_ref().unwrap().instance("i1").unwrap().kept.revision;
    let won = w.order_as("anna", What::Drain, &["i1"], Some(seen)).unwrap();
    let lost = w.order_as("ben", What::Stop, &["i1", "i2"], Some(seen));
    let Err(Refused::Changed { name, by, order, want, revision }) = lost else { panic!("{lost:?}") };
    assert_eq!((&*name, &*by, order, want, revision), ("i1", "anna", won, Want::Drained, seen + 1));
    assert_eq!(
        w.fleet.as_ref().unwrap().instance("i2").unwrap().kept.want,
        Want::Running,
        "all of it or nothing"
    );
    // The last of a station stays, unless it is forced by the station's name.
    assert_eq!(w.order(What::Stop, &["i0", "i2", "i3"]), Err(Refused::LastOf { station: "s0".into() }));
    let targets = ["i0", "i2", "i3"].map(|n| (n.into(), None)).into();
    let order = Order { by: "anna".into(), what: What::Stop, targets, force: ["s0".into()].into() };
    w.on(|f, now, out| assert!(f.order(now, &order, out).is_ok()));
    w.until("all have gone", 200 * TICKS_PER_SECOND, |w| w.phases(Phase::Stopped) == 3);
    // A stop after its SIGTERM is not taken back: it ends, and then it is started.
    w.order(What::Start, &["i0"]).unwrap();
    w.until("it is back", 60 * TICKS_PER_SECOND, |w| w.phases(Phase::Ready) == 1);
    w.kinds.insert("i0".into(), Kind::Good);
    w.order(What::Start, &["i2"]).unwrap();
    w.until("two", 60 * TICKS_PER_SECOND, |w| w.phases(Phase::Ready) == 2);
    w.order(What::Stop, &["i0"]).unwrap();
    w.until("it has had its signal", 60 * TICKS_PER_SECOND, |w| w.phases(Phase::Stopping) == 1);
    assert_eq!(w.order(What::Drain, &["i0"]), Err(Refused::Ends("i0".into())));
}

#[test]
fn one_that_ignores_sigterm_is_killed_and_one_that_only_says_ready_is_replaced() {
    let mut w = up(1, 3);
    // Their next start is of another kind.
    w.kinds.insert("i0".into(), Kind::Deaf);
    w.kinds.insert("i1".into(), Kind::Hollow);
    w.kill("i0");
    w.kill("i1");
    w.until("the deaf one runs", 60 * TICKS_PER_SECOND, |w| w.phases(Phase::Ready) == 2);
    w.until("the hollow one is given up", 400 * TICKS_PER_SECOND, |w| {
        w.lines.iter().any(|l| matches!(l, Line::SetAside { name, .. } if &**name == "i1"))
    });
    w.order(What::Stop, &["i0"]).unwrap();
    let took = w.until("it is gone", 60 * TICKS_PER_SECOND, |w| w.phases(Phase::Stopped) == 1);
    assert!(took >= 15 * TICKS_PER_SECOND, "it had its time");
}

#[test]
fn a_rolling_restart_stops_at_the_first_that_does_not_come_back() {
    let mut w = up(1, 6);
    w.kinds.insert("i2".into(), Kind::Dies);
    let renew = w.order_all(What::Restart);
    w.until("it stops", 300 * TICKS_PER_SECOND, |w| w.progress(renew).halted);
    w.pass(120 * TICKS_PER_SECOND);
    let progress = w.progress(renew);
    assert_eq!(progress.failed, ["i2".into()]);
    assert_eq!(w.phases(Phase::Ready), 5, "what was not begun stays as it is");
    let untouched = w.fleet.as_ref().unwrap().instances().filter(|i| i.1.kept.run == 1).count();
    assert!(untouched >= 2, "{untouched}");
}

#[test]
fn an_agent_killed_at_each_step_of_a_drain_and_a_stop_leaves_nothing_twice_and_nothing_forgotten() {
    for dies_at in 1..40 {
        let mut w = up(1, 3);
        w.done = 0;
        w.dies_at = Some(dies_at);
        let _ = w.order(What::Drain, &["i0"]);
        w.pass(8 * TICKS_PER_SECOND);
        let _ = w.order(What::Stop, &["i0"]);
        w.pass(10 * TICKS_PER_SECOND);
        let _ = w.order(What::Restart, &["i1"]);
        w.pass(10 * TICKS_PER_SECOND);
        // Another takes its place, if it died; what was ordered of it goes on, what was not is ordered again.
        w.dies_at = None;
        if w.fleet.is_none() {
            w.pass(TICKS_PER_SECOND);
            w.agent();
            w.pass(TICKS_PER_SECOND);
        }
        let _ = w.order(What::Stop, &["i0"]);
        w.until("the stop is done", 90 * TICKS_PER_SECOND, |w| {
            w.phases(Phase::Stopped) == 1 && w.phases(Phase::Ready) == 2
        });
        assert_eq!(w.procs.len(), 2, "dies before effect {dies_at}: an orphan");
    }
}

#[test]
fn another_agent_goes_on_with_a_drain_and_a_restart_and_takes_back_what_was_taken_back() {
    let mut w = up(1, 3);
    w.order(What::Drain, &["i0"]).unwrap();
    w.until("it drains", 60 * TICKS_PER_SECOND, |w| w.phases(Phase::Draining) == 1);
    // The next agent finds it draining; nobody told it to go on serving.
    w.fleet = None;
    w.agent();
    w.until("it is known to drain", 20 * TICKS_PER_SECOND, |w| {
        w.phases(Phase::Draining) == 1 && w.phases(Phase::Ready) == 2
    });
    w.pass(60 * TICKS_PER_SECOND);
    assert_eq!(
        w.fleet.as_ref().unwrap().instance("i0").unwrap().kept.run,
        1,
        "it was not taken for one that does not start"
    );
    // Taken back, and the agent dies before it can tell the instance.
    w.dies_at = Some(w.done + 2);
    let _ = w.order(What::Start, &["i0"]);
    assert!(w.fleet.is_none());
    w.dies_at = None;
    w.agent();
    w.until("it serves again", 30 * TICKS_PER_SECOND, |w| w.phases(Phase::Ready) == 3);
    // A restart under way goes on, too.
    w.order_all(What::Restart);
    w.until("the first goes", 60 * TICKS_PER_SECOND, |w| w.phases(Phase::Draining) == 1);
    w.fleet = None;
    w.agent();
    w.until("all were restarted", 200 * TICKS_PER_SECOND, |w| {
        w.fleet.as_ref().unwrap().instances().all(|i| i.1.kept.run == 2 && i.1.phase == Phase::Ready)
    });
}

#[test]
fn an_agent_without_its_journal_stops_nothing_that_runs_and_takes_back_no_drain() {
    let mut w = up(2, 3);
    let drain = w.order(What::Drain, &["i0"]).unwrap();
    w.until("it drains", 60 * TICKS_PER_SECOND, |w| w.progress(drain).over());
    w.order(What::Stop, &["i1"]).unwrap();
    w.until("it has ended", 60 * TICKS_PER_SECOND, |w| w.phases(Phase::Stopped) == 1);
    let before: BTreeSet<Process> = w.procs.iter().map(|p| p.process).collect();
    let terms = w.terms.len();
    w.fleet = None;
    w.journal.clear();
    w.agent();
    w.until("all are known as they were", 20 * TICKS_PER_SECOND, |w| {
        w.phases(Phase::Draining) == 1 && w.phases(Phase::Ready) == 4 && w.phases(Phase::Absent) == 1
    });
    w.pass(60 * TICKS_PER_SECOND);
    assert_eq!(w.procs.iter().map(|p| p.process).collect::<BTreeSet<_>>(), before);
    assert_eq!(w.terms.len(), terms, "nobody was told to stop");
    // It was written down: the next agent knows it from its journal.
    w.fleet = None;
    w.agent();
    w.until("and again", 20 * TICKS_PER_SECOND, |w| {
        w.phases(Phase::Draining) == 1 && w.phases(Phase::Ready) == 4
    });
    let all = w.order_all(What::Start);
    w.until("all run", 120 * TICKS_PER_SECOND, |w| w.progress(all).over());
    assert_eq!(w.phases(Phase::Ready), 6);
    // Killed before it has seen how they are, an agent leaves nothing half known.
    for dies_at in 1..12 {
        w.fleet = None;
        w.journal.clear();
        w.dies_at = Some(w.done + dies_at);
        w.agent();
        w.pass(TICKS_PER_SECOND);
        w.dies_at = None;
        w.fleet = None;
        w.agent();
        w.until("all are known", 20 * TICKS_PER_SECOND, |w| w.phases(Phase::Ready) == 6);
    }
    assert_eq!(w.terms.len(), terms);
}

#[test]
fn a_journal_that_cannot_be_written_stops_orders_and_nothing_else() {
    let mut w = up(1, 3);
    w.full = true;
    w.kill("i1");
    w.pass(TICKS_PER_SECOND / 5);
    w.until("it is started again all the same", 60 * TICKS_PER_SECOND, |w| w.phases(Phase::Ready) == 3);
    let refused = w.order(What::Stop, &["i0"]);
    assert!(matches!(refused, Err(Refused::NotKept(_))), "{refused:?}");
    // The agent dies with a journal that is older than what runs: it takes over the later run.
    w.fleet = None;
    w.full = false;
    w.agent();
    w.pass(2 * TICKS_PER_SECOND);
    assert_eq!((w.phases(Phase::Ready), w.procs.len()), (3, 3));
    assert_eq!(w.fleet.as_ref().unwrap().instance("i1").unwrap().kept.run, 2);
    assert!(w.order(What::Stop, &["i0"]).is_ok());
}

#[test]
fn a_clock_that_is_set_back_holds_nothing_up_for_long() {
    let mut w = up(1, 3);
    // An hour back: for the agent time stands still; what happens is heeded.
    let (back, mut out) = (w.now - 3_600 * TICKS_PER_SECOND, Vec::new());
    let process = w.procs.iter().find(|p| &*p.name == "i1").unwrap().process;
    w.fleet.as_mut().unwrap().exited(back, "i1", process, Exit::Signal(9), &mut out);
    assert_eq!(w.fleet.as_ref().unwrap().instance("i1").unwrap().phase, Phase::Failed);
    w.procs.retain(|p| p.process != process);
    w.perform(out);
    w.until("it is started again", 60 * TICKS_PER_SECOND, |w| w.phases(Phase::Ready) == 3);
}

/// Anything at any time; in the end all is as wanted.
fn random_run(seed: u64) {
    let mut rng = Rng::with_seed(seed);
    let mut w = World::new(seed, 2, 4, Rules::default());
    w.pass(TICKS_PER_SECOND);
    w.order_all(What::Start);
    let names = w.all();
    for _ in 0..30 {
        let name = names[rng.usize(0..names.len())].clone();
        match rng.u8(0..12) {
            0..=2 => w.kill(&name),
            3 => drop(w.order(What::Drain, &[&name])),
            4 => drop(w.order(What::Stop, &[&name])),
            5 => drop(w.order(What::Restart, &[&name])),
            6 => drop(w.order(What::Start, &[&name])),
            7 => drop(w.order_as("ben", What::Stop, &[&name], Some(rng.u64(0..4)))),
            8 => {
                w.dies_at = Some(w.done + 1 + rng.u32(0..6));
            }
            9 => w.full = !w.full,
            10 => {
                let kind = [Kind::Good, Kind::Dies, Kind::Hollow, Kind::Deaf][rng.usize(0..4)];
                w.kinds.insert(name.into(), kind);
            }
            _ => {}
        }
        w.pass(rng.u64(0..6 * TICKS_PER_SECOND));
        if w.fleet.is_none() {
            w.dies_at = None;
            w.agent();
        }
    }
    (w.dies_at, w.full) = (None, false);
    w.kinds.clear();
    for name in &names {
        // Those of a bad kind are replaced.
        let bad = w.procs.iter().any(|p| &*p.name == name.as_str() && p.kind != Kind::Good);
        if bad {
            w.kill(name);
        }
    }
    w.pass(30 * TICKS_PER_SECOND);
    w.fleet.iter_mut().for_each(Fleet::kept);
    w.order_all(What::Start);
    w.until("all run in the end", 300 * TICKS_PER_SECOND, |w| {
        w.phases(Phase::Ready) == 8 && w.procs.len() == 8
    });
}

proptest! {
    #![proptest_config(ProptestConfig { rng_seed: RngSeed::Fixed(3), cases: 12, ..ProptestConfig::default() })]

    #[test]
    fn whatever_happens_nothing_runs_twice_and_all_is_as_wanted_in_the_end(seed in any::<u64>()) {
        random_run(seed);
    }
}
