//! Purges and starts of caches are told with the time of another machine's clock, while the front's own may have been
//! stepped or stand wrong.

mod helper;

use std::time::{Duration, Instant};

use doorgrade_standins::feed::member_record;
use doorgrade_standins::{Client, object_bytes, unix_ms};
use helper::clock::{COLD, Rig, STEPS, step};
use helper::forced::KEY;

/// A purge is told with the time at which it was made. A front whose clock was an hour ahead took it for over.
#[test]
fn a_purge_is_kept_though_the_clock_was_stepped() {
    for ms in STEPS {
        purge_is_kept(ms, |rig| step(&rig.shim, ms), 0);
    }
}

#[test]
fn a_purge_is_kept_though_the_clock_stood_wrong_from_the_start() {
    for ms in STEPS {
        purge_is_kept(ms, |_| {}, ms);
    }
}

fn purge_is_kept(ms: i64, before: impl FnOnce(&Rig), off_at_start: i64) {
    let rig = Rig::start(off_at_start);
    let path = format!("/data/images/{KEY}/0");
    // Caches drop their copies late, as they may.
    rig.one.preload(&path, 3_000);
    rig.two.preload(&path, 3_000);
    assert!(rig.read(KEY).starts_with("Status: 200"));
    before(&rig);
    let purged = unix_ms();
    rig.feed.publish_purge(2, u64::from_str_radix(KEY, 16).unwrap(), purged);
    // Some more than the grace of 300 ms.
    std::thread::sleep(Duration::from_millis(600));
    let begun = Instant::now();
    while begun.elapsed() < Duration::from_millis(500) {
        let mut client = Client::connect(rig.front.at).unwrap();
        let (head, body) = client.request("images", KEY, 2_000).unwrap();
        if head.starts_with("Status: 200") {
            assert_eq!(body, object_bytes(&path));
            let made = head.lines().find_map(|l| l.strip_prefix("X-Etag: t")?.parse::<u64>().ok());
            let made = made.expect("the tag tells when the copy was made");
            assert!(made >= purged, "{ms} ms: a copy {} ms older than the purge", purged - made);
        }
    }
}

/// A cache that starts anew is told with the time of its start. Where the front's clock was an hour ahead it was taken for
/// long warm, an hour behind for cold all that hour.
#[test]
fn a_cache_that_starts_anew_is_cold_for_its_time_though_the_clock_stood_wrong() {
    for ms in [0, STEPS[0], STEPS[1]] {
        let rig = Rig::start(ms);
        let known: Vec<_> = (0..40).map(|n| format!("{n:016x}")).collect();
        let read_all = || {
            let before = rig.one.requests();
            for key in &known {
                assert!(rig.read(key).starts_with("Status: 200"));
            }
            rig.one.requests() - before
        };
        // Once to fill the caches.
        read_all();
        let warm = read_all();
        assert!(warm > 5, "{warm}");
        let now = unix_ms();
        rig.feed.publish_members(2, &[member_record("s-00000001", rig.one.address, 0, 0, 0, now - 100)]);
        std::thread::sleep(Duration::from_millis(200));
        let cold = read_all();
        assert!(4 * cold <= warm, "{ms} ms: {cold} went to a cold cache, {warm} to the warm one");
        std::thread::sleep(COLD);
        let again = read_all();
        assert!(2 * again >= warm, "{ms} ms: {again} went to it when it was warm again, {warm} before");
    }
}
