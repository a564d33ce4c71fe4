//! System calls that fail temporarily, as documented for Linux: the front continues, blames no cache, and keeps its timeouts.

mod helper;

use std::time::{Duration, Instant};

use doorgrade_standins::client::AccessRequest;
use doorgrade_standins::shim::{Counter, Fault, Shim};
use doorgrade_standins::{Client, Directory, ManualCache, Member, MemberConfig, Role};
use helper::standins::{example_config, start_members};
use helper::{Launch, start, wait_until};

/// The connect timeout of the example configuration.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);

/// The coroutines' timers run when the wait for sockets returns; an interrupted wait returns without events.
#[test]
fn the_connect_timeout_is_kept_though_waits_are_interrupted() {
    let directory = Directory::default();
    let two = Member::start(MemberConfig::new("s-00000002", "127.0.0.1:0", Role::Cache), &directory).unwrap();
    let origin =
        Member::start(MemberConfig::new("s-00000020", "127.0.0.1:0", Role::Archive), &directory).unwrap();
    let mut silent = ManualCache::start().unwrap();
    // A silent feed, so that no feed event ends a wait.
    let feed = ManualCache::start().unwrap();
    let debug = ("\"log\": \"info\"", "\"log\": \"debug\"");
    let config = example_config([&silent.address, &two.address, &origin.address, &feed.address], &[debug]);
    let front = start(&config, None);
    silent.block_connects().unwrap();
    for number in 0.. {
        let key = format!("{number:016x}");
        let mut client = Client::connect(front.address).unwrap();
        let access = AccessRequest { class: "images", key: &key, bucket: 17, timeout_ms: 2_000, body: b"" };
        let request = client.send_access(&access).unwrap();
        let sent = Instant::now();
        let mut connecting = silent.pending_connects() > 0;
        wait_until("the front connects to the silent cache, or the other cache is asked", || {
            connecting |= silent.pending_connects() > 0;
            connecting || two.requests() > 0
        });
        if !connecting {
            client.receive().unwrap();
            continue;
        }
        // Stopping and continuing the process interrupts its wait.
        front.signal("-STOP");
        front.signal("-CONT");
        let ended = || {
            let log = front.log();
            log.iter()
                .any(|l| l.contains(&request) && l.contains("attempt ended") && l.contains("Unreachable"))
        };
        wait_until("the attempt ends", ended);
        let took = sent.elapsed();
        assert!(took < CONNECT_TIMEOUT + Duration::from_millis(300), "{took:?}");
        return;
    }
}

/// System calls that fail on the front's machine are no evidence against the caches.
#[test]
fn no_cache_is_ejected_for_local_system_call_failures() {
    let (_directory, [one, two, origin], feed) = start_members();
    let config = example_config([&one.address, &two.address, &origin.address, &feed.address], &[]);
    let shim = Shim::new(3).unwrap();
    let front = Launch { environment: shim.environment().unwrap(), ..Launch::default() }.start(&config);
    wait_until("the front subscribes to the feed", || !feed.resume_numbers().is_empty());
    shim.set(Fault::FailPerMille, 100).unwrap();
    let mut served = 0;
    for number in 0..200 {
        // Accesses that must not run twice use a new connection each time.
        let mut client = Client::connect(front.address).unwrap();
        let key = format!("{number:016x}");
        let access =
            AccessRequest { class: "orders", key: &key, bucket: 17, timeout_ms: 1_500, body: b"a write" };
        client.send_access(&access).unwrap();
        let (head, _) = client.receive().unwrap();
        assert!(head.starts_with("Status: 200") || head.starts_with("Status: 503"), "{number}: {head}");
        served += usize::from(head.starts_with("Status: 200"));
    }
    assert!(shim.read(Counter::Failed).unwrap() > 20, "system calls have failed");
    assert_eq!(origin.accesses_run_twice("orders"), 0);
    assert!(served > 150, "{served} of 200 served");
    let ejections: Vec<_> = front.log().into_iter().filter(|line| line.contains(" ejected for ")).collect();
    assert_eq!(ejections, [""; 0]);
}
