//! The control feed, recalled fills and purges, and clocks, without sockets.

mod helper;

use doorgrade_front::config::{Limits, ReloadedConfig};
use doorgrade_front::reducer::{Input, Observation};
use doorgrade_operator::neighbours::Recall;
use doorgrade_operator::{Files, Settings};
use doorgrade_recall::{Fill, Purge};
use helper::*;

#[test]
fn the_feed_reconnects_after_silence_and_malformed_frames_with_backoff() {
    let mut w = World::new(1, 128);
    let up = |w: &mut World| {
        let conns = w.connecting();
        conns.into_iter().for_each(|conn| w.finish_connect(conn));
        w.conn_to(9092)
    };
    let first = up(&mut w).expect("a connection to the feed");
    w.advance(2_000 * MS);
    w.feed(&frame(1, 0, &[]));
    w.advance(2_000 * MS);
    assert_eq!(w.conn_to(9092), Some(first), "an empty frame keeps the connection alive");
    w.advance(1_500 * MS);
    up(&mut w);
    let both = w.conns_to(9092);
    assert_eq!((both.len(), both[0]), (2, first), "another connection, beside the silent one");
    w.send(both[1], &frame(1, 0, &[]));
    assert_eq!(w.conns_to(9092), both[1..], "the first to bring a frame is kept");
    let mut made = 0;
    for _ in 0..100 {
        w.feed(&[0, 0, 0, 1]);
        w.advance(50 * MS);
        made += usize::from(!w.connecting().is_empty());
        up(&mut w);
    }
    assert!((3..20).contains(&made), "{made} connections in five seconds");
}

#[test]
fn a_new_feed_address_is_used_at_once_and_the_old_connection_is_closed() {
    for up in [true, false] {
        let mut w = World::new(1, 128);
        if up {
            w.connecting().into_iter().for_each(|conn| w.finish_connect(conn));
        }
        let old: Vec<_> = w.connecting().into_iter().chain(w.conn_to(9092)).collect();
        let feed = "127.0.0.1:9093".parse().expect("an address");
        let limits = Limits { memory_mb: 48, sockets: 128 };
        w.input(Input::Reload(Box::new(ReloadedConfig {
            feed,
            limits,
            log: doorgrade_log::LevelFilter::INFO,
            files: Default::default(),
        })));
        let new: Vec<_> = w.connecting().into_iter().filter(|&c| w.port_of(c) == 9093).collect();
        assert_eq!(new.len(), 1, "it connects at once");
        old.into_iter().for_each(|conn| w.finish_connect(conn));
        assert_eq!(w.conn_to(9092), None, "one established late is closed, too");
        w.finish_connect(new[0]);
        assert_eq!(w.unread_output(new[0]), 1u64.to_be_bytes(), "it resumes after the last event");
        w.advance(1_000 * MS);
        assert!(w.max_open <= 2, "the old connection is closed");
    }
}

/// The feed falls silent in the middle of a frame: the partial frame is dropped, and the new connection sends
/// all of it.
#[test]
fn a_feed_that_falls_silent_in_a_frame_is_read_again_from_the_start_of_the_frame() {
    let mut w = World::new(1, 128);
    w.connecting().into_iter().for_each(|conn| w.finish_connect(conn));
    let first = w.conn_to(9092).expect("a connection to the feed");
    let gone = frame(2, 2, &[member_record(1, 9101, 2, 0, 0), member_record(2, 9102, 2, 0, 0)].concat());
    w.feed(&gone[..30]);
    w.advance(3_000 * MS);
    let new: Vec<_> = w.connecting().into_iter().filter(|&c| w.port_of(c) == 9092).collect();
    w.finish_connect(new[0]);
    assert_eq!(w.unread_output(new[0]), 1u64.to_be_bytes(), "it resumes after the last complete event");
    w.send(new[0], &gone);
    assert_ne!(w.conn_to(9092), Some(first));
    let client = w.client();
    for access in 1..20 {
        w.send_request(client, 1, access, 1, access, 1_000);
        let asked: Vec<_> = w.connecting().into_iter().map(|c| w.port_of(c)).collect();
        assert!(!asked.contains(&9101) && !asked.contains(&9102), "{asked:?}");
        w.serve();
        assert_eq!(w.response_to(access).map(|a| a.status), Some(200));
    }
}

