//! The instances of one agent: the desired against the observed state, and the next step of each.

mod log_event;
mod orders;
mod reports;
mod steps;

use std::collections::{BTreeMap, BTreeSet};

use fastrand::Rng;

use crate::instance::{DesiredState, Instance, PersistedState};
use crate::order::{Operation, OrderRejection};
use crate::pace::{PaceRules, RestartBudget};
use crate::{Process, Run, Ticks};

pub use log_event::LogEvent;

/// An action for the shell to perform; a list of them is performed in order.
#[derive(Clone, Debug, PartialEq)]
pub enum Effect {
    /// Persist this before anything that follows. On failure: [`Fleet::on_journal_error`].
    Persist(Box<str>, PersistedState),
    /// Answered by [`Fleet::on_started`]. The process is marked with the name and the run, by which it can be
    /// found.
    Start {
        name: Box<str>,
        run: Run,
    },
    /// Find all processes with the instance's mark; answered by [`Fleet::on_processes_found`].
    FindProcesses {
        name: Box<str>,
    },
    /// Check its health; answered by [`Fleet::on_checked`].
    Check {
        name: Box<str>,
        run: Run,
    },
    /// Make it send its clients elsewhere, or accept them again. Idempotent; not answered.
    Drain {
        name: Box<str>,
        process: Process,
        on: bool,
    },
    /// Idempotent, since the start time distinguishes the process from another with the same id. Its exit is
    /// reported by [`Fleet::on_exited`].
    Signal {
        name: Box<str>,
        process: Process,
        kill: bool,
    },
    /// Call [`Fleet::on_timer`] at this time; replaces any earlier request.
    SetTimer(Ticks),
    Log(LogEvent),
}

#[derive(Clone, Debug)]
struct Station {
    name: Box<str>,
    /// Indexes of its instances.
    members: Vec<usize>,
    budget: RestartBudget,
    budget_reported: bool,
    /// The number of cold instances as of the station's last change.
    cold_count: usize,
    /// The next instance to start as of then: the share of the station's instances that serve, the instance's
    /// failures, and its index.
    next_start: Option<(f64, u32, usize)>,
}

/// An order; kept for a while after it has finished.
#[derive(Clone, Debug)]
struct OpenOrder {
    by: Box<str>,
    operation: Operation,
    ordered_at: Ticks,
    targets: Vec<usize>,
    halted_by: Option<Box<str>>,
    /// All of it is done, and that was logged.
    finished: bool,
}

/// All instances of one agent, the orders for them, and their timers.
#[derive(Clone, Debug)]
pub struct Fleet {
    rules: PaceRules,
    rng: Rng,
    now: Ticks,
    stations: Vec<Station>,
    instances: Vec<Instance>,
    by_name: BTreeMap<Box<str>, usize>,
    orders: BTreeMap<u64, OpenOrder>,
    next_order: u64,
    timers: BTreeSet<(Ticks, usize)>,
    /// The time of the last `SetTimer`, if that has not come yet.
    requested_timer: Option<Ticks>,
    /// Stations in which an instance waits to be started.
    stations_waiting: BTreeSet<usize>,
    /// Why the last write to the journal failed.
    journal_error: Option<Box<str>>,
}

/// Maximum number of remembered orders, finished ones included, so that their progress can still be queried.
const MAX_ORDERS: usize = 256;
/// After this time without an answer, a search for processes is requested again.
const FIND_RETRY_INTERVAL: Ticks = 10 * crate::TICKS_PER_SECOND;

