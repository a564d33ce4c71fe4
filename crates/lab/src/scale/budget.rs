//! What a run may take of the machine: processes and resident memory, its own and its children's. Checked before each start
//! and by a thread of its own while the run goes on.

use std::collections::{BTreeMap, BTreeSet};
use std::fs;
use std::sync::{Mutex, PoisonError};

/// Of any scale run, this one and its children.
pub const MOST_PROCESSES: usize = 300;
pub const MOST_MEMORY_GB: f64 = 12.0;
/// Bytes in what `--memory-gb` and `peak_rss_gb` count.
pub const GB: f64 = 1e9;

/// What is taken at a moment.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Taken {
    pub processes: usize,
    pub resident: u64,
}

/// What is to be taken besides.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Needs {
    pub processes: usize,
    pub resident: u64,
}

#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum BudgetError {
    #[error(
        "{what}: {would} processes, and {most} may run (--processes): start fewer at once, or use smaller --sizes"
    )]
    Processes { what: String, would: usize, most: usize },
    #[error(
        "{what}: {would:.2} GB resident, and {most:.2} may be (--memory-gb): use smaller --sizes or fewer parts (--only)"
    )]
    Memory { what: String, would: f64, most: f64 },
    #[error("{what}: what is taken can't be read in /proc: {why}")]
    Unread { what: String, why: String },
    #[error("interrupted: its processes are ended and its files gone")]
    Interrupted,
}

/// Bounds, the highest that was seen, and why it was refused to go on, once it was.
pub struct Budget {
    most: Needs,
    state: Mutex<State>,
}

#[derive(Default)]
struct State {
    processes: usize,
    resident: u64,
    refused: Option<BudgetError>,
}

impl Budget {
    /// `memory_gb` and `processes` as they were checked by [`super::Options`].
    pub fn new(processes: usize, memory_gb: f64) -> Budget {
        Budget { most: Needs { processes, resident: (memory_gb * GB) as u64 }, state: Mutex::default() }
    }

    fn state(&self) -> std::sync::MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Before anything is started: whether it fits beside what is taken now.
    pub fn may_start(&self, what: &str, needs: Needs) -> Result<(), BudgetError> {
        self.check()?;
        let taken = self.sample()?;
        self.weigh(
            what,
            Taken { processes: taken.processes + needs.processes, resident: taken.resident + needs.resident },
        )
    }

    /// In every long loop: whether the run may go on.
    pub fn check(&self) -> Result<(), BudgetError> {
        self.state().refused.clone().map_or(Ok(()), Err)
    }

    /// Looks at what is taken, remembers the most, and refuses to go on over a bound, from then on for good.
    pub fn sample(&self) -> Result<Taken, BudgetError> {
        let taken =
            taken().map_err(|e| BudgetError::Unread { what: "the run".into(), why: e.to_string() })?;
        let mut state = self.state();
        state.processes = state.processes.max(taken.processes);
        state.resident = state.resident.max(taken.resident);
        drop(state);
        let weighed = self.weigh("the run so far", taken);
        if let Err(why) = &weighed {
            self.refuse(why.clone());
        }
        weighed.map(|()| taken)
    }

    fn weigh(&self, what: &str, would: Taken) -> Result<(), BudgetError> {
        let what = what.to_owned();
        if would.processes > self.most.processes {
            return Err(BudgetError::Processes { what, would: would.processes, most: self.most.processes });
        }
        if would.resident > self.most.resident {
            let gb = |bytes: u64| bytes as f64 / GB;
            return Err(BudgetError::Memory {
                what,
                would: gb(would.resident),
                most: gb(self.most.resident),
            });
        }
        Ok(())
    }

    /// The first reason stays.
    pub fn refuse(&self, why: BudgetError) {
        self.state().refused.get_or_insert(why);
    }

    /// The most that was seen.
    pub fn peak(&self) -> Taken {
        let state = self.state();
        Taken { processes: state.processes, resident: state.resident }
    }
}

/// This process and all that descend from it.
pub fn family() -> std::io::Result<BTreeSet<u32>> {
    let mut children: BTreeMap<u32, Vec<u32>> = BTreeMap::new();
    for entry in fs::read_dir("/proc")? {
        let Some(id) = entry.ok().and_then(|e| e.file_name().to_str()?.parse::<u32>().ok()) else { continue };
        // One that has just ended has no more to read.
        let Ok(stat) = fs::read_to_string(format!("/proc/{id}/stat")) else { continue };
        // After the name in parentheses: its state and its parent.
        let parent = stat.rsplit_once(')').and_then(|(_, rest)| rest.split_whitespace().nth(1)?.parse().ok());
        children.entry(parent.unwrap_or(0)).or_default().push(id);
    }
    let mut all = BTreeSet::new();
    let mut next = vec![std::process::id()];
    while let Some(id) = next.pop() {
        if all.insert(id) {
            next.extend(children.remove(&id).unwrap_or_default());
        }
    }
    Ok(all)
}

/// What this process and its descendants take now.
pub fn taken() -> std::io::Result<Taken> {
    let page = rustix::param::page_size() as u64;
    let all = family()?;
    let resident = |id: &u32| {
        let statm = fs::read_to_string(format!("/proc/{id}/statm")).ok()?;
        statm.split(' ').nth(1)?.parse::<u64>().ok()
    };
    let resident = all.iter().filter_map(resident).sum::<u64>() * page;
    Ok(Taken { processes: all.len(), resident })
}
