//! A scale run as a process: options that are out of bounds are rejected before anything starts, and a run that is interrupted
//! or over its budget ends and leaves no processes or files.

use std::path::{Path, PathBuf};
use std::process::{Command, Output, Stdio};
use std::time::{Duration, Instant};

use doorgrade_lab::rig::Folder;
use doorgrade_lab::scale::budget::{process_tree, usage};
use doorgrade_lab::scale::watch::{INTERRUPTED_EXIT_CODE, Watchdog};
use doorgrade_lab::scale::{Budget, BudgetError, GB, Needs};
use rustix::process::{Pid, Signal, kill_process};

fn lab(args: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_doorgrade-lab")).arg("scale").args(args).output().expect("the lab runs")
}

#[test]
fn options_out_of_bounds_are_rejected_by_name_before_anything_starts() {
    let cases: &[(&[&str], &str)] = &[
        (&["--sizes", "0,50,100,150"], "--sizes 0: expected 2 to 10000 instances, each"),
        (&["--sizes", "-5,50,100,150"], "--sizes -5: expected 2 to 10000 instances, each"),
        (&["--sizes", "50,100,150,10001"], "--sizes 10001: expected 2 to 10000 instances, each"),
        (&["--sizes", "50,50,100,150"], "expected 4 sizes or more that differ"),
        (&["--seeds", "0"], "--seeds 0: expected 3 to 30 runs of each size"),
        (&["--seeds", "-3"], "--seeds -3: expected 3 to 30"),
        (&["--seeds", "many"], "--seeds many: expected 3 to 30"),
        (&["--rates", "40,0"], "--rates 0: expected 0.1 to 10000 accesses a second, each"),
        (&["--rates", "-1"], "--rates -1: expected 0.1 to 10000"),
        (&["--rates", "NaN"], "--rates NaN: expected 0.1 to 10000"),
        (&["--change-each-s", "0"], "--change-each-s 0: expected 0.1 to 86400 s on average"),
        (&["--memory-gb", "0"], "--memory-gb 0: expected 0.1 to 12 GB"),
        (&["--memory-gb", "-1"], "--memory-gb -1: expected 0.1 to 12 GB"),
        (&["--memory-gb", "13"], "--memory-gb 13: expected 0.1 to 12 GB"),
        (&["--memory-gb", "inf"], "--memory-gb inf: expected 0.1 to 12 GB"),
        (&["--processes", "0"], "--processes 0: expected 1 to 300 processes"),
        (&["--processes", "301"], "--processes 301: expected 1 to 300 processes"),
        (&["--only", "nothing"], "--only nothing: expected some of service, members, front-state, rollouts"),
        (&["--only", "members", "--sizes", "50,100,150,10000"], "--sizes 10000: members would take"),
    ];
    for (args, expected) in cases {
        let began_at = Instant::now();
        let output = lab(args);
        let stderr = String::from_utf8_lossy(&output.stderr);
        assert!(!output.status.success() && stderr.contains(expected), "{args:?}: {stderr}");
        assert!(output.stdout.is_empty(), "{args:?}: a rejected run printed figures");
        assert!(began_at.elapsed() < Duration::from_secs(10), "{args:?}: something was started first");
    }
}

#[test]
fn a_budget_rejects_a_start_that_does_not_fit_and_allows_others() {
    let resident = usage().expect("/proc").resident_bytes;
    let budget = Budget::new(100, (resident + 500_000_000) as f64 / GB);
    assert_eq!(budget.check_start("one more", Needs { processes: 1, resident_bytes: 1_000_000 }), Ok(()));
    let rejected = budget.check_start("a fleet", Needs { processes: 100, resident_bytes: 0 });
    assert!(matches!(rejected, Err(BudgetError::Processes { max: 100, .. })), "{rejected:?}");
    let rejected = budget.check_start("a large one", Needs { processes: 1, resident_bytes: 600_000_000 });
    assert!(matches!(rejected, Err(BudgetError::Memory { .. })), "{rejected:?}");
    // A rejected start uses nothing, so that others may go on.
    assert_eq!(budget.check(), Ok(()));
    assert!(budget.peak().processes >= 1 && budget.peak().resident_bytes > 0);
}

#[test]
fn a_run_over_its_budget_is_stopped_for_good() {
    let budget = Budget::new(100, 0.000_1);
    assert!(matches!(budget.sample(), Err(BudgetError::Memory { .. })));
    assert!(matches!(budget.check(), Err(BudgetError::Memory { .. })));
    assert!(budget.check_start("one", Needs::default()).is_err());
}

/// Set for the process that is the run in the tests below. With the value `over`, the run exceeds its budget.
const RUN_MODE: &str = "DOORGRADE_LAB_TEST_PLAYS";

