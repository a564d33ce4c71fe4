//! What clients leave behind, and what the end of the program leaves undone: bad orders forced with real connections.
//! The stand-in holds an accept, a byte or an answer until the moment that matters.

mod helper;

use std::collections::HashMap;
use std::io::{Read, Write};
use std::net::{Shutdown, TcpStream};
use std::os::unix::process::ExitStatusExt;
use std::process::{Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::time::{Duration, Instant};

use doorgrade_standins::client::Asked;
use doorgrade_standins::{Client, Directory, Feed, Held, Member, Role, Spec, object, unix_ms};
use helper::{Front, start, until};

const SOON: Duration = Duration::from_secs(20);
const KEY: &str = "7f3a9c21e0b4d655";

/// The example's configuration with these in the places of its two caches, its archive and its feed.
fn config(at: [&dyn std::fmt::Display; 4], changes: &[(&str, &str)]) -> String {
    let mut config = include_str!("../../../examples/config.json").replace("127.0.0.1:8080", "127.0.0.1:0");
    for (from, to) in ["9101", "9102", "9120", "9092"].into_iter().zip(at) {
        config = config.replace(&format!("127.0.0.1:{from}"), &to.to_string());
    }
    for (from, to) in changes {
        assert!(config.contains(from), "{from}");
        config = config.replace(from, to);
    }
    config
}

/// The front has ended by itself; how.
fn ended(front: &mut Front, within: Duration) -> std::process::ExitStatus {
    let begun = Instant::now();
    loop {
        if let Some(status) = front.process.try_wait().unwrap() {
            return status;
        }
        assert!(begun.elapsed() < within, "it has not ended in {within:?}: {:#?}", front.log());
        std::thread::sleep(Duration::from_millis(5));
    }
}

fn order(key: &str) -> Asked<'_> {
    Asked { class: "orders", key, bucket: 17, wait_ms: 2_500, body: b"a write" }
}

/// The connection for an access that must not run twice comes up a second after its client has left.
#[test]
fn a_connection_that_comes_up_after_its_client_has_left_carries_nothing() {
    for (class, cancel) in [("orders", "true"), ("orders", "false"), ("images", "false")] {
        let mut held = Held::start().unwrap();
        let feed = Feed::start("127.0.0.1:0").unwrap();
        // Reads go to the caches: both are this one.
        let at = held.at;
        let cancel = format!("\"cancel\": {cancel}");
        let changes =
            [("\"connectTimeout\": 400.0", "\"connectTimeout\": 3000.0"), ("\"cancel\": true", &*cancel)];
        let front = start(&config([&at, &at, &at, &feed.at], &changes), None);
        held.hold_dials().unwrap();
        let mut client = Client::connect(front.at).unwrap();
        let first = client.send_access(&Asked { class, ..order(KEY) }).unwrap();
        until("it dials", || held.dials() > 0);
        drop(client);
        // What comes behind the close on another connection is answered: the close was read.
        assert!(Client::connect(front.at).unwrap().check().unwrap());
        held.let_dials_up().unwrap();
        let mut line = held.accept(SOON).unwrap();
        // The next access shows what the front does with the connection.
        let mut client = Client::connect(front.at).unwrap();
        let second = client.send_access(&Asked { class, ..order(KEY) }).unwrap();
        // It may go over that one, or over a connection of its own: whatever comes first is to be this one.
        let mut own = None;
        until("the next access comes", || {
            own = own.take().or_else(|| held.accept(Duration::ZERO).ok());
            line.spoken_to() || own.as_ref().is_some_and(|own| own.spoken_to())
        });
        let before = if line.spoken_to() { line.request() } else { own.unwrap().request() };
        let asked = before.unwrap().expect("a request");
        let asked = asked.field("call-id").unwrap_or_default();
        assert_eq!(asked, second, "{class}, {cancel}: the client of {first} has left a second ago");
        assert!(!line.spoken_to(), "{class}, {cancel}");
    }
}

