//! What clients leave behind, and what the end of the program leaves undone: bad orders forced with real connections.
//! The stand-in holds an accept, a byte or an answer until the moment that matters.

mod helper;

use std::collections::HashMap;
use std::io::{Read, Write};
use std::net::{Shutdown, TcpStream};
use std::os::unix::process::ExitStatusExt;
use std::process::Command;
use std::time::{Duration, Instant};

use doorgrade_standins::client::AccessRequest;
use doorgrade_standins::{
    Client, Directory, Feed, ManualCache, Member, MemberConfig, Role, object_bytes, unix_ms,
};
use helper::forced::{KEY, SOON, caches, config, ended};
use helper::{Front, start, until};

fn order(key: &str) -> AccessRequest<'_> {
    AccessRequest { class: "orders", key, bucket: 17, timeout_ms: 2_500, body: b"a write" }
}

/// The connection for an access that must not run twice comes up a second after its client has left.
#[test]
fn a_connection_that_comes_up_after_its_client_has_left_carries_nothing() {
    for (class, cancel) in [("orders", "true"), ("orders", "false"), ("images", "false")] {
        let mut held = ManualCache::start().unwrap();
        let feed = Feed::start("127.0.0.1:0").unwrap();
        // Reads go to the caches: both are this one.
        let at = held.address;
        let cancel = format!("\"cancel\": {cancel}");
        let changes =
            [("\"connectTimeout\": 400.0", "\"connectTimeout\": 3000.0"), ("\"cancel\": true", &*cancel)];
        let front = start(&config([&at, &at, &at, &feed.address], &changes), None);
        held.block_connects().unwrap();
        let mut client = Client::connect(front.at).unwrap();
        let first = client.send_access(&AccessRequest { class, ..order(KEY) }).unwrap();
        until("it dials", || held.pending_connects() > 0);
        drop(client);
        // What comes behind the close on another connection is answered: the close was read.
        assert!(Client::connect(front.at).unwrap().is_ready().unwrap());
        held.unblock_connects().unwrap();
        let mut line = held.accept(SOON).unwrap();
        // The next access shows what the front does with the connection.
        let mut client = Client::connect(front.at).unwrap();
        let second = client.send_access(&AccessRequest { class, ..order(KEY) }).unwrap();
        // It may go over that one, or over a connection of its own: whatever comes first is to be this one.
        let mut own = None;
        until("the next access comes", || {
            own = own.take().or_else(|| held.accept(Duration::ZERO).ok());
            line.has_unread_bytes() || own.as_ref().is_some_and(|own| own.has_unread_bytes())
        });
        let before = if line.has_unread_bytes() { line.read_request() } else { own.unwrap().read_request() };
        let asked = before.unwrap().expect("a request");
        let asked = asked.field("call-id").unwrap_or_default();
        assert_eq!(asked, second, "{class}, {cancel}: the client of {first} has left a second ago");
        assert!(!line.has_unread_bytes(), "{class}, {cancel}");
    }
}

