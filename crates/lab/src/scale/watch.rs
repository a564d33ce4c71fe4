//! The thread beside a run: it samples what is taken, and ends the run at a signal or over a bound. The run is given a moment to
//! end in order, as its parts look at the budget in their loops; then its processes are killed by their numbers, its files
//! removed, and this process ends.

use std::path::PathBuf;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

use rustix::process::{Pid, Signal, kill_process};
use signal_hook::consts::{SIGINT, SIGTERM};

use super::budget::{Budget, BudgetError, family};

/// A start of a front takes some 10 ms and 10 MB: no more than a few come between two looks.
const EACH: Duration = Duration::from_millis(50);
/// What a part's loop may take to see that it is over.
const GRACE: Duration = Duration::from_millis(1_500);
/// As shells say it: ended at a signal.
pub const INTERRUPTED: i32 = 130;

pub struct Watch {
    over: Arc<AtomicBool>,
    thread: Option<JoinHandle<()>>,
}

impl Watch {
    pub fn start(budget: Arc<Budget>) -> std::io::Result<Watch> {
        let (signalled, over) = (Arc::new(AtomicBool::new(false)), Arc::new(AtomicBool::new(false)));
        for signal in [SIGINT, SIGTERM] {
            signal_hook::flag::register(signal, signalled.clone())?;
        }
        let ended = over.clone();
        let look = move || watch(&budget, &signalled, &ended);
        let thread = std::thread::Builder::new().name("budget".into()).spawn(look)?;
        Ok(Watch { over, thread: Some(thread) })
    }
}

impl Drop for Watch {
    fn drop(&mut self) {
        self.over.store(true, Ordering::SeqCst);
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

fn watch(budget: &Budget, signalled: &AtomicBool, over: &AtomicBool) {
    while !over.load(Ordering::SeqCst) {
        if signalled.load(Ordering::SeqCst) {
            budget.refuse(BudgetError::Interrupted);
        }
        // One that can't be read now is read at the next look.
        let _ = budget.sample();
        if let Err(why) = budget.check() {
            return end(&why, over);
        }
        std::thread::sleep(EACH);
    }
}

fn end(why: &BudgetError, over: &AtomicBool) {
    let begun = Instant::now();
    while begun.elapsed() < GRACE {
        if over.load(Ordering::SeqCst) {
            return;
        }
        std::thread::sleep(EACH);
    }
    // Twice: one may be started between the look and the end.
    (0..2).for_each(|_| kill_children());
    remove_files();
    eprintln!("doorgrade-lab: {why}");
    std::process::exit(if *why == BudgetError::Interrupted { INTERRUPTED } else { 1 });
}

/// Only this process's own descendants.
fn kill_children() {
    let own = std::process::id();
    for id in family().unwrap_or_default().into_iter().filter(|id| *id != own) {
        let number = i32::try_from(id).ok().and_then(Pid::from_raw);
        let _ = number.map(|p| kill_process(p, Signal::KILL));
    }
}

/// Folders of this process's own: their names have its number.
pub fn files() -> Vec<PathBuf> {
    let own = std::process::id();
    let names = [format!("doorgrade-lab-{own}-"), format!("doorgrade-{own}-")];
    let ours = |p: &PathBuf| {
        let name = p.file_name().and_then(|n| n.to_str()).unwrap_or_default();
        names.iter().any(|n| name.starts_with(n.as_str()))
    };
    let entries = std::fs::read_dir(std::env::temp_dir()).into_iter().flatten().flatten();
    entries.map(|e| e.path()).filter(ours).collect()
}

fn remove_files() {
    for path in files() {
        let _ = if path.is_dir() { std::fs::remove_dir_all(&path) } else { std::fs::remove_file(&path) };
    }
}
