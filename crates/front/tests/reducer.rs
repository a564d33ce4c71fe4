//! The reducer without sockets: seeded random runs with the rules checked after each step, and what becomes of an access.

mod helper;

use doorgrade_front::config::{Limits, Renewal};
use doorgrade_front::push::Pools;
use doorgrade_front::reducer::Input;
use doorgrade_operator::Files;
use helper::*;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

/// Clients, caches and feed do what they may, in any order; then everyone answers, and all must be in order.
fn random_run(seed: u64) {
    let sockets = if seed.is_multiple_of(4) { 64 } else { 200 };
    let tiered = seed % 3 == 1;
    let files = if tiered { tiers() } else { Files::default() };
    let mut w = World::with(seed, sockets, files.clone());
    let mut clients: Vec<_> = (0..3).map(|_| w.client()).collect();
    let (mut number, mut id, mut more) = (1, 30, 1_000);
    for call in 0..300 {
        match w.rng.u8(..if tiered { 26 } else { 24 }) {
            24 if w.to_port(9092).is_some() => {
                // A parent drains, goes, or comes, cold or not.
                number += 1;
                let (id, port) = [(0x10, 9110), (0x11, 9111)][w.rng.usize(..2)];
                let (state, start) = (w.rng.u8(..3), w.rng.u64(..2) * (w.now / 10));
                match state {
                    0 => drop(w.drained.remove(&port)),
                    _ => drop(w.drained.entry(port).or_insert(w.now)),
                }
                w.feed(&frame(number, 2, &listed(id, port, state, 1, start)));
            }
            25 => {
                // A parent is hung elsewhere, or under the other, and back: loops are offered.
                let sources = [ORIGIN, PARENT, SECOND][w.rng.usize(..3)];
                let member = [PARENT, SECOND][w.rng.usize(..2)];
                let change = format!(
                    "member \"{member}\" {{\nincarnation = 1\nnumber = {}\ntier = 1\nfills_from = [\"{sources}\"]\n}}",
                    call + 2
                );
                let shape = doorgrade_operator::shape::read("s", &change).unwrap_or_default();
                let files = Files { shape, ..files.clone() };
                let feed = FEED.parse().unwrap();
                let limits = Limits { memory_mb: 48, sockets: sockets.max(64) };
                let log = doorgrade_log::LevelFilter::INFO;
                w.input(Input::Reload(Box::new(Renewal { feed, limits, log, files, whole: false })));
            }
            0..=7 => {
                let conn = clients[w.rng.usize(..clients.len())];
                id = id % 9_000 + 31;
                let (class, key, wait) = (w.rng.usize(..4), w.rng.u64(..30), w.rng.u64(1..3_000));
                w.ask(conn, id, call, class, key, wait);
            }
            8..=10 => {
                let conns = w.connecting();
                if let Some(&conn) = w.rng.choice(&conns) {
                    w.connected(conn);
                }
            }
            11..=16 => {
                let conns = w.working();
                if let Some(&conn) = w.rng.choice(&conns) {
                    let (status, marked) = [
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
                    let told = [now, now - w.rng.u64(..9_000), now + 5_000, 0, max, max / 10];
                    w.made_at = Some(told[w.rng.usize(..6)].to_string()).filter(|_| w.rng.bool());
                    let detail = ["h", "f", "o", "r", "b", "x", "?"][w.rng.usize(..7)];
                    if w.rng.u8(..12) == 0 {
                        w.end(conn);
                    } else {
                        w.reply(conn, status, marked, detail);
                    }
                }
            }
            17 => {
                let calls = w.open_calls();
                if let Some(&call) = w.rng.choice(&calls) {
                    w.abort(call);
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
                if w.to_port(9092).is_some() {
                    if start > 0 {
                        w.restarted(port);
                    }
                    w.feed(&frame(number, 2, &listed(u32::from(place) + 1, port, state, 0, start)));
                } else {
                    w.drained.remove(&port);
                }
            }
            19 if w.to_port(9092).is_some() => {
                number += 1;
                let key = Some(w.rng.u64(..30)).filter(|_| w.rng.bool());
                let group = w.rng.u64(..4);
                w.purge(number, key, group);
            }
            20 => {
                let port = 9101 + w.rng.u16(..3);
                if !w.down.remove(&port) {
                    w.down.insert(port);
                }
            }
            21 => {
                let at = w.rng.usize(..clients.len());
                w.end(clients[at]);
                clients[at] = w.client();
                if w.rng.bool() {
                    for id in 1..30 {
                        more += 1;
                        let key = w.rng.u64(..1_000);
                        w.ask(clients[at], id, more, 1, key, 1_500);
                    }
                    w.serve();
                }
            }
            _ => {
                let time = w.rng.u64(1..300) * MS;
                w.pass(time);
            }
        }
    }
    w.pass(4_000 * MS);
    assert!(w.open_calls().is_empty());
    assert!(w.most_open <= 200);
    w.input(Input::Stop);
    w.pass(7_000 * MS);
    assert!(w.exited, "nothing is open, yet it does not exit");
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
fn an_unrepeatable_access_cut_off_is_given_up_not_declined() {
    let mut w = World::new(1, 128);
    let client = w.client();
    w.ask(client, 1, 1, 2, 5, 1_000);
    w.connecting().into_iter().for_each(|conn| w.connected(conn));
    let conn = w.working()[0];
    w.end(conn);
    assert_eq!(w.answer_of(1).map(|a| a.status), Some(500));
    assert_eq!(w.pushes_of(1), 1);
}

#[test]
fn a_refused_connection_lets_an_unrepeatable_access_be_declined_or_sent_again() {
    let mut w = World::new(1, 128);
    let client = w.client();
    w.down.insert(9120);
    w.ask(client, 1, 1, 2, 5, 1_000);
    for _ in 0..10 {
        w.connecting().into_iter().for_each(|conn| w.connected(conn));
    }
    assert_eq!(w.answer_of(1).map(|a| a.status), Some(503));
}

#[test]
fn a_deduplicated_access_goes_out_with_its_mark_and_is_pushed_again_only_with_it() {
    for (call, pushes) in [(1, 2), (3, 1)] {
        let mut w = World::new(1, 128);
        let client = w.client();
        w.ask(client, 1, call, 3, 5, 1_000);
        w.connecting().into_iter().for_each(|conn| w.connected(conn));
        let conn = w.working()[0];
        w.end(conn);
        w.connecting().into_iter().for_each(|conn| w.connected(conn));
        assert_eq!(w.pushes_of(call), pushes);
        // The world checks each push's mark against what the client sent.
        assert_eq!(w.heads[&call].contains("Call-Once: "), pushes > 1);
        assert_eq!(w.answer_of(call).map(|a| a.status), (pushes == 1).then_some(500));
    }
}

#[test]
fn a_repeat_whose_connection_comes_up_too_late_is_never_begun() {
    for (late, pushes) in [(100, 2), (300, 1)] {
        let mut w = World::new(1, 128);
        let client = w.client();
        w.ask(client, 1, 1, 3, 5, 2_500);
        w.connecting().into_iter().for_each(|conn| w.connected(conn));
        w.pass(800 * MS);
        let conn = w.working()[0];
        w.end(conn);
        assert!(!w.connecting().is_empty(), "a repeat waits for its connection");
        // Votes are known again for a second.
        w.pass(late * MS);
        w.connecting().into_iter().for_each(|conn| w.connected(conn));
        assert_eq!(w.pushes_of(1), pushes);
        assert_eq!(w.answer_of(1).map(|a| a.status), (pushes == 1).then_some(500));
    }
}

#[test]
fn a_cold_cache_gets_a_small_part_at_first() {
    let mut w = World::new(1, 200);
    let client = w.client();
    w.connecting().into_iter().for_each(|conn| w.connected(conn));
    let mut call = 0;
    let mut second = |w: &mut World| {
        w.wholes.clear();
        for _ in 0..200 {
            call += 1;
            w.ask(client, 1 + (call % 30) as u16, call, 1, call, 1_000);
            w.serve();
            w.pass(5 * MS);
        }
        w.wholes.get(&9101).copied().unwrap_or(0)
    };
    for _ in 0..5 {
        second(&mut w);
    }
    let warm = second(&mut w);
    w.feed(&frame(2, 2, &listed(1, 9101, 0, 0, w.now / 10)));
    let cold = second(&mut w);
    // At its start it can do 0.16 of what a warm one does, and falls over at 4 times that.
    assert!(warm > 30 && cold as f64 <= 0.16 * 4.0 * warm as f64, "{cold} of {warm}");
}

#[test]
fn an_unrepeatable_access_that_was_never_written_is_declined_when_its_time_is_up() {
    let mut w = World::new(1, 128);
    let client = w.client();
    w.ask(client, 1, 1, 2, 5, 300);
    w.pass(300 * MS);
    assert_eq!(w.answer_of(1).map(|a| a.status), Some(503));
    assert_eq!(w.pushes_of(1), 0);
}

/// A fill that has come round in a ring never ran, whatever the access may repeat: it goes another way.
#[test]
fn a_fill_cut_in_a_ring_goes_another_way_even_if_it_must_not_run_twice() {
    let mut w = World::with(1, 128, tiers());
    let client = w.client();
    for (call, class) in [(1, 1), (2, 2)] {
        w.ask(client, call as u16, call, class, 5, 1_500);
        w.connecting().into_iter().for_each(|conn| w.connected(conn));
        // Looked for, and lacked; then filled from the parent, which says that it is in a ring.
        let mut named = Vec::new();
        for _ in 0..8 {
            for conn in w.working() {
                let head = w.heads[&call].clone();
                let source = head.lines().find_map(|l| l.strip_prefix("Miss-To: ")).map(str::to_owned);
                assert!(head.contains("CDN-Loop: doorgrade-n1;most=3"), "{head}");
                let named_first = named.is_empty();
                match &source {
                    // What must not run twice goes to the origin, which answers so the first time.
                    None if class == 2 && named_first => w.reply(conn, 508, true, "r"),
                    None if class == 2 => w.reply(conn, 200, false, "o"),
                    None => w.reply(conn, 404, false, "?"),
                    Some(s) if *s == PARENT => w.reply(conn, 508, true, "r"),
                    Some(_) => w.reply(conn, 200, false, "o"),
                }
                named.extend(source.or(Some("itself".to_owned()).filter(|_| class == 2)));
            }
            w.connecting().into_iter().for_each(|conn| w.connected(conn));
        }
        assert_eq!(w.answer_of(call).map(|a| a.status), Some(200), "{named:?}");
        assert!(class == 2 || named.first().is_some_and(|n| n == PARENT), "{named:?}");
        assert!(named.len() > 1, "{named:?}");
    }
}

/// Caches heed no cancel. A second copy waits for its connection, the first is answered, the connection comes up.
#[test]
fn a_second_copy_that_waits_for_its_connection_does_not_go_out_after_the_answer() {
    let mut w = World::changed(1, 128, "\"cancel\":true", "\"cancel\":false");
    let client = w.client();
    // All caches answer, so that one that does not is taken for stuck.
    for call in 1..200 {
        w.ask(client, 1, call, 1, call, 1_000);
        w.serve();
        w.pass(Pools::REST);
    }
    // Connections to where the second copy may go are closed, as idle ones are.
    w.pass(12_000 * MS);
    let client = w.client();
    w.ask(client, 1, 200, 1, 5, 1_900);
    w.connecting()
        .into_iter()
        .filter(|&c| w.to(c) != 9092)
        .collect::<Vec<_>>()
        .into_iter()
        .for_each(|c| w.connected(c));
    let first = w.working();
    assert_eq!(first.len(), 1);
    let mut more = 1_000;
    for _ in 0..60 {
        w.pass(10 * MS);
        // Others are answered meanwhile, on connections of their own.
        for conn in w.working().into_iter().filter(|c| !first.contains(c)).collect::<Vec<_>>() {
            w.reply(conn, 200, false, "h");
        }
        if w.connecting().iter().any(|&c| w.to(c) != 9092 && w.to(c) != w.to(first[0])) {
            break;
        }
        more += 1;
        w.ask(client, 2, more, 1, 5, 1_000);
        w.connecting()
            .into_iter()
            .filter(|&c| w.to(c) == w.to(first[0]))
            .collect::<Vec<_>>()
            .into_iter()
            .for_each(|c| w.connected(c));
    }
    let second: Vec<_> = w.connecting().into_iter().filter(|&c| w.to(c) != 9092).collect();
    assert!(!second.is_empty(), "no second copy waits for its connection");
    w.reply(first[0], 200, false, "h");
    assert_eq!(w.answer_of(200).map(|a| a.status), Some(200));
    // The helper fails at a push after the final answer.
    second.into_iter().for_each(|conn| w.connected(conn));
    assert_eq!(w.pushes_of(200), 1);
}
