//! Watches a process from its first instruction: every system call, each thread and each program that it starts.
//! It is traced by the thread that started it, which needs no rights beyond those of a parent.

use std::collections::BTreeMap;
use std::io::Write;
use std::process::{ChildStderr, Command, Stdio};
use std::sync::mpsc::{Receiver, channel};
use std::sync::{Arc, Mutex};

use nix::sys::ptrace::{self, Event, Options};
use nix::sys::signal::Signal;
use nix::sys::wait::{WaitPidFlag, WaitStatus, waitpid};
use nix::unistd::Pid;

const THREAD: u64 = 0x0001_0000; // CLONE_THREAD
const NO_ANSWER: i64 = -38; // ENOSYS
const TRAP: i32 = 5; // SIGTRAP
const DATAGRAM: u64 = 2; // SOCK_DGRAM

/// What was seen so far.
#[derive(Clone, Debug, Default)]
pub struct Seen {
    /// What `run` may not do, in words.
    pub faults: Vec<String>,
    pub threads: usize,
    pub listens: usize,
    programs: usize,
    /// System calls by number.
    pub calls: BTreeMap<u64, u64>,
}

impl Seen {
    fn fault(&mut self, what: String) {
        if self.faults.len() < 50 {
            self.faults.push(what);
        }
    }

    fn call(&mut self, pid: Pid, number: u64, args: [u64; 3]) {
        *self.calls.entry(number).or_default() += 1;
        match number {
            56 | 435 => {
                let flags = match number {
                    56 => args[0],
                    // clone3 has its flags in the first word that its argument points at.
                    _ => ptrace::read(pid, args[0] as ptrace::AddressType).unwrap_or(0) as u64,
                };
                match flags & THREAD {
                    0 => self.fault("it starts another process".into()),
                    _ => self.threads += 1,
                }
            }
            57 | 58 => self.fault("it starts another process".into()),
            59 | 322 => {
                // The shell's one `exec`, and no more.
                self.programs += 1;
                if self.programs > 1 {
                    self.fault("it executes another program".into());
                }
            }
            425..=427 => self.fault("it uses io_uring".into()),
            275 | 276 | 278 => self.fault("it uses splice".into()),
            40 => self.fault("it uses sendfile".into()),
            41 | 53 if args[0] == 1 => self.fault("it opens a Unix socket".into()),
            41 | 53 if args[0] != 2 => self.fault(format!("it opens a socket of family {}", args[0])),
            41 if args[1] & 0xf == DATAGRAM => self.fault("it opens a datagram socket".into()),
            50 => {
                self.listens += 1;
                if self.listens > 1 {
                    self.fault("it listens more than once".into());
                }
            }
            _ => {}
        }
    }
}

/// A process under watch. Dropped, it is ended.
pub struct Watched {
    pub pid: u32,
    pub seen: Arc<Mutex<Seen>>,
    ended: Receiver<Option<i32>>,
}

impl Watched {
    /// Its exit code, once it has ended; none if a signal ended it.
    pub fn end(&self) -> Option<i32> {
        self.ended.recv_timeout(std::time::Duration::from_secs(60)).expect("it ends")
    }

    pub fn faults(&self) -> Vec<String> {
        self.seen.lock().unwrap().faults.clone()
    }

    /// Processor time so far, in hundredths of a second, and system calls.
    pub fn spent(&self) -> (u64, u64) {
        let stat = std::fs::read_to_string(format!("/proc/{}/stat", self.pid)).unwrap_or_default();
        let after = stat.rsplit_once(") ").map_or("", |(_, rest)| rest);
        let ticks = after.split(' ').skip(11).take(2).filter_map(|word| word.parse::<u64>().ok()).sum();
        (ticks, self.seen.lock().unwrap().calls.values().sum())
    }

    pub fn threads_now(&self) -> usize {
        std::fs::read_dir(format!("/proc/{}/task", self.pid)).map_or(0, Iterator::count)
    }
}

impl Drop for Watched {
    fn drop(&mut self) {
        if self.ended.try_recv().is_err() {
            let _ = nix::sys::signal::kill(Pid::from_raw(self.pid as i32), Signal::SIGKILL);
        }
    }
}

/// Starts the command by the shell as the platform does, under watch before its first word is read.
pub fn watch(run: &str, prepare: impl FnOnce(&mut Command)) -> (Watched, ChildStderr) {
    let mut command = Command::new("/bin/sh");
    // The shell waits for a line, and is seized meanwhile.
    command.arg("-c").arg(format!("read -r go\n{run}")).stdin(Stdio::piped());
    command.stdout(Stdio::null()).stderr(Stdio::piped());
    prepare(&mut command);
    let seen = Arc::new(Mutex::new(Seen { threads: 1, ..Seen::default() }));
    let (begun, start) = channel();
    let (end, ended) = channel();
    let kept = seen.clone();
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
        let _ = begun.send((child.id(), child.stderr.take().unwrap()));
        // Its first stop comes before it is let on.
        let first = waitpid(pid, Some(WaitPidFlag::__WALL));
        assert!(matches!(first, Ok(WaitStatus::PtraceEvent(..))), "{first:?}");
        ptrace::syscall(pid, None).unwrap();
        let _ = stdin.write_all(b"go\n");
        let _ = end.send(follow(pid, &kept));
        let _ = child.wait();
    });
    let (pid, log) = start.recv().expect("it starts");
    (Watched { pid, seen, ended }, log)
}

/// Heeds every stop until the process and all that it started have ended.
fn follow(first: Pid, seen: &Mutex<Seen>) -> Option<i32> {
    let mut code = None;
    // Only children of this thread: others of this program are others' affair.
    while let Ok(status) = waitpid(None, Some(WaitPidFlag::__WALL | WaitPidFlag::__WNOTHREAD)) {
        // A thread that is gone meanwhile can't be let on; its end comes by itself.
        let _ = match status {
            WaitStatus::PtraceSyscall(pid) => {
                // At the entry the kernel has put ENOSYS where the answer will stand.
                if let Some(regs) = ptrace::getregs(pid).ok().filter(|regs| regs.rax as i64 == NO_ANSWER) {
                    seen.lock().unwrap().call(pid, regs.orig_rax, [regs.rdi, regs.rsi, regs.rdx]);
                }
                ptrace::syscall(pid, None)
            }
            WaitStatus::PtraceEvent(pid, _, event) => {
                if event == Event::PTRACE_EVENT_EXEC as i32 {
                    let maps = std::fs::read_to_string(format!("/proc/{pid}/maps")).unwrap_or_default();
                    if !maps.contains("/ld-linux") {
                        seen.lock().unwrap().fault("it is not linked dynamically".into());
                    }
                }
                ptrace::syscall(pid, None)
            }
            WaitStatus::Stopped(pid, signal) => {
                ptrace::syscall(pid, (signal as i32 != TRAP).then_some(signal))
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
