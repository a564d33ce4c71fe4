//! A new cache at the address of one that has gone is a cache of its own: nothing meant for the old one reaches it.

mod helper;

use helper::*;

/// The port of the first cache, and the number in its id.
const PORT: u16 = 9101;
const OLD: u32 = 1;
/// The number in the id of the cache that takes its address.
const NEW: u32 = 0x31;

/// The changes told by the feed: the old cache is gone, the new one is in service at its address.
fn replacement(w: &World, order_swapped: bool) -> Vec<u8> {
    let gone = member_record(OLD, PORT, 2, 0, 0);
    let new = member_record(NEW, PORT, 0, 0, w.now / 10);
    if order_swapped { [new, gone].concat() } else { [gone, new].concat() }
}

/// A world in which one request waits for its connection to the first cache.
fn waiting_for_connection(seed: u64) -> World {
    let mut w = World::new(seed, 128);
    w.connecting().into_iter().for_each(|conn| w.finish_connect(conn));
    let client = w.client();
    let mut access = 0;
    while !w.connecting().iter().any(|&conn| w.port_of(conn) == PORT) {
        access += 1;
        assert!(access < 30, "no object of the first cache");
        w.send_request(client, access as u16, access, 1, access, 1_500);
    }
    w
}

#[test]
fn a_request_for_a_cache_that_has_gone_is_not_sent_to_the_one_at_its_address() {
    for order_swapped in [false, true] {
        let mut w = waiting_for_connection(51);
        let before = w.connecting().into_iter().filter(|&conn| w.port_of(conn) == PORT).collect::<Vec<_>>();
        let changes = replacement(&w, order_swapped);
        w.feed(&frame(2, 2, &changes));
        before.into_iter().for_each(|conn| w.finish_connect(conn));
        assert_eq!(w.request_counts.get(&PORT), None, "swapped: {order_swapped}");
    }
}

#[test]
fn a_connection_at_rest_to_a_cache_that_has_gone_is_closed_and_not_used_for_the_new_one() {
    for order_swapped in [false, true] {
        let mut w = waiting_for_connection(52);
        w.serve();
        let before = w.conns_to(PORT);
        assert!(!before.is_empty());
        let changes = replacement(&w, order_swapped);
        w.feed(&frame(2, 2, &changes));
        assert!(w.conns_to(PORT).iter().all(|conn| !before.contains(conn)), "swapped: {order_swapped}");
    }
}
