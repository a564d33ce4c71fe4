//! The control service as a process.

use std::ffi::OsString;
use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Mutex};

use doorgrade_standins::versions::Installation;

pub struct Control {
    pub process: Child,
    /// Where fronts connect.
    pub fronts_address: SocketAddr,
    /// Where the `config` commands connect.
    pub operators_address: SocketAddr,
    log_lines: Arc<Mutex<Vec<String>>>,
}

impl Drop for Control {
    fn drop(&mut self) {
        let _ = self.process.kill();
        let _ = self.process.wait();
    }
}

impl Control {
    pub fn log_lines(&self) -> Vec<String> {
        self.log_lines.lock().unwrap().clone()
    }
}

/// Content of the settings block `publication` for rollouts without long waits.
pub const QUICK_ROLLOUT: &str = "  soak_ms = 50\n  answer_within_ms = 5000";

pub fn start_control(installation: &Installation, listen: &str, publication: &str) -> Control {
    start_control_with(installation, listen, publication, Vec::new())
}

/// With additional environment variables.
pub fn start_control_with(
    installation: &Installation,
    listen: &str,
    publication: &str,
    environment: Vec<(&str, OsString)>,
) -> Control {
    let file = installation.write_control_settings(listen, "127.0.0.1:0", publication).unwrap();
    let mut command = Command::new(env!("CARGO_BIN_EXE_doorgrade"));
    command.envs(environment);
    let mut process = command.arg("control").arg("--file").arg(file).stderr(Stdio::piped()).spawn().unwrap();
    let mut lines = BufReader::new(process.stderr.take().unwrap()).lines();
    let line =
        lines.by_ref().map_while(Result::ok).find(|l| l.contains("fronts at ")).expect("the service starts");
    let log_lines = Arc::new(Mutex::new(Vec::new()));
    let sink = log_lines.clone();
    std::thread::spawn(move || lines.map_while(Result::ok).for_each(|line| sink.lock().unwrap().push(line)));
    let address = |prefix: &str| {
        let (_, rest) = line.split_once(prefix).unwrap();
        rest.split([',', ' ']).next().unwrap().parse().unwrap()
    };
    Control {
        process,
        fronts_address: address("fronts at "),
        operators_address: address("operators at "),
        log_lines,
    }
}
