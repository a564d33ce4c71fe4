//! The program itself as a process.
#![allow(dead_code)] // Each test file uses a part.

pub mod clock;
pub mod control;
pub mod fleet;
pub mod forced;

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
    pub at: std::net::SocketAddr,
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

/// How a front is started.
#[derive(Default)]
pub struct Launch<'a> {
    /// The operators' settings; none of them without.
    pub settings: Option<&'a Path>,
    /// The machine's limit of descriptors.
    pub most_descriptors: Option<usize>,
    /// Descriptors, by their numbers, that are left open for the front to inherit.
    pub inherited: &'a [u32],
    /// Further variables of its environment.
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
        let (lines, at) = follow(process.stderr.take().unwrap());
        Front { process, config: path, at, lines }
    }

    fn command(&self) -> Command {
        let program = env!("CARGO_BIN_EXE_doorgrade");
        if self.most_descriptors.is_none() && self.inherited.is_empty() {
            return Command::new(program);
        }
        // By bash: other shells can't name descriptors over 9.
        let mut line = String::new();
        for number in self.inherited {
            line.push_str(&format!("exec {number}</dev/null; "));
        }
        if let Some(most) = self.most_descriptors {
            line.push_str(&format!("ulimit -n {most}; "));
        }
        let mut shell = Command::new("bash");
        shell.args(["-c", &format!("{line}exec {program}")]);
        shell
    }
}

/// The log from here on, and the address that it says the front listens on.
pub fn follow(log: impl Read + Send + 'static) -> (Arc<Mutex<Vec<String>>>, std::net::SocketAddr) {
    let mut log = BufReader::new(log).lines();
    // The log says where it listens; it is read on, so that it never blocks the front.
    let lines = Arc::new(Mutex::new(Vec::new()));
    let line = log.by_ref().map_while(Result::ok).inspect(|line| lines.lock().unwrap().push(line.clone()));
    let line = { line }.find(|line| line.contains(" listens on ")).expect("it starts");
    let (_, at) = line.split_once(" listens on ").unwrap();
    let at = at.split(|c: char| !c.is_ascii_digit() && c != '.' && c != ':').next().unwrap().parse().unwrap();
    let kept = lines.clone();
    std::thread::spawn(move || log.map_while(Result::ok).for_each(|line| kept.lock().unwrap().push(line)));
    (lines, at)
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
    let told = Command::new("kill").args([name, &process.to_string()]).status().unwrap();
    assert!(told.success());
}

pub fn until(what: &str, mut holds: impl FnMut() -> bool) {
    let begun = Instant::now();
    while !holds() {
        assert!(begun.elapsed() < Duration::from_secs(20), "{what}");
        std::thread::sleep(Duration::from_millis(10));
    }
}
