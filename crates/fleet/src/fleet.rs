//! The instances of one agent: what is wanted against what is seen, and the next step for each.

mod orders;
mod steps;

use std::collections::{BTreeMap, BTreeSet};
use std::fmt;

use fastrand::Rng;
use serde::{Deserialize, Serialize};

use crate::life::{Check, Exit, Instance, Kept, Phase, Step, Want};
use crate::order::{Refused, What};
use crate::pace::{Budget, Rules};
use crate::{Process, Run, Tenths};

/// What the shell is to do, in this order.
#[derive(Clone, Debug, PartialEq)]
pub enum Do {
    /// Put this by before anything that follows. If that fails: [`Fleet::not_kept`].
    Keep(Box<str>, Kept),
    /// Answered by [`Fleet::started`]. The process carries a mark of the name and the run, by which it is found.
    Start {
        name: Box<str>,
        run: Run,
    },
    /// Look for all processes that carry the instance's mark; answered by [`Fleet::found`].
    Look {
        name: Box<str>,
    },
    /// Look at its door; answered by [`Fleet::checked`].
    Check {
        name: Box<str>,
        run: Run,
    },
    /// It is to tell its clients to go elsewhere, or not to any more. Safe to repeat; unanswered.
    Drain {
        name: Box<str>,
        process: Process,
        on: bool,
    },
    /// Safe to repeat: a process that is gone is not another's. Its end is told by [`Fleet::exited`].
    Signal {
        name: Box<str>,
        process: Process,
        kill: bool,
    },
    /// Call [`Fleet::due`] then; what was asked for before is not needed any more.
    Wake(Tenths),
    Tell(Line),
}

/// A line for the log, and for whoever watches.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Line {
    Ordered {
        number: u64,
        by: Box<str>,
        what: What,
        of: usize,
    },
    Done {
        number: u64,
        what: What,
    },
    /// The first that did not come back.
    Halted {
        number: u64,
        what: What,
        name: Box<str>,
    },
    Phase {
        name: Box<str>,
        run: Run,
        phase: Phase,
    },
    Ended {
        name: Box<str>,
        run: Run,
        exit: Exit,
        failures: u32,
    },
    NotStarted {
        name: Box<str>,
        run: Run,
        why: Box<str>,
    },
    SetAside {
        name: Box<str>,
        failures: u32,
    },
    /// A process of an earlier run, or of a second start, that nobody wants.
    Stray {
        name: Box<str>,
        run: Run,
        process: Process,
    },
    /// Taken over from an agent before this one.
    Adopted {
        name: Box<str>,
        run: Run,
        process: Process,
    },
    NoBudget {
        station: Box<str>,
        until: Tenths,
    },
    NotKept {
        name: Box<str>,
    },
}

impl fmt::Display for Line {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Line::Ordered { number, by, what, of } => {
                write!(f, "order {number} by {by}: {what} of {of} instances")
            }
            Line::Done { number, what } => write!(f, "order {number}: {what} is done"),
            Line::Halted { number, what, name } => {
                write!(
                    f,
                    "order {number}: {what} stops, {name} does not come back; what was not begun stays as it is"
                )
            }
            Line::Phase { name, run, phase } => write!(f, "{name}, run {run}: {phase}"),
            Line::Ended { name, run, exit, failures: 0 } => write!(f, "{name}, run {run}: ended ({exit})"),
            Line::Ended { name, run, exit, failures } => {
                write!(f, "{name}, run {run}: died ({exit}), {failures} in a row came to nothing")
            }
            Line::NotStarted { name, run, why } => {
                write!(f, "{name}, run {run}: could not be started: {why}")
            }
            Line::SetAside { name, failures } => {
                write!(
                    f,
                    "{name}: set aside after {failures} starts in a row that came to nothing: look at its log, then order its start"
                )
            }
            Line::Stray { name, run, process } => {
                write!(
                    f,
                    "{name}, run {run}: process {} is nobody's any more, and is told to end",
                    process.id
                )
            }
            Line::Adopted { name, run, process } => {
                write!(f, "{name}, run {run}: process {} was running already and is taken over", process.id)
            }
            Line::NoBudget { station, .. } => {
                write!(
                    f,
                    "{station}: its restarts are spent; the next one waits. `fleet restore` gives it new ones"
                )
            }
            Line::NotKept { name } => write!(f, "{name}: what was begun could not be kept"),
        }
    }
}

