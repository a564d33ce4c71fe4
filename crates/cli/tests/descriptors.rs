//! Starts, descriptors and floods with real connections: clients, whatever they do, leave the front what it needs.

mod helper;

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::process::{Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::time::{Duration, Instant};

use doorgrade_standins::{Client, Feed};
use helper::forced::{KEY, SOON, caches, config};
use helper::{Front, Launch, start, until};

/// The process that had the address before goes only after some seconds.
#[test]
fn a_start_waits_for_an_address_that_is_still_in_use() {
    let (_directory, [one, two, origin], feed) = caches();
    let before = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let at = before.local_addr().unwrap().to_string();
    let config = config(
        [&one.address, &two.address, &origin.address, &feed.address],
        &[("\"listen\": \"127.0.0.1:0\"", &format!("\"listen\": \"{at}\""))],
    );
    let leaves = std::thread::spawn(move || {
        // Longer than the 3.7 s that a front may take to end.
        std::thread::sleep(Duration::from_millis(4_000));
        drop(before);
    });
    let front = start(&config, None);
    assert_eq!(front.at.to_string(), at);
    assert!(Client::connect(front.at).unwrap().is_ready().unwrap());
    leaves.join().unwrap();
}

/// While discovery is down clients fill the descriptors to the last; then it is back, and all goes on.
#[test]
fn idle_clients_cannot_take_the_descriptors_of_feed_and_caches() {
    idle_clients_take_no_more_than_their_share(&[]);
}

/// The front was told of 64 descriptors, but whoever started it had left some open for it: with one numbered over the
/// limit it came to "65 descriptors of 64", with two below it the log said that no descriptor was left.
#[test]
fn descriptors_that_a_front_inherits_count_against_its_limit() {
    // So many that the count passes the limit on a busy machine, too, where connections to caches are fewer at once.
    idle_clients_take_no_more_than_their_share(&[20, 21, 22, 23, 24, 25, 26, 27, 28, 29, 90, 91]);
}

fn idle_clients_take_no_more_than_their_share(inherited: &[u32]) {
    // The machine's own limit is lower than what the configuration says, or the same.
    for (told, machine) in [(1_024, 64), (64, 64), (64, 1_024)] {
        let (_directory, [one, two, origin], _) = caches();
        let gone = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
        let at = gone.local_addr().unwrap();
        drop(gone);
        let sockets = format!("\"sockets\": {told}");
        let config =
            config([&one.address, &two.address, &origin.address, &at], &[("\"sockets\": 1024", &sockets)]);
        let front = Launch { most_descriptors: Some(machine), inherited, ..Launch::default() }.start(&config);
        let fds = format!("/proc/{}/fd", front.process.id());
        let done = AtomicBool::new(false);
        let most = std::thread::scope(|scope| {
            // It never rests, so that no peak is missed.
            let most = scope.spawn(|| {
                let mut most = 0;
                while !done.load(Ordering::SeqCst) {
                    most = most.max(std::fs::read_dir(&fds).unwrap().count());
                }
                most
            });
            // Also when a check fails: the scope waits for its threads.
            let finished = SetOnDrop(&done);
            clients_come_and_discovery_returns(&front, at);
            drop(finished);
            most.join().unwrap()
        });
        assert!(most <= 64, "{most} descriptors of 64 ({told} told, {machine} by the machine)");
        let told = front.log();
        assert!(!told.iter().any(|l| l.contains("no descriptor or memory left")), "{told:#?}");
    }
}

struct SetOnDrop<'a>(&'a AtomicBool);

impl Drop for SetOnDrop<'_> {
    fn drop(&mut self) {
        self.0.store(true, Ordering::SeqCst);
    }
}

/// Idle clients fill the descriptors; then discovery is back at its address, and others want to be served.
fn clients_come_and_discovery_returns(front: &Front, discovery: SocketAddr) {
    let mut idle = Vec::new();
    for _ in 0..200 {
        idle.extend(TcpStream::connect(front.at));
    }
    let feed = Feed::start(&discovery.to_string()).unwrap();
    let back = Instant::now();
    until("the feed is followed", || !feed.resume_numbers().is_empty());
    // Its usual time: it is asked anew after a second at the most.
    assert!(back.elapsed() < Duration::from_millis(1_600), "{:?}", back.elapsed());
    let begun = Instant::now();
    for number in 0..100 {
        let mut client = Client::connect(front.at).unwrap();
        assert!(client.is_ready().unwrap(), "{number}");
        let (head, _) = client.request("images", &format!("{number:016x}"), 2_000).unwrap();
        assert!(head.starts_with("Status: 200"), "{number}: {head}");
        idle.extend(TcpStream::connect(front.at));
    }
    // Each newcomer finds its place at once: 100 of them, and as many idle ones.
    assert!(begun.elapsed() < Duration::from_secs(5), "{:?} for 100", begun.elapsed());
}

#[test]
fn a_descriptor_limit_too_small_to_serve_ends_the_start_with_what_to_do() {
    let config = config([&"127.0.0.1:1"; 4], &[]);
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
    let begun = Instant::now();
    let status = loop {
        match process.try_wait().unwrap() {
            Some(status) => break status.code(),
            None if begun.elapsed() > SOON => {
                process.kill().unwrap();
                break None;
            }
            None => std::thread::sleep(Duration::from_millis(5)),
        }
    };
    let mut said = String::new();
    process.stderr.take().unwrap().read_to_string(&mut said).unwrap();
    assert_eq!(status, Some(1), "{said}");
    assert!(said.contains("20") && said.contains("32") && said.contains("ulimit -n"), "{said}");
    std::fs::remove_file(&path).unwrap();
}

/// Thirty are started together, discovery is down: nine in ten are ready within 10 s, and all within 30.
#[test]
fn thirty_fronts_restarted_together_are_ready_while_discovery_is_down() {
    let gone = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let at = gone.local_addr().unwrap();
    drop(gone);
    let (_directory, [one, two, origin], _) = caches();
    let config = config([&one.address, &two.address, &origin.address, &at], &[]);
    let begun = Instant::now();
    let mut took: Vec<_> = std::thread::scope(|scope| {
        let one = || {
            let front = start(&config, None);
            assert!(Client::connect(front.at).unwrap().is_ready().unwrap());
            // All of them are up together.
            (begun.elapsed(), front)
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

/// Clients send bodies without end, and go on after they were told that it is too much.
#[test]
fn clients_that_send_without_end_keep_nobody_from_being_served() {
    let (_directory, [one, two, origin], feed) = caches();
    let front = start(&config([&one.address, &two.address, &origin.address, &feed.address], &[]), None);
    let (stop, ends) = (AtomicBool::new(false), AtomicUsize::new(0));
    std::thread::scope(|scope| {
        for _ in 0..4 {
            scope.spawn(|| {
                while !stop.load(Ordering::SeqCst) {
                    let Ok(mut raw) = TcpStream::connect(front.at) else { continue };
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
        let begun = Instant::now();
        while begun.elapsed() < Duration::from_secs(3) || ends.load(Ordering::SeqCst) < 8 {
            assert!(begun.elapsed() < SOON, "their connections are not ended");
            let asked = Instant::now();
            let mut client = Client::connect(front.at).unwrap();
            assert!(client.is_ready().unwrap());
            assert!(client.request("images", KEY, 2_000).unwrap().0.starts_with("Status: 200"));
            slowest = slowest.max(asked.elapsed());
        }
        stop.store(true, Ordering::SeqCst);
        assert!(slowest < Duration::from_secs(1), "{slowest:?} for one access");
    });
}