/// Thousands of clients leave at drawn moments, some hundreds at once, while caches are slow, refuse, or break off.
#[test]
fn nothing_begins_for_clients_that_have_left() {
    let directory = Directory::default();
    let member = |id, role| {
        let lag = Duration::from_millis(4);
        Member::start(Spec { lag, ..Spec::new(id, "127.0.0.1:0", role) }, &directory).unwrap()
    };
    let members = [
        member("s-00000001", Role::Cache),
        member("s-00000002", Role::Cache),
        member("s-00000020", Role::Archive),
    ];
    let [one, two, origin] = &members;
    let feed = Feed::start("127.0.0.1:0").unwrap();
    let front = start(&config([&one.at, &two.at, &origin.at, &feed.at], &[]), None);
    let mut rng = fastrand::Rng::with_seed(11);
    let mut left: HashMap<String, u64> = HashMap::new();
    let mut number = 0u64;
    for round in 0..60 {
        // In turn: all answer, one fails, the other breaks off, both are full.
        one.fault(|f| (f.fails, f.full) = (round % 4 == 1, round % 4 == 3));
        two.fault(|f| (f.reset, f.full) = (round % 4 == 2, round % 4 == 3));
        let mut clients = Vec::new();
        for _ in 0..50 {
            number += 1;
            let key = format!("{number:016x}");
            let mut client = Client::connect(front.at).unwrap();
            let class = if rng.u8(..4) == 0 { "orders" } else { "images" };
            client.send_access(&Asked { class, ..order(&key) }).unwrap();
            clients.push((format!("/data/{class}/{key}/0"), client));
            std::thread::sleep(Duration::from_micros(rng.u64(..400)));
        }
        // A burst, or one after the other.
        for (path, client) in clients {
            left.insert(path, unix_ms());
            drop(client);
            if round % 3 > 0 {
                std::thread::sleep(Duration::from_micros(rng.u64(..300)));
            }
        }
    }
    assert_eq!(left.len(), 3_000);
    let mut client = Client::connect(front.at).unwrap();
    assert!(client.check().unwrap());
    let late: Vec<_> = members
        .iter()
        .flat_map(Member::asked_at)
        .filter(|(at, path)| left.get(path).is_some_and(|left| *at > left + 100))
        .collect();
    assert!(members.iter().map(Member::asked).sum::<usize>() > 1_000, "most have reached a cache");
    assert!(late.is_empty(), "begun over 0.1 s after their clients had left: {late:?}");
}

/// A client that has ended its writing side is gone: nothing begins for it, and its connection is closed.
#[test]
fn an_end_of_writing_counts_as_leaving() {
    let mut held = Held::start().unwrap();
    let feed = Feed::start("127.0.0.1:0").unwrap();
    let at = held.at;
    let changes = [("\"connectTimeout\": 400.0", "\"connectTimeout\": 3000.0")];
    let front = start(&config([&at, &at, &at, &feed.at], &changes), None);
    held.hold_dials().unwrap();
    let (mut writes, mut raw) = pair(&front);
    writes.send_access(&order(KEY)).unwrap();
    until("it dials", || held.dials() > 0);
    raw.shutdown(Shutdown::Write).unwrap();
    assert_eq!(raw.read(&mut [0; 1]).unwrap(), 0, "it is closed, and no answer comes");
    held.let_dials_up().unwrap();
    let line = held.accept(SOON).unwrap();
    let mut client = Client::connect(front.at).unwrap();
    client.send_access(&order(KEY)).unwrap();
    held.accept(SOON).unwrap().request().unwrap().expect("a request");
    assert!(!line.spoken_to());
}

/// A client, and its connection.
fn pair(front: &Front) -> (Client, TcpStream) {
    let client = Client::connect(front.at).unwrap();
    let raw = client.stream().try_clone().unwrap();
    raw.set_read_timeout(Some(SOON)).unwrap();
    (client, raw)
}

fn caches() -> (Directory, [Member; 3], Feed) {
    let directory = Directory::default();
    let member = |id, role| Member::start(Spec::new(id, "127.0.0.1:0", role), &directory).unwrap();
    let members = [
        member("s-00000001", Role::Cache),
        member("s-00000002", Role::Cache),
        member("s-00000020", Role::Archive),
    ];
    (directory, members, Feed::start("127.0.0.1:0").unwrap())
}

