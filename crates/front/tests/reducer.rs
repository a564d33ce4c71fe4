//! The reducer without sockets: seeded random runs that check the rules after each step, and the ends of
//! single accesses.

mod helper;

use doorgrade_front::config::{Limits, ReloadedConfig};
use doorgrade_front::push::Pools;
use doorgrade_front::reducer::Input;
use doorgrade_operator::Files;
use helper::*;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

/// Clients, caches and feed act in random order; then all respond, and every access must have ended.
fn random_run(seed: u64) {
    let sockets = if seed.is_multiple_of(4) { 64 } else { 200 };
    let tiered = seed % 3 == 1;
    let files = if tiered { hierarchy_files() } else { Files::default() };
    let mut w = World::with_files(seed, sockets, files.clone());
    let mut clients: Vec<_> = (0..3).map(|_| w.client()).collect();
    let (mut number, mut id, mut more) = (1, 30, 1_000);
    for access in 0..300 {
        match w.rng.u8(..if tiered { 26 } else { 24 }) {
            24 if w.conn_to(9092).is_some() => {
                // A parent drains, leaves, or is listed again, cold or not.
                number += 1;
                let (id, port) = [(0x10, 9110), (0x11, 9111)][w.rng.usize(..2)];
                let (state, start) = (w.rng.u8(..3), w.rng.u64(..2) * (w.now / 10));
                match state {
                    0 => drop(w.drained.remove(&port)),
                    _ => drop(w.drained.entry(port).or_insert(w.now)),
                }
                w.feed(&frame(number, 2, &member_record(id, port, state, 1, start)));
            }
            25 => {
                // A parent gets other sources, also the other parent; some changes would close a cycle.
                let source = [ORIGIN, PARENT, SECOND_PARENT][w.rng.usize(..3)];
                let member = [PARENT, SECOND_PARENT][w.rng.usize(..2)];
                let change = format!(
                    "member \"{member}\" {{\nincarnation = 1\nnumber = {}\ntier = 1\nfills_from = [\"{source}\"]\n}}",
                    access + 2
                );
                let shape = doorgrade_operator::shape::read("s", &change).unwrap_or_default();
                let files = Files { shape, ..files.clone() };
                let feed = FEED.parse().unwrap();
                let limits = Limits { memory_mb: 48, sockets: sockets.max(64) };
                let log = doorgrade_log::LevelFilter::INFO;
                w.input(Input::Reload(Box::new(ReloadedConfig { feed, limits, log, files })));
            }
            0..=7 => {
                let conn = clients[w.rng.usize(..clients.len())];
                id = id % 9_000 + 31;
                let (offering, key, wait) = (w.rng.usize(..4), w.rng.u64(..30), w.rng.u64(1..3_000));
                w.send_request(conn, id, access, offering, key, wait);
            }
            8..=10 => {
                let conns = w.connecting();
                if let Some(&conn) = w.rng.choice(&conns) {
                    w.finish_connect(conn);
                }
            }
            11..=16 => {
                let conns = w.busy_conns();
                if let Some(&conn) = w.rng.choice(&conns) {
                    let (status, not_begun) = [
                        (200, false),
                        (200, false),
                        (200, false),
                        (404, false),
                        (500, false),
                        (503, true),
                        (503, false),
                        (504, true),
                        (418, false),
                        (508, true),
                    ][w.rng.usize(..10)];
                    let (now, max) = (w.now / 10, u64::MAX);
                    let times = [now, now - w.rng.u64(..9_000), now + 5_000, 0, max, max / 10];
                    w.made_at = Some(times[w.rng.usize(..6)].to_string()).filter(|_| w.rng.bool());
                    let detail = ["h", "f", "o", "r", "b", "x", "?"][w.rng.usize(..7)];
                    if w.rng.u8(..12) == 0 {
                        w.close(conn);
                    } else {
                        w.reply(conn, status, not_begun, detail);
                    }
                }
            }
            17 => {
                let calls = w.open_accesses();
                if let Some(&access) = w.rng.choice(&calls) {
                    w.abort(access);
                }
            }
            18 => {
                number += 1;
                let place = w.rng.u16(..3);
                let (state, start) = (w.rng.u8(..3), w.rng.u64(..2) * (w.now / 10));
                let port = 9101 + place;
                match state {
                    0 => drop(w.drained.remove(&port)),
                    _ => drop(w.drained.entry(port).or_insert(w.now)),
                }
                if w.conn_to(9092).is_some() {
                    if start > 0 {
                        w.restarted(port);
                    }
                    w.feed(&frame(number, 2, &member_record(u32::from(place) + 1, port, state, 0, start)));
                } else {
                    w.drained.remove(&port);
                }
            }
            19 if w.conn_to(9092).is_some() => {
                number += 1;
                let key = Some(w.rng.u64(..30)).filter(|_| w.rng.bool());
                let group = w.rng.u64(..4);
                w.purge(number, key, group);
            }
            20 => {
                let port = 9101 + w.rng.u16(..3);
                if !w.refusing_ports.remove(&port) {
                    w.refusing_ports.insert(port);
                }
            }
            21 => {
                let at = w.rng.usize(..clients.len());
                w.close(clients[at]);
                clients[at] = w.client();
                if w.rng.bool() {
                    for id in 1..30 {
                        more += 1;
                        let key = w.rng.u64(..1_000);
                        w.send_request(clients[at], id, more, 1, key, 1_500);
                    }
                    w.serve();
                }
            }
            _ => {
                let time = w.rng.u64(1..300) * MS;
                w.advance(time);
            }
        }
    }
    w.advance(4_000 * MS);
    assert!(w.open_accesses().is_empty());
    assert!(w.max_open <= 200);
    w.input(Input::Stop);
    w.advance(7_000 * MS);
    assert!(w.exited, "no access is open, yet it does not exit");
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 120, rng_seed: RngSeed::Fixed(5), failure_persistence: None, ..ProptestConfig::default()
    })]

    #[test]
    fn the_rules_hold_in_random_runs(seed in any::<u64>()) {
        random_run(seed);
    }
}

