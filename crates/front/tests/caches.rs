//! Connections to caches, without sockets: kept, lost, late, spoken on.

mod helper;

use std::collections::BTreeSet;

use doorgrade_front::push::Pools;
use helper::*;

#[test]
fn a_connection_is_kept_and_used_again() {
    let mut w = World::new(1, 128);
    let client = w.client();
    for call in 0..20 {
        w.ask(client, 1, call, 1, 5, 1_000);
        w.serve();
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
fn a_silent_cache_costs_one_access_and_its_connection_only() {
    let mut w = World::new(1, 128);
    let client = w.client();
    w.ask(client, 1, 1, 2, 5, 1_000);
    w.connecting().into_iter().for_each(|conn| w.connected(conn));
    w.pass(1_000 * MS);
    assert_eq!(w.answer_of(1).map(|a| a.status), Some(500));
    assert!(w.working().is_empty(), "the connection is closed");
    w.ask(client, 2, 2, 2, 6, 1_000);
    w.serve();
    assert_eq!(w.answer_of(2).map(|a| a.status), Some(200));
}

#[test]
fn bytes_after_an_answer_break_the_connection() {
    let mut w = World::new(1, 128);
    let client = w.client();
    w.ask(client, 1, 1, 1, 5, 1_000);
    w.serve();
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
    w.serve();
    let kept = w.ports.values().find_map(|&port| w.to_port(port)).expect("a kept connection");
    w.spoilt.insert(kept);
    w.ask(client, 2, 2, 1, 5, 1_000);
    w.serve();
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
    w.serve();
    assert_eq!((w.answer_of(3).map(|a| a.status), w.pushes_of(3)), (Some(200), 1));
}

#[test]
fn an_unrepeatable_access_goes_over_a_connection_of_its_own() {
    let mut w = World::new(1, 128);
    let client = w.client();
    for call in 0..5 {
        w.ask(client, 1, call, 2, 5, 1_000);
        assert_eq!(w.connecting().into_iter().filter(|&c| w.to(c) == 9120).count(), 1);
        w.serve();
        assert_eq!(w.answer_of(call).map(|a| a.status), Some(200));
        assert_eq!(w.to_port(9120), None);
    }
}

#[test]
fn a_new_cache_at_an_old_address_starts_afresh() {
    let mut w = World::new(1, 128);
    let client = w.client();
    w.connecting().into_iter().for_each(|conn| w.connected(conn));
    w.ask(client, 1, 1, 1, 5, 1_000);
    w.serve();
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

/// A cache says its answer once more, some milliseconds after it; the client's next request is there at once.
#[test]
fn an_answer_said_twice_is_not_taken_for_that_to_the_next_request() {
    let mut w = World::new(1, 128);
    let client = w.client();
    w.ask(client, 1, 1, 1, 5, 1_000);
    w.serve();
    let first = w.ports.values().find_map(|&port| w.to_port(port)).expect("a kept connection");
    // Objects of one cache: another request meets that connection.
    let same = |w: &World, port| w.to(first) == port;
    let mut met = 0;
    for call in 2..40 {
        w.ask(client, 2, call, 1, call, 1_000);
        let conns = w.connecting().into_iter().chain(w.working()).collect::<Vec<_>>();
        met += conns.iter().filter(|&&c| same(&w, w.to(c))).count();
        assert!(!w.working().contains(&first), "access {call} goes out on a connection that has not rested");
        w.serve();
    }
    assert!(met > 0, "none of them went to that cache");
    w.owe(first, b"HTTP/1.1 200 OK\r\nTag: aa\r\nContent-Length: 2\r\n\r\nno");
    assert!(w.ports.values().all(|&port| w.to_port(port) != Some(first)), "it is broken while it rests");
}

/// Descriptors are short, and no connection has rested. Used all the same, one of them gave the second copy of an answer to
/// the next request: clients were sent other objects than they had asked for, where idle ones held the descriptors.
#[test]
fn with_no_descriptor_left_a_connection_that_has_not_rested_makes_room_for_a_new_one() {
    let mut w = World::new(1, 64);
    let client = w.client();
    let mut used = BTreeSet::new();
    for call in 1..400 {
        w.ask(client, 1, call, 1, call, 1_000);
        w.connecting().into_iter().for_each(|conn| w.connected(conn));
        for conn in w.working() {
            assert!(used.insert(conn), "access {call} goes out on a connection that has not rested");
        }
        w.serve();
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
    w.serve();
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
        w.serve();
        assert_eq!(w.answer_of(1).map(|a| a.status), Some(200));
        assert_eq!(w.to_port(port), None, "busy: {busy}");
    }
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
    w.serve();
    let kept = w.to_port(9120).expect("a connection to the origin");
    w.pass(Pools::REST);
    for call in 2..6 {
        w.ask(client, 1, call, 2, call, 1_000);
        let new: Vec<_> = w.connecting().into_iter().filter(|&c| w.to(c) == 9120).collect();
        assert_eq!(new.len(), 1, "a new one first");
        new.iter().for_each(|&conn| w.connected(conn));
        new.iter().for_each(|&conn| w.reply(conn, 503, true, "?"));
        assert_eq!(w.working(), [kept], "access {call}");
        w.serve();
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
