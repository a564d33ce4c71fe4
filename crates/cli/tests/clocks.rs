//! A machine's wall clock may be stepped, forward or back, while a front runs. All that is waited for is a span of real time.

mod helper;

use std::time::{Duration, Instant};

use doorgrade_standins::Client;
use doorgrade_standins::client::AccessRequest;
use helper::clock::{Rig, STEPS, step};
use helper::forced::{KEY, ended};
use helper::until;

/// The terms: how late an answer may be, with the 50 ms that sockets are allowed.
const SLACK: Duration = Duration::from_millis(100);

fn write(key: &str, wait_ms: u64) -> AccessRequest<'_> {
    AccessRequest { class: "orders", key, bucket: 17, timeout_ms: wait_ms, body: b"a write" }
}

/// A step forward of an hour was taken for an hour that had passed: the request in hand was over at once.
#[test]
fn a_request_in_hand_is_answered_though_the_clock_is_stepped() {
    for ms in STEPS {
        let rig = Rig::with_lag(0, Duration::from_millis(300));
        let mut client = Client::connect(rig.front.at).unwrap();
        client.send_access(&write(KEY, 1_500)).unwrap();
        until("its origin has it", || rig.origin.requests() == 1);
        step(&rig.shim, ms);
        let (head, _) = client.receive().unwrap();
        assert!(head.starts_with("Status: 200"), "{ms} ms: {head}");
        // The next are served as ever.
        assert!(rig.read(KEY).starts_with("Status: 200"), "{ms} ms");
    }
}

/// A step back by under a second stopped the front's clock for as long: whoever waited was answered that much later.
#[test]
fn a_request_whose_cache_hangs_is_given_up_in_time_though_the_clock_is_stepped() {
    for ms in STEPS {
        let rig = Rig::start(0);
        rig.origin.gate().set_closed(true);
        let mut client = Client::connect(rig.front.at).unwrap();
        let wait = Duration::from_millis(800);
        let asked = Instant::now();
        client.send_access(&write(KEY, wait.as_millis() as u64)).unwrap();
        until("its origin has it", || rig.origin.gate().waiting() == 1);
        step(&rig.shim, ms);
        let (head, _) = client.receive().unwrap();
        let took = asked.elapsed();
        assert!(head.starts_with("Status: 500"), "{ms} ms: {head}");
        assert!(took > wait - SLACK && took < wait + SLACK, "{ms} ms: given up after {took:?} of {wait:?}");
        rig.origin.gate().set_closed(false);
    }
}

/// The word to stop gives 0.9 s for what still comes and ends what is open within the longest limit (2 s) and 0.4 s.
#[test]
fn an_end_takes_as_long_as_ever_though_the_clock_is_stepped() {
    for ms in STEPS {
        let mut rig = Rig::start(0);
        rig.one.preload(&format!("/data/images/{KEY}/0"), 0);
        rig.two.preload(&format!("/data/images/{KEY}/0"), 0);
        rig.origin.gate().set_closed(true);
        let mut client = Client::connect(rig.front.at).unwrap();
        client.send_access(&write(KEY, 60_000)).unwrap();
        until("its origin has it", || rig.origin.gate().waiting() == 1);
        rig.front.signal("-TERM");
        let told = Instant::now();
        until("it is told", || rig.front.log().iter().any(|l| l.contains("told to stop")));
        step(&rig.shim, ms);
        std::thread::sleep(Duration::from_millis(600).saturating_sub(told.elapsed()));
        assert!(rig.read(KEY).starts_with("Status: 200"), "{ms} ms: still taken");
        let (head, _) = client.receive().unwrap();
        let took = told.elapsed();
        assert!(head.starts_with("Status: 500"), "{ms} ms: {head}");
        assert!(
            took > Duration::from_millis(2_000) && took < Duration::from_millis(2_650),
            "{ms} ms: {took:?}"
        );
        assert!(ended(&mut rig.front, Duration::from_millis(700)).success(), "{ms} ms");
        rig.origin.gate().set_closed(false);
    }
}