#[test]
fn an_unrepeatable_access_whose_connection_breaks_is_given_up_not_declined() {
    let mut w = World::new(1, 128);
    let client = w.client();
    w.send_request(client, 1, 1, 2, 5, 1_000);
    w.connecting().into_iter().for_each(|conn| w.finish_connect(conn));
    let conn = w.busy_conns()[0];
    w.close(conn);
    assert_eq!(w.response_to(1).map(|a| a.status), Some(500));
    assert_eq!(w.push_count(1), 1);
}

#[test]
fn a_refused_connection_lets_an_unrepeatable_access_be_declined_or_sent_again() {
    let mut w = World::new(1, 128);
    let client = w.client();
    w.refusing_ports.insert(9120);
    w.send_request(client, 1, 1, 2, 5, 1_000);
    for _ in 0..10 {
        w.connecting().into_iter().for_each(|conn| w.finish_connect(conn));
    }
    assert_eq!(w.response_to(1).map(|a| a.status), Some(503));
}

#[test]
fn a_deduplicated_access_carries_its_repeat_id_and_is_repeated_only_with_one() {
    for (access, pushes) in [(1, 2), (3, 1)] {
        let mut w = World::new(1, 128);
        let client = w.client();
        w.send_request(client, 1, access, 3, 5, 1_000);
        w.connecting().into_iter().for_each(|conn| w.finish_connect(conn));
        let conn = w.busy_conns()[0];
        w.close(conn);
        w.connecting().into_iter().for_each(|conn| w.finish_connect(conn));
        assert_eq!(w.push_count(access), pushes);
        // The world checks each push's repeat id against what the client sent.
        assert_eq!(w.request_heads[&access].contains("Call-Once: "), pushes > 1);
        assert_eq!(w.response_to(access).map(|a| a.status), (pushes == 1).then_some(500));
    }
}

#[test]
fn a_repeat_whose_connection_is_established_too_late_is_never_sent() {
    for (late, pushes) in [(100, 2), (300, 1)] {
        let mut w = World::new(1, 128);
        let client = w.client();
        w.send_request(client, 1, 1, 3, 5, 2_500);
        w.connecting().into_iter().for_each(|conn| w.finish_connect(conn));
        w.advance(800 * MS);
        let conn = w.busy_conns()[0];
        w.close(conn);
        assert!(!w.connecting().is_empty(), "a repeat waits for its connection");
        // Repeats of votes are recognised for a second.
        w.advance(late * MS);
        w.connecting().into_iter().for_each(|conn| w.finish_connect(conn));
        assert_eq!(w.push_count(1), pushes);
        assert_eq!(w.response_to(1).map(|a| a.status), (pushes == 1).then_some(500));
    }
}

#[test]
fn a_cold_cache_gets_a_small_share_at_first() {
    let mut w = World::new(1, 200);
    let client = w.client();
    w.connecting().into_iter().for_each(|conn| w.finish_connect(conn));
    let mut access = 0;
    let mut second = |w: &mut World| {
        w.request_counts.clear();
        for _ in 0..200 {
            access += 1;
            w.send_request(client, 1 + (access % 30) as u16, access, 1, access, 1_000);
            w.serve();
            w.advance(5 * MS);
        }
        w.request_counts.get(&9101).copied().unwrap_or(0)
    };
    for _ in 0..5 {
        second(&mut w);
    }
    let warm = second(&mut w);
    w.feed(&frame(2, 2, &member_record(1, 9101, 0, 0, w.now / 10)));
    let cold = second(&mut w);
    // At its start a cache can take 0.16 of a warm one's load, and fails at 4 times that.
    assert!(warm > 30 && cold as f64 <= 0.16 * 4.0 * warm as f64, "{cold} of {warm}");
}