/// The run that the tests below start as a process, and no test by itself. It has child processes, files, and a loop that never
/// checks its budget.
#[test]
fn a_run_to_be_interrupted() {
    let Ok(mode) = std::env::var(RUN_MODE) else { return };
    let processes = if mode == "over" { 3 } else { 100 };
    let budget = std::sync::Arc::new(Budget::new(processes, 4.0));
    let _watchdog = Watchdog::start(budget).expect("the watchdog starts");
    let folder = Folder::new("interrupted").expect("a folder");
    folder.put("store", "bytes").expect("a file");
    let sleeper = || Command::new("sleep").arg("600").stdin(Stdio::null()).spawn().expect("sleep starts");
    let children: Vec<_> = (0..3).map(|_| sleeper().id().to_string()).collect();
    let ready = PathBuf::from(std::env::var("DOORGRADE_LAB_TEST_READY").expect("the path of the ready file"));
    std::fs::write(ready.with_extension("part"), children.join(" ")).expect("written");
    std::fs::rename(ready.with_extension("part"), ready).expect("renamed");
    loop {
        std::thread::sleep(Duration::from_secs(1));
    }
}

fn becomes_true(time: Duration, mut holds: impl FnMut() -> bool) -> bool {
    let end = Instant::now() + time;
    while Instant::now() < end {
        if holds() {
            return true;
        }
        std::thread::sleep(Duration::from_millis(20));
    }
    false
}

/// Whether a process has ended. It may still be a zombie that another process has to reap.
fn has_ended(id: &str) -> bool {
    let stat = std::fs::read_to_string(format!("/proc/{id}/stat")).unwrap_or_default();
    stat.is_empty() || stat.rsplit_once(')').is_some_and(|(_, rest)| rest.trim_start().starts_with('Z'))
}

fn assert_ends_and_leaves_nothing(mode: &str, signal: Option<Signal>, expected: &str) {
    let own = Folder::new(&format!("interrupts-{mode}")).expect("a folder");
    let ready = own.path("ready");
    let mut run = Command::new(std::env::current_exe().expect("this program"))
        .args(["a_run_to_be_interrupted", "--exact", "--nocapture", "--test-threads", "1"])
        .env(RUN_MODE, mode)
        .env("DOORGRADE_LAB_TEST_READY", &ready)
        .stdout(Stdio::null())
        .stderr(Stdio::piped())
        .spawn()
        .expect("the run starts");
    let mut children = String::new();
    let started = becomes_true(Duration::from_secs(20), || {
        children = std::fs::read_to_string(&ready).unwrap_or_default();
        !children.is_empty()
    });
    assert!(started, "the run has not started its processes");
    if let Some(signal) = signal {
        let id = Pid::from_raw(run.id() as i32).expect("a process");
        kill_process(id, signal).expect("signalled");
    }
    let ended = becomes_true(Duration::from_secs(20), || run.try_wait().is_ok_and(|s| s.is_some()));
    let run_id = run.id();
    if !ended {
        let _ = run.kill();
    }
    let output = run.wait_with_output().expect("its end");
    let stderr = String::from_utf8_lossy(&output.stderr);
    assert!(ended, "{mode}: the run went on");
    assert!(stderr.contains(expected), "{mode}: {stderr}");
    assert_eq!(
        output.status.code() == Some(INTERRUPTED_EXIT_CODE),
        signal.is_some(),
        "{mode}: {:?}",
        output.status
    );
    for child in children.split(' ') {
        assert!(
            becomes_true(Duration::from_secs(5), || has_ended(child)),
            "{mode}: process {child} was left"
        );
    }
    let left = std::env::temp_dir().join(format!("doorgrade-lab-{run_id}-interrupted"));
    assert!(!Path::new(&left).exists(), "{mode}: files were left");
}

#[test]
fn sigint_ends_the_run_and_removes_its_processes_and_files() {
    assert_ends_and_leaves_nothing("int", Some(Signal::INT), "interrupted");
}

#[test]
fn sigterm_ends_the_run_and_removes_its_processes_and_files() {
    assert_ends_and_leaves_nothing("term", Some(Signal::TERM), "interrupted");
}

#[test]
fn a_run_over_its_budget_ends_by_itself() {
    assert_ends_and_leaves_nothing("over", None, "4 processes, and 3 may run (--processes)");
}

#[test]
fn the_process_tree_is_this_process_and_its_children() {
    let mut child = Command::new("sleep").arg("600").spawn().expect("sleep starts");
    let all = process_tree().expect("/proc");
    let (own, has) = (all.contains(&std::process::id()), all.contains(&child.id()));
    let has_init = all.contains(&1);
    let _ = child.kill();
    let _ = child.wait();
    assert!(own && has && !has_init, "{all:?}");
}

/// The same for the command itself, in the middle of a part.
#[test]
fn sigint_ends_the_command_without_figures() {
    let mut run = Command::new(env!("CARGO_BIN_EXE_doorgrade-lab"))
        .args(["scale", "--only", "members"])
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .expect("the lab starts");
    std::thread::sleep(Duration::from_secs(2));
    let run_id = run.id();
    assert!(run.try_wait().is_ok_and(|s| s.is_none()), "it ended before it was interrupted");
    kill_process(Pid::from_raw(run_id as i32).expect("a process"), Signal::INT).expect("signalled");
    let ended = becomes_true(Duration::from_secs(20), || run.try_wait().is_ok_and(|s| s.is_some()));
    if !ended {
        let _ = run.kill();
    }
    let output = run.wait_with_output().expect("its end");
    let stderr = String::from_utf8_lossy(&output.stderr);
    assert!(
        ended && !output.status.success() && stderr.contains("interrupted"),
        "{:?}: {stderr}",
        output.status
    );
    assert!(output.stdout.is_empty(), "an interrupted run printed figures");
}
