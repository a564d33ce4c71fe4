//! Starts, descriptor limits and floods of clients, with real connections: no client may use up what a front needs to serve.

mod helper;

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::process::{Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::time::{Duration, Instant};

use doorgrade_standins::ports::free_address;
use doorgrade_standins::{Client, Feed};
use helper::standins::{KEY, TIMEOUT, example_config, start_members};
use helper::{Front, Launch, start, wait_until};

/// The previous process keeps its address for some seconds more.
#[test]
fn a_start_waits_for_an_address_that_is_still_in_use() {
    let (_directory, [one, two, origin], feed) = start_members();
    let previous = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let at = previous.local_addr().unwrap().to_string();
    let config = example_config(
        [&one.address, &two.address, &origin.address, &feed.address],
        &[("\"listen\": \"127.0.0.1:0\"", &format!("\"listen\": \"{at}\""))],
    );
    let previous_exit = std::thread::spawn(move || {
        // Longer than the 3.7 s that a front may take to shut down.
        std::thread::sleep(Duration::from_millis(4_000));
        drop(previous);
    });
    let front = start(&config, None);
    assert_eq!(front.address.to_string(), at);
    assert!(Client::connect(front.address).unwrap().is_ready().unwrap());
    previous_exit.join().unwrap();
}

/// While discovery is down, clients use up the descriptors. Once it is back, the front must still reach it and serve.
#[test]
fn idle_clients_can_not_use_up_the_descriptors_for_feed_and_caches() {
    check_descriptor_limit_with_idle_clients(&[]);
}

/// The front was configured for 64 descriptors, but inherited open ones from the process that started it: with one numbered
/// above the limit it reached "65 descriptors of 64", with two below the limit the log said that no descriptor was left.
#[test]
fn descriptors_that_a_front_inherits_count_against_its_limit() {
    // So many that the count would exceed the limit also on a busy machine, where fewer connections to caches are open.
    check_descriptor_limit_with_idle_clients(&[20, 21, 22, 23, 24, 25, 26, 27, 28, 29, 90, 91]);
}

fn check_descriptor_limit_with_idle_clients(inherited: &[u32]) {
    // The configured limit, and the process limit (`ulimit -n`).
    for (configured, ulimit) in [(1_024, 64), (64, 64), (64, 1_024)] {
        let (_directory, [one, two, origin], _) = start_members();
        // Not of the ephemeral range, where an outgoing connection could take it before discovery is back.
        let at = free_address();
        let sockets = format!("\"sockets\": {configured}");
        let config = example_config(
            [&one.address, &two.address, &origin.address, &at],
            &[("\"sockets\": 1024", &sockets)],
        );
        let front = Launch { max_descriptors: Some(ulimit), inherited, ..Launch::default() }.start(&config);
        let fds = format!("/proc/{}/fd", front.process.id());
        let done = AtomicBool::new(false);
        let max = std::thread::scope(|scope| {
            // Counts without a pause, so that no peak is missed.
            let counter = scope.spawn(|| {
                let mut max = 0;
                while !done.load(Ordering::SeqCst) {
                    max = max.max(std::fs::read_dir(&fds).unwrap().count());
                }
                max
            });
            // Set also when an assertion fails, since the scope waits for its threads.
            let finished = SetOnDrop(&done);
            check_service_once_discovery_returns(&front, at);
            drop(finished);
            counter.join().unwrap()
        });
        assert!(max <= 64, "{max} descriptors of 64 ({configured} configured, ulimit {ulimit})");
        let log = front.log();
        assert!(!log.iter().any(|l| l.contains("no descriptor or memory left")), "{log:#?}");
    }
}

struct SetOnDrop<'a>(&'a AtomicBool);

impl Drop for SetOnDrop<'_> {
    fn drop(&mut self) {
        self.0.store(true, Ordering::SeqCst);
    }
}

/// Idle clients use up the descriptors; then discovery is back at its address, and other clients send requests.
fn check_service_once_discovery_returns(front: &Front, discovery: SocketAddr) {
    let mut idle = Vec::new();
    for _ in 0..200 {
        idle.extend(TcpStream::connect(front.address));
    }
    let feed = Feed::start(&discovery.to_string()).unwrap();
    let back = Instant::now();
    wait_until("the front subscribes to the feed", || !feed.resume_numbers().is_empty());
    // The front retries at least once a second.
    assert!(back.elapsed() < Duration::from_millis(1_600), "{:?}", back.elapsed());
    let started_at = Instant::now();
    for number in 0..100 {
        let mut client = Client::connect(front.address).unwrap();
        assert!(client.is_ready().unwrap(), "{number}");
        let (head, _) = client.request("images", &format!("{number:016x}"), 2_000).unwrap();
        assert!(head.starts_with("Status: 200"), "{number}: {head}");
        idle.extend(TcpStream::connect(front.address));
    }
    // Each new client gets a place at once: 100 of them, and as many idle ones.
    assert!(started_at.elapsed() < Duration::from_secs(5), "{:?} for 100", started_at.elapsed());
}

