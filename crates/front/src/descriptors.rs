//! How many file descriptors this process may use, and how many it inherited.

use doorgrade_operator::version::{MAX_LIMIT, MIN_SOCKETS};

/// Counted by [`crate::bounds`] itself: standard input, output and error.
const STANDARD: [&str; 3] = ["0", "1", "2"];

/// The descriptors that this process may open: the system's limit, less the inherited ones.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Descriptors {
    /// The system's limit on open files.
    pub limit: usize,
    /// Open at the start, besides the standard three.
    pub inherited: usize,
}

impl Default for Descriptors {
    fn default() -> Self {
        Descriptors { limit: MAX_LIMIT as usize, inherited: 0 }
    }
}

impl Descriptors {
    /// Reads them for this process. To be called before it opens any file.
    pub fn at_start() -> Self {
        let limit = rustix::process::getrlimit(rustix::process::Resource::Nofile).current;
        Descriptors {
            limit: limit.map_or(MAX_LIMIT as usize, |limit| usize::try_from(limit).unwrap_or(usize::MAX)),
            inherited: inherited(),
        }
    }

    /// How many of `wanted` descriptors this front may open itself. The system's limit caps it, and is not
    /// raised, since it was set on purpose.
    pub fn usable(&self, wanted: usize) -> usize {
        wanted.min(self.limit).saturating_sub(self.inherited)
    }

    /// Fails if the system's limit leaves too few to serve with.
    pub fn check(&self) -> Result<(), String> {
        let Descriptors { limit, inherited } = self;
        if self.usable(*limit) >= MIN_SOCKETS as usize {
            return Ok(());
        }
        Err(format!(
            "this process may open {limit} files, {inherited} were open at its start, and it needs at least \
             {MIN_SOCKETS} more: raise its limit of open files (ulimit -n, LimitNOFILE)"
        ))
    }
}

/// Open descriptors besides the standard ones; 0 if the system does not list them.
fn inherited() -> usize {
    let Ok(open) = std::fs::read_dir("/proc/self/fd") else { return 0 };
    let beside_standard =
        open.flatten().filter(|fd| !STANDARD.iter().any(|standard| fd.file_name() == *standard)).count();
    // One of them is the directory that is being read.
    beside_standard.saturating_sub(1)
}
