//! Twenty and thirty real fronts and a cache that has just restarted: the requests that it gets from all of them together,
//! counted at the cache, against the acceptance limit.

mod helper;

use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use doorgrade_standins::{Client, Directory, Feed, Member, MemberConfig, Role, feed, unix_ms};
use helper::start;

const WINDOW_MS: u64 = 1_500;
const COLD_MS: f64 = 17_000.0;
/// Share of its usual rate that a cold cache may get at its start.
const START_SHARE: f64 = 0.16;
/// Setting `fallMultiple`.
const FALL_MULTIPLE: f64 = 2.0;
/// Accesses per second and cache, over all fronts: N is 4.8 at the start.
const ACCESSES_PER_S: f64 = 10.0;

/// The highest share of the limit N + 2 √N + 2 that one window reached, with N as allowed at the window's start.
fn highest_share(arrivals: &[u64], start: u64) -> f64 {
    let mut worst = 0f64;
    for (at, &first) in arrivals.iter().enumerate() {
        let count = arrivals[at..].iter().take_while(|&&t| t < first + WINDOW_MS).count();
        let share = START_SHARE + (1.0 - START_SHARE) * (first - start) as f64 / COLD_MS;
        let n = FALL_MULTIPLE * share.min(1.0) * ACCESSES_PER_S * WINDOW_MS as f64 / 1_000.0;
        worst = worst.max(count as f64 / (n + 2.0 * n.sqrt() + 2.0));
    }
    worst
}

fn check_load_on_cold_cache(fronts: usize) {
    let directory = Directory::default();
    let member = |id, role| Member::start(MemberConfig::new(id, "127.0.0.1:0", role), &directory).unwrap();
    let caches = ["s-00000001", "s-00000002", "s-00000003"].map(|id| member(id, Role::Cache));
    let origin = member("s-00000020", Role::Archive);
    let feed = Feed::start("127.0.0.1:0").unwrap();
    let mut config = include_str!("../../../examples/config.json").replace("127.0.0.1:8080", "127.0.0.1:0");
    let third = format!(
        "{{\"id\": \"s-00000003\", \"host_port\": \"{}\", \"locality\": \"here\", \"flavor\": \"cache\", \"cell\": 0, \
         \"phase\": \"in_service\", \"size\": 4, \"up_since_ms\": 0}},\n {{\"id\": \"s-00000020\"",
        caches[2].address
    );
    for (from, to) in [
        ("127.0.0.1:9101", caches[0].address.to_string()),
        ("127.0.0.1:9102", caches[1].address.to_string()),
        ("127.0.0.1:9120", origin.address.to_string()),
        ("127.0.0.1:9092", feed.address.to_string()),
        ("{\"id\": \"s-00000020\"", third),
        ("\"fleetSize\": 1", format!("\"fleetSize\": {fronts}")),
        ("\"crewByZone\": [1]", format!("\"crewByZone\": [{fronts}]")),
        ("\"fallMultiple\": 4.0", format!("\"fallMultiple\": {FALL_MULTIPLE}")),
    ] {
        assert!(config.contains(from), "{from}");
        config = config.replace(from, &to);
    }
    // Each front has read its configuration before the next one is written.
    let fronts: Vec<_> = (0..fronts)
        .map(|n| start(&config.replace("8c1f30d27a5be964", &format!("{:016x}", n + 1)), None))
        .collect();
    let (stop, started_at) = (AtomicBool::new(false), Instant::now());
    let mut started = 0;
    std::thread::scope(|scope| {
        for (n, front) in fronts.iter().enumerate() {
            let (stop, count) = (&stop, fronts.len() as f64);
            scope.spawn(move || {
                let mut rng = fastrand::Rng::with_seed(n as u64);
                let mut client = Client::connect(front.address).unwrap();
                while !stop.load(Ordering::SeqCst) {
                    let pause = -(1.0 - rng.f64()).ln() * count / (3.0 * ACCESSES_PER_S);
                    std::thread::sleep(Duration::from_secs_f64(pause.min(3.0)));
                    let key = format!("{:016x}", rng.u64(..));
                    let _ = client.request("images", &key, 2_000);
                }
            });
        }
        // Long enough for the fronts to learn the usual rates; then the feed reports that one cache has restarted.
        std::thread::sleep(Duration::from_secs(10).saturating_sub(started_at.elapsed()));
        started = unix_ms();
        feed.publish_members(2, &[feed::member_record("s-00000001", caches[0].address, 0, 0, 0, started)]);
        std::thread::sleep(Duration::from_secs(10));
        stop.store(true, Ordering::SeqCst);
    });
    // The fronts learn of it some tens of milliseconds later; earlier requests don't count.
    let counted_from = started + 100;
    let arrivals: Vec<u64> =
        caches[0].request_log().into_iter().map(|a| a.0).filter(|&at| at >= counted_from).collect();
    let warm = caches[1].request_log().into_iter().filter(|a| a.0 >= counted_from).count();
    let worst = highest_share(&arrivals, started);
    assert!(warm > 50, "{warm} requests came to a warm cache");
    assert!(!arrivals.is_empty(), "the cold cache gets no requests");
    assert!(worst <= 1.0, "{worst} of the limit came in one window: {arrivals:?}, {started}");
}

#[test]
fn twenty_fronts_do_not_overload_a_cold_cache() {
    check_load_on_cold_cache(20);
}

#[test]
fn thirty_fronts_do_not_overload_a_cold_cache() {
    check_load_on_cold_cache(30);
}
