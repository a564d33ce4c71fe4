//! A log that cannot be written: its disk is full, its reader has gone, or its reader has stopped reading.

mod helper;

use std::fs::OpenOptions;
use std::net::SocketAddr;
use std::process::{Child, Command, Stdio};

use doorgrade_standins::client::AccessRequest;
use doorgrade_standins::ports::free_address;
use doorgrade_standins::{Client, Feed, Member};
use helper::forced::{caches, config};
use helper::until;

/// With its lines of level `debug`, these fill a pipe (64 KB) several times over.
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

/// A front with its log there; it is not read, so the front's address is chosen for it.
fn start(name: &str, [one, two, origin]: &[Member; 3], feed: &Feed, log: Stdio) -> (Running, SocketAddr) {
    let debug = ("\"log\": \"info\"", "\"log\": \"debug\"");
    let text = config([&one.address, &two.address, &origin.address, &feed.address], &[debug]);
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

/// All are answered, and the front ends in order.
fn serves(running: &mut Running, at: SocketAddr) {
    let mut client = None;
    until("it listens", || {
        assert_eq!(running.process.try_wait().unwrap(), None, "it runs");
        client = Client::connect(at).ok();
        client.is_some()
    });
    let mut client = client.unwrap();
    for number in 0..REQUESTS {
        let key = format!("{:016x}", number % 20);
        let asked = AccessRequest { class: "images", key: &key, bucket: 17, timeout_ms: 2_000, body: b"" };
        client.send_access(&asked).unwrap();
        let answer = client.receive();
        let ended = running.process.try_wait().unwrap();
        let (head, _) = answer.unwrap_or_else(|why| panic!("request {number}: {why}; the front: {ended:?}"));
        assert!(head.starts_with("Status: 200") || head.starts_with("Status: 503"), "{number}: {head}");
    }
    helper::signal(running.process.id(), "-TERM");
    until("it ends", || running.process.try_wait().unwrap().is_some());
    assert!(running.process.wait().unwrap().success());
}

#[test]
fn requests_are_answered_though_the_disk_of_the_log_is_full() {
    let (_directory, members, feed) = caches();
    let full = OpenOptions::new().write(true).open("/dev/full").unwrap();
    let (mut running, at) = start("full", &members, &feed, full.into());
    serves(&mut running, at);
}

#[test]
fn requests_are_answered_though_the_reader_of_the_log_has_gone() {
    let (_directory, members, feed) = caches();
    let (mut running, at) = start("gone", &members, &feed, Stdio::piped());
    drop(running.process.stderr.take());
    serves(&mut running, at);
}

/// Lines go into a pipe whose reader is stopped, as a collector of logs may be. Once the pipe was full, the thread that serves
/// waited for room in it: of 600 requests the 137th and all later ones had no answer.
#[test]
fn requests_are_answered_though_the_reader_of_the_log_stops_reading() {
    let (_directory, members, feed) = caches();
    let (mut running, at) = start("stops", &members, &feed, Stdio::piped());
    // Kept open, and never read.
    let _log = running.process.stderr.take();
    serves(&mut running, at);
}
