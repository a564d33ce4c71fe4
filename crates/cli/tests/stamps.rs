//! Purges and cache starts carry timestamps of another machine's clock, while the front's own clock may have been stepped or
//! be wrong.

mod helper;

use std::time::{Duration, Instant};

use doorgrade_standins::feed::member_record;
use doorgrade_standins::{Client, object_bytes, unix_ms};
use helper::clock::{CLOCK_STEPS_MS, COLD, Rig, set_clock_offset};
use helper::standins::KEY;

/// A purge carries the time at which it was made. A front whose clock was an hour ahead used to take it for expired.
#[test]
fn a_purge_is_kept_though_the_clock_was_stepped() {
    for ms in CLOCK_STEPS_MS {
        check_purge_is_kept(ms, |rig| set_clock_offset(&rig.shim, ms), 0);
    }
}

#[test]
fn a_purge_is_kept_though_the_clock_was_wrong_from_the_start() {
    for ms in CLOCK_STEPS_MS {
        check_purge_is_kept(ms, |_| {}, ms);
    }
}

fn check_purge_is_kept(ms: i64, before: impl FnOnce(&Rig), offset_at_start: i64) {
    let rig = Rig::start(offset_at_start);
    let path = format!("/data/images/{KEY}/0");
    // The caches keep their copies after the purge, as they may for a while.
    rig.first_cache.preload(&path, 3_000);
    rig.second_cache.preload(&path, 3_000);
    assert!(rig.read(KEY).starts_with("Status: 200"));
    before(&rig);
    let purged = unix_ms();
    rig.feed.publish_purge(2, u64::from_str_radix(KEY, 16).unwrap(), purged);
    // Longer than the grace of 300 ms.
    std::thread::sleep(Duration::from_millis(600));
    let started_at = Instant::now();
    while started_at.elapsed() < Duration::from_millis(500) {
        let mut client = Client::connect(rig.front.address).unwrap();
        let (head, body) = client.request("images", KEY, 2_000).unwrap();
        if head.starts_with("Status: 200") {
            assert_eq!(body, object_bytes(&path));
            let made = head.lines().find_map(|l| l.strip_prefix("X-Etag: t")?.parse::<u64>().ok());
            let made = made.expect("the tag contains the time at which the copy was made");
            assert!(made >= purged, "{ms} ms: a copy {} ms older than the purge", purged - made);
        }
    }
}

/// The feed reports a restarted cache with the time of its start. With the front's clock an hour ahead, the cache was taken
/// for long warm; with the clock an hour behind, it was taken for cold throughout that hour.
#[test]
fn a_restarted_cache_is_cold_for_its_full_time_though_the_clock_is_wrong() {
    for ms in [0, CLOCK_STEPS_MS[0], CLOCK_STEPS_MS[1]] {
        let rig = Rig::start(ms);
        let keys: Vec<_> = (0..40).map(|n| format!("{n:016x}")).collect();
        let read_all = || {
            let before = rig.first_cache.requests();
            for key in &keys {
                assert!(rig.read(key).starts_with("Status: 200"));
            }
            rig.first_cache.requests() - before
        };
        // The first time fills the caches.
        read_all();
        let warm = read_all();
        assert!(warm > 5, "{warm}");
        let now = unix_ms();
        rig.feed
            .publish_members(2, &[member_record("s-00000001", rig.first_cache.address, 0, 0, 0, now - 100)]);
        std::thread::sleep(Duration::from_millis(200));
        let cold = read_all();
        assert!(4 * cold <= warm, "{ms} ms: {cold} requests went to the cold cache, {warm} when it was warm");
        std::thread::sleep(COLD);
        let warm_again = read_all();
        assert!(
            2 * warm_again >= warm,
            "{ms} ms: {warm_again} requests went to it when it was warm again, {warm} before"
        );
    }
}
