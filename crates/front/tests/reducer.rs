//! The reducer without sockets: seeded random runs with the rules checked after each step, and plain cases.

mod helper;

use doorgrade::Tenths;
use doorgrade_front::bounds::Bounds;
use doorgrade_front::config::{Limits, Renewal};
use doorgrade_front::fastcgi;
use doorgrade_front::push::Pools;
use doorgrade_front::reducer::{Input, Learned};
use doorgrade_operator::neighbours::Recall;
use doorgrade_operator::{Files, Settings};
use doorgrade_recall::{Fill, Purge};
use helper::*;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

const MS: Tenths = 10;

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
                    serve(&mut w);
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

/// All connections come up and all requests are answered at once.
fn serve(w: &mut World) {
    loop {
        let (connecting, working) = (w.connecting(), w.working());
        if connecting.is_empty() && working.is_empty() {
            return;
        }
        connecting.into_iter().for_each(|conn| w.connected(conn));
        working.into_iter().for_each(|conn| w.reply(conn, 200, false, "h"));
    }
}

#[test]
fn a_connection_is_kept_and_used_again() {
    let mut w = World::new(1, 128);
    let client = w.client();
    for call in 0..20 {
        w.ask(client, 1, call, 1, 5, 1_000);
        serve(&mut w);
        assert_eq!(w.answer_of(call).map(|a| a.status), Some(200));
        // It rests that long: what a cache says twice must not meet the next request.
        w.pass(Pools::REST);
    }
    // The client's, the feed's, and one to the object's cache.
    assert_eq!(w.most_open, 3);
    w.pass(12_000 * MS);
    let idle = w.ports.values().filter(|&&port| w.to_port(port).is_some()).count();
    assert_eq!(idle, 0, "an idle connection is closed before the other side does it");
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
fn a_silent_cache_costs_one_access_and_its_connection_only() {
    let mut w = World::new(1, 128);
    let client = w.client();
    w.ask(client, 1, 1, 2, 5, 1_000);
    w.connecting().into_iter().for_each(|conn| w.connected(conn));
    w.pass(1_000 * MS);
    assert_eq!(w.answer_of(1).map(|a| a.status), Some(500));
    assert!(w.working().is_empty(), "the connection is closed");
    w.ask(client, 2, 2, 2, 6, 1_000);
    serve(&mut w);
    assert_eq!(w.answer_of(2).map(|a| a.status), Some(200));
}

#[test]
fn bytes_after_an_answer_break_the_connection() {
    let mut w = World::new(1, 128);
    let client = w.client();
    w.ask(client, 1, 1, 1, 5, 1_000);
    serve(&mut w);
    let conn = w.ports.values().find_map(|&port| w.to_port(port)).expect("a kept connection");
    w.owe(conn, b"HTTP/1.1 200 OK\r\n");
    assert!(w.ports.values().all(|&port| w.to_port(port) != Some(conn)));
}

#[test]
fn a_whole_answer_counts_whatever_follows_it() {
    for more in [&b"HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nx"[..], b"\0\xff"] {
        let mut w = World::new(1, 128);
        let client = w.client();
        w.ask(client, 1, 1, 2, 5, 1_000);
        w.connecting().into_iter().for_each(|conn| w.connected(conn));
        let conn = w.working()[0];
        w.owe(conn, b"HTTP/1.1 100 Continue\r\n\r\n");
        let whole = b"HTTP/1.1 200 OK\r\nTag: aa\r\nContent-Length: 2\r\n\r\nok";
        w.owe(conn, &[whole, more].concat());
        assert_eq!(w.answer_of(1).map(|a| (a.status, &a.body[..])), Some((200, &b"ok"[..])));
        assert!(w.ports.values().all(|&port| w.to_port(port) != Some(conn)), "it is of no further use");
    }
}

#[test]
fn a_connection_lost_before_a_request_went_out_costs_no_push() {
    let mut w = World::new(1, 128);
    let client = w.client();
    w.ask(client, 1, 1, 1, 5, 1_000);
    serve(&mut w);
    let kept = w.ports.values().find_map(|&port| w.to_port(port)).expect("a kept connection");
    w.spoilt.insert(kept);
    w.ask(client, 2, 2, 1, 5, 1_000);
    serve(&mut w);
    assert_eq!((w.answer_of(2).map(|a| a.status), w.pushes_of(2)), (Some(200), 1));
    // The cache has read nothing, so not even what must not run twice is lost by it.
    w.ask(client, 3, 3, 2, 5, 1_000);
    for lost in 0..3 {
        for conn in w.connecting() {
            if lost < 2 {
                w.spoilt.insert(conn);
            }
            w.connected(conn);
        }
    }
    serve(&mut w);
    assert_eq!((w.answer_of(3).map(|a| a.status), w.pushes_of(3)), (Some(200), 1));
}

#[test]
fn an_unrepeatable_access_goes_over_a_connection_of_its_own() {
    let mut w = World::new(1, 128);
    let client = w.client();
    for call in 0..5 {
        w.ask(client, 1, call, 2, 5, 1_000);
        assert_eq!(w.connecting().into_iter().filter(|&c| w.to(c) == 9120).count(), 1);
        serve(&mut w);
        assert_eq!(w.answer_of(call).map(|a| a.status), Some(200));
        assert_eq!(w.to_port(9120), None);
    }
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
fn a_new_cache_at_an_old_address_starts_afresh() {
    let mut w = World::new(1, 128);
    let client = w.client();
    w.connecting().into_iter().for_each(|conn| w.connected(conn));
    w.ask(client, 1, 1, 1, 5, 1_000);
    serve(&mut w);
    let (id, port) =
        w.ports.iter().find(|(_, p)| w.to_port(**p).is_some()).map(|(i, p)| (i.clone(), *p)).unwrap();
    let old = w.to_port(port).unwrap();
    let id = u32::from_str_radix(&id[2..], 16).unwrap();
    let mut list = listed(id, port, 2, 0, 0);
    list.extend(listed(0x99, port, 0, 0, w.now / 10));
    w.feed(&frame(2, 2, &list));
    assert_ne!(w.to_port(port), Some(old), "the old one's connection is closed");
}

#[test]
fn the_feed_is_made_anew_after_silence_and_bad_frames_without_a_tight_loop() {
    let mut w = World::new(1, 128);
    let up = |w: &mut World| {
        let conns = w.connecting();
        conns.into_iter().for_each(|conn| w.connected(conn));
        w.to_port(9092)
    };
    let first = up(&mut w).expect("the feed is followed");
    w.pass(2_000 * MS);
    w.feed(&frame(1, 0, &[]));
    w.pass(2_000 * MS);
    assert_eq!(w.to_port(9092), Some(first), "an empty frame shows that it lives");
    w.pass(1_500 * MS);
    let second = up(&mut w).expect("a new connection");
    assert_ne!(first, second);
    let mut made = 0;
    for _ in 0..100 {
        w.feed(&[0, 0, 0, 1]);
        w.pass(50 * MS);
        made += usize::from(!w.connecting().is_empty());
        up(&mut w);
    }
    assert!((3..20).contains(&made), "{made} connections in five seconds");
}

#[test]
fn a_new_feed_is_followed_at_once_and_nothing_of_the_old_one_stays() {
    for up in [true, false] {
        let mut w = World::new(1, 128);
        if up {
            w.connecting().into_iter().for_each(|conn| w.connected(conn));
        }
        let old: Vec<_> = w.connecting().into_iter().chain(w.to_port(9092)).collect();
        let feed = "127.0.0.1:9093".parse().expect("an address");
        let limits = Limits { memory_mb: 48, sockets: 128 };
        w.input(Input::Reload(Box::new(Renewal {
            feed,
            limits,
            log: doorgrade_log::LevelFilter::INFO,
            files: Default::default(),
            whole: false,
        })));
        let new: Vec<_> = w.connecting().into_iter().filter(|&c| w.to(c) == 9093).collect();
        assert_eq!(new.len(), 1, "no time is lost");
        old.into_iter().for_each(|conn| w.connected(conn));
        assert_eq!(w.to_port(9092), None, "one that comes up late is closed, too");
        w.connected(new[0]);
        assert_eq!(w.written(new[0]), 1u64.to_be_bytes(), "it goes on from the last event");
        w.pass(1_000 * MS);
        assert!(w.most_open <= 2, "the old connection is given back");
    }
}

/// The feed falls silent in the middle of a frame: what came of it is forgotten, and the new connection has it whole.
#[test]
fn a_feed_that_falls_silent_in_a_frame_is_made_anew_and_heard_from_its_start() {
    let mut w = World::new(1, 128);
    w.connecting().into_iter().for_each(|conn| w.connected(conn));
    let first = w.to_port(9092).expect("the feed is followed");
    let gone = frame(2, 2, &[listed(1, 9101, 2, 0, 0), listed(2, 9102, 2, 0, 0)].concat());
    w.feed(&gone[..30]);
    w.pass(3_000 * MS);
    assert_ne!(w.to_port(9092), Some(first));
    let new: Vec<_> = w.connecting().into_iter().filter(|&c| w.to(c) == 9092).collect();
    w.connected(new[0]);
    assert_eq!(w.written(new[0]), 1u64.to_be_bytes(), "it goes on from the last whole event");
    w.feed(&gone);
    let client = w.client();
    for call in 1..20 {
        w.ask(client, 1, call, 1, call, 1_000);
        let asked: Vec<_> = w.connecting().into_iter().map(|c| w.to(c)).collect();
        assert!(!asked.contains(&9101) && !asked.contains(&9102), "{asked:?}");
        serve(&mut w);
        assert_eq!(w.answer_of(call).map(|a| a.status), Some(200));
    }
}

#[test]
fn an_event_seen_already_is_skipped() {
    let mut w = World::new(1, 128);
    w.connecting().into_iter().for_each(|conn| w.connected(conn));
    // Number 1 was known at the start: this one would take all caches away.
    w.feed(&frame(1, 1, &[]));
    let client = w.client();
    w.ask(client, 1, 1, 1, 5, 1_000);
    serve(&mut w);
    assert_eq!(w.answer_of(1).map(|a| a.status), Some(200));
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
            serve(w);
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
fn a_request_that_cannot_be_used_reaches_no_cache() {
    let mut w = World::new(1, 128);
    let client = w.client();
    w.owe(client, &request(1, "/do/unheard-of", &access(1, 2, 900), &[], 0));
    w.owe(client, &request(2, "/do/images", &access(2, 2, 0), &[], 0));
    w.connecting().into_iter().for_each(|conn| w.connected(conn));
    assert!(w.working().is_empty());
    w.owe(client, &[9; 8]);
    let again = w.client();
    w.ask(again, 1, 3, 1, 5, 1_000);
    serve(&mut w);
    assert_eq!(w.answer_of(3).map(|a| a.status), Some(200), "others are served");
}

#[test]
fn few_descriptors_end_pushes_and_break_nothing() {
    let mut w = World::new(1, 64);
    let clients: Vec<_> = (0..30).map(|_| w.client()).collect();
    for call in 0..200 {
        w.ask(clients[10 + call as usize % 20], 1 + call as u16 / 20, call, 1, call, 1_000);
    }
    assert!(w.most_open <= 64, "{} connections at once", w.most_open);
    w.connecting().into_iter().for_each(|conn| w.connected(conn));
    w.pass(1_500 * MS);
    assert!(w.open_calls().is_empty());
}

#[test]
fn after_the_word_to_stop_accesses_are_taken_finished_and_the_rest_ended() {
    let mut w = World::new(1, 128);
    let client = w.client();
    w.input(Input::Stop);
    w.pass(300 * MS);
    w.ask(client, 1, 1, 1, 5, 1_000);
    serve(&mut w);
    assert_eq!(w.answer_of(1).map(|a| a.status), Some(200), "still served");
    // One that may run far beyond the hard stop is ended before it, as its effect allows.
    w.ask(client, 2, 2, 1, 6, 60_000);
    w.ask(client, 3, 3, 2, 7, 60_000);
    w.connecting().into_iter().for_each(|conn| w.connected(conn));
    w.pass(2_200 * MS);
    assert_eq!([2, 3].map(|call| w.answer_of(call).map(|a| a.status)), [Some(503), Some(500)]);
    assert!(w.exited);
}

#[test]
fn only_a_serving_front_says_that_it_is_ready() {
    let mut w = World::new(1, 128);
    let client = w.client();
    let check = request(1, "/check", &[], &[], 0);
    assert_eq!(w.stray(client, &check), Some(200));
    w.input(Input::Stop);
    assert_eq!(w.stray(client, &check), Some(503));
    w.pass(1_000 * MS);
    assert!(w.exited);
}

#[test]
fn a_push_that_waits_for_its_connection_heeds_word_that_comes_meanwhile() {
    let mut w = World::new(1, 128);
    let client = w.client();
    w.connecting().into_iter().for_each(|conn| w.connected(conn));
    w.ask(client, 1, 1, 1, 5, 1_000);
    let slow = w.connecting()[0];
    w.purge(2, Some(5), 0);
    w.pass(390 * MS);
    // Longer than the grace: what is written now must name the purge, as the helper checks.
    w.connected(slow);
    serve(&mut w);
    assert_eq!(w.answer_of(1).map(|a| a.status), Some(200));
}

#[test]
fn a_second_request_under_an_open_id_fails_and_leaves_the_first_alone() {
    let mut w = World::new(1, 128);
    let client = w.client();
    w.ask(client, 1, 1, 1, 5, 1_000);
    let got = w.stray(client, &request(1, "/do/images", &access(2, 6, 900), &[], 0));
    assert_eq!(got, Some(400));
    assert_eq!(w.answer_of(1), None);
    w.end(client);
    w.connecting().into_iter().for_each(|conn| w.connected(conn));
    assert!(w.working().is_empty(), "the first one's client is gone, and it with it");
}

#[test]
fn an_open_req_id_is_not_taken_twice_and_the_first_access_goes_on() {
    let mut w = World::new(1, 128);
    let (client, other) = (w.client(), w.client());
    w.ask(client, 1, 1, 1, 5, 1_000);
    let again = request(1, "/do/images", &access(1, 6, 900), &[], 0);
    assert_eq!(w.stray(other, &again), Some(400));
    serve(&mut w);
    assert_eq!(w.answer_of(1).map(|a| a.status), Some(200));
    w.ask(other, 2, 1, 1, 5, 1_000);
    serve(&mut w);
    assert_eq!(w.answer_of(1).map(|a| a.status), Some(200), "once ended, it may come again");
}

#[test]
fn times_move_with_a_clock_that_was_set_back() {
    let mut w = World::new(1, 128);
    let client = w.client();
    // The reducer's time is an hour ahead of the system's from here on; reads are stamped with the system's.
    w.set_back(36_000_000);
    w.ask(client, 1, 1, 1, 5, 1_000);
    serve(&mut w);
    assert_eq!(w.answer_of(1).map(|a| a.status), Some(200));
    w.purge(2, Some(5), 0);
    w.pass(400 * MS);
    w.ask(client, 1, 2, 1, 5, 1_000);
    serve(&mut w);
    assert_eq!(w.answer_of(2).map(|a| a.status), Some(200));
}

#[test]
fn a_copys_age_is_read_from_its_answer_and_moves_with_a_clock_that_was_set_back() {
    for back in [0, 36_000_000] {
        let mut w = World::new(1, 128);
        let client = w.client();
        w.set_back(back);
        for (call, renews) in [(1, false), (2, true)] {
            // Fresh for 8 s, made 7 s ago by the system's clock.
            w.made_at = Some(((w.now - back) / 10 - 7_000).to_string());
            w.ask(client, 1, call, 0, 5, 1_000);
            serve(&mut w);
            assert_eq!(w.heads[&call].contains("revalidate"), renews, "access {call}, set back by {back}");
        }
    }
}

#[test]
fn memory_is_heard_before_the_front_serves_and_what_it_sees_is_told() {
    let recall = Some(Recall { store: "s".into(), write_ms: 1_000, most: 100, pages: 1 });
    let files = Files { settings: Settings { recall, ..Settings::default() }, ..Files::default() };
    let mut w = World::with(1, 128, files);
    let client = w.client();
    let fill = Fill { offering: 0, object: 5, part: 0, group: 1, made: w.now - 70_000, seen: w.now - 10 };
    let purge = Purge { object: Some(6), group: 2, at: w.now - 10_000 };
    w.input(Input::Recall(vec![fill], vec![purge]));
    w.ask(client, 1, 1, 0, 5, 1_000);
    w.ask(client, 2, 2, 0, 6, 1_000);
    assert!(w.reducer.learned().is_empty());
    serve(&mut w);
    assert!(w.heads[&1].contains("revalidate"), "it is known to be about to end");
    // Nothing older than the purge, a millisecond up: both times were rounded down.
    assert!(w.heads[&2].contains("No-Older-Than: 999"), "{}", w.heads[&2]);
    let made = w.now / 10 * 10;
    let own = |object, group| Learned::Fill(Fill { offering: 0, object, part: 0, group, made, seen: w.now });
    let mut learned = w.reducer.learned();
    learned.sort_by_key(|l| match l {
        Learned::Fill(f) => f.object,
        Learned::Purge(_) | Learned::Homes(_) => 0,
    });
    assert_eq!(learned, [own(5, 1), own(6, 2)]);
    // A purge of the feed is remembered, too; nothing is kept for nobody.
    w.purge(2, Some(5), 1);
    assert!(matches!(w.reducer.learned()[..], [Learned::Purge(Purge { object: Some(5), .. })]));
    let mut plain = World::new(1, 128);
    plain.purge(2, Some(5), 1);
    assert!(plain.reducer.learned().is_empty());
}

#[test]
fn a_neighbour_that_lies_about_ages_moves_one_renewal_and_nothing_else() {
    // (what it says of a copy's age, the copy's age): all is fresh for 8 s.
    for (said, age) in [(0, 70_000), (79_000, 1_000)] {
        let recall = Some(Recall { store: "s".into(), write_ms: 1_000, most: 100, pages: 1 });
        let files = Files { settings: Settings { recall, ..Settings::default() }, ..Files::default() };
        let mut w = World::with(1, 128, files);
        let client = w.client();
        let lie = Fill { offering: 0, object: 5, part: 0, group: 1, made: w.now - said, seen: w.now };
        w.input(Input::Recall(vec![lie], vec![]));
        for call in 1..=3 {
            w.made_at = Some(((w.now - age) / 10).to_string());
            w.ask(client, 1, call, 0, 5, 1_000);
            serve(&mut w);
            let believed = if call == 1 { said } else { age };
            assert_eq!(w.heads[&call].contains("revalidate"), believed > 64_000, "access {call}");
            assert!(
                w.heads[&call].contains("No-Older-Than: 8000"),
                "how old an answer may be is not asked of others"
            );
        }
    }
}

#[test]
fn clients_that_vanish_give_their_descriptors_back() {
    let mut w = World::new(1, 128);
    for _ in 0..100 {
        let client = w.client();
        // Half a request, and never the rest.
        w.owe(client, &record(fastcgi::BEGIN_REQUEST, 1, &[0, 1, 1, 0, 0, 0, 0, 0], 0));
    }
    assert!(w.clients() < 60, "{} of 128 descriptors", w.clients());
    w.pass(2_700 * MS);
    assert_eq!(w.clients(), 0);
}

#[test]
fn clients_that_hold_on_keep_no_others_out_and_lose_nothing_they_are_owed() {
    let mut w = World::new(1, 128);
    w.connecting().into_iter().for_each(|conn| w.connected(conn));
    let waiting = w.client();
    w.ask(waiting, 1, 1, 2, 5, 1_500);
    for call in 2..200 {
        // Each asks once and stays, or says nothing.
        let client = w.client();
        if call % 2 == 0 {
            w.ask(client, 1, call, 1, 5, 1_000);
            // The origin answers later.
            let quick = |w: &World, conns: Vec<_>| -> Vec<_> {
                conns.into_iter().filter(|&c| w.to(c) != 9120).collect()
            };
            quick(&w, w.connecting()).into_iter().for_each(|conn| w.connected(conn));
            quick(&w, w.working()).into_iter().for_each(|conn| w.reply(conn, 200, false, "h"));
            assert_eq!(w.answer_of(call).map(|a| a.status), Some(200), "{call}");
        }
    }
    serve(&mut w);
    assert_eq!(w.answer_of(1).map(|a| a.status), Some(200), "the one that waits is not cut off");
    assert!(w.most_open <= 128);
    w.pass(7_000 * MS);
    assert_eq!(w.clients(), 0, "what no client uses is given back");
}

#[test]
fn a_body_without_end_is_answered_before_it_ends_and_cut_off() {
    let mut w = World::new(1, 128);
    let client = w.client();
    let whole = request(1, "/do/orders", &access(1, 2, 900), &[7; 60_000], 0);
    assert_eq!(w.stray(client, &whole[..55_000]), Some(413));
    assert_eq!(w.clients(), 0);
}

#[test]
fn a_client_that_sends_on_and_reads_nothing_is_closed_at_once_and_its_accesses_with_it() {
    let mut w = World::new(1, 128);
    let client = w.client();
    w.ask(client, 1, 1, 2, 5, 1_000);
    w.stuck.insert(client);
    let values = record(fastcgi::GET_VALUES, 0, &[], 0);
    w.owe(client, &values.repeat(20_000));
    assert_eq!(w.clients(), 0);
    assert!(w.left_unread > 100_000, "the front reads on though nothing is taken");
    w.connecting().into_iter().for_each(|conn| w.connected(conn));
    assert!(w.working().is_empty(), "nothing begins for it");
}

#[test]
fn answers_nobody_reads_hold_no_more_than_the_bound_and_others_are_served_again() {
    let mut w = World::new(1, 128);
    let bound = Bounds::new(&Limits { memory_mb: 48, sockets: 128 }).bodies;
    let clients: Vec<_> = (0..30).map(|_| w.client()).collect();
    w.stuck.extend(&clients);
    let mut call = 0;
    for _ in 0..32 {
        for &client in &clients {
            call += 1;
            w.ask(client, 1 + (call / 30) as u16, call, 1, call, 3_000);
            serve(&mut w);
            assert!(w.reducer.most().bodies <= bound, "{:?}", w.reducer.most());
        }
    }
    assert!(w.reducer.most().bodies > bound - 240_000, "the bound was reached");
    w.pass(12_000 * MS);
    let client = w.client();
    w.ask(client, 1, 5_000, 1, 5, 1_000);
    serve(&mut w);
    assert_eq!(w.answer_of(5_000).map(|a| a.status), Some(200));
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

#[test]
fn a_machine_without_descriptors_blames_no_cache() {
    let mut w = World::new(1, 128);
    let client = w.client();
    for call in 0..20 {
        w.ask(client, 1, call, 1, 5, 1_000);
        let waiting: Vec<_> = w.connecting().into_iter().filter(|&c| w.to(c) != 9092).collect();
        waiting.into_iter().for_each(|conn| w.fail(conn));
        while let Some(&conn) = w.connecting().iter().find(|&&c| w.to(c) != 9092) {
            w.fail(conn);
        }
        assert_eq!(w.answer_of(call).map(|a| a.status), Some(503));
    }
    w.ask(client, 1, 20, 1, 5, 1_000);
    let first = w.connecting().into_iter().map(|c| w.to(c)).find(|&port| port != 9092);
    w.ask(client, 2, 21, 1, 5, 1_000);
    let again = w.connecting().into_iter().map(|c| w.to(c)).rfind(|&port| port != 9092);
    assert_eq!(first, again, "the object's own cache is asked as before");
}

#[test]
fn a_refusal_without_a_length_counts_and_ends_its_connection() {
    let mut w = World::new(1, 128);
    let client = w.client();
    w.ask(client, 1, 1, 2, 5, 1_000);
    for _ in 0..8 {
        w.connecting().into_iter().for_each(|conn| w.connected(conn));
        for conn in w.working() {
            w.refuse_bare(conn);
        }
    }
    assert_eq!(w.answer_of(1).map(|a| a.status), Some(503), "proved not to have run, so it is declined");
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

/// The second parent comes, cold: for objects on their way to it the old home is asked for what it holds, and told
/// of a purge, for nothing older than that.
#[test]
fn a_purge_told_during_a_hand_over_is_honoured_at_the_old_home() {
    let mut w = World::with(1, 200, tiers());
    w.connecting().into_iter().for_each(|conn| w.connected(conn));
    w.feed(&frame(2, 2, &listed(0x11, 9111, 0, 1, w.now / 10)));
    // Half of the cold time: objects have moved, the hand-over goes on.
    w.pass(10_500 * MS);
    w.connecting().into_iter().for_each(|conn| w.connected(conn));
    let client = w.client();
    let (mut asked, mut number) = (0, 2);
    for call in 1..200 {
        let key = call;
        if call % 2 == 0 {
            number += 1;
            w.purge(number, Some(key), 0);
            w.pass(400 * MS);
        } else {
            // Each second an empty frame is due.
            w.feed(&frame(0, 0, &[]));
        }
        w.ask(client, 1, call, 1, key, 1_500);
        while w.answer_of(call).is_none() {
            w.connecting().into_iter().for_each(|conn| w.connected(conn));
            if w.working().is_empty() {
                w.pass(20 * MS);
            }
            for conn in w.working() {
                let head = &w.heads[&call];
                // Rule 5 is the world's to check; here, that old homes were asked at all.
                let held = head.contains("Miss-To: s-00000010") && head.contains("local");
                asked += u32::from(held && call % 2 == 0);
                let miss = held || !head.contains("Miss-To");
                w.reply(conn, if miss { 404 } else { 200 }, false, if miss { "l" } else { "o" });
            }
        }
        w.pass(20 * MS);
    }
    assert!(asked > 5, "{asked} times an old home was asked for what it holds of a purged object");
}

/// A cache says its answer once more, some milliseconds after it; the client's next request is there at once.
#[test]
fn an_answer_said_twice_is_not_taken_for_that_to_the_next_request() {
    let mut w = World::new(1, 128);
    let client = w.client();
    w.ask(client, 1, 1, 1, 5, 1_000);
    serve(&mut w);
    let first = w.ports.values().find_map(|&port| w.to_port(port)).expect("a kept connection");
    // Objects of one cache: another request meets that connection.
    let same = |w: &World, port| w.to(first) == port;
    let mut met = 0;
    for call in 2..40 {
        w.ask(client, 2, call, 1, call, 1_000);
        let conns = w.connecting().into_iter().chain(w.working()).collect::<Vec<_>>();
        met += conns.iter().filter(|&&c| same(&w, w.to(c))).count();
        assert!(!w.working().contains(&first), "access {call} goes out on a connection that has not rested");
        serve(&mut w);
    }
    assert!(met > 0, "none of them went to that cache");
    w.owe(first, b"HTTP/1.1 200 OK\r\nTag: aa\r\nContent-Length: 2\r\n\r\nno");
    assert!(w.ports.values().all(|&port| w.to_port(port) != Some(first)), "it is broken while it rests");
}

/// Descriptors are short: a connection that has not rested is better than none.
#[test]
fn with_no_descriptor_left_a_connection_is_used_before_it_has_rested() {
    let mut w = World::new(1, 64);
    let client = w.client();
    for call in 1..400 {
        w.ask(client, 1, call, 1, call, 1_000);
        serve(&mut w);
        assert_eq!(w.answer_of(call).map(|a| a.status), Some(200), "{call}");
        assert!(w.most_open <= 64);
    }
}

/// A part of a request went out, then its connection was lost: it may have been read.
#[test]
fn a_request_cut_off_while_it_is_written_is_not_begun_anew_as_if_unread() {
    let mut w = World::new(1, 128);
    let client = w.client();
    w.cut_writes = Some(100);
    w.ask(client, 1, 1, 2, 5, 1_000);
    w.connecting().into_iter().for_each(|conn| w.connected(conn));
    assert_eq!(w.answer_of(1).map(|a| a.status), Some(500), "it may have run");
    assert!(w.connecting().into_iter().all(|c| w.to(c) == 9092), "and goes nowhere again");
}

/// Its cache has started anew, at the same address, while its connection was being made: the cold one's budget decides.
#[test]
fn a_push_that_waits_for_its_connection_is_decided_anew_when_its_cache_restarts() {
    let mut w = World::new(1, 128);
    let client = w.client();
    w.connecting().into_iter().for_each(|conn| w.connected(conn));
    w.ask(client, 1, 1, 1, 5, 1_000);
    let slow = w.connecting()[0];
    let port = w.to(slow);
    let id = u32::from(port - 9100);
    w.feed(&frame(2, 2, &listed(id, port, 0, 0, w.now / 10)));
    w.connected(slow);
    assert_eq!(
        w.pushes_of(1),
        0,
        "what was meant for the one before goes out to the one that has just started"
    );
    assert_eq!(w.to_port(port), None, "nor is its connection kept");
    serve(&mut w);
    assert_eq!(w.answer_of(1).map(|a| a.status), Some(200));
}

/// A cache stands elsewhere now: a connection to where it was is of no use for it, however it came to rest.
#[test]
fn a_connection_to_where_a_cache_was_is_not_kept_for_where_it_is() {
    for busy in [false, true] {
        let mut w = World::new(1, 128);
        let client = w.client();
        w.connecting().into_iter().for_each(|conn| w.connected(conn));
        w.ask(client, 1, 1, 1, 5, 1_000);
        let conn = w.connecting()[0];
        let port = w.to(conn);
        if busy {
            w.connected(conn);
        }
        w.feed(&frame(2, 2, &listed(u32::from(port - 9100), 9150, 0, 0, 0)));
        if !busy {
            w.connected(conn);
        }
        serve(&mut w);
        assert_eq!(w.answer_of(1).map(|a| a.status), Some(200));
        assert_eq!(w.to_port(port), None, "busy: {busy}");
    }
}

#[test]
fn clients_told_to_end_are_ended_in_order_and_those_that_stay_cut_off() {
    let mut w = World::new(1, 128);
    let clients: Vec<_> = (0..3).map(|_| w.client()).collect();
    w.resting.insert(clients[0]);
    // Half a request: it may still become a whole one.
    w.owe(clients[1], &record(fastcgi::BEGIN_REQUEST, 1, &[0, 1, 1, 0, 0, 0, 0, 0], 0));
    w.input(Input::Stop);
    w.pass(890 * MS);
    assert_eq!(w.clients(), 3);
    w.pass(20 * MS);
    assert_eq!(w.clients(), 2, "one rests though the front has ended it, one has half a request");
    let rest = &request(1, "/do/images", &access(1, 2, 900), &[], 0)[16..];
    assert_eq!(w.stray(clients[1], rest), Some(503), "too late to be taken, not to be answered");
    assert_eq!(w.clients(), 1);
    assert!(!w.exited);
    w.pass(250 * MS);
    assert!(w.exited && w.clients() == 0);
}

#[test]
fn what_comes_whole_after_the_time_is_declined_while_others_are_still_open() {
    let mut w = World::new(1, 128);
    let (client, other) = (w.client(), w.client());
    w.input(Input::Stop);
    w.pass(500 * MS);
    w.ask(client, 1, 1, 1, 5, 2_000);
    w.pass(450 * MS);
    assert_eq!(w.clients(), 1, "the other one is ended, the first is owed an answer");
    let _ = other;
    w.ask(client, 2, 2, 1, 6, 1_000);
    assert_eq!(w.answer_of(2).map(|a| a.status), Some(503));
    serve(&mut w);
    assert_eq!((w.answer_of(1).map(|a| a.status), w.pushes_of(2)), (Some(200), 0));
    w.pass(50 * MS);
    assert!(w.exited);
}

#[test]
fn no_attempt_waits_past_the_end_of_the_front() {
    let mut w = World::new(1, 128);
    let client = w.client();
    w.input(Input::Stop);
    w.ask(client, 1, 1, 1, 5, 60_000);
    w.connecting().into_iter().for_each(|conn| w.connected(conn));
    let told = w.heads[&1].lines().find_map(|l| l.strip_prefix("Call-Ms: ")?.parse::<u64>().ok());
    assert!(told.is_some_and(|ms| ms <= 2_400), "{told:?} ms to answer, and it ends in 2.4 s");
}

/// Caches heed no cancel. A second copy waits for its connection, the first is answered, the connection comes up.
#[test]
fn a_second_copy_that_waits_for_its_connection_does_not_go_out_after_the_answer() {
    let mut w = World::changed(1, 128, "\"cancel\":true", "\"cancel\":false");
    let client = w.client();
    // All caches answer, so that one that does not is taken for stuck.
    for call in 1..200 {
        w.ask(client, 1, call, 1, call, 1_000);
        serve(&mut w);
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

/// The origin takes no new connections, and serves the ones it has.
#[test]
fn what_must_not_run_twice_goes_over_a_kept_connection_where_new_ones_are_refused() {
    // Votes go to the origin, too: a connection to there is kept by what may be repeated.
    let mut w =
        World::changed(1, 128, "\"passOn\":[false,false,true,false]", "\"passOn\":[false,false,true,true]");
    let client = w.client();
    w.connecting().into_iter().for_each(|conn| w.connected(conn));
    w.ask(client, 1, 1, 3, 5, 1_000);
    serve(&mut w);
    let kept = w.to_port(9120).expect("a connection to the origin");
    w.pass(Pools::REST);
    for call in 2..6 {
        w.ask(client, 1, call, 2, call, 1_000);
        let new: Vec<_> = w.connecting().into_iter().filter(|&c| w.to(c) == 9120).collect();
        assert_eq!(new.len(), 1, "a new one first");
        new.iter().for_each(|&conn| w.connected(conn));
        new.iter().for_each(|&conn| w.reply(conn, 503, true, "?"));
        assert_eq!(w.working(), [kept], "access {call}");
        serve(&mut w);
        assert_eq!((w.answer_of(call).map(|a| a.status), w.pushes_of(call)), (Some(200), 2));
        w.pass(Pools::REST);
    }
    // One that was idle long may be ending: it is not risked.
    w.pass(5_000 * MS);
    w.feed(&frame(1, 0, &[]));
    w.ask(client, 1, 9, 2, 9, 1_000);
    for _ in 0..8 {
        w.connecting().into_iter().for_each(|conn| w.connected(conn));
        assert!(!w.working().contains(&kept));
        w.working().into_iter().for_each(|conn| w.reply(conn, 503, true, "?"));
    }
    assert_eq!(w.answer_of(9).map(|a| a.status), Some(503));
}