impl Fleet {
    /// `assignments`: the name and station of each instance; `persisted`: what an earlier agent stored.
    pub fn new(
        now: Ticks,
        rules: PaceRules,
        seed: u64,
        assignments: &[(Box<str>, Box<str>)],
        mut persisted: BTreeMap<Box<str>, PersistedState>,
        effects: &mut Vec<Effect>,
    ) -> Fleet {
        let next_order = persisted.values().map(|s| s.order).max().unwrap_or(0) + 1;
        let mut fleet = Fleet {
            rng: Rng::with_seed(seed),
            now,
            stations: Vec::new(),
            instances: Vec::new(),
            by_name: BTreeMap::new(),
            orders: BTreeMap::new(),
            next_order,
            timers: BTreeSet::new(),
            requested_timer: None,
            stations_waiting: BTreeSet::new(),
            journal_error: None,
            rules,
        };
        for (name, station) in assignments {
            if fleet.by_name.contains_key(name) {
                continue;
            }
            let at = fleet.stations.iter().position(|s| s.name == *station).unwrap_or_else(|| {
                let budget = RestartBudget::full(now, &fleet.rules);
                fleet.stations.push(Station {
                    name: station.clone(),
                    members: Vec::new(),
                    budget,
                    budget_reported: false,
                    cold_count: 0,
                    next_start: None,
                });
                fleet.stations.len() - 1
            });
            let state = persisted.remove(name).unwrap_or_default();
            let mut instance = Instance::new(name, at, now, state);
            // Processes are looked up first, also where nothing was stored: an earlier agent may have started
            // some.
            instance.finding_processes = true;
            effects.push(Effect::FindProcesses { name: name.clone() });
            let index = fleet.instances.len();
            fleet.stations[at].members.push(index);
            fleet.by_name.insert(name.clone(), index);
            fleet.instances.push(instance);
            fleet.set_timer(index, now + FIND_RETRY_INTERVAL);
        }
        fleet.request_timer(effects);
        fleet
    }

    fn advance_clock(&mut self, now: Ticks) {
        // If the clock was set back, the last time is used until it catches up; otherwise timers would be far
        // in the future.
        self.now = self.now.max(now);
    }

    fn set_timer(&mut self, index: usize, at: Ticks) {
        let instance = &mut self.instances[index];
        if instance.timer_at > 0 {
            self.timers.remove(&(instance.timer_at, index));
        }
        instance.timer_at = at.max(1);
        self.timers.insert((instance.timer_at, index));
    }

    fn request_timer(&mut self, effects: &mut Vec<Effect>) {
        let first = self.timers.first().map(|t| t.0);
        if let Some(at) = first.filter(|at| {
            self.requested_timer.is_none_or(|requested| *at < requested || requested <= self.now)
        }) {
            self.requested_timer = Some(at);
            effects.push(Effect::SetTimer(at));
        }
    }

    fn index_of(&self, name: &str) -> Option<usize> {
        self.by_name.get(name).copied()
    }

    /// The index of an instance, if this is its current run.
    fn index_of_run(&self, name: &str, run: Run) -> Option<usize> {
        self.index_of(name)
            .filter(|&i| self.instances[i].persisted.run == run && self.instances[i].persisted.exit.is_none())
    }

    fn persist(&self, index: usize, effects: &mut Vec<Effect>) {
        let instance = &self.instances[index];
        effects.push(Effect::Persist(instance.name.clone(), instance.persisted.clone()));
    }

    /// All instances with their stations.
    pub fn instances(&self) -> impl Iterator<Item = (&str, &Instance)> {
        self.instances.iter().map(|i| (&*self.stations[i.station].name, i))
    }

    /// One instance by name.
    pub fn instance(&self, name: &str) -> Option<&Instance> {
        self.index_of(name).map(|i| &self.instances[i])
    }

    /// The restarts that a station has left.
    pub fn budget(&self, station: &str) -> Option<f64> {
        let station_state = self.stations.iter().find(|s| &*s.name == station)?;
        Some(station_state.budget.remaining(self.now, &self.rules))
    }

    fn check_journal(&self) -> Result<(), OrderRejection> {
        self.journal_error.clone().map_or(Ok(()), |reason| Err(OrderRejection::JournalUnavailable(reason)))
    }

    /// The number of a station's instances that should run, and how many of these serve.
    fn count_desired(&self, station: usize) -> (usize, usize) {
        let members = || self.stations[station].members.iter().map(|&m| &self.instances[m]);
        let desired = members().filter(|i| i.persisted.desired == DesiredState::Running).count();
        (
            desired,
            members().filter(|i| i.persisted.desired == DesiredState::Running && i.is_serving()).count(),
        )
    }
}