#[derive(Clone, Debug)]
struct Station {
    name: Box<str>,
    members: Vec<usize>,
    budget: Budget,
    told_budget: bool,
    /// As of its last change: how many are cold, and who may start first, with how much of it serves.
    cold: usize,
    first: Option<(f64, u32, usize)>,
}

/// An order, also for a while after it is over.
#[derive(Clone, Debug)]
struct Open {
    by: Box<str>,
    what: What,
    at: Tenths,
    targets: Vec<usize>,
    halted: Option<Box<str>>,
    /// All of it is done, and that was told.
    over: bool,
}

#[derive(Clone, Debug)]
pub struct Fleet {
    rules: Rules,
    rng: Rng,
    now: Tenths,
    stations: Vec<Station>,
    instances: Vec<Instance>,
    by_name: BTreeMap<Box<str>, usize>,
    orders: BTreeMap<u64, Open>,
    next_order: u64,
    wakes: BTreeSet<(Tenths, usize)>,
    told_wake: Option<Tenths>,
    /// Stations in which somebody waits for its start.
    waiting: BTreeSet<usize>,
    /// Why the journal could not be written last.
    not_kept: Option<Box<str>>,
}

/// Orders remembered once they are over, for whoever asks how they went.
const MOST_ORDERS: usize = 256;
/// A look that was not answered is asked for again.
const LOOK_AGAIN: Tenths = 10 * crate::SECOND;

impl Fleet {
    /// `places`: each instance with its station; `kept`: what an earlier agent left of them.
    pub fn start(
        now: Tenths,
        rules: Rules,
        seed: u64,
        places: &[(Box<str>, Box<str>)],
        mut kept: BTreeMap<Box<str>, Kept>,
        out: &mut Vec<Do>,
    ) -> Fleet {
        let next_order = kept.values().map(|k| k.order).max().unwrap_or(0) + 1;
        let mut fleet = Fleet {
            rng: Rng::with_seed(seed),
            now,
            stations: Vec::new(),
            instances: Vec::new(),
            by_name: BTreeMap::new(),
            orders: BTreeMap::new(),
            next_order,
            wakes: BTreeSet::new(),
            told_wake: None,
            waiting: BTreeSet::new(),
            not_kept: None,
            rules,
        };
        for (name, station) in places {
            if fleet.by_name.contains_key(name) {
                continue;
            }
            let at = fleet.stations.iter().position(|s| s.name == *station).unwrap_or_else(|| {
                let budget = Budget::full(now, &fleet.rules);
                fleet.stations.push(Station {
                    name: station.clone(),
                    members: Vec::new(),
                    budget,
                    told_budget: false,
                    cold: 0,
                    first: None,
                });
                fleet.stations.len() - 1
            });
            let own = kept.remove(name).unwrap_or_default();
            let mut instance = Instance::new(name, at, now, own);
            // Whatever an earlier agent began is looked at before anything is done, also where it left nothing.
            instance.looking = true;
            out.push(Do::Look { name: name.clone() });
            let place = fleet.instances.len();
            fleet.stations[at].members.push(place);
            fleet.by_name.insert(name.clone(), place);
            fleet.instances.push(instance);
            fleet.wake(place, now + LOOK_AGAIN);
        }
        fleet.tell_wake(out);
        fleet
    }

    fn clock(&mut self, now: Tenths) {
        // A clock that was set back does not move what is due into the far future: time stands still until it is reached.
        self.now = self.now.max(now);
    }

    fn wake(&mut self, place: usize, at: Tenths) {
        let own = &mut self.instances[place];
        if own.wakes > 0 {
            self.wakes.remove(&(own.wakes, place));
        }
        own.wakes = at.max(1);
        self.wakes.insert((own.wakes, place));
    }

