//! Connections to caches, without sockets: reused, lost, established late, with unexpected data.

mod helper;

use std::collections::BTreeSet;

use doorgrade_front::push::Pools;
use helper::*;

#[test]
fn a_connection_is_kept_and_reused() {
    let mut w = World::new(1, 128);
    let client = w.client();
    for access in 0..20 {
        w.send_request(client, 1, access, 1, 5, 1_000);
        w.serve();
        assert_eq!(w.response_to(access).map(|a| a.status), Some(200));
        // The minimum idle time before reuse: a duplicate response must not meet the next request.
        w.advance(Pools::MIN_IDLE);
    }
    // Those of the client and the feed, and one to the object's cache.
    assert_eq!(w.max_open, 3);
    w.advance(12_000 * MS);
    let idle = w.ports.values().filter(|&&port| w.conn_to(port).is_some()).count();
    assert_eq!(idle, 0, "an idle connection is closed before the peer closes it");
}

#[test]
fn a_silent_cache_costs_one_access_and_its_connection_only() {
    let mut w = World::new(1, 128);
    let client = w.client();
    w.send_request(client, 1, 1, 2, 5, 1_000);
    w.connecting().into_iter().for_each(|conn| w.finish_connect(conn));
    w.advance(1_000 * MS);
    assert_eq!(w.response_to(1).map(|a| a.status), Some(500));
    assert!(w.busy_conns().is_empty(), "the connection is closed");
    w.send_request(client, 2, 2, 2, 6, 1_000);
    w.serve();
    assert_eq!(w.response_to(2).map(|a| a.status), Some(200));
}

#[test]
fn bytes_after_a_response_close_the_connection() {
    let mut w = World::new(1, 128);
    let client = w.client();
    w.send_request(client, 1, 1, 1, 5, 1_000);
    w.serve();
    let conn = w.ports.values().find_map(|&port| w.conn_to(port)).expect("an idle connection");
    w.send(conn, b"HTTP/1.1 200 OK\r\n");
    assert!(w.ports.values().all(|&port| w.conn_to(port) != Some(conn)));
}

#[test]
fn a_complete_response_counts_whatever_follows_it() {
    for more in [&b"HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nx"[..], b"\0\xff"] {
        let mut w = World::new(1, 128);
        let client = w.client();
        w.send_request(client, 1, 1, 2, 5, 1_000);
        w.connecting().into_iter().for_each(|conn| w.finish_connect(conn));
        let conn = w.busy_conns()[0];
        w.send(conn, b"HTTP/1.1 100 Continue\r\n\r\n");
        let whole = b"HTTP/1.1 200 OK\r\nTag: aa\r\nContent-Length: 2\r\n\r\nok";
        w.send(conn, &[whole, more].concat());
        assert_eq!(w.response_to(1).map(|a| (a.status, &a.body[..])), Some((200, &b"ok"[..])));
        assert!(w.ports.values().all(|&port| w.conn_to(port) != Some(conn)), "the connection is closed");
    }
}

#[test]
fn a_connection_lost_before_a_request_went_out_costs_no_push() {
    let mut w = World::new(1, 128);
    let client = w.client();
    w.send_request(client, 1, 1, 1, 5, 1_000);
    w.serve();
    let idle_conn = w.ports.values().find_map(|&port| w.conn_to(port)).expect("an idle connection");
    w.lost_conns.insert(idle_conn);
    w.send_request(client, 2, 2, 1, 5, 1_000);
    w.serve();
    assert_eq!((w.response_to(2).map(|a| a.status), w.push_count(2)), (Some(200), 1));
    // The cache can't have read anything, so not even an unrepeatable access is lost.
    w.send_request(client, 3, 3, 2, 5, 1_000);
    for lost in 0..3 {
        for conn in w.connecting() {
            if lost < 2 {
                w.lost_conns.insert(conn);
            }
            w.finish_connect(conn);
        }
    }
    w.serve();
    assert_eq!((w.response_to(3).map(|a| a.status), w.push_count(3)), (Some(200), 1));
}

