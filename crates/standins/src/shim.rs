//! Faults of the system under a process of this project's: a library that is preloaded makes its system calls fail,
//! its threads stall and its wall clock step. What goes wrong is set while the process runs.

use std::ffi::OsString;
use std::fs::{File, OpenOptions};
use std::io;
use std::os::unix::fs::FileExt;
use std::path::{Path, PathBuf};
use std::process::Command;
use std::sync::OnceLock;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::{Duration, Instant};

const SOURCE: &str = include_str!("../shim/faults.c");
const WORD: usize = std::mem::size_of::<i64>();
const PLACES: usize = 64;

/// What a test sets. The numbers are the places in the shared file, as in `shim/faults.c`.
#[derive(Clone, Copy, Debug)]
pub enum Fault {
    Seed = 0,
    /// Nanoseconds that are added to the wall clock.
    ClockOffsetNs = 1,
    /// While it is 1, the main thread is held as it wakes from a wait.
    HoldMain = 2,
    /// While it is 1, a thread that waits for sockets is held as it wakes.
    HoldIo = 3,
    /// Of the calls of accept, socket and connect, so many in a thousand fail.
    FailPerMille = 4,
    /// Of the waits for sockets, so many in a thousand are interrupted.
    InterruptPerMille = 5,
    /// Of the reads and writes on sockets, so many in a thousand are cut short.
    ShortPerMille = 6,
    /// Of the reads that bring something on connections made by the process, so many in a thousand find theirs lost.
    LosePerMille = 7,
    /// Of the wakings of either thread, so many in a thousand are late, by [`Fault::StallUs`] at the most.
    StallPerMille = 8,
    StallUs = 9,
    /// Writes and syncs of files fail with this error, unless it is 0.
    DiskErrno = 10,
}

/// What the library counts.
#[derive(Clone, Copy, Debug)]
pub enum Seen {
    /// 1 while the thread is held.
    MainHeld = 32,
    IoHeld = 33,
    Accepted = 34,
    /// Reads on sockets that brought something.
    Received = 35,
    Failed = 36,
    Interrupted = 37,
    CutShort = 38,
    Lost = 39,
    Stalled = 40,
    DiskFailed = 41,
}

/// The faults of one process.
pub struct Shim {
    words: File,
    path: PathBuf,
}

impl Shim {
    /// No faults yet. The process is to be started with [`Shim::environment`].
    pub fn new(seed: u64) -> io::Result<Shim> {
        static NUMBER: AtomicUsize = AtomicUsize::new(0);
        let number = NUMBER.fetch_add(1, Ordering::SeqCst);
        let path = std::env::temp_dir().join(format!("doorgrade-faults-{}-{number}", std::process::id()));
        let words = OpenOptions::new().read(true).write(true).create(true).truncate(true).open(&path)?;
        words.set_len((PLACES * WORD) as u64)?;
        let shim = Shim { words, path };
        shim.set(Fault::Seed, seed as i64)?;
        Ok(shim)
    }

    /// What the process needs in its environment.
    pub fn environment(&self) -> io::Result<Vec<(&'static str, OsString)>> {
        let library = library()?.as_os_str().to_owned();
        Ok(vec![("LD_PRELOAD", library), ("DOORGRADE_FAULTS", self.path.as_os_str().to_owned())])
    }

    pub fn set(&self, fault: Fault, value: i64) -> io::Result<()> {
        self.words.write_all_at(&value.to_ne_bytes(), (fault as usize * WORD) as u64)
    }

    pub fn seen(&self, what: Seen) -> io::Result<i64> {
        let mut word = [0; WORD];
        self.words.read_exact_at(&mut word, (what as usize * WORD) as u64)?;
        Ok(i64::from_ne_bytes(word))
    }

    /// Waits until a count has come to this.
    pub fn until(&self, what: Seen, least: i64, within: Duration) -> io::Result<()> {
        let begun = Instant::now();
        while self.seen(what)? < least {
            if begun.elapsed() > within {
                return Err(io::Error::new(io::ErrorKind::TimedOut, format!("{what:?} is not {least}")));
            }
            std::thread::sleep(Duration::from_millis(1));
        }
        Ok(())
    }
}

impl Drop for Shim {
    fn drop(&mut self) {
        let _ = std::fs::remove_file(&self.path);
    }
}

/// The library, compiled once for all tests of a process.
fn library() -> io::Result<&'static Path> {
    static LIBRARY: OnceLock<Result<PathBuf, String>> = OnceLock::new();
    LIBRARY.get_or_init(compile).as_deref().map_err(|why| io::Error::other(why.clone()))
}

fn compile() -> Result<PathBuf, String> {
    let folder = std::env::temp_dir().join(format!("doorgrade-shim-{}", std::process::id()));
    std::fs::create_dir_all(&folder).map_err(|e| e.to_string())?;
    let (source, library) = (folder.join("faults.c"), folder.join("faults.so"));
    std::fs::write(&source, SOURCE).map_err(|e| e.to_string())?;
    let compiler = std::env::var_os("CC").unwrap_or_else(|| "cc".into());
    let out = Command::new(&compiler)
        .args(["-shared", "-fPIC", "-O2", "-Wall", "-Werror", "-o"])
        .args([&library, &source])
        .args(["-ldl", "-lpthread"])
        .output()
        .map_err(|e| format!("{}: {e}", compiler.to_string_lossy()))?;
    match out.status.success() {
        true => Ok(library),
        false => Err(String::from_utf8_lossy(&out.stderr).into_owned()),
    }
}