#[test]
fn an_unrepeatable_access_that_was_never_written_is_declined_at_its_deadline() {
    let mut w = World::new(1, 128);
    let client = w.client();
    w.send_request(client, 1, 1, 2, 5, 300);
    w.advance(300 * MS);
    assert_eq!(w.response_to(1).map(|a| a.status), Some(503));
    assert_eq!(w.push_count(1), 0);
}

/// A fill that returned to its start in a cycle never ran, so any access may be sent by another route.
#[test]
fn a_fill_cut_in_a_cycle_takes_another_route_even_if_unrepeatable() {
    let mut w = World::with_files(1, 128, hierarchy_files());
    let client = w.client();
    for (access, offering) in [(1, 1), (2, 2)] {
        w.send_request(client, access as u16, access, offering, 5, 1_500);
        w.connecting().into_iter().for_each(|conn| w.finish_connect(conn));
        // First a lookup that misses; then a fill from the parent, which reports a cycle.
        let mut sources = Vec::new();
        for _ in 0..8 {
            for conn in w.busy_conns() {
                let head = w.request_heads[&access].clone();
                let source = head.lines().find_map(|l| l.strip_prefix("Miss-To: ")).map(str::to_owned);
                assert!(head.contains("CDN-Loop: doorgrade-n1;most=3"), "{head}");
                let first_push = sources.is_empty();
                match &source {
                    // An unrepeatable access goes to the origin, which reports a cycle the first time.
                    None if offering == 2 && first_push => w.reply(conn, 508, true, "r"),
                    None if offering == 2 => w.reply(conn, 200, false, "o"),
                    None => w.reply(conn, 404, false, "?"),
                    Some(s) if *s == PARENT => w.reply(conn, 508, true, "r"),
                    Some(_) => w.reply(conn, 200, false, "o"),
                }
                sources.extend(source.or(Some("itself".to_owned()).filter(|_| offering == 2)));
            }
            w.connecting().into_iter().for_each(|conn| w.finish_connect(conn));
        }
        assert_eq!(w.response_to(access).map(|a| a.status), Some(200), "{sources:?}");
        assert!(offering == 2 || sources.first().is_some_and(|n| n == PARENT), "{sources:?}");
        assert!(sources.len() > 1, "{sources:?}");
    }
}

/// Caches that don't support cancellation: a hedged push waits for its connection, the first push is
/// answered, then the connection is established.
#[test]
fn a_hedged_push_waiting_for_its_connection_is_not_sent_after_the_response() {
    let mut w = World::with_config_change(1, 128, "\"cancel\":true", "\"cancel\":false");
    let client = w.client();
    // All caches respond, so that one that does not is recognised as stuck.
    for access in 1..200 {
        w.send_request(client, 1, access, 1, access, 1_000);
        w.serve();
        w.advance(Pools::MIN_IDLE);
    }
    // Idle connections are closed, also those that the hedged push could use.
    w.advance(12_000 * MS);
    let client = w.client();
    w.send_request(client, 1, 200, 1, 5, 1_900);
    w.connecting()
        .into_iter()
        .filter(|&c| w.port_of(c) != 9092)
        .collect::<Vec<_>>()
        .into_iter()
        .for_each(|c| w.finish_connect(c));
    let first = w.busy_conns();
    assert_eq!(first.len(), 1);
    let mut more = 1_000;
    for _ in 0..60 {
        w.advance(10 * MS);
        // Other accesses are answered in the meantime, on other connections.
        for conn in w.busy_conns().into_iter().filter(|c| !first.contains(c)).collect::<Vec<_>>() {
            w.reply(conn, 200, false, "h");
        }
        if w.connecting().iter().any(|&c| w.port_of(c) != 9092 && w.port_of(c) != w.port_of(first[0])) {
            break;
        }
        more += 1;
        w.send_request(client, 2, more, 1, 5, 1_000);
        w.connecting()
            .into_iter()
            .filter(|&c| w.port_of(c) == w.port_of(first[0]))
            .collect::<Vec<_>>()
            .into_iter()
            .for_each(|c| w.finish_connect(c));
    }
    let second: Vec<_> = w.connecting().into_iter().filter(|&c| w.port_of(c) != 9092).collect();
    assert!(!second.is_empty(), "no hedged push waits for its connection");
    w.reply(first[0], 200, false, "h");
    assert_eq!(w.response_to(200).map(|a| a.status), Some(200));
    // The helper fails at a push after the final response.
    second.into_iter().for_each(|conn| w.finish_connect(conn));
    assert_eq!(w.push_count(200), 1);
}