#[test]
fn an_event_applied_already_is_skipped() {
    let mut w = World::new(1, 128);
    w.connecting().into_iter().for_each(|conn| w.finish_connect(conn));
    // Event 1 was known at the start. If applied, this list would remove all caches.
    w.feed(&frame(1, 1, &[]));
    let client = w.client();
    w.send_request(client, 1, 1, 1, 5, 1_000);
    w.serve();
    assert_eq!(w.response_to(1).map(|a| a.status), Some(200));
}

#[test]
fn a_push_waiting_for_its_connection_respects_a_purge_in_the_meantime() {
    let mut w = World::new(1, 128);
    let client = w.client();
    w.connecting().into_iter().for_each(|conn| w.finish_connect(conn));
    w.send_request(client, 1, 1, 1, 5, 1_000);
    let slow = w.connecting()[0];
    w.purge(2, Some(5), 0);
    w.advance(390 * MS);
    // Longer than the grace period: the request must respect the purge, which the helper checks.
    w.finish_connect(slow);
    w.serve();
    assert_eq!(w.response_to(1).map(|a| a.status), Some(200));
}

#[test]
fn purge_times_follow_a_clock_that_was_set_back() {
    let mut w = World::new(1, 128);
    let client = w.client();
    // From here on the reducer's time is an hour ahead of the system's clock, which stamps purges.
    w.set_wall_back(36_000_000);
    w.send_request(client, 1, 1, 1, 5, 1_000);
    w.serve();
    assert_eq!(w.response_to(1).map(|a| a.status), Some(200));
    w.purge(2, Some(5), 0);
    w.advance(400 * MS);
    w.send_request(client, 1, 2, 1, 5, 1_000);
    w.serve();
    assert_eq!(w.response_to(2).map(|a| a.status), Some(200));
}

#[test]
fn a_copys_age_is_read_from_its_response_and_follows_a_clock_that_was_set_back() {
    for back in [0, 36_000_000] {
        let mut w = World::new(1, 128);
        let client = w.client();
        w.set_wall_back(back);
        for (access, refreshes) in [(1, false), (2, true)] {
            // Fresh for 8 s, and sent by the origin 7 s ago by the system's clock.
            w.made_at = Some(((w.now - back) / 10 - 7_000).to_string());
            w.send_request(client, 1, access, 0, 5, 1_000);
            w.serve();
            assert_eq!(
                w.request_heads[&access].contains("revalidate"),
                refreshes,
                "access {access}, set back by {back}"
            );
        }
    }
}

#[test]
fn recalled_fills_apply_before_the_front_serves_and_new_ones_are_learned() {
    let recall = Some(Recall { store: "s".into(), write_ms: 1_000, max_parts: 100, pages_per_s: 1 });
    let files = Files { settings: Settings { recall, ..Settings::default() }, ..Files::default() };
    let mut w = World::with_files(1, 128, files);
    let client = w.client();
    let fill =
        Fill { offering: 0, object: 5, part: 0, group: 1, made_at: w.now - 70_000, requested_at: w.now - 10 };
    let purge = Purge { object: Some(6), group: 2, at: w.now - 10_000 };
    w.input(Input::Recall(vec![fill], vec![purge]));
    w.send_request(client, 1, 1, 0, 5, 1_000);
    w.send_request(client, 2, 2, 0, 6, 1_000);
    assert!(w.reducer.learned().is_empty());
    w.serve();
    assert!(w.request_heads[&1].contains("revalidate"), "its copy is known to expire soon");
    // Nothing older than the purge. Both times were rounded down, so up to a millisecond is missing.
    assert!(w.request_heads[&2].contains("No-Older-Than: 999"), "{}", w.request_heads[&2]);
    let made = w.now / 10 * 10;
    let own = |object, group| {
        Observation::Fill(Fill { offering: 0, object, part: 0, group, made_at: made, requested_at: w.now })
    };
    let mut learned = w.reducer.learned();
    learned.sort_by_key(|l| match l {
        Observation::Fill(f) => f.object,
        Observation::Purge(_) | Observation::Homes(_) => 0,
    });
    assert_eq!(learned, [own(5, 1), own(6, 2)]);
    // A purge from the feed is learned, too; without `recall` nothing is kept.
    w.purge(2, Some(5), 1);
    assert!(matches!(w.reducer.learned()[..], [Observation::Purge(Purge { object: Some(5), .. })]));
    let mut plain = World::new(1, 128);
    plain.purge(2, Some(5), 1);
    assert!(plain.reducer.learned().is_empty());
}

