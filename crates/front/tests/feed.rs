//! What the feed tells, what is remembered, and clocks, without sockets.

mod helper;

use doorgrade_front::config::{Limits, Renewal};
use doorgrade_front::reducer::{Input, Learned};
use doorgrade_operator::neighbours::Recall;
use doorgrade_operator::{Files, Settings};
use doorgrade_recall::{Fill, Purge};
use helper::*;

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
        w.serve();
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
    w.serve();
    assert_eq!(w.answer_of(1).map(|a| a.status), Some(200));
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
    w.serve();
    assert_eq!(w.answer_of(1).map(|a| a.status), Some(200));
}

#[test]
fn times_move_with_a_clock_that_was_set_back() {
    let mut w = World::new(1, 128);
    let client = w.client();
    // The reducer's time is an hour ahead of the system's from here on; reads are stamped with the system's.
    w.set_back(36_000_000);
    w.ask(client, 1, 1, 1, 5, 1_000);
    w.serve();
    assert_eq!(w.answer_of(1).map(|a| a.status), Some(200));
    w.purge(2, Some(5), 0);
    w.pass(400 * MS);
    w.ask(client, 1, 2, 1, 5, 1_000);
    w.serve();
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
            w.serve();
            assert_eq!(w.heads[&call].contains("revalidate"), renews, "access {call}, set back by {back}");
        }
    }
}

#[test]
fn memory_is_heard_before_the_front_serves_and_what_it_sees_is_told() {
    let recall = Some(Recall { store: "s".into(), write_ms: 1_000, max_parts: 100, pages_per_s: 1 });
    let files = Files { settings: Settings { recall, ..Settings::default() }, ..Files::default() };
    let mut w = World::with(1, 128, files);
    let client = w.client();
    let fill =
        Fill { offering: 0, object: 5, part: 0, group: 1, made_at: w.now - 70_000, requested_at: w.now - 10 };
    let purge = Purge { object: Some(6), group: 2, at: w.now - 10_000 };
    w.input(Input::Recall(vec![fill], vec![purge]));
    w.ask(client, 1, 1, 0, 5, 1_000);
    w.ask(client, 2, 2, 0, 6, 1_000);
    assert!(w.reducer.learned().is_empty());
    w.serve();
    assert!(w.heads[&1].contains("revalidate"), "it is known to be about to end");
    // Nothing older than the purge, a millisecond up: both times were rounded down.
    assert!(w.heads[&2].contains("No-Older-Than: 999"), "{}", w.heads[&2]);
    let made = w.now / 10 * 10;
    let own = |object, group| {
        Learned::Fill(Fill { offering: 0, object, part: 0, group, made_at: made, requested_at: w.now })
    };
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
        let recall = Some(Recall { store: "s".into(), write_ms: 1_000, max_parts: 100, pages_per_s: 1 });
        let files = Files { settings: Settings { recall, ..Settings::default() }, ..Files::default() };
        let mut w = World::with(1, 128, files);
        let client = w.client();
        let lie =
            Fill { offering: 0, object: 5, part: 0, group: 1, made_at: w.now - said, requested_at: w.now };
        w.input(Input::Recall(vec![lie], vec![]));
        for call in 1..=3 {
            w.made_at = Some(((w.now - age) / 10).to_string());
            w.ask(client, 1, call, 0, 5, 1_000);
            w.serve();
            let believed = if call == 1 { said } else { age };
            assert_eq!(w.heads[&call].contains("revalidate"), believed > 64_000, "access {call}");
            assert!(
                w.heads[&call].contains("No-Older-Than: 8000"),
                "how old an answer may be is not asked of others"
            );
        }
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
