//! The program itself as a process.
#![allow(dead_code)] // Each test file uses a part.

pub mod control;
pub mod fleet;
pub mod forced;

use std::io::{BufRead, BufReader, Read};
use std::path::Path;
use std::process::{Child, Command, Stdio};
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
    start_with(config, settings, None)
}

/// With so many descriptors as the machine's limit.
pub fn start_with(config: &str, settings: Option<&Path>, descriptors: Option<usize>) -> Front {
    let path = std::env::temp_dir().join(format!(
        "doorgrade-{}-{:?}.json",
        std::process::id(),
        std::thread::current().id()
    ));
    std::fs::write(&path, config).unwrap();
    let settings = settings.unwrap_or(Path::new("/dev/null"));
    let program = env!("CARGO_BIN_EXE_doorgrade");
    let mut command = match descriptors {
        None => Command::new(program),
        Some(most) => {
            let mut shell = Command::new("sh");
            shell.args(["-c", &format!("ulimit -n {most}; exec {program}")]);
            shell
        }
    };
    let mut process = command
        .env("PROXY_CONFIG", &path)
        .env("DOORGRADE_SETTINGS", settings)
        .env_remove("PROXY_NAME")
        .env_remove("PROXY_LISTEN")
        .stderr(Stdio::piped())
        .spawn()
        .unwrap();
    let (lines, at) = follow(process.stderr.take().unwrap());
    Front { process, config: path, at, lines }
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
