//! A log that cannot be written: the disk is full, the reader has exited, or the reader has stopped reading.

mod helper;

use std::fs::OpenOptions;
use std::net::SocketAddr;
use std::process::{Child, Command, Stdio};

use doorgrade_standins::client::AccessRequest;
use doorgrade_standins::ports::free_address;
use doorgrade_standins::{Client, Feed, Member};
use helper::standins::{example_config, start_members};
use helper::wait_until;

/// At log level `debug`, so many requests fill a pipe (64 KB) several times.
const REQUESTS: usize = 600;

struct Running {
    process: Child,
    config: std::path::PathBuf,
}

impl Drop for Running {
    fn drop(&mut self) {
        let _ = self.process.kill();
        let _ = self.process.wait();
        let _ = std::fs::remove_file(&self.config);
    }
}

/// Starts a front that logs to `log`. Its address is chosen here, since it can't be read from the log.
fn start(name: &str, [one, two, origin]: &[Member; 3], feed: &Feed, log: Stdio) -> (Running, SocketAddr) {
    let debug = ("\"log\": \"info\"", "\"log\": \"debug\"");
    let text = example_config([&one.address, &two.address, &origin.address, &feed.address], &[debug]);
    let path = std::env::temp_dir().join(format!("doorgrade-log-{}-{name}.json", std::process::id()));
    std::fs::write(&path, text).unwrap();
    let at = free_address();
    let process = Command::new(env!("CARGO_BIN_EXE_doorgrade"))
        .env("PROXY_CONFIG", &path)
        .env("DOORGRADE_SETTINGS", "/dev/null")
        .env("PROXY_LISTEN", at.to_string())
        .env_remove("PROXY_NAME")
        .stderr(log)
        .spawn()
        .unwrap();
    (Running { process, config: path }, at)
}

/// Asserts that all requests get a response and that the front exits normally.
fn check_serves(running: &mut Running, at: SocketAddr) {
    let mut client = None;
    wait_until("the front listens", || {
        assert_eq!(running.process.try_wait().unwrap(), None, "the front still runs");
        client = Client::connect(at).ok();
        client.is_some()
    });
    let mut client = client.unwrap();
    for number in 0..REQUESTS {
        let key = format!("{:016x}", number % 20);
        let access = AccessRequest { class: "images", key: &key, bucket: 17, timeout_ms: 2_000, body: b"" };
        client.send_access(&access).unwrap();
        let response = client.receive();
        let status = running.process.try_wait().unwrap();
        let (head, _) = response.unwrap_or_else(|e| panic!("request {number}: {e}; the front: {status:?}"));
        assert!(head.starts_with("Status: 200") || head.starts_with("Status: 503"), "{number}: {head}");
    }
    helper::signal(running.process.id(), "-TERM");
    wait_until("the front exits", || running.process.try_wait().unwrap().is_some());
    assert!(running.process.wait().unwrap().success());
}

#[test]
fn requests_get_responses_though_the_disk_of_the_log_is_full() {
    let (_directory, members, feed) = start_members();
    let full = OpenOptions::new().write(true).open("/dev/full").unwrap();
    let (mut running, at) = start("full", &members, &feed, full.into());
    check_serves(&mut running, at);
}

#[test]
fn requests_get_responses_though_the_reader_of_the_log_has_exited() {
    let (_directory, members, feed) = start_members();
    let (mut running, at) = start("gone", &members, &feed, Stdio::piped());
    drop(running.process.stderr.take());
    check_serves(&mut running, at);
}

/// The log goes to a pipe whose reader does not read, like a log collector that is stopped. Once the pipe was full, the
/// serving thread used to block on it: of 600 requests the 137th and all later ones got no response.
#[test]
fn requests_get_responses_though_the_reader_of_the_log_stops_reading() {
    let (_directory, members, feed) = start_members();
    let (mut running, at) = start("stops", &members, &feed, Stdio::piped());
    // The pipe stays open and is never read.
    let _log = running.process.stderr.take();
    check_serves(&mut running, at);
}
