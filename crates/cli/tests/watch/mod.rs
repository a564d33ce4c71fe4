//! Traces a process from its first instruction: every system call, and each thread and program that it starts. The thread
//! that started the process traces it with ptrace, which needs no privileges beyond those of a parent.

use std::collections::BTreeMap;
use std::io::Write;
use std::process::{ChildStderr, Command, Stdio};
use std::sync::mpsc::{Receiver, channel};
use std::sync::{Arc, Mutex};

use nix::sys::ptrace::{self, Event, Options};
use nix::sys::signal::Signal;
use nix::sys::wait::{WaitPidFlag, WaitStatus, waitpid};
use nix::unistd::Pid;

const CLONE_THREAD: u64 = 0x0001_0000;
const ENOSYS_RESULT: i64 = -38;
const SIGTRAP: i32 = 5;
const SOCK_DGRAM: u64 = 2;

/// What was observed so far.
#[derive(Clone, Debug, Default)]
pub struct Observed {
    /// What `run` must not do but the process did.
    pub violations: Vec<String>,
    pub threads: usize,
    pub listens: usize,
    programs: usize,
    /// System calls by number.
    pub calls: BTreeMap<u64, u64>,
}

impl Observed {
    fn violation(&mut self, violation: String) {
        if self.violations.len() < 50 {
            self.violations.push(violation);
        }
    }

    fn call(&mut self, pid: Pid, number: u64, args: [u64; 3]) {
        *self.calls.entry(number).or_default() += 1;
        match number {
            // clone, clone3
            56 | 435 => {
                let flags = match number {
                    56 => args[0],
                    // clone3 takes a pointer to a struct that begins with the flags.
                    _ => ptrace::read(pid, args[0] as ptrace::AddressType).unwrap_or(0) as u64,
                };
                match flags & CLONE_THREAD {
                    0 => self.violation("it starts another process".into()),
                    _ => self.threads += 1,
                }
            }
            // fork, vfork
            57 | 58 => self.violation("it starts another process".into()),
            // execve, execveat
            59 | 322 => {
                // Only the one `exec` of the shell is allowed.
                self.programs += 1;
                if self.programs > 1 {
                    self.violation("it executes another program".into());
                }
            }
            425..=427 => self.violation("it uses io_uring".into()),
            275 | 276 | 278 => self.violation("it uses splice".into()),
            40 => self.violation("it uses sendfile".into()),
            // socket, socketpair
            41 | 53 if args[0] == 1 => self.violation("it opens a Unix socket".into()),
            41 | 53 if args[0] != 2 => self.violation(format!("it opens a socket of family {}", args[0])),
            41 if args[1] & 0xf == SOCK_DGRAM => self.violation("it opens a datagram socket".into()),
            // listen
            50 => {
                self.listens += 1;
                if self.listens > 1 {
                    self.violation("it listens more than once".into());
                }
            }
            _ => {}
        }
    }
}

/// A traced process; killed when dropped.
pub struct Traced {
    pub pid: u32,
    pub observed: Arc<Mutex<Observed>>,
    exit_code: Receiver<Option<i32>>,
}

impl Traced {
    /// Waits for its exit code; `None` if a signal killed it.
    pub fn wait_for_exit(&self) -> Option<i32> {
        self.exit_code.recv_timeout(std::time::Duration::from_secs(60)).expect("the process exits")
    }

    pub fn violations(&self) -> Vec<String> {
        self.observed.lock().unwrap().violations.clone()
    }

    /// Processor time so far, in hundredths of a second, and the number of system calls.
    pub fn usage(&self) -> (u64, u64) {
        let stat = std::fs::read_to_string(format!("/proc/{}/stat", self.pid)).unwrap_or_default();
        let fields = stat.rsplit_once(") ").map_or("", |(_, rest)| rest);
        let ticks = fields.split(' ').skip(11).take(2).filter_map(|field| field.parse::<u64>().ok()).sum();
        (ticks, self.observed.lock().unwrap().calls.values().sum())
    }