    fn tell_wake(&mut self, out: &mut Vec<Do>) {
        let first = self.wakes.first().map(|w| w.0);
        if let Some(at) = first.filter(|at| self.told_wake.is_none_or(|told| *at < told || told <= self.now))
        {
            self.told_wake = Some(at);
            out.push(Do::Wake(at));
        }
    }

    fn place(&self, name: &str) -> Option<usize> {
        self.by_name.get(name).copied()
    }

    /// An instance, if it is this run of it that is spoken of.
    fn of_run(&self, name: &str, run: Run) -> Option<usize> {
        self.place(name)
            .filter(|&p| self.instances[p].kept.run == run && self.instances[p].kept.ended.is_none())
    }

    fn keep(&self, place: usize, out: &mut Vec<Do>) {
        let own = &self.instances[place];
        out.push(Do::Keep(own.name.clone(), own.kept.clone()));
    }

    // ---- what is told

    /// What the journal said when it could not be written.
    pub fn not_kept(&mut self, now: Tenths, name: &str, why: &str, out: &mut Vec<Do>) {
        self.clock(now);
        if self.not_kept.replace(why.into()).is_none() {
            out.push(Do::Tell(Line::NotKept { name: name.into() }));
        }
    }

    /// The journal can be written again.
    pub fn kept(&mut self) {
        self.not_kept = None;
    }

    /// All processes that carry the instance's mark.
    pub fn found(&mut self, now: Tenths, name: &str, processes: &[(Run, Process)], out: &mut Vec<Do>) {
        self.clock(now);
        let Some(place) = self.place(name) else { return };
        let own = &mut self.instances[place];
        if !std::mem::take(&mut own.looking) {
            return;
        }
        let known = own.kept.process;
        let run = own.kept.run;
        if own.kept == Kept::default() && !processes.is_empty() {
            // The journal was lost. What runs was wanted by somebody; to stop it would be to act on knowing nothing.
            (own.kept.want, own.kept.revision, own.inherited) = (Want::Running, 1, true);
            own.kept.by = "found running".into();
        }
        // Of this run there should be one; of two the one that is known, or else the one that began first.
        let mut ours: Vec<Process> = processes.iter().filter(|p| p.0 == run).map(|p| p.1).collect();
        ours.sort_by_key(|p| (Some(*p) != known, p.born, p.id));
        // The journal may be older than what was begun from it: then the latest run is the one.
        let later = processes.iter().filter(|p| p.0 > run).max_by_key(|p| (p.0, std::cmp::Reverse(p.1)));
        let chosen = later.copied().or(ours.first().map(|p| (run, *p)));
        if let Some((run, process)) = chosen {
            let new = known != Some(process);
            if own.kept.run != run || own.kept.ended.is_some() {
                (own.kept.run, own.kept.ended, own.kept.step) = (run, None, None);
                own.to(self.now, Phase::Starting);
            }
            own.kept.process = Some(process);
            (own.next_check, own.answered_at) = (self.now, self.now);
            let ends = own.phase == Phase::Stopping;
            if ends {
                // Its signal may not have been sent.
                own.kill_at = self.now + crate::life::KILL_AFTER;
                out.push(Do::Signal { name: name.into(), process, kill: false });
            }
            if new {
                self.keep(place, out);
                out.push(Do::Tell(Line::Adopted { name: name.into(), run, process }));
            }
        } else if own.kept.run > 0 && own.kept.ended.is_none() {
            match (own.kept.step, known) {
                // Its start was about to be, and never was: that is nobody's failure.
                (Some(Step::Start), None) => {
                    (own.kept.ended, own.kept.step) = (Some(Exit::Unseen), None);
                    own.to(self.now, Phase::Failed);
                }
                _ => {
                    self.end(place, Exit::Unseen, out);
                }
            }
            self.keep(place, out);
        }
        for (run, process) in processes.iter().filter(|p| Some(**p) != chosen) {
            out.push(Do::Tell(Line::Stray { name: name.into(), run: *run, process: *process }));
            out.push(Do::Signal { name: name.into(), process: *process, kill: false });
        }
        self.settle(place, out);
    }

