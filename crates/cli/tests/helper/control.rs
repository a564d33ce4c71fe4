//! The service of versions as a process.

use std::ffi::OsString;
use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Mutex};

use doorgrade_standins::versions::Installation;

pub struct Control {
    pub process: Child,
    pub fronts: SocketAddr,
    pub operators: SocketAddr,
    lines: Arc<Mutex<Vec<String>>>,
}

impl Drop for Control {
    fn drop(&mut self) {
        let _ = self.process.kill();
        let _ = self.process.wait();
    }
}

impl Control {
    pub fn lines(&self) -> Vec<String> {
        self.lines.lock().unwrap().clone()
    }
}

/// As the block `publication` has it, for tests that do not wait.
pub const QUICK: &str = "  soak_ms = 50\n  answer_within_ms = 5000";

pub fn control(place: &Installation, at: &str, publication: &str) -> Control {
    control_with(place, at, publication, Vec::new())
}

/// With further variables of its environment.
pub fn control_with(
    place: &Installation,
    at: &str,
    publication: &str,
    environment: Vec<(&str, OsString)>,
) -> Control {
    let file = place.write_control_settings(at, "127.0.0.1:0", publication).unwrap();
    let mut command = Command::new(env!("CARGO_BIN_EXE_doorgrade"));
    command.envs(environment);
    let mut process = command.arg("control").arg("--file").arg(file).stderr(Stdio::piped()).spawn().unwrap();
    let mut lines = BufReader::new(process.stderr.take().unwrap()).lines();
    let line = lines.by_ref().map_while(Result::ok).find(|l| l.contains("fronts at ")).expect("it starts");
    let kept = Arc::new(Mutex::new(Vec::new()));
    let to = kept.clone();
    std::thread::spawn(move || lines.map_while(Result::ok).for_each(|line| to.lock().unwrap().push(line)));
    let address = |after: &str| {
        let (_, rest) = line.split_once(after).unwrap();
        rest.split([',', ' ']).next().unwrap().parse().unwrap()
    };
    Control { process, fronts: address("fronts at "), operators: address("operators at "), lines: kept }
}
