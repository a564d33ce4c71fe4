//! Runs a program of this project as a child process: start, signals, and its log from standard error.

use std::io::{self, BufRead, BufReader};
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Condvar, Mutex, PoisonError};
use std::time::{Duration, Instant};

use rustix::process::{Pid, Signal, kill_process};

use crate::lock;

/// A child process. It is killed on drop.
pub struct Process {
    child: Child,
    /// The child was waited for, so that its process id may belong to another process by now.
    reaped: bool,
    log: Arc<(Mutex<Vec<String>>, Condvar)>,
}

impl Process {
    /// Starts the command and collects its standard error as its log.
    pub fn start(command: &mut Command) -> io::Result<Process> {
        let mut child = command.stdin(Stdio::null()).stderr(Stdio::piped()).spawn()?;
        let log: Arc<(Mutex<Vec<String>>, Condvar)> = Arc::default();
        if let Some(stderr) = child.stderr.take() {
            let log = log.clone();
            std::thread::spawn(move || {
                for line in BufReader::new(stderr).lines().map_while(Result::ok) {
                    lock(&log.0).push(line);
                    log.1.notify_all();
                }
            });
        }
        Ok(Process { child, reaped: false, log })
    }

    pub fn id(&self) -> u32 {
        self.child.id()
    }

    fn signal(&self, signal: Signal) {
        let pid = i32::try_from(self.child.id()).ok().filter(|_| !self.reaped);
        let _ = pid.and_then(Pid::from_raw).map(|p| kill_process(p, signal));
    }

    /// Sends SIGSTOP.
    pub fn suspend(&self) {
        self.signal(Signal::STOP);
    }

    /// Sends SIGCONT.
    pub fn resume(&self) {
        self.signal(Signal::CONT);
    }

    /// Sends SIGHUP.
    pub fn hang_up(&self) {
        self.signal(Signal::HUP);
    }

    /// Sends SIGTERM.
    pub fn terminate(&self) {
        self.signal(Signal::TERM);
    }

    /// Sends SIGKILL and waits for the end of the process.
    pub fn kill(&mut self) {
        let _ = self.child.kill();
        self.reaped |= self.child.wait().is_ok();
    }

    pub fn is_running(&mut self) -> bool {
        self.reaped |= !matches!(self.child.try_wait(), Ok(None));
        !self.reaped
    }

    pub fn log_lines(&self) -> Vec<String> {
        lock(&self.log.0).clone()
    }

    /// Waits for the first log line that contains `text`.
    pub fn wait_for_log(&self, text: &str, timeout: Duration) -> Option<String> {
        let deadline = Instant::now() + timeout;
        let mut lines = lock(&self.log.0);
        loop {
            if let Some(found) = lines.iter().find(|l| l.contains(text)) {
                return Some(found.clone());
            }
            let remaining = deadline.checked_duration_since(Instant::now())?;
            lines = self.log.1.wait_timeout(lines, remaining).unwrap_or_else(PoisonError::into_inner).0;
        }
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
    }
}