/// The front sleeps over the time until which it takes accesses. A request has come meanwhile on a connection on which
/// an answer lies that its client has not read yet.
#[test]
fn a_request_that_comes_as_the_front_ends_is_declined_and_takes_no_answer_with_it() {
    let (_directory, [one, two, origin], feed) = caches();
    let mut front = start(&config([&one.at, &two.at, &origin.at, &feed.at], &[]), None);
    let (mut client, mut raw) = pair(&front);
    let mut resting = Client::connect(front.at).unwrap();
    assert!(resting.check().unwrap());
    let read = Asked { class: "images", ..order(KEY) };
    client.send_access(&read).unwrap();
    until("its answer is here", || raw.peek(&mut [0; 4_096]).is_ok_and(|n| n == 4_096));
    front.signal("-TERM");
    until("it is told", || front.log().iter().any(|l| l.contains("told to stop")));
    front.signal("-STOP");
    // Past 0.9 s: what comes now is not taken any more. Its time passes while nothing of it runs.
    std::thread::sleep(Duration::from_millis(1_100));
    let asked = [&one, &two, &origin].map(|m| m.asked());
    client.send_access(&Asked { key: "7f3a9c21e0b4d656", ..read }).unwrap();
    let mut half = TcpStream::connect(front.at).unwrap();
    half.write_all(&[1, 1, 0, 1, 0, 8]).unwrap();
    front.signal("-CONT");
    let (head, body) = client.receive().expect("the answer that was there before");
    assert!(head.starts_with("Status: 200"), "{head}");
    assert_eq!(body, object(&format!("/data/images/{KEY}/0")));
    let (head, _) = client.receive().expect("an answer to the request that came late");
    assert!(head.starts_with("Status: 503"), "{head}");
    assert_eq!(raw.read(&mut [0; 1]).expect("an end in order"), 0);
    assert!(resting.receive().is_err_and(|e| e.kind() == std::io::ErrorKind::UnexpectedEof));
    assert!(ended(&mut front, Duration::from_secs(5)).success());
    assert_eq!([&one, &two, &origin].map(|m| m.asked()), asked, "nothing was sent on");
}

/// Clients rest on open connections until the front ends them, and go on writing then: bytes, whole requests.
#[test]
fn connections_at_rest_end_in_order_whatever_still_comes_on_them() {
    let (_directory, [one, two, origin], feed) = caches();
    let mut front = start(&config([&one.at, &two.at, &origin.at, &feed.at], &[]), None);
    let mut resting: Vec<_> = (0..8).map(|_| pair(&front)).collect();
    for (client, _) in &mut resting {
        assert!(client.check().unwrap());
        // Its answer is not read before the end.
        client.send_access(&Asked { class: "images", ..order(KEY) }).unwrap();
    }
    for (_, raw) in &resting {
        until("its answer is here", || raw.peek(&mut [0; 4_096]).is_ok_and(|n| n == 4_096));
    }
    front.signal("-TERM");
    // As long as the connection can be written to, bytes come on it.
    let began = Instant::now();
    while resting.iter_mut().any(|(_, raw)| raw.write_all(&[1]).is_ok()) {
        assert!(began.elapsed() < SOON, "it does not end");
        std::thread::sleep(Duration::from_millis(1));
    }
    for (client, _) in &mut resting {
        let (head, body) = client.receive().expect("its answer, though it wrote on");
        assert!(head.starts_with("Status: 200"), "{head}");
        assert_eq!(body, object(&format!("/data/images/{KEY}/0")));
    }
    assert!(ended(&mut front, SOON).success());
}

/// Caches hang while the front ends. What was taken is answered in time, twice told or not.
#[test]
fn what_was_taken_is_answered_though_its_cache_hangs_and_the_front_ends() {
    let held = Held::start().unwrap();
    let feed = Feed::start("127.0.0.1:0").unwrap();
    let at = held.at;
    let mut front = start(&config([&at, &at, &at, &feed.at], &[]), None);
    let (mut client, _) = pair(&front);
    let begun = Instant::now();
    client.send_access(&Asked { wait_ms: 60_000, ..order(KEY) }).unwrap();
    let mut line = held.accept(SOON).unwrap();
    line.request().unwrap().expect("a request");
    front.signal("-TERM");
    front.signal("-TERM");
    front.signal("-HUP");
    front.signal("-USR1");
    // Longest limit 2 s, 0.4 s: what may have run is given up.
    let (head, _) = client.receive().unwrap();
    assert!(head.starts_with("Status: 500"), "{head}");
    assert!(begun.elapsed() < Duration::from_millis(2_650), "{:?}", begun.elapsed());
    let status = ended(&mut front, Duration::from_millis(700));
    assert!(status.success() && status.signal().is_none());
}

