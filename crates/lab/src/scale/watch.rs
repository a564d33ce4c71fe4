//! The watchdog thread of a run: it samples the usage, and ends the run at a signal or over a limit. The run first gets a
//! grace period to end in order, as its parts check the budget in their loops. After that its child processes are killed,
//! its files are removed, and this process exits.

use std::path::PathBuf;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

use rustix::process::{Pid, Signal, kill_process};
use signal_hook::consts::{SIGINT, SIGTERM};

use super::budget::{Budget, BudgetError, process_tree};

/// A front takes some 10 ms and 10 MB to start, so no more than a few can start between two samples.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(50);
/// Time for a part's loop to see that the run has to end.
const GRACE_PERIOD: Duration = Duration::from_millis(1_500);
/// Exit code of a run that a signal ended, by the convention of shells.
pub const INTERRUPTED_EXIT_CODE: i32 = 130;

pub struct Watchdog {
    done: Arc<AtomicBool>,
    thread: Option<JoinHandle<()>>,
}

impl Watchdog {
    pub fn start(budget: Arc<Budget>) -> std::io::Result<Watchdog> {
        let (signalled, done) = (Arc::new(AtomicBool::new(false)), Arc::new(AtomicBool::new(false)));
        for signal in [SIGINT, SIGTERM] {
            signal_hook::flag::register(signal, signalled.clone())?;
        }
        let run_done = done.clone();
        let watch = move || watch(&budget, &signalled, &run_done);
        let thread = std::thread::Builder::new().name("budget".into()).spawn(watch)?;
        Ok(Watchdog { done, thread: Some(thread) })
    }
}

impl Drop for Watchdog {
    fn drop(&mut self) {
        self.done.store(true, Ordering::SeqCst);
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

fn watch(budget: &Budget, signalled: &AtomicBool, done: &AtomicBool) {
    while !done.load(Ordering::SeqCst) {
        if signalled.load(Ordering::SeqCst) {
            budget.stop(BudgetError::Interrupted);
        }
        // A usage that can't be read is read again with the next sample.
        let _ = budget.sample();
        if let Err(reason) = budget.check() {
            return end_run(&reason, done);
        }
        std::thread::sleep(SAMPLE_INTERVAL);
    }
}

fn end_run(reason: &BudgetError, done: &AtomicBool) {
    let began_at = Instant::now();
    while began_at.elapsed() < GRACE_PERIOD {
        if done.load(Ordering::SeqCst) {
            return;
        }
        std::thread::sleep(SAMPLE_INTERVAL);
    }
    // Twice, since a process may start while the first pass kills the others.
    (0..2).for_each(|_| kill_children());
    remove_temporary_files();
    eprintln!("doorgrade-lab: {reason}");
    std::process::exit(if *reason == BudgetError::Interrupted { INTERRUPTED_EXIT_CODE } else { 1 });
}

/// Kills this process's descendants and no others.
fn kill_children() {
    let own = std::process::id();
    for id in process_tree().unwrap_or_default().into_iter().filter(|id| *id != own) {
        let pid = i32::try_from(id).ok().and_then(Pid::from_raw);
        let _ = pid.map(|p| kill_process(p, Signal::KILL));
    }
}

/// Temporary files and folders of this process, which have its id in their names.
pub fn temporary_files() -> Vec<PathBuf> {
    let own = std::process::id();
    let prefixes = [format!("doorgrade-lab-{own}-"), format!("doorgrade-{own}-")];
    let is_own = |p: &PathBuf| {
        let name = p.file_name().and_then(|n| n.to_str()).unwrap_or_default();
        prefixes.iter().any(|n| name.starts_with(n.as_str()))
    };
    let entries = std::fs::read_dir(std::env::temp_dir()).into_iter().flatten().flatten();
    entries.map(|e| e.path()).filter(is_own).collect()
}

fn remove_temporary_files() {
    for path in temporary_files() {
        let _ = if path.is_dir() { std::fs::remove_dir_all(&path) } else { std::fs::remove_file(&path) };
    }
}