#[test]
fn an_unrepeatable_access_goes_over_a_connection_of_its_own() {
    let mut w = World::new(1, 128);
    let client = w.client();
    for access in 0..5 {
        w.send_request(client, 1, access, 2, 5, 1_000);
        assert_eq!(w.connecting().into_iter().filter(|&c| w.port_of(c) == 9120).count(), 1);
        w.serve();
        assert_eq!(w.response_to(access).map(|a| a.status), Some(200));
        assert_eq!(w.conn_to(9120), None);
    }
}

#[test]
fn a_new_cache_at_an_old_address_gets_new_connections() {
    let mut w = World::new(1, 128);
    let client = w.client();
    w.connecting().into_iter().for_each(|conn| w.finish_connect(conn));
    w.send_request(client, 1, 1, 1, 5, 1_000);
    w.serve();
    let (id, port) =
        w.ports.iter().find(|(_, p)| w.conn_to(**p).is_some()).map(|(i, p)| (i.clone(), *p)).unwrap();
    let old = w.conn_to(port).unwrap();
    let id = u32::from_str_radix(&id[2..], 16).unwrap();
    let mut list = member_record(id, port, 2, 0, 0);
    list.extend(member_record(0x99, port, 0, 0, w.now / 10));
    w.feed(&frame(2, 2, &list));
    assert_ne!(w.conn_to(port), Some(old), "the old connection is closed");
}

#[test]
fn a_refusal_without_a_length_counts_and_ends_its_connection() {
    let mut w = World::new(1, 128);
    let client = w.client();
    w.send_request(client, 1, 1, 2, 5, 1_000);
    for _ in 0..8 {
        w.connecting().into_iter().for_each(|conn| w.finish_connect(conn));
        for conn in w.busy_conns() {
            w.refuse_without_length(conn);
        }
    }
    assert_eq!(w.response_to(1).map(|a| a.status), Some(503), "it provably did not run, so it is declined");
}

/// A cache sends its response twice, some milliseconds apart, while the client's next request is already
/// there.
#[test]
fn a_duplicate_response_is_not_taken_for_that_to_the_next_request() {
    let mut w = World::new(1, 128);
    let client = w.client();
    w.send_request(client, 1, 1, 1, 5, 1_000);
    w.serve();
    let first = w.ports.values().find_map(|&port| w.conn_to(port)).expect("an idle connection");
    // Requests for other objects of the same cache could use that connection.
    let to_same_cache = |w: &World, port| w.port_of(first) == port;
    let mut met = 0;
    for access in 2..40 {
        w.send_request(client, 2, access, 1, access, 1_000);
        let conns = w.connecting().into_iter().chain(w.busy_conns()).collect::<Vec<_>>();
        met += conns.iter().filter(|&&c| to_same_cache(&w, w.port_of(c))).count();
        assert!(
            !w.busy_conns().contains(&first),
            "access {access} was sent on a connection that was not idle for long enough"
        );
        w.serve();
    }
    assert!(met > 0, "no request went to that cache");
    w.send(first, b"HTTP/1.1 200 OK\r\nTag: aa\r\nContent-Length: 2\r\n\r\nno");
    assert!(
        w.ports.values().all(|&port| w.conn_to(port) != Some(first)),
        "the duplicate closes the idle connection"
    );
}

/// With descriptors short and no connection idle for long enough, a connection used all the same delivered a
/// duplicate response to the next request, so clients received objects that they had not asked for, while
/// idle connections held the descriptors.
#[test]
fn without_a_free_descriptor_a_recently_used_connection_is_closed_for_a_new_one() {
    let mut w = World::new(1, 64);
    let client = w.client();
    let mut used = BTreeSet::new();
    for access in 1..400 {
        w.send_request(client, 1, access, 1, access, 1_000);
        w.connecting().into_iter().for_each(|conn| w.finish_connect(conn));
        for conn in w.busy_conns() {
            assert!(
                used.insert(conn),
                "access {access} was sent on a connection that was not idle for long enough"
            );
        }
        w.serve();
        assert_eq!(w.response_to(access).map(|a| a.status), Some(200), "{access}");
        assert!(w.max_open <= 64);
    }
}

