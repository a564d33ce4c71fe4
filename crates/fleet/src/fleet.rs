//! The instances of one agent: what is wanted against what is seen, and the next step for each.

mod line;
mod orders;
mod reports;
mod steps;

use std::collections::{BTreeMap, BTreeSet};

use fastrand::Rng;

use crate::instance::{Instance, Kept, Want};
use crate::order::{Refused, What};
use crate::pace::{Budget, Rules};
use crate::{Process, Run, Ticks};

pub use line::Line;

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
    Wake(Ticks),
    Tell(Line),
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
    at: Ticks,
    targets: Vec<usize>,
    halted: Option<Box<str>>,
    /// All of it is done, and that was told.
    over: bool,
}

/// All instances of one agent, the orders for them, and what is due.
#[derive(Clone, Debug)]
pub struct Fleet {
    rules: Rules,
    rng: Rng,
    now: Ticks,
    stations: Vec<Station>,
    instances: Vec<Instance>,
    by_name: BTreeMap<Box<str>, usize>,
    orders: BTreeMap<u64, Open>,
    next_order: u64,
    wakes: BTreeSet<(Ticks, usize)>,
    told_wake: Option<Ticks>,
    /// Stations in which somebody waits for its start.
    waiting: BTreeSet<usize>,
    /// Why the journal could not be written last.
    not_kept: Option<Box<str>>,
}

/// Orders remembered once they are over, for whoever asks how they went.
const MOST_ORDERS: usize = 256;
/// A look that was not answered is asked for again.
const LOOK_AGAIN: Ticks = 10 * crate::TICKS_PER_SECOND;

impl Fleet {
    /// `places`: each instance with its station; `kept`: what an earlier agent left of them.
    pub fn start(
        now: Ticks,
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

    fn clock(&mut self, now: Ticks) {
        // A clock that was set back does not move what is due into the far future: time stands still until it is reached.
        self.now = self.now.max(now);
    }

    fn wake(&mut self, place: usize, at: Ticks) {
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

    /// All of them, each with its station.
    pub fn instances(&self) -> impl Iterator<Item = (&str, &Instance)> {
        self.instances.iter().map(|i| (&*self.stations[i.station].name, i))
    }

    /// One of them.
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
