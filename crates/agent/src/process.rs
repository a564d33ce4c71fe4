//! An instance as a process.

use std::fs::OpenOptions;
use std::io;
use std::os::unix::process::CommandExt;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};

use doorgrade_fleet::{Process, Run};
use rustix::process::{Pid, PidfdFlags, Signal, pidfd_open, pidfd_send_signal};

/// What an instance is started as.
#[derive(Clone, Debug)]
pub struct Spec {
    pub name: Box<str>,
    pub program: PathBuf,
    pub listen: String,
    pub config: PathBuf,
    pub settings: Option<PathBuf>,
    pub log: PathBuf,
    pub log_bytes: u64,
}

/// In the environment of each instance: whose it is, its name, and which start.
const MARK: &str = "DOORGRADE_INSTANCE";

fn mark(agent: &str, name: &str, run: Run) -> String {
    format!("{agent}/{name}/{run}")
}

/// The name and run of a mark of this agent's.
fn read_mark<'a>(agent: &str, told: &'a str) -> Option<(&'a str, Run)> {
    let (name, run) = told.strip_prefix(agent)?.strip_prefix('/')?.rsplit_once('/')?;
    Some((name, run.parse().ok()?))
}

impl Spec {
    /// Starts it, in a group of its own, so that what ends the agent's terminal does not end it.
    pub fn start(&self, agent: &str, run: Run) -> io::Result<Child> {
        keep_short(&self.log, self.log_bytes);
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

/// A log that has grown long is kept once more under another name.
fn keep_short(log: &Path, most: u64) {
    if std::fs::metadata(log).is_ok_and(|about| about.len() > most) {
        let mut old = log.as_os_str().to_owned();
        old.push(".old");
        let _ = std::fs::rename(log, old);
    }
}

/// When the kernel says that a process began; none if it is gone, or ended and not yet waited for.
pub fn born(id: u32) -> Option<u64> {
    let stat = std::fs::read_to_string(format!("/proc/{id}/stat")).ok()?;
    // The name, in brackets, may hold anything.
    let (_, rest) = stat.rsplit_once(") ")?;
    let mut fields = rest.split(' ');
    let state = fields.next()?;
    if matches!(state, "Z" | "X" | "x") {
        return None;
    }
    // The state is the third field of all, the birth the twenty-second.
    fields.nth(18)?.parse().ok()
}

pub fn lives(process: Process) -> bool {
    born(process.id) == Some(process.start_time)
}

/// All processes of this user that carry a mark of this agent's, by instance.
pub fn find(agent: &str) -> Vec<(Box<str>, Run, Process)> {
    let Ok(all) = std::fs::read_dir("/proc") else { return Vec::new() };
    let ids = all.flatten().filter_map(|entry| entry.file_name().to_str()?.parse::<u32>().ok());
    let begin = format!("{MARK}=");
    let one = |id: u32| {
        // Others' environments can't be read, and are nobody's here.
        let environment = std::fs::read(format!("/proc/{id}/environ")).ok()?;
        let told =
            environment.split(|&b| b == 0).find_map(|v| std::str::from_utf8(v).ok()?.strip_prefix(&begin))?;
        let (name, run) = read_mark(agent, told)?;
        Some((name.into(), run, Process { id, start_time: born(id)? }))
    };
    ids.filter_map(one).collect()
}

/// Sends a signal to that process and no other: ids are used again, so it is held while its birth is looked at.
pub fn signal(process: Process, signal: Signal) -> io::Result<()> {
    let gone = || io::Error::from(io::ErrorKind::NotFound);
    let id = i32::try_from(process.id).ok().and_then(Pid::from_raw).ok_or_else(gone)?;
    let held = pidfd_open(id, PidfdFlags::empty())?;
    if !lives(process) {
        return Err(gone());
    }
    Ok(pidfd_send_signal(&held, signal)?)
}