/// A connection is lost after a part of a request was written: the cache may have read it.
#[test]
fn a_partly_written_request_is_not_resent_as_if_unread() {
    let mut w = World::new(1, 128);
    let client = w.client();
    w.truncate_next_request = Some(100);
    w.send_request(client, 1, 1, 2, 5, 1_000);
    w.connecting().into_iter().for_each(|conn| w.finish_connect(conn));
    assert_eq!(w.response_to(1).map(|a| a.status), Some(500), "it may have run");
    assert!(w.connecting().into_iter().all(|c| w.port_of(c) == 9092), "and is not sent again");
}

/// A cache restarts at the same address while a connection to it is being established: the budget for a cold
/// cache applies.
#[test]
fn a_push_waiting_for_its_connection_is_decided_again_when_its_cache_restarts() {
    let mut w = World::new(1, 128);
    let client = w.client();
    w.connecting().into_iter().for_each(|conn| w.finish_connect(conn));
    w.send_request(client, 1, 1, 1, 5, 1_000);
    let slow = w.connecting()[0];
    let port = w.port_of(slow);
    let id = u32::from(port - 9100);
    w.feed(&frame(2, 2, &member_record(id, port, 0, 0, w.now / 10)));
    w.finish_connect(slow);
    assert_eq!(w.push_count(1), 0, "a push meant for the old process was sent to the new one");
    assert_eq!(w.conn_to(port), None, "its connection is not kept either");
    w.serve();
    assert_eq!(w.response_to(1).map(|a| a.status), Some(200));
}

/// A cache has moved to another address: a connection to the old one must not be kept for it, whether it was
/// established before or after.
#[test]
fn a_connection_to_a_caches_old_address_is_not_kept() {
    for busy in [false, true] {
        let mut w = World::new(1, 128);
        let client = w.client();
        w.connecting().into_iter().for_each(|conn| w.finish_connect(conn));
        w.send_request(client, 1, 1, 1, 5, 1_000);
        let conn = w.connecting()[0];
        let port = w.port_of(conn);
        if busy {
            w.finish_connect(conn);
        }
        w.feed(&frame(2, 2, &member_record(u32::from(port - 9100), 9150, 0, 0, 0)));
        if !busy {
            w.finish_connect(conn);
        }
        w.serve();
        assert_eq!(w.response_to(1).map(|a| a.status), Some(200));
        assert_eq!(w.conn_to(port), None, "busy: {busy}");
    }
}

/// The origin accepts no new connections, but serves the existing ones.
#[test]
fn an_unrepeatable_access_reuses_a_connection_if_new_ones_are_refused() {
    // With this setting votes go to the origin, too, so a repeatable access keeps a connection to it.
    let mut w = World::with_config_change(
        1,
        128,
        "\"passOn\":[false,false,true,false]",
        "\"passOn\":[false,false,true,true]",
    );
    let client = w.client();
    w.connecting().into_iter().for_each(|conn| w.finish_connect(conn));
    w.send_request(client, 1, 1, 3, 5, 1_000);
    w.serve();
    let idle_conn = w.conn_to(9120).expect("a connection to the origin");
    w.advance(Pools::MIN_IDLE);
    for access in 2..6 {
        w.send_request(client, 1, access, 2, access, 1_000);
        let new: Vec<_> = w.connecting().into_iter().filter(|&c| w.port_of(c) == 9120).collect();
        assert_eq!(new.len(), 1, "a new connection is tried first");
        new.iter().for_each(|&conn| w.finish_connect(conn));
        new.iter().for_each(|&conn| w.reply(conn, 503, true, "?"));
        assert_eq!(w.busy_conns(), [idle_conn], "access {access}");
        w.serve();
        assert_eq!((w.response_to(access).map(|a| a.status), w.push_count(access)), (Some(200), 2));
        w.advance(Pools::MIN_IDLE);
    }
    // A connection that was idle for long may be closing, so it is not used.
    w.advance(5_000 * MS);
    w.feed(&frame(1, 0, &[]));
    w.send_request(client, 1, 9, 2, 9, 1_000);
    for _ in 0..8 {
        w.connecting().into_iter().for_each(|conn| w.finish_connect(conn));
        assert!(!w.busy_conns().contains(&idle_conn));
        w.busy_conns().into_iter().for_each(|conn| w.reply(conn, 503, true, "?"));
    }
    assert_eq!(w.response_to(9).map(|a| a.status), Some(503));
}
