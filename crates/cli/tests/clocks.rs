//! The wall clock may be stepped forward or back while a front runs. All timers must measure elapsed (monotonic) time.

mod helper;

use std::time::{Duration, Instant};

use doorgrade_standins::Client;
use doorgrade_standins::client::AccessRequest;
use helper::clock::{CLOCK_STEPS_MS, Rig, set_clock_offset};
use helper::standins::{KEY, wait_for_exit};
use helper::wait_until;

/// The hard limit of the offerings.
const LIMIT: Duration = Duration::from_secs(2);
/// How late a response may be by the acceptance rules, including the 50 ms allowed for sockets.
const SLACK: Duration = Duration::from_millis(100);

fn write(key: &str, wait_ms: u64) -> AccessRequest<'_> {
    AccessRequest { class: "orders", key, bucket: 17, timeout_ms: wait_ms, body: b"a write" }
}

/// A step forward by an hour used to be taken for an hour elapsed: a request in flight timed out at once.
#[test]
fn a_request_in_flight_gets_its_response_though_the_clock_is_stepped() {
    for ms in CLOCK_STEPS_MS {
        let rig = Rig::with_origin_latency(0, Duration::from_millis(300));
        let mut client = Client::connect(rig.front.address).unwrap();
        client.send_access(&write(KEY, 1_500)).unwrap();
        wait_until("the origin has received it", || rig.origin.requests() == 1);
        set_clock_offset(&rig.shim, ms);
        let (head, _) = client.receive().unwrap();
        assert!(head.starts_with("Status: 200"), "{ms} ms: {head}");
        // Later requests are served as usual.
        assert!(rig.read(KEY).starts_with("Status: 200"), "{ms} ms");
    }
}

/// A step back by less than a second used to stop the front's clock for that time, which delayed responses by as much.
#[test]
fn a_request_whose_cache_hangs_times_out_on_time_though_the_clock_is_stepped() {
    for ms in CLOCK_STEPS_MS {
        let rig = Rig::start(0);
        rig.origin.gate().set_closed(true);
        let mut client = Client::connect(rig.front.address).unwrap();
        let wait = Duration::from_millis(800);
        let sent_at = Instant::now();
        client.send_access(&write(KEY, wait.as_millis() as u64)).unwrap();
        wait_until("the origin has received it", || rig.origin.gate().waiting() == 1);
        set_clock_offset(&rig.shim, ms);
        let (head, _) = client.receive().unwrap();
        let took = sent_at.elapsed();
        assert!(head.starts_with("Status: 500"), "{ms} ms: {head}");
        assert!(took > wait - SLACK && took < wait + SLACK, "{ms} ms: timed out after {took:?} of {wait:?}");
        rig.origin.gate().set_closed(false);
    }
}

/// After SIGTERM a front accepts requests for 0.9 s and ends those in flight within the longest limit (2 s) and 0.4 s. One
/// that was in flight before ends at its own limit, also if its client says that it waits for longer.
#[test]
fn a_shutdown_takes_its_usual_time_though_the_clock_is_stepped() {
    for ms in CLOCK_STEPS_MS {
        let mut rig = Rig::start(0);
        rig.first_cache.preload(&format!("/data/images/{KEY}/0"), 0);
        rig.second_cache.preload(&format!("/data/images/{KEY}/0"), 0);
        rig.origin.gate().set_closed(true);
        let mut before = Client::connect(rig.front.address).unwrap();
        let mut late = Client::connect(rig.front.address).unwrap();
        let sent_at = Instant::now();
        before.send_access(&write(KEY, 60_000)).unwrap();
        wait_until("the origin has received it", || rig.origin.gate().waiting() == 1);
        rig.front.signal("-TERM");
        let signalled_at = Instant::now();
        wait_until("the front logs the signal", || {
            rig.front.log().iter().any(|l| l.contains("told to stop"))
        });
        set_clock_offset(&rig.shim, ms);
        std::thread::sleep(Duration::from_millis(600).saturating_sub(signalled_at.elapsed()));
        assert!(rig.read(KEY).starts_with("Status: 200"), "{ms} ms: still accepted");
        // So late that its own limit would end it only after the shutdown.
        std::thread::sleep(Duration::from_millis(700).saturating_sub(signalled_at.elapsed()));
        late.send_access(&write(KEY, 60_000)).unwrap();
        wait_until("the origin has received it", || rig.origin.gate().waiting() == 2);
        let (head, _) = before.receive().unwrap();
        let took = sent_at.elapsed();
        assert!(head.starts_with("Status: 500"), "{ms} ms: {head}");
        assert!(took > LIMIT - SLACK && took < LIMIT + SLACK, "{ms} ms: ended after {took:?} of {LIMIT:?}");
        let (head, _) = late.receive().unwrap();
        let took = signalled_at.elapsed();
        assert!(head.starts_with("Status: 500"), "{ms} ms: {head}");
        assert!(
            took > Duration::from_millis(2_000) && took < Duration::from_millis(2_650),
            "{ms} ms: {took:?}"
        );
        assert!(wait_for_exit(&mut rig.front, Duration::from_millis(700)).success(), "{ms} ms");
        rig.origin.gate().set_closed(false);
    }
}
