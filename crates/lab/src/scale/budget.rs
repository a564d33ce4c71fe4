//! Limits on the processes and the resident memory of a run and its children. They are checked before each start, and by a
//! separate thread while the run goes on.

use std::collections::{BTreeMap, BTreeSet};
use std::fs;
use std::sync::{Mutex, PoisonError};

/// Processes of a scale run, this one among them.
pub const MAX_PROCESSES: usize = 300;
/// Resident memory of a scale run with its children, in units of [`GB`].
pub const MAX_MEMORY_GB: f64 = 12.0;
/// Bytes in a unit of `--memory-gb` and `peak_rss_gb`.
pub const GB: f64 = 1e9;

/// The resources that a run uses at a moment.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Usage {
    pub processes: usize,
    pub resident_bytes: u64,
}

/// The resources that a part of a run needs in addition.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Needs {
    pub processes: usize,
    pub resident_bytes: u64,
}

#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum BudgetError {
    #[error(
        "{what}: {required} processes, and {max} may run (--processes): start fewer at once, or use smaller --sizes"
    )]
    Processes { what: String, required: usize, max: usize },
    #[error(
        "{what}: {required:.2} GB resident, and {max:.2} may be (--memory-gb): use smaller --sizes or fewer parts (--only)"
    )]
    Memory { what: String, required: f64, max: f64 },
    #[error("{what}: can't read the usage from /proc: {reason}")]
    Unreadable { what: String, reason: String },
    #[error("interrupted: its processes are ended and its files removed")]
    Interrupted,
}

/// The limits, the peak usage, and the reason to stop once there is one.
pub struct Budget {
    limits: Needs,
    state: Mutex<State>,
}

#[derive(Default)]
struct State {
    peak_processes: usize,
    peak_resident_bytes: u64,
    stop_reason: Option<BudgetError>,
}

impl Budget {
    /// With `memory_gb` and `processes` as validated by [`super::Options`].
    pub fn new(processes: usize, memory_gb: f64) -> Budget {
        Budget {
            limits: Needs { processes, resident_bytes: (memory_gb * GB) as u64 },
            state: Mutex::default(),
        }
    }

    fn state(&self) -> std::sync::MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Checks before a start whether the needs fit beside the current usage.
    pub fn check_start(&self, what: &str, needs: Needs) -> Result<(), BudgetError> {
        self.check()?;
        let usage = self.sample()?;
        self.check_limits(
            what,
            Usage {
                processes: usage.processes + needs.processes,
                resident_bytes: usage.resident_bytes + needs.resident_bytes,
            },
        )
    }

    /// Whether the run may go on; called in every long loop.
    pub fn check(&self) -> Result<(), BudgetError> {
        self.state().stop_reason.clone().map_or(Ok(()), Err)
    }

    /// Samples the usage and records its peak. Over a limit the run is stopped for good.
    pub fn sample(&self) -> Result<Usage, BudgetError> {
        let usage =
            usage().map_err(|e| BudgetError::Unreadable { what: "the run".into(), reason: e.to_string() })?;
        let mut state = self.state();
        state.peak_processes = state.peak_processes.max(usage.processes);
        state.peak_resident_bytes = state.peak_resident_bytes.max(usage.resident_bytes);
        drop(state);
        let result = self.check_limits("the run so far", usage);
        if let Err(reason) = &result {
            self.stop(reason.clone());
        }
        result.map(|()| usage)
    }

    fn check_limits(&self, what: &str, required: Usage) -> Result<(), BudgetError> {
        let what = what.to_owned();
        if required.processes > self.limits.processes {
            return Err(BudgetError::Processes {
                what,
                required: required.processes,
                max: self.limits.processes,
            });
        }
        if required.resident_bytes > self.limits.resident_bytes {
            let gb = |bytes: u64| bytes as f64 / GB;
            return Err(BudgetError::Memory {
                what,
                required: gb(required.resident_bytes),
                max: gb(self.limits.resident_bytes),
            });
        }
        Ok(())
    }

    /// Makes all further checks fail. The first reason is kept.
    pub fn stop(&self, reason: BudgetError) {
        self.state().stop_reason.get_or_insert(reason);
    }

    /// The highest usage of any sample.
    pub fn peak(&self) -> Usage {
        let state = self.state();
        Usage { processes: state.peak_processes, resident_bytes: state.peak_resident_bytes }
    }
}

/// The ids of this process and all of its descendants.
pub fn process_tree() -> std::io::Result<BTreeSet<u32>> {
    let mut children: BTreeMap<u32, Vec<u32>> = BTreeMap::new();
    for entry in fs::read_dir("/proc")? {
        let Some(id) = entry.ok().and_then(|e| e.file_name().to_str()?.parse::<u32>().ok()) else { continue };
        // Fails for a process that has just ended.
        let Ok(stat) = fs::read_to_string(format!("/proc/{id}/stat")) else { continue };
        // The name in parentheses is followed by the state and the parent.
        let parent = stat.rsplit_once(')').and_then(|(_, rest)| rest.split_whitespace().nth(1)?.parse().ok());
        children.entry(parent.unwrap_or(0)).or_default().push(id);
    }
    let mut tree = BTreeSet::new();
    let mut pending = vec![std::process::id()];
    while let Some(id) = pending.pop() {
        if tree.insert(id) {
            pending.extend(children.remove(&id).unwrap_or_default());
        }
    }
    Ok(tree)
}

/// The current usage of this process and its descendants.
pub fn usage() -> std::io::Result<Usage> {
    let page_size = rustix::param::page_size() as u64;
    let tree = process_tree()?;
    let resident_pages = |id: &u32| {
        let statm = fs::read_to_string(format!("/proc/{id}/statm")).ok()?;
        statm.split(' ').nth(1)?.parse::<u64>().ok()
    };
    let resident_bytes = tree.iter().filter_map(resident_pages).sum::<u64>() * page_size;
    Ok(Usage { processes: tree.len(), resident_bytes })
}
