//! How many file descriptors this process may use, and how many it was handed at its start.

use doorgrade_operator::version::{MAX_LIMIT as MOST, MIN_SOCKETS as LEAST_SOCKETS};

/// What [`crate::bounds`] counts by itself: standard input, output and error.
const STANDARD: [&str; 3] = ["0", "1", "2"];

/// What the machine lets this process have, less what it inherited.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Descriptors {
    /// The machine's limit on open files.
    pub machine: usize,
    /// Open at the start, beside the standard three.
    pub inherited: usize,
}

impl Default for Descriptors {
    fn default() -> Self {
        Descriptors { machine: MOST as usize, inherited: 0 }
    }
}

impl Descriptors {
    /// Looks at this process. To be called before it opens anything of its own.
    pub fn at_start() -> Self {
        let machine = rustix::process::getrlimit(rustix::process::Resource::Nofile).current;
        Descriptors {
            machine: machine.map_or(MOST as usize, |most| usize::try_from(most).unwrap_or(usize::MAX)),
            inherited: inherited(),
        }
    }

    /// Of a limit that was told, what this front may open itself: the machine's goes before a higher one. Limits are
    /// not raised: whoever set them meant it.
    pub fn own(&self, told: usize) -> usize {
        told.min(self.machine).saturating_sub(self.inherited)
    }

    /// Fails where the machine leaves too few to serve with; the message says what to do.
    pub fn check(&self) -> Result<(), String> {
        let Descriptors { machine, inherited } = self;
        if self.own(*machine) >= LEAST_SOCKETS as usize {
            return Ok(());
        }
        Err(format!(
            "the machine lets this process have {machine} descriptors, {inherited} of them were open at its start, and it \
             needs {LEAST_SOCKETS} of its own at least: raise its limit of open files (ulimit -n, LimitNOFILE)"
        ))
    }
}

/// Open descriptors beside the standard ones; none where the system does not tell.
fn inherited() -> usize {
    let Ok(open) = std::fs::read_dir("/proc/self/fd") else { return 0 };
    let beside_standard =
        open.flatten().filter(|fd| !STANDARD.iter().any(|standard| fd.file_name() == *standard)).count();
    // One of them is the folder that is being read.
    beside_standard.saturating_sub(1)
}
