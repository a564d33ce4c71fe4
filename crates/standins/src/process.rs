//! A program of this project's as a process: started, stopped in its tracks, woken, killed; its log read.

use std::io::{self, BufRead, BufReader};
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Condvar, Mutex, PoisonError};
use std::time::{Duration, Instant};

use rustix::process::{Pid, Signal, kill_process};

use crate::lock;

pub struct Process {
    child: Child,
    /// Its number is not this child's any more.
    reaped: bool,
    log: Arc<(Mutex<Vec<String>>, Condvar)>,
}

impl Process {
    /// Its standard error is its log.
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
        let number = i32::try_from(self.child.id()).ok().filter(|_| !self.reaped);
        let _ = number.and_then(Pid::from_raw).map(|p| kill_process(p, signal));
    }

    pub fn stop(&self) {
        self.signal(Signal::STOP);
    }

    pub fn wake(&self) {
        self.signal(Signal::CONT);
    }

    pub fn hang_up(&self) {
        self.signal(Signal::HUP);
    }

    pub fn terminate(&self) {
        self.signal(Signal::TERM);
    }

    /// SIGKILL; it is gone when this returns.
    pub fn kill(&mut self) {
        let _ = self.child.kill();
        self.reaped |= self.child.wait().is_ok();
    }

    pub fn alive(&mut self) -> bool {
        self.reaped |= !matches!(self.child.try_wait(), Ok(None));
        !self.reaped
    }

    pub fn lines(&self) -> Vec<String> {
        lock(&self.log.0).clone()
    }

    /// The first line that has this in it, as soon as there is one.
    pub fn line(&self, text: &str, within: Duration) -> Option<String> {
        let end = Instant::now() + within;
        let mut lines = lock(&self.log.0);
        loop {
            if let Some(found) = lines.iter().find(|l| l.contains(text)) {
                return Some(found.clone());
            }
            let left = end.checked_duration_since(Instant::now())?;
            lines = self.log.1.wait_timeout(lines, left).unwrap_or_else(PoisonError::into_inner).0;
        }
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
    }
}
