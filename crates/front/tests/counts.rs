//! The counts reported to the control service: each access counts once, when it has ended, and as answered
//! only within the soft limit.

mod helper;

use helper::*;

fn counts(w: &World) -> (u64, u64) {
    let served = w.reducer.served();
    (served.ended, served.answered)
}

/// A world whose connections to caches are established.
fn world() -> World {
    let mut w = World::new(1, 128);
    w.connecting().into_iter().for_each(|conn| w.finish_connect(conn));
    w
}

#[test]
fn an_access_counts_when_it_has_ended_and_as_answered_only_within_the_soft_limit() {
    let mut w = world();
    let client = w.client();
    w.send_request(client, 1, 1, 1, 5, 2_000);
    assert_eq!(counts(&w), (0, 0), "it is open");
    w.serve();
    assert_eq!(counts(&w), (1, 1));
    // The soft limit is 400 ms after the access.
    w.send_request(client, 2, 2, 2, 6, 2_000);
    w.connecting().into_iter().for_each(|conn| w.finish_connect(conn));
    w.advance(600 * MS);
    w.serve();
    assert_eq!(w.response_to(2).map(|a| a.status), Some(200));
    assert_eq!(counts(&w), (2, 1), "answered late");
}

#[test]
fn an_abandoned_or_timed_out_access_counts_once_as_unanswered() {
    let mut w = world();
    let client = w.client();
    w.send_request(client, 1, 1, 2, 5, 2_000);
    w.connecting().into_iter().for_each(|conn| w.finish_connect(conn));
    w.abort(1);
    assert_eq!(counts(&w), (1, 0), "its client has left");
    w.serve();
    assert_eq!(counts(&w), (1, 0), "the late response counts for nothing");
    w.send_request(client, 2, 2, 2, 6, 500);
    w.advance(3_000 * MS);
    assert!(w.open_accesses().is_empty());
    assert_eq!(counts(&w), (2, 0), "its deadline has passed");
}

#[test]
fn a_request_rejected_for_lack_of_room_counts_and_an_invalid_one_does_not() {
    let mut w = world();
    let clients: Vec<_> = (0..30).map(|_| w.client()).collect();
    w.send(clients[0], &request(1, "/do/unheard-of", &access_fields(1, 2, 900), &[], 0));
    assert_eq!(counts(&w), (0, 0), "an invalid request is no access");
    // Writes whose bodies are held until there is no room for more.
    let (mut access, body) = (10, vec![7; 47_000]);
    while counts(&w) == (0, 0) && access < 2_000 {
        let client = clients[access as usize % 30];
        w.send_untracked(
            client,
            &request(1 + (access / 30) as u16, "/do/orders", &access_fields(access, access, 3_000), &body, 0),
        );
        access += 1;
    }
    assert_eq!(counts(&w), (1, 0), "rejected after {access}");
}
