//! An instance as a process: started with a mark in its environment, found by it, and signalled.

use std::fs::OpenOptions;
use std::io;
use std::os::unix::process::CommandExt;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};

use doorgrade_fleet::{Process, Run};
use rustix::process::{Pid, PidfdFlags, Signal, pidfd_open, pidfd_send_signal};

/// How an instance is started.
#[derive(Clone, Debug)]
pub struct ProcessSpec {
    pub name: Box<str>,
    pub program: PathBuf,
    pub listen: String,
    pub config: PathBuf,
    pub settings: Option<PathBuf>,
    pub log: PathBuf,
    pub log_bytes: u64,
}

/// The mark: an environment variable of each instance with the names of its agent and of itself, and its run.
const MARK: &str = "DOORGRADE_INSTANCE";

fn mark(agent: &str, name: &str, run: Run) -> String {
    format!("{agent}/{name}/{run}")
}

/// Parses a mark; None unless it is of this agent.
fn read_mark<'a>(agent: &str, mark: &'a str) -> Option<(&'a str, Run)> {
    let (name, run) = mark.strip_prefix(agent)?.strip_prefix('/')?.rsplit_once('/')?;
    Some((name, run.parse().ok()?))
}

impl ProcessSpec {
    /// Starts the process in a process group of its own, so that signals from the agent's terminal don't reach it.
    pub fn start(&self, agent: &str, run: Run) -> io::Result<Child> {
        rotate_log(&self.log, self.log_bytes);
        let log = OpenOptions::new().create(true).append(true).open(&self.log)?;
        let mut command = Command::new(&self.program);
        command.stdin(Stdio::null()).stdout(log.try_clone()?).stderr(log).process_group(0);
        command
            .env("PROXY_CONFIG", &self.config)
            .env("PROXY_NAME", &*self.name)
            .env("PROXY_LISTEN", &self.listen);
        match &self.settings {
            Some(path) => command.env("DOORGRADE_SETTINGS", path),
            None => command.env("DOORGRADE_SETTINGS", "/dev/null"),
        };
        command.env(MARK, mark(agent, &self.name, run));
        command.spawn()
    }
}

/// Renames a log file that exceeds the size, replacing the one renamed before.
fn rotate_log(log: &Path, max_bytes: u64) {
    if std::fs::metadata(log).is_ok_and(|metadata| metadata.len() > max_bytes) {
        let mut old = log.as_os_str().to_owned();
        old.push(".old");
        let _ = std::fs::rename(log, old);
    }
}

/// The start time of a process, in clock ticks since boot; None if it has exited, also if it was not yet waited for.
pub fn start_time(id: u32) -> Option<u64> {
    let stat = std::fs::read_to_string(format!("/proc/{id}/stat")).ok()?;
    // The name in parentheses may contain any character.
    let (_, rest) = stat.rsplit_once(") ")?;
    let mut fields = rest.split(' ');
    let state = fields.next()?;
    if matches!(state, "Z" | "X" | "x") {
        return None;
    }
    // The state is the third field of the file, the start time the twenty-second.
    fields.nth(18)?.parse().ok()
}

/// Whether the process still runs; another process with its id does not count.
pub fn is_alive(process: Process) -> bool {
    start_time(process.id) == Some(process.start_time)
}

/// All processes of this user with a mark of this agent: instance, run and process.
pub fn find(agent: &str) -> Vec<(Box<str>, Run, Process)> {
    let Ok(all) = std::fs::read_dir("/proc") else { return Vec::new() };
    let ids = all.flatten().filter_map(|entry| entry.file_name().to_str()?.parse::<u32>().ok());
    let prefix = format!("{MARK}=");
    let find_one = |id: u32| {
        // The environments of other users' processes can't be read; those are no instances of this agent.
        let environment = std::fs::read(format!("/proc/{id}/environ")).ok()?;
        let mark = environment
            .split(|&b| b == 0)
            .find_map(|v| std::str::from_utf8(v).ok()?.strip_prefix(&prefix))?;
        let (name, run) = read_mark(agent, mark)?;
        Some((name.into(), run, Process { id, start_time: start_time(id)? }))
    };
    ids.filter_map(find_one).collect()
}

/// Sends a signal to that process and no other. Process ids are reused, so its start time is checked after a pidfd was
/// opened, which refers to the same process from then on.
pub fn signal(process: Process, signal: Signal) -> io::Result<()> {
    let gone = || io::Error::from(io::ErrorKind::NotFound);
    let id = i32::try_from(process.id).ok().and_then(Pid::from_raw).ok_or_else(gone)?;
    let pidfd = pidfd_open(id, PidfdFlags::empty())?;
    if !is_alive(process) {
        return Err(gone());
    }
    Ok(pidfd_send_signal(&pidfd, signal)?)
}
