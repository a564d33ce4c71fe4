//! System calls that fail for a moment, as Linux documents them: the front goes on, blames no cache and keeps its times.

mod helper;

use std::time::{Duration, Instant};

use doorgrade_standins::client::AccessRequest;
use doorgrade_standins::shim::{Counter, Fault, Shim};
use doorgrade_standins::{Client, Directory, ManualCache, Member, MemberConfig, Role};
use helper::forced::{caches, config};
use helper::{Launch, start, until};

/// The example's time for a connection to come up.
const CONNECT: Duration = Duration::from_millis(400);

/// The coroutines' timers go by what the wait for sockets returns, and an interrupted wait returns nothing.
#[test]
fn the_time_for_a_connection_is_kept_though_waits_are_interrupted() {
    let directory = Directory::default();
    let two = Member::start(MemberConfig::new("s-00000002", "127.0.0.1:0", Role::Cache), &directory).unwrap();
    let origin =
        Member::start(MemberConfig::new("s-00000020", "127.0.0.1:0", Role::Archive), &directory).unwrap();
    let mut silent = ManualCache::start().unwrap();
    // Nothing comes from there that would wake anybody.
    let feed = ManualCache::start().unwrap();
    let debug = ("\"log\": \"info\"", "\"log\": \"debug\"");
    let config = config([&silent.address, &two.address, &origin.address, &feed.address], &[debug]);
    let front = start(&config, None);
    silent.block_connects().unwrap();
    for number in 0.. {
        let key = format!("{number:016x}");
        let mut client = Client::connect(front.at).unwrap();
        let asked = AccessRequest { class: "images", key: &key, bucket: 17, timeout_ms: 2_000, body: b"" };
        let request = client.send_access(&asked).unwrap();
        let sent = Instant::now();
        let mut dials = silent.pending_connects() > 0;
        until("it dials, or is answered", || {
            dials |= silent.pending_connects() > 0;
            dials || two.requests() > 0
        });
        if !dials {
            client.receive().unwrap();
            continue;
        }
        // Whoever is stopped and goes on finds its wait interrupted.
        front.signal("-STOP");
        front.signal("-CONT");
        let ended = || {
            let log = front.log();
            log.iter()
                .any(|l| l.contains(&request) && l.contains("attempt ended") && l.contains("Unreachable"))
        };
        until("the attempt ends", ended);
        let took = sent.elapsed();
        assert!(took < CONNECT + Duration::from_millis(300), "{took:?}");
        return;
    }
}

/// Calls that fail here for a moment say nothing of the caches that were to be asked.
#[test]
fn no_cache_is_left_alone_for_calls_that_fail_here() {
    let (_directory, [one, two, origin], feed) = caches();
    let config = config([&one.address, &two.address, &origin.address, &feed.address], &[]);
    let shim = Shim::new(3).unwrap();
    let front = Launch { environment: shim.environment().unwrap(), ..Launch::default() }.start(&config);
    until("the feed is followed", || !feed.resume_numbers().is_empty());
    shim.set(Fault::FailPerMille, 100).unwrap();
    let mut answered = 0;
    for number in 0..200 {
        // What must not run twice takes a new connection each time.
        let mut client = Client::connect(front.at).unwrap();
        let key = format!("{number:016x}");
        let asked =
            AccessRequest { class: "orders", key: &key, bucket: 17, timeout_ms: 1_500, body: b"a write" };
        client.send_access(&asked).unwrap();
        let (head, _) = client.receive().unwrap();
        assert!(head.starts_with("Status: 200") || head.starts_with("Status: 503"), "{number}: {head}");
        answered += usize::from(head.starts_with("Status: 200"));
    }
    assert!(shim.read(Counter::Failed).unwrap() > 20, "the calls have failed");
    assert_eq!(origin.accesses_run_twice("orders"), 0);
    assert!(answered > 150, "{answered} of 200 answered");
    let blamed: Vec<_> = front.log().into_iter().filter(|line| line.contains(" ejected for ")).collect();
    assert_eq!(blamed, [""; 0]);
}