    pub fn started(
        &mut self,
        now: Tenths,
        name: &str,
        run: Run,
        made: Result<Process, Box<str>>,
        out: &mut Vec<Do>,
    ) {
        self.clock(now);
        let Some(place) = self.of_run(name, run) else { return };
        match made {
            Ok(process) => {
                let own = &mut self.instances[place];
                (own.kept.process, own.kept.step) = (Some(process), None);
                (own.next_check, own.answered_at) = (self.now, self.now);
                self.keep(place, out);
            }
            Err(why) => {
                out.push(Do::Tell(Line::NotStarted { name: name.into(), run, why }));
                self.end(place, Exit::Unseen, out);
                self.keep(place, out);
            }
        }
        self.settle(place, out);
    }

    /// A process has ended. Of one that is not the instance's it says nothing.
    pub fn exited(&mut self, now: Tenths, name: &str, process: Process, exit: Exit, out: &mut Vec<Do>) {
        self.clock(now);
        let Some(place) = self.place(name) else { return };
        if self.instances[place].kept.process != Some(process) {
            return;
        }
        self.end(place, exit, out);
        self.keep(place, out);
        self.settle(place, out);
    }

    pub fn checked(&mut self, now: Tenths, name: &str, run: Run, check: Check, out: &mut Vec<Do>) {
        self.clock(now);
        let Some(place) = self.of_run(name, run) else { return };
        let own = &mut self.instances[place];
        let (before, inherited) = (own.phase, own.inherited);
        own.checked(self.now, check);
        let phase = own.phase;
        if own.inherited != inherited {
            self.keep(place, out);
        }
        if phase != before {
            out.push(Do::Tell(Line::Phase { name: name.into(), run, phase }));
        }
        self.settle(place, out);
    }

    fn end(&mut self, place: usize, exit: Exit, out: &mut Vec<Do>) {
        let own = &mut self.instances[place];
        let (name, run) = (own.name.clone(), own.kept.run);
        let failed = own.ended(self.now, exit);
        let failures = own.kept.failures;
        out.push(Do::Tell(Line::Ended {
            name: name.clone(),
            run,
            exit,
            failures: if failed { failures } else { 0 },
        }));
        if !failed {
            return;
        }
        own.start_at = self.now + crate::pace::pause(failures, &mut self.rng);
        if failures >= self.rules.most_failures && !std::mem::replace(&mut own.kept.set_aside, true) {
            out.push(Do::Tell(Line::SetAside { name, failures }));
        }
        self.halt(place, out);
    }

    pub fn due(&mut self, now: Tenths, out: &mut Vec<Do>) {
        self.clock(now);
        // One timer counts, the earliest; each that was asked for before it would otherwise ask for one more.
        if self.told_wake.is_some_and(|at| at > self.now) {
            return;
        }
        self.told_wake = None;
        while let Some((at, place)) = self.wakes.first().copied().filter(|w| w.0 <= self.now) {
            self.wakes.remove(&(at, place));
            self.instances[place].wakes = 0;
            self.settle(place, out);
        }
        self.tell_wake(out);
    }

    // ---- what can be asked

    pub fn instances(&self) -> impl Iterator<Item = (&str, &Instance)> {
        self.instances.iter().map(|i| (&*self.stations[i.station].name, i))
    }

    pub fn instance(&self, name: &str) -> Option<&Instance> {
        self.place(name).map(|p| &self.instances[p])
    }

    /// Restarts that a station has left.
    pub fn budget(&self, station: &str) -> Option<f64> {
        let of = self.stations.iter().find(|s| &*s.name == station)?;
        Some(of.budget.left(self.now, &self.rules))
    }

    fn refuse_unkept(&self) -> Result<(), Refused> {
        self.not_kept.clone().map_or(Ok(()), |why| Err(Refused::NotKept(why)))
    }

    /// Of a station: those wanted running, and of these, those that serve.
    fn wanted(&self, station: usize) -> (usize, usize) {
        let own = || self.stations[station].members.iter().map(|&m| &self.instances[m]);
        let wanted = own().filter(|i| i.kept.want == Want::Running).count();
        (wanted, own().filter(|i| i.kept.want == Want::Running && i.serves()).count())
    }
}