/// Thousands of clients leave at drawn moments, some hundreds at once, while caches are slow, refuse, or break off.
#[test]
fn nothing_begins_for_clients_that_have_left() {
    let directory = Directory::default();
    let member = |id, role| {
        let lag = Duration::from_millis(4);
        Member::start(MemberConfig { latency: lag, ..MemberConfig::new(id, "127.0.0.1:0", role) }, &directory)
            .unwrap()
    };
    let members = [
        member("s-00000001", Role::Cache),
        member("s-00000002", Role::Cache),
        member("s-00000020", Role::Archive),
    ];
    let [one, two, origin] = &members;
    let feed = Feed::start("127.0.0.1:0").unwrap();
    let front = start(&config([&one.address, &two.address, &origin.address, &feed.address], &[]), None);
    let mut rng = fastrand::Rng::with_seed(11);
    let mut left: HashMap<String, u64> = HashMap::new();
    let mut number = 0u64;
    for round in 0..60 {
        // In turn: all answer, one fails, the other breaks off, both are full.
        one.update_faults(|f| (f.fail, f.full) = (round % 4 == 1, round % 4 == 3));
        two.update_faults(|f| (f.close_connections, f.full) = (round % 4 == 2, round % 4 == 3));
        let mut clients = Vec::new();
        for _ in 0..50 {
            number += 1;
            let key = format!("{number:016x}");
            let mut client = Client::connect(front.at).unwrap();
            let class = if rng.u8(..4) == 0 { "orders" } else { "images" };
            client.send_access(&AccessRequest { class, ..order(&key) }).unwrap();
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
    assert!(client.is_ready().unwrap());
    let late: Vec<_> = members
        .iter()
        .flat_map(Member::request_log)
        .filter(|(at, path)| left.get(path).is_some_and(|left| *at > left + 100))
        .collect();
    assert!(members.iter().map(Member::requests).sum::<usize>() > 1_000, "most have reached a cache");
    assert!(late.is_empty(), "begun over 0.1 s after their clients had left: {late:?}");
}

/// A client that has ended its writing side is gone: nothing begins for it, and its connection is closed.
#[test]
fn an_end_of_writing_counts_as_leaving() {
    let mut held = ManualCache::start().unwrap();
    let feed = Feed::start("127.0.0.1:0").unwrap();
    let at = held.address;
    let changes = [("\"connectTimeout\": 400.0", "\"connectTimeout\": 3000.0")];
    let front = start(&config([&at, &at, &at, &feed.address], &changes), None);
    held.block_connects().unwrap();
    let (mut writes, mut raw) = pair(&front);
    writes.send_access(&order(KEY)).unwrap();
    until("it dials", || held.pending_connects() > 0);
    raw.shutdown(Shutdown::Write).unwrap();
    assert_eq!(raw.read(&mut [0; 1]).unwrap(), 0, "it is closed, and no answer comes");
    held.unblock_connects().unwrap();
    let line = held.accept(SOON).unwrap();
    let mut client = Client::connect(front.at).unwrap();
    client.send_access(&order(KEY)).unwrap();
    held.accept(SOON).unwrap().read_request().unwrap().expect("a request");
    assert!(!line.has_unread_bytes());
}

/// A client, and its connection.
fn pair(front: &Front) -> (Client, TcpStream) {
    let client = Client::connect(front.at).unwrap();
    let raw = client.stream().try_clone().unwrap();
    raw.set_read_timeout(Some(SOON)).unwrap();
    (client, raw)
}

/// The front sleeps over the time until which it takes accesses. A request has come meanwhile on a connection on which
/// an answer lies that its client has not read yet.
#[test]
fn a_request_that_comes_as_the_front_ends_is_declined_and_takes_no_answer_with_it() {
    let (_directory, [one, two, origin], feed) = caches();
    let mut front = start(&config([&one.address, &two.address, &origin.address, &feed.address], &[]), None);
    let (mut client, mut raw) = pair(&front);
    let mut resting = Client::connect(front.at).unwrap();
    assert!(resting.is_ready().unwrap());
    let read = AccessRequest { class: "images", ..order(KEY) };
    client.send_access(&read).unwrap();
    until("its answer is here", || raw.peek(&mut [0; 4_096]).is_ok_and(|n| n == 4_096));
    front.signal("-TERM");
    until("it is told", || front.log().iter().any(|l| l.contains("told to stop")));
    front.signal("-STOP");
    // Past 0.9 s: what comes now is not taken any more. Its time passes while nothing of it runs.
    std::thread::sleep(Duration::from_millis(1_100));
    let asked = [&one, &two, &origin].map(|m| m.requests());
    client.send_access(&AccessRequest { key: "7f3a9c21e0b4d656", ..read }).unwrap();
    let mut half = TcpStream::connect(front.at).unwrap();
    half.write_all(&[1, 1, 0, 1, 0, 8]).unwrap();
    front.signal("-CONT");
    let (head, body) = client.receive().expect("the answer that was there before");
    assert!(head.starts_with("Status: 200"), "{head}");
    assert_eq!(body, object_bytes(&format!("/data/images/{KEY}/0")));
    let (head, _) = client.receive().expect("an answer to the request that came late");
    assert!(head.starts_with("Status: 503"), "{head}");
    assert_eq!(raw.read(&mut [0; 1]).expect("an end in order"), 0);
    assert!(resting.receive().is_err_and(|e| e.kind() == std::io::ErrorKind::UnexpectedEof));
    assert!(ended(&mut front, Duration::from_secs(5)).success());
    assert_eq!([&one, &two, &origin].map(|m| m.requests()), asked, "nothing was sent on");
}

/// Clients rest on open connections until the front ends them, and go on writing then: bytes, whole requests.
#[test]
fn connections_at_rest_end_in_order_whatever_still_comes_on_them() {
    let (_directory, [one, two, origin], feed) = caches();
    let mut front = start(&config([&one.address, &two.address, &origin.address, &feed.address], &[]), None);
    let mut resting: Vec<_> = (0..8).map(|_| pair(&front)).collect();
    for (client, _) in &mut resting {
        assert!(client.is_ready().unwrap());
        // Its answer is not read before the end.
        client.send_access(&AccessRequest { class: "images", ..order(KEY) }).unwrap();
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
        assert_eq!(body, object_bytes(&format!("/data/images/{KEY}/0")));
    }
    assert!(ended(&mut front, SOON).success());
}

/// Caches hang while the front ends. What was taken is answered in time, twice told or not.
#[test]
fn what_was_taken_is_answered_though_its_cache_hangs_and_the_front_ends() {
    let held = ManualCache::start().unwrap();
    let feed = Feed::start("127.0.0.1:0").unwrap();
    let at = held.address;
    let mut front = start(&config([&at, &at, &at, &feed.address], &[]), None);
    let (mut client, _) = pair(&front);
    let begun = Instant::now();
    client.send_access(&AccessRequest { timeout_ms: 60_000, ..order(KEY) }).unwrap();
    let mut line = held.accept(SOON).unwrap();
    line.read_request().unwrap().expect("a request");
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
    let mut front = start(&config([&one.address, &two.address, &origin.address, &feed.address], &[]), None);
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

/// Every place is owed an answer when the front is told to end, and further clients have written requests on connections that
/// the machine has accepted and the front has not. The listener was shut over them, and reset them.
#[test]
fn requests_that_wait_to_be_accepted_as_the_front_ends_are_answered() {
    let (_directory, [one, two, origin], feed) = caches();
    let sockets = ("\"sockets\": 1024", "\"sockets\": 64");
    let mut front =
        start(&config([&one.address, &two.address, &origin.address, &feed.address], &[sockets]), None);
    origin.gate().set_closed(true);
    let places = 64 / 3 + 4;
    let hang = |n: usize| {
        let mut client = Client::connect(front.at).unwrap();
        let key = format!("{n:016x}");
        client.send_access(&AccessRequest { timeout_ms: 60_000, ..order(&key) }).unwrap();
        client
    };
    let mut busy: Vec<_> = (0..places).map(hang).collect();
    let mut waiting: Vec<_> = (places..places + 10).map(hang).collect();
    until("they wait at the origin", || origin.gate().waiting() > places / 2);
    front.signal("-TERM");
    for client in busy.iter_mut().chain(&mut waiting) {
        let (head, _) = client.receive().expect("an answer");
        assert!(head.starts_with("Status: 50"), "{head}");
    }
    assert!(ended(&mut front, Duration::from_secs(1)).success());
    origin.gate().set_closed(false);
}