/// The file that a reload reads never ends.
#[test]
fn the_word_to_stop_is_heard_during_a_reload_that_hangs() {
    let (_directory, [one, two, origin], feed) = caches();
    let mut front = start(&config([&one.at, &two.at, &origin.at, &feed.at], &[]), None);
    std::fs::remove_file(&front.config).unwrap();
    assert!(Command::new("mkfifo").arg(&front.config).status().unwrap().success());
    front.signal("-HUP");
    // The reader waits for a writer: from here on it hangs.
    let pipe = std::fs::OpenOptions::new().write(true).open(&front.config).unwrap();
    front.signal("-TERM");
    let status = ended(&mut front, Duration::from_secs(5));
    assert!(status.success(), "{status}");
    drop(pipe);
    std::fs::remove_file(&front.config).unwrap();
}

/// The process that had the address before goes only after some seconds.
#[test]
fn a_start_waits_for_an_address_that_is_still_in_use() {
    let (_directory, [one, two, origin], feed) = caches();
    let before = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let at = before.local_addr().unwrap().to_string();
    let config = config(
        [&one.at, &two.at, &origin.at, &feed.at],
        &[("\"listen\": \"127.0.0.1:0\"", &format!("\"listen\": \"{at}\""))],
    );
    let leaves = std::thread::spawn(move || {
        // Longer than the 3.7 s that a front may take to end.
        std::thread::sleep(Duration::from_millis(4_000));
        drop(before);
    });
    let front = start(&config, None);
    assert_eq!(front.at.to_string(), at);
    assert!(Client::connect(front.at).unwrap().check().unwrap());
    leaves.join().unwrap();
}

/// While discovery is down clients fill the descriptors to the last; then it is back, and all goes on.
#[test]
fn idle_clients_cannot_take_the_descriptors_of_feed_and_caches() {
    // The machine's own limit is lower than what the configuration says, or the same.
    for (told, machine) in [(1_024, 64), (64, 64), (64, 1_024)] {
        let (_directory, [one, two, origin], _) = caches();
        let gone = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
        let at = gone.local_addr().unwrap();
        drop(gone);
        let sockets = format!("\"sockets\": {told}");
        let config = config([&one.at, &two.at, &origin.at, &at], &[("\"sockets\": 1024", &sockets)]);
        let front = helper::start_with(&config, None, Some(machine));
        let fds = format!("/proc/{}/fd", front.process.id());
        let open = || std::fs::read_dir(&fds).unwrap().count();
        let mut most = open();
        let mut idle = Vec::new();
        for _ in 0..200 {
            idle.extend(TcpStream::connect(front.at));
            most = most.max(open());
        }
        let feed = Feed::start(&at.to_string()).unwrap();
        let back = Instant::now();
        until("the feed is followed", || {
            most = most.max(open());
            !feed.begun().is_empty()
        });
        // Its usual time: it is asked anew after a second at the most.
        assert!(back.elapsed() < Duration::from_millis(1_600), "{:?}", back.elapsed());
        let begun = Instant::now();
        for number in 0..100 {
            let mut client = Client::connect(front.at).unwrap();
            assert!(client.check().unwrap(), "{number}");
            let (head, _) = client.ask("images", &format!("{number:016x}"), 2_000).unwrap();
            assert!(head.starts_with("Status: 200"), "{number}: {head}");
            idle.extend(TcpStream::connect(front.at));
            most = most.max(open());
        }
        // Each newcomer finds its place at once: 100 of them, and as many idle ones.
        assert!(begun.elapsed() < Duration::from_secs(5), "{:?} for 100", begun.elapsed());
        assert!(most <= 64, "{most} descriptors of 64 ({told} told, {machine} by the machine)");
        let told = front.log();
        assert!(!told.iter().any(|l| l.contains("no descriptor or memory left")), "{told:#?}");
    }
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
    let config = config([&one.at, &two.at, &origin.at, &at], &[]);
    let begun = Instant::now();
    let mut took: Vec<_> = std::thread::scope(|scope| {
        let one = || {
            let front = start(&config, None);
            assert!(Client::connect(front.at).unwrap().check().unwrap());
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
    let front = start(&config([&one.at, &two.at, &origin.at, &feed.at], &[]), None);
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
            assert!(client.check().unwrap());
            assert!(client.ask("images", KEY, 2_000).unwrap().0.starts_with("Status: 200"));
            slowest = slowest.max(asked.elapsed());
        }
        stop.store(true, Ordering::SeqCst);
        assert!(slowest < Duration::from_secs(1), "{slowest:?} for one access");
    });
}