    pub fn threads_now(&self) -> usize {
        std::fs::read_dir(format!("/proc/{}/task", self.pid)).map_or(0, Iterator::count)
    }
}

impl Drop for Traced {
    fn drop(&mut self) {
        if self.exit_code.try_recv().is_err() {
            let _ = nix::sys::signal::kill(Pid::from_raw(self.pid as i32), Signal::SIGKILL);
        }
    }
}

/// Starts the command with the shell as the platform does, traced before the shell runs it.
pub fn trace(run: &str, prepare: impl FnOnce(&mut Command)) -> (Traced, ChildStderr) {
    let mut command = Command::new("/bin/sh");
    // The shell waits for a line on its standard input until it is traced.
    command.arg("-c").arg(format!("read -r go\n{run}")).stdin(Stdio::piped());
    command.stdout(Stdio::null()).stderr(Stdio::piped());
    prepare(&mut command);
    let observed = Arc::new(Mutex::new(Observed { threads: 1, ..Observed::default() }));
    let (start_sender, start) = channel();
    let (exit_sender, exit_code) = channel();
    let thread_observed = observed.clone();
    std::thread::spawn(move || {
        let mut child = command.spawn().expect("the shell starts");
        let pid = Pid::from_raw(child.id() as i32);
        let options = Options::PTRACE_O_TRACECLONE
            | Options::PTRACE_O_TRACEFORK
            | Options::PTRACE_O_TRACEVFORK
            | Options::PTRACE_O_TRACEEXEC
            | Options::PTRACE_O_TRACESYSGOOD
            | Options::PTRACE_O_EXITKILL;
        ptrace::seize(pid, options).expect("a parent may trace its child");
        ptrace::interrupt(pid).unwrap();
        let mut stdin = child.stdin.take().unwrap();
        let _ = start_sender.send((child.id(), child.stderr.take().unwrap()));
        // Its first stop must come before it continues.
        let first = waitpid(pid, Some(WaitPidFlag::__WALL));
        assert!(matches!(first, Ok(WaitStatus::PtraceEvent(..))), "{first:?}");
        ptrace::syscall(pid, None).unwrap();
        let _ = stdin.write_all(b"go\n");
        let _ = exit_sender.send(handle_stops(pid, &thread_observed));
        let _ = child.wait();
    });
    let (pid, log) = start.recv().expect("the process starts");
    (Traced { pid, observed, exit_code }, log)
}

/// Handles every stop until the process and all that it started have exited; the exit code of the first.
fn handle_stops(first: Pid, observed: &Mutex<Observed>) -> Option<i32> {
    let mut code = None;
    // Only children of this thread: other tests of this program have children of their own.
    while let Ok(status) = waitpid(None, Some(WaitPidFlag::__WALL | WaitPidFlag::__WNOTHREAD)) {
        // A thread that has been killed meanwhile can't be continued; its exit is reported separately.
        let _ = match status {
            WaitStatus::PtraceSyscall(pid) => {
                // At the entry of a system call the result register holds ENOSYS.
                if let Some(regs) = ptrace::getregs(pid).ok().filter(|regs| regs.rax as i64 == ENOSYS_RESULT)
                {
                    observed.lock().unwrap().call(pid, regs.orig_rax, [regs.rdi, regs.rsi, regs.rdx]);
                }
                ptrace::syscall(pid, None)
            }
            WaitStatus::PtraceEvent(pid, _, event) => {
                if event == Event::PTRACE_EVENT_EXEC as i32 {
                    let maps = std::fs::read_to_string(format!("/proc/{pid}/maps")).unwrap_or_default();
                    if !maps.contains("/ld-linux") {
                        observed.lock().unwrap().violation("it is not linked dynamically".into());
                    }
                }
                ptrace::syscall(pid, None)
            }
            WaitStatus::Stopped(pid, signal) => {
                ptrace::syscall(pid, (signal as i32 != SIGTRAP).then_some(signal))
            }
            WaitStatus::Exited(pid, status) => {
                code = if pid == first { Some(status) } else { code };
                Ok(())
            }
            _ => Ok(()),
        };
    }
    code
}