#[test]
fn a_neighbour_that_reports_wrong_ages_shifts_one_refresh_and_nothing_else() {
    // (reported age of a copy, its true age); all are fresh for 8 s.
    for (reported, age) in [(0, 70_000), (79_000, 1_000)] {
        let recall = Some(Recall { store: "s".into(), write_ms: 1_000, max_parts: 100, pages_per_s: 1 });
        let files = Files { settings: Settings { recall, ..Settings::default() }, ..Files::default() };
        let mut w = World::with_files(1, 128, files);
        let client = w.client();
        let wrong_fill = Fill {
            offering: 0,
            object: 5,
            part: 0,
            group: 1,
            made_at: w.now - reported,
            requested_at: w.now,
        };
        w.input(Input::Recall(vec![wrong_fill], vec![]));
        for access in 1..=3 {
            w.made_at = Some(((w.now - age) / 10).to_string());
            w.send_request(client, 1, access, 0, 5, 1_000);
            w.serve();
            let expected_age = if access == 1 { reported } else { age };
            assert_eq!(
                w.request_heads[&access].contains("revalidate"),
                expected_age > 64_000,
                "access {access}"
            );
            assert!(
                w.request_heads[&access].contains("No-Older-Than: 8000"),
                "the oldest acceptable copy does not depend on other fronts"
            );
        }
    }
}

/// A second parent is added, cold. For objects that move to it, the old home is asked only for what it holds,
/// and after a purge for nothing older than that.
#[test]
fn a_purge_during_a_handover_is_respected_at_the_old_home() {
    let mut w = World::with_files(1, 200, hierarchy_files());
    w.connecting().into_iter().for_each(|conn| w.finish_connect(conn));
    w.feed(&frame(2, 2, &member_record(0x11, 9111, 0, 1, w.now / 10)));
    // Half of the cold time: objects have moved, and the handover is still in progress.
    w.advance(10_500 * MS);
    w.connecting().into_iter().for_each(|conn| w.finish_connect(conn));
    let client = w.client();
    let (mut asked, mut number) = (0, 2);
    for access in 1..200 {
        let key = access;
        if access % 2 == 0 {
            number += 1;
            w.purge(number, Some(key), 0);
            w.advance(400 * MS);
        } else {
            // The feed sends an empty frame each second.
            w.feed(&frame(0, 0, &[]));
        }
        w.send_request(client, 1, access, 1, key, 1_500);
        while w.response_to(access).is_none() {
            w.connecting().into_iter().for_each(|conn| w.finish_connect(conn));
            if w.busy_conns().is_empty() {
                w.advance(20 * MS);
            }
            for conn in w.busy_conns() {
                let head = &w.request_heads[&access];
                // The world checks rule 5; this checks that old homes were asked at all.
                let from_old_home = head.contains("Miss-To: s-00000010") && head.contains("local");
                asked += u32::from(from_old_home && access % 2 == 0);
                let miss = from_old_home || !head.contains("Miss-To");
                w.reply(conn, if miss { 404 } else { 200 }, false, if miss { "l" } else { "o" });
            }
        }
        w.advance(20 * MS);
    }
    assert!(asked > 5, "{asked} times an old home was asked only for what it holds of a purged object");
}
