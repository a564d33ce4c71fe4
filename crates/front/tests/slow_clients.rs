//! Clients that write slowly, and clients beyond the bound, without sockets: a connection is not ended over a request that
//! has begun to arrive, unless that is answered.

mod helper;

use doorgrade_front::bounds::Bounds;
use doorgrade_front::config::Limits;
use doorgrade_front::conn::ConnId;
use doorgrade_front::reducer::Input;
use helper::*;

const SOCKETS: usize = 128;

fn max_clients() -> usize {
    Bounds::new(&Limits { memory_mb: 48, sockets: SOCKETS }).clients
}

/// A request cut into two pieces.
fn halves(id: u16, access: u64) -> (Vec<u8>, Vec<u8>) {
    let mut bytes = request(id, "/do/images", &access_fields(access, 5, 900), &[], 0);
    let rest = bytes.split_off(60);
    (bytes, rest)
}

/// As many clients as there are places, each with a request that waits for a cache.
fn busy_clients(w: &mut World, count: usize) -> Vec<ConnId> {
    let clients: Vec<_> = (0..count).map(|_| w.client()).collect();
    for (access, &client) in (1_000..).zip(&clients) {
        w.send_request(client, 1, access, 1, access, 3_000);
    }
    clients
}

/// The connection counted as idle, and was ended to make room: 48 of 50 slowly written requests had no answer.
#[test]
fn a_connection_with_half_a_request_is_not_ended_for_newcomers() {
    let mut w = World::new(1, SOCKETS);
    let slow = w.client();
    let request = w.new_request(slow, 1, 1, 1, 5, 2_000);
    w.send(slow, &request[..60]);
    for access in 100..200 {
        let client = w.client();
        w.send_request(client, 1, access, 1, access, 1_000);
        w.serve();
        w.advance(5 * MS);
    }
    assert!(w.clients() <= max_clients());
    w.send(slow, &request[60..]);
    w.serve();
    assert_eq!(w.response_to(1).map(|r| r.status), Some(200));
}

/// The first bytes of a record header count as a request that has begun.
#[test]
fn a_connection_with_part_of_a_header_is_not_ended_at_the_shutdown() {
    let mut w = World::new(1, SOCKETS);
    let slow = w.client();
    let bytes = request(1, "/do/images", &access_fields(1, 5, 900), &[], 0);
    w.send(slow, &bytes[..3]);
    w.input(Input::Stop);
    w.advance(910 * MS);
    assert_eq!(w.send_untracked(slow, &bytes[3..]), Some(503));
}

/// It was closed without an answer.
#[test]
fn a_request_that_is_never_completed_is_declined() {
    let mut w = World::new(1, SOCKETS);
    let slow = w.client();
    let (first, rest) = halves(1, 1);
    w.send(slow, &first);
    w.advance(2_300 * MS);
    assert_eq!((w.clients(), w.send_untracked(slow, &[])), (1, None));
    w.keeps_open.insert(slow);
    w.advance(500 * MS);
    assert_eq!(w.send_untracked(slow, &rest), Some(503));
    assert!(w.busy_conns().is_empty(), "the rest is discarded");
}

#[test]
fn a_request_that_is_not_complete_at_the_hard_stop_is_declined() {
    let mut w = World::new(1, SOCKETS);
    let (busy, slow) = (w.client(), w.client());
    w.send_request(busy, 1, 1, 1, 5, 3_000);
    w.input(Input::Stop);
    w.advance(800 * MS);
    let (first, _) = halves(1, 2);
    w.send(slow, &first);
    w.keeps_open.insert(slow);
    // The longest hard limit is 2 s, and the stop comes 0.4 s after it.
    w.advance(1_610 * MS);
    assert_eq!(w.send_untracked(slow, &[]), Some(503));
}

/// With two places left, the newcomer was the only connection at rest, and was ended before its request had come.
#[test]
fn a_new_connection_is_not_ended_before_its_first_request() {
    let mut w = World::new(1, SOCKETS);
    busy_clients(&mut w, max_clients() - 1);
    let client = w.client();
    w.advance(15 * MS);
    w.send_request(client, 1, 1, 1, 5, 1_000);
    w.serve();
    assert_eq!(w.response_to(1).map(|r| r.status), Some(200));
}

/// Nothing was read from connections beyond the bound until a place was free.
#[test]
fn requests_beyond_the_bound_are_declined_at_once() {
    let mut w = World::new(1, SOCKETS);
    let clients = busy_clients(&mut w, max_clients());
    let newcomer = w.client();
    w.send_request(newcomer, 1, 1, 1, 5, 1_000);
    assert_eq!(w.response_to(1).map(|r| r.status), Some(503));
    assert_eq!((w.push_count(1), w.clients()), (0, max_clients()));
    w.abort(1_000);
    w.close(clients[0]);
    let next = w.client();
    w.send_request(next, 1, 2, 1, 5, 1_000);
    w.serve();
    assert_eq!(w.response_to(2).map(|r| r.status), Some(200), "there is a place again");
}

#[test]
fn half_written_requests_that_take_all_places_are_declined_oldest_first() {
    let mut w = World::new(1, SOCKETS);
    let slow: Vec<_> = (0..max_clients()).map(|_| w.client()).collect();
    for (access, &client) in (1..).zip(&slow) {
        w.send(client, &halves(1, access).0);
        w.advance(MS);
    }
    w.keeps_open.extend(&slow);
    let newcomer = w.client();
    w.send_request(newcomer, 1, 1_000, 1, 5, 1_000);
    w.serve();
    assert_eq!(w.response_to(1_000).map(|r| r.status), Some(200));
    assert!((1..=3).contains(&w.stray_statuses().len()), "{:?}", w.stray_statuses());
    assert!(w.stray_statuses().iter().all(|&status| status == 503));
}

/// With 32 MB and 1,024 descriptors there were 26 places for clients, who may hold a third of the descriptors.
#[test]
fn clients_have_a_place_for_each_descriptor_that_they_may_hold() {
    for memory_mb in [32, 48, 64, 192] {
        for sockets in [256, 512, 640, 1024] {
            let b = Bounds::new(&Limits { memory_mb, sockets });
            assert!(b.clients > sockets / 3, "{memory_mb} MB, {sockets} descriptors: {b:?}");
        }
    }
}
