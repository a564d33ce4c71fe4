//! A front as a process.
#![allow(dead_code)] // Each test target uses only a part.

pub mod clock;
pub mod control;
pub mod fleet;
pub mod standins;

use std::ffi::OsString;
use std::io::{BufRead, BufReader, Read};
use std::path::Path;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

pub struct Front {
    pub process: Child,
    pub config: std::path::PathBuf,
    pub address: std::net::SocketAddr,
    lines: Arc<Mutex<Vec<String>>>,
}

impl Drop for Front {
    fn drop(&mut self) {
        let _ = self.process.kill();
        let _ = self.process.wait();
    }
}

pub fn start(config: &str, settings: Option<&Path>) -> Front {
    Launch { settings, ..Launch::default() }.start(config)
}

/// Options of a front's start.
#[derive(Default)]
pub struct Launch<'a> {
    /// The operators' settings file, if any.
    pub settings: Option<&'a Path>,
    /// The limit of descriptors set with `ulimit -n`.
    pub max_descriptors: Option<usize>,
    /// Descriptor numbers that are left open for the front to inherit.
    pub inherited: &'a [u32],
    /// Additional environment variables.
    pub environment: Vec<(&'a str, OsString)>,
}

impl Launch<'_> {
    pub fn start(self, config: &str) -> Front {
        static STARTED: AtomicUsize = AtomicUsize::new(0);
        let number = STARTED.fetch_add(1, Ordering::SeqCst);
        let path = std::env::temp_dir().join(format!("doorgrade-{}-{number}.json", std::process::id()));
        std::fs::write(&path, config).unwrap();
        let mut process = self
            .command()
            .env("PROXY_CONFIG", &path)
            .env("DOORGRADE_SETTINGS", self.settings.unwrap_or(Path::new("/dev/null")))
            .env_remove("PROXY_NAME")
            .env_remove("PROXY_LISTEN")
            .envs(self.environment)
            .stderr(Stdio::piped())
            .spawn()
            .unwrap();
        let (lines, address) = read_log(process.stderr.take().unwrap());
        Front { process, config: path, address, lines }
    }

    fn command(&self) -> Command {
        let program = env!("CARGO_BIN_EXE_doorgrade");
        if self.max_descriptors.is_none() && self.inherited.is_empty() {
            return Command::new(program);
        }
        // bash, since other shells can't redirect descriptors above 9.
        let mut script = String::new();
        for number in self.inherited {
            script.push_str(&format!("exec {number}</dev/null; "));
        }
        if let Some(max) = self.max_descriptors {
            script.push_str(&format!("ulimit -n {max}; "));
        }
        let mut shell = Command::new("bash");
        shell.args(["-c", &format!("{script}exec {program}")]);
        shell
    }
}

/// Reads a front's log on a thread, so that a full pipe never blocks the front; the lines, and the address that the
/// front listens on.
pub fn read_log(log: impl Read + Send + 'static) -> (Arc<Mutex<Vec<String>>>, std::net::SocketAddr) {
    let mut log = BufReader::new(log).lines();
    let lines = Arc::new(Mutex::new(Vec::new()));
    let line = log.by_ref().map_while(Result::ok).inspect(|line| lines.lock().unwrap().push(line.clone()));
    let line = { line }.find(|line| line.contains(" listens on ")).expect("the front starts");
    let (_, rest) = line.split_once(" listens on ").unwrap();
    let address =
        rest.split(|c: char| !c.is_ascii_digit() && c != '.' && c != ':').next().unwrap().parse().unwrap();
    let sink = lines.clone();
    std::thread::spawn(move || log.map_while(Result::ok).for_each(|line| sink.lock().unwrap().push(line)));
    (lines, address)
}

impl Front {
    pub fn log(&self) -> Vec<String> {
        self.lines.lock().unwrap().clone()
    }

    pub fn signal(&self, name: &str) {
        signal(self.process.id(), name);
    }
}

pub fn signal(process: u32, name: &str) {
    let status = Command::new("kill").args([name, &process.to_string()]).status().unwrap();
    assert!(status.success());
}

pub fn wait_until(description: &str, mut condition: impl FnMut() -> bool) {
    let started_at = Instant::now();
    while !condition() {
        assert!(started_at.elapsed() < Duration::from_secs(20), "{description}");
        std::thread::sleep(Duration::from_millis(10));
    }
}
