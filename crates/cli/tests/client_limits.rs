//! Guards against requests that wait unread at a front until their clients' time is up.
//!
//! In the failure, a front with 32 MB and 1,024 descriptors had 26 places for clients, since each place was counted with
//! full buffers. Clients may hold a third of the descriptors. While caches hung, requests held the places, others waited
//! unread in the listener's queue, and their time was counted from when they were read. Of 1,489 requests 212 had no answer
//! half a second after their time:
//!
//!     lost: 846946b09a7ff6aa was sent at 5950 with 1553 ms to wait; after 2218 ms: no answer
//!     1489 requests sent, 232 connections at once at most: 466 x 200, 811 x 503, 0 x 500; 212 lost

mod helper;

use std::io::Write;
use std::net::TcpStream;
use std::time::{Duration, Instant};

use doorgrade_standins::client::AccessRequest;
use doorgrade_standins::shim::{Counter, Fault, Shim};
use doorgrade_standins::{Client, Directory, Feed, Member};
use helper::standins::{KEY, example_config, start_members};
use helper::{Front, Launch, wait_until};

const MEMORY_MB: usize = 32;
const SOCKETS: usize = 1_024;
/// Clients hold a third of the descriptors at most.
const MAX_CLIENTS: usize = SOCKETS / 3;
const WAIT: Duration = Duration::from_millis(1_500);
/// A final answer still counts so long after the client's time.
const GRACE: Duration = Duration::from_millis(500);
/// How long the machine accepts connections that the front can't take.
const ACCEPT_FAILURE: Duration = Duration::from_millis(1_000);

struct Rig {
    front: Front,
    members: [Member; 3],
    addresses: [String; 4],
    _directory: Directory,
    _feed: Feed,
}

impl Rig {
    fn start() -> Rig {
        Rig::launch(Launch::default())
    }

    fn launch(launch: Launch) -> Rig {
        let (directory, members, feed) = start_members();
        let [one, two, origin] = &members;
        let addresses = [&one.address, &two.address, &origin.address, &feed.address].map(|a| a.to_string());
        let front = launch.start(&config(&addresses, SOCKETS));
        Rig { front, members, addresses, _directory: directory, _feed: feed }
    }

    /// All members take requests and answer none.
    fn hang(&self) {
        self.members.iter().for_each(|m| m.gate().set_closed(true));
    }

    /// The most memory that the front has held, in KB.
    fn peak_memory_kb(&self) -> usize {
        let status = std::fs::read_to_string(format!("/proc/{}/status", self.front.process.id())).unwrap();
        let peak = status.lines().find_map(|line| line.strip_prefix("VmHWM:")).expect("its peak memory");
        peak.trim().trim_end_matches(" kB").parse().unwrap()
    }

    fn check_memory(&self, state: &str) {
        let peak = self.peak_memory_kb();
        println!("{MAX_CLIENTS} clients, {state}: at most {peak} KB");
        assert!(peak <= MEMORY_MB * 1_024, "{state}: {peak} KB");
    }
}

fn config(addresses: &[String; 4], sockets: usize) -> String {
    let limits = format!("\"memory_mb\": {MEMORY_MB}, \"sockets\": {sockets}");
    let [one, two, origin, feed] = addresses;
    example_config([one, two, origin, feed], &[("\"memory_mb\": 192, \"sockets\": 1024", &limits)])
}

fn send(client: &mut Client, number: usize) -> Instant {
    let key = format!("{number:016x}");
    let timeout_ms = WAIT.as_millis() as u64;
    client
        .send_access(&AccessRequest { class: "images", key: &key, bucket: 17, timeout_ms, body: b"" })
        .unwrap();
    Instant::now()
}

/// Waits for the answers to requests that were sent at these times; how many came too late or not at all.
fn count_lost(clients: Vec<(Client, Instant)>) -> usize {
    let threads = clients.into_iter().map(|(mut client, sent_at)| {
        std::thread::spawn(move || client.receive().is_err() || sent_at.elapsed() > WAIT + GRACE)
    });
    let threads: Vec<_> = threads.collect();
    threads.into_iter().map(|thread| usize::from(thread.join().unwrap())).sum()
}

#[test]
fn all_clients_that_the_protocol_allows_are_answered_in_time_while_caches_hang() {
    let rig = Rig::start();
    let mut clients: Vec<_> = (0..MAX_CLIENTS).map(|_| Client::connect(rig.front.address).unwrap()).collect();
    for client in &mut clients {
        assert!(client.is_ready().unwrap());
    }
    rig.check_memory("at rest");
    rig.hang();
    let sent = clients.into_iter().enumerate().map(|(number, mut client)| {
        let sent_at = send(&mut client, number);
        (client, sent_at)
    });
    assert_eq!(count_lost(sent.collect()), 0, "of {MAX_CLIENTS}");
    rig.check_memory("with a request each");
}

/// Each open connection held its full buffers, whether they were in use or not.
#[test]
fn clients_with_half_a_request_each_stay_within_the_memory() {
    let rig = Rig::start();
    let mut half_written: Vec<_> =
        (0..MAX_CLIENTS - 1).map(|_| TcpStream::connect(rig.front.address).unwrap()).collect();
    for stream in &mut half_written {
        // A request that begins, and the first half of its parameters' header.
        stream.write_all(&[1, 1, 0, 1, 0, 8, 0, 0, 0, 1, 1, 0, 0, 0, 0, 0, 1, 4, 0, 1]).unwrap();
    }
    let mut client = Client::connect(rig.front.address).unwrap();
    let (head, _) = client.request("images", KEY, 1_500).unwrap();
    assert!(head.starts_with("Status: 200"), "{head}");
    rig.check_memory("with half a request each");
}

/// The time of a request that had waited in the listener's queue was counted from when it was read.
#[test]
fn time_in_the_backlog_counts_as_the_clients_time() {
    let shim = Shim::new(1).unwrap();
    let rig = Rig::launch(Launch { environment: shim.environment().unwrap(), ..Launch::default() });
    rig.hang();
    shim.set(Fault::FailPerMille, 1_000).unwrap();
    let mut client = Client::connect(rig.front.address).unwrap();
    let sent_at = send(&mut client, 1);
    let failed = shim.read(Counter::Failed).unwrap();
    std::thread::sleep(ACCEPT_FAILURE);
    assert!(shim.read(Counter::Failed).unwrap() > failed, "accept fails");
    shim.set(Fault::FailPerMille, 0).unwrap();
    assert_eq!(count_lost(vec![(client, sent_at)]), 0);
}

/// After a reload with fewer descriptors, clients held more connections than the new bound, and the listener took no
/// other until they had gone.
#[test]
fn new_clients_are_answered_while_more_connections_are_open_than_a_reload_allows() {
    let rig = Rig::start();
    rig.hang();
    let mut clients: Vec<_> = (0..100).map(|_| Client::connect(rig.front.address).unwrap()).collect();
    let mut sent: Vec<_> = Vec::new();
    for (number, mut client) in clients.drain(..).enumerate() {
        let sent_at = send(&mut client, number);
        sent.push((client, sent_at));
    }
    std::fs::write(&rig.front.config, config(&rig.addresses, 64)).unwrap();
    rig.front.signal("-HUP");
    wait_until("it has read its files", || {
        rig.front.log().iter().any(|l| l.contains("configuration reloaded"))
    });
    for number in 100..130 {
        let mut client = Client::connect(rig.front.address).unwrap();
        let sent_at = send(&mut client, number);
        sent.push((client, sent_at));
    }
    assert_eq!(count_lost(sent), 0);
}
