//! Faults of the operating system below one of this project's programs. A preloaded library (`shim/faults.c`) makes
//! system calls fail, threads stall and the wall clock differ. The faults can be changed while the process runs.

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
const SLOT_BYTES: usize = std::mem::size_of::<i64>();
const SLOT_COUNT: usize = 64;

/// A setting that the test writes. The numbers are the slots in the shared file, as in `shim/faults.c`.
#[derive(Clone, Copy, Debug)]
pub enum Fault {
    /// The seed of all random choices.
    Seed = 0,
    /// Nanoseconds that are added to the wall clock.
    ClockOffsetNs = 1,
    /// While this is 1, the main thread is held when it returns from a wait on a futex.
    HoldMain = 2,
    /// While this is 1, a thread is held when it returns from `epoll_wait`.
    HoldIo = 3,
    /// How many in a thousand calls of `accept4`, `socket` and `connect` fail.
    FailPerMille = 4,
    /// How many in a thousand calls of `epoll_wait` are interrupted.
    InterruptPerMille = 5,
    /// How many in a thousand reads and writes on sockets are shortened.
    ShortPerMille = 6,
    /// How many in a thousand successful reads, on connections that the process opened, lose the connection.
    LosePerMille = 7,
    /// How many in a thousand returns from a wait, of either thread, are delayed by up to [`Fault::StallUs`].
    StallPerMille = 8,
    /// The longest stall in microseconds.
    StallUs = 9,
    /// Writes and syncs of files fail with this error number, unless it is 0.
    DiskErrno = 10,
}

/// A value that the library writes.
#[derive(Clone, Copy, Debug)]
pub enum Counter {
    /// 1 while the main thread is held.
    MainHeld = 32,
    /// 1 while a thread is held after `epoll_wait`.
    IoHeld = 33,
    Accepted = 34,
    /// Reads on sockets that returned data.
    Received = 35,
    Failed = 36,
    Interrupted = 37,
    Shortened = 38,
    Lost = 39,
    Stalled = 40,
    DiskFailed = 41,
}

/// An HTTP request that the process has begun to send.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SentRequest {
    /// Since the Unix epoch, in microseconds.
    pub at_us: u64,
    /// The port of the server.
    pub port: u16,
    /// The field `Call-Id`.
    pub request_id: String,
    pub path: String,
}

impl SentRequest {
    /// Parses a line that the library has written.
    fn parse(line: &str) -> Option<SentRequest> {
        let mut words = line.split(' ');
        let (at_us, port) = (words.next()?.parse().ok()?, words.next()?.parse().ok()?);
        let (request_id, path) = (words.next()?.to_owned(), words.next()?.to_owned());
        Some(SentRequest { at_us, port, request_id, path })
    }
}

/// The faults of one process.
pub struct Shim {
    slots: File,
    path: PathBuf,
    sent_requests: PathBuf,
}

impl Shim {
    /// Starts without faults. The process must be started with [`Shim::environment`].
    pub fn new(seed: u64) -> io::Result<Shim> {
        static NUMBER: AtomicUsize = AtomicUsize::new(0);
        let number = NUMBER.fetch_add(1, Ordering::SeqCst);
        let path = std::env::temp_dir().join(format!("doorgrade-faults-{}-{number}", std::process::id()));
        let slots = OpenOptions::new().read(true).write(true).create(true).truncate(true).open(&path)?;
        slots.set_len((SLOT_COUNT * SLOT_BYTES) as u64)?;
        let sent_requests = path.with_extension("sent");
        File::create(&sent_requests)?;
        let shim = Shim { slots, path, sent_requests };
        shim.set(Fault::Seed, seed as i64)?;
        Ok(shim)
    }

    /// The environment variables that the process needs.
    pub fn environment(&self) -> io::Result<Vec<(&'static str, OsString)>> {
        let library = library()?.as_os_str().to_owned();
        let path = |path: &Path| path.as_os_str().to_owned();
        Ok(vec![
            ("LD_PRELOAD", library),
            ("DOORGRADE_FAULTS", path(&self.path)),
            ("DOORGRADE_SENT_REQUESTS", path(&self.sent_requests)),
        ])
    }

    /// The HTTP requests that the process has begun to send so far, in order. Their times are those of the process: a
    /// server that runs late doesn't shift them.
    pub fn sent_requests(&self) -> io::Result<Vec<SentRequest>> {
        let log = std::fs::read_to_string(&self.sent_requests)?;
        Ok(log.lines().filter_map(SentRequest::parse).collect())
    }

    pub fn set(&self, fault: Fault, value: i64) -> io::Result<()> {
        self.slots.write_all_at(&value.to_ne_bytes(), (fault as usize * SLOT_BYTES) as u64)
    }

    pub fn read(&self, counter: Counter) -> io::Result<i64> {
        let mut slot = [0; SLOT_BYTES];
        self.slots.read_exact_at(&mut slot, (counter as usize * SLOT_BYTES) as u64)?;
        Ok(i64::from_ne_bytes(slot))
    }

    /// Waits until a counter has reached `min`.
    pub fn wait_for(&self, counter: Counter, min: i64, timeout: Duration) -> io::Result<()> {
        let started_at = Instant::now();
        while self.read(counter)? < min {
            if started_at.elapsed() > timeout {
                return Err(io::Error::new(
                    io::ErrorKind::TimedOut,
                    format!("counter {counter:?} did not reach {min} within {timeout:?}"),
                ));
            }
            std::thread::sleep(Duration::from_millis(1));
        }
        Ok(())
    }
}

impl Drop for Shim {
    fn drop(&mut self) {
        let _ = std::fs::remove_file(&self.path);
        let _ = std::fs::remove_file(&self.sent_requests);
    }
}

/// The library, compiled once per test process.
fn library() -> io::Result<&'static Path> {
    static LIBRARY: OnceLock<Result<PathBuf, String>> = OnceLock::new();
    LIBRARY.get_or_init(compile).as_deref().map_err(|reason| io::Error::other(reason.clone()))
}

fn compile() -> Result<PathBuf, String> {
    let folder = std::env::temp_dir().join(format!("doorgrade-shim-{}", std::process::id()));
    std::fs::create_dir_all(&folder).map_err(|e| e.to_string())?;
    let (source, library) = (folder.join("faults.c"), folder.join("faults.so"));
    std::fs::write(&source, SOURCE).map_err(|e| e.to_string())?;
    let compiler = std::env::var_os("CC").unwrap_or_else(|| "cc".into());
    let output = Command::new(&compiler)
        .args(["-shared", "-fPIC", "-O2", "-Wall", "-Werror", "-o"])
        .args([&library, &source])
        .args(["-ldl", "-lpthread"])
        .output()
        .map_err(|e| format!("{}: {e}", compiler.to_string_lossy()))?;
    match output.status.success() {
        true => Ok(library),
        false => Err(String::from_utf8_lossy(&output.stderr).into_owned()),
    }
}