#[test]
fn a_descriptor_limit_too_low_to_serve_fails_the_start_with_advice() {
    let config = example_config([&"127.0.0.1:1"; 4], &[]);
    let path = std::env::temp_dir().join(format!("doorgrade-few-{}.json", std::process::id()));
    std::fs::write(&path, config).unwrap();
    let line = format!("ulimit -n 20; exec {}", env!("CARGO_BIN_EXE_doorgrade"));
    let mut process = Command::new("sh")
        .args(["-c", &line])
        .env("PROXY_CONFIG", &path)
        .env("DOORGRADE_SETTINGS", "/dev/null")
        .stderr(Stdio::piped())
        .spawn()
        .unwrap();
    let started_at = Instant::now();
    let status = loop {
        match process.try_wait().unwrap() {
            Some(status) => break status.code(),
            None if started_at.elapsed() > TIMEOUT => {
                process.kill().unwrap();
                break None;
            }
            None => std::thread::sleep(Duration::from_millis(5)),
        }
    };
    let mut stderr = String::new();
    process.stderr.take().unwrap().read_to_string(&mut stderr).unwrap();
    assert_eq!(status, Some(1), "{stderr}");
    assert!(stderr.contains("20") && stderr.contains("32") && stderr.contains("ulimit -n"), "{stderr}");
    std::fs::remove_file(&path).unwrap();
}

/// Thirty fronts start together while discovery is down: nine in ten must be ready within 10 s, and all within 30 s.
#[test]
fn thirty_fronts_restarted_together_are_ready_while_discovery_is_down() {
    let gone = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let at = gone.local_addr().unwrap();
    drop(gone);
    let (_directory, [one, two, origin], _) = start_members();
    let config = example_config([&one.address, &two.address, &origin.address, &at], &[]);
    let started_at = Instant::now();
    let mut took: Vec<_> = std::thread::scope(|scope| {
        let one = || {
            let front = start(&config, None);
            assert!(Client::connect(front.address).unwrap().is_ready().unwrap());
            // The front is returned, so that all of them run at the same time.
            (started_at.elapsed(), front)
        };
        let all: Vec<_> = (0..30).map(|_| scope.spawn(one)).collect();
        all.into_iter()
            .map(|front| front.join().unwrap())
            .collect::<Vec<_>>()
            .into_iter()
            .map(|f| f.0)
            .collect()
    });
    took.sort();
    assert!(took[26] < Duration::from_secs(10) && took[29] < Duration::from_secs(30), "{took:?}");
}

/// Clients send endless bodies, and keep sending after their requests were rejected as too large.
#[test]
fn clients_that_send_endless_bodies_do_not_delay_others() {
    let (_directory, [one, two, origin], feed) = start_members();
    let front =
        start(&example_config([&one.address, &two.address, &origin.address, &feed.address], &[]), None);
    let (stop, ends) = (AtomicBool::new(false), AtomicUsize::new(0));
    std::thread::scope(|scope| {
        for _ in 0..4 {
            scope.spawn(|| {
                while !stop.load(Ordering::SeqCst) {
                    let Ok(mut raw) = TcpStream::connect(front.address) else { continue };
                    let begin =
                        [&[1u8, 1, 0, 1, 0, 8, 0, 0, 0, 1, 1, 0, 0, 0, 0, 0][..], &[1, 4, 0, 1, 0, 0, 0, 0]]
                            .concat();
                    let piece = [&[1u8, 5, 0, 1, 0x40, 0, 0, 0][..], &[7; 0x4000]].concat();
                    let _ = raw.write_all(&begin);
                    while raw.write_all(&piece).is_ok() && !stop.load(Ordering::SeqCst) {}
                    ends.fetch_add(1, Ordering::SeqCst);
                }
            });
        }
        let mut slowest = Duration::ZERO;
        let started_at = Instant::now();
        while started_at.elapsed() < Duration::from_secs(3) || ends.load(Ordering::SeqCst) < 8 {
            assert!(started_at.elapsed() < TIMEOUT, "their connections are not closed");
            let sent_at = Instant::now();
            let mut client = Client::connect(front.address).unwrap();
            assert!(client.is_ready().unwrap());
            assert!(client.request("images", KEY, 2_000).unwrap().0.starts_with("Status: 200"));
            slowest = slowest.max(sent_at.elapsed());
        }
        stop.store(true, Ordering::SeqCst);
        assert!(slowest < Duration::from_secs(1), "{slowest:?} for one access");
    });
}
