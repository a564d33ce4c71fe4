//! What the front counts for the service of versions: each access once, when it has ended, and whether it was answered
//! within the soft limit.

mod helper;

use helper::*;

fn counts(w: &World) -> (u64, u64) {
    let served = w.reducer.served();
    (served.ended, served.answered)
}

/// A world whose connections to caches are up.
fn world() -> World {
    let mut w = World::new(1, 128);
    w.connecting().into_iter().for_each(|conn| w.connected(conn));
    w
}

#[test]
fn an_access_counts_when_it_has_ended_and_as_answered_only_within_the_soft_limit() {
    let mut w = world();
    let client = w.client();
    w.ask(client, 1, 1, 1, 5, 2_000);
    assert_eq!(counts(&w), (0, 0), "it is open");
    w.serve();
    assert_eq!(counts(&w), (1, 1));
    // The soft limit is 400 ms after the access.
    w.ask(client, 2, 2, 2, 6, 2_000);
    w.connecting().into_iter().for_each(|conn| w.connected(conn));
    w.pass(600 * MS);
    w.serve();
    assert_eq!(w.answer_of(2).map(|a| a.status), Some(200));
    assert_eq!(counts(&w), (2, 1), "answered late");
}

#[test]
fn an_access_that_is_left_or_given_up_ends_unanswered_and_counts_once() {
    let mut w = world();
    let client = w.client();
    w.ask(client, 1, 1, 2, 5, 2_000);
    w.connecting().into_iter().for_each(|conn| w.connected(conn));
    w.abort(1);
    assert_eq!(counts(&w), (1, 0), "its client has left");
    w.serve();
    assert_eq!(counts(&w), (1, 0), "the answer that comes afterwards is nobody's");
    w.ask(client, 2, 2, 2, 6, 500);
    w.pass(3_000 * MS);
    assert!(w.open_calls().is_empty());
    assert_eq!(counts(&w), (2, 0), "its time was up");
}

#[test]
fn what_is_turned_away_for_want_of_room_counts_and_what_could_never_be_used_does_not() {
    let mut w = world();
    let clients: Vec<_> = (0..30).map(|_| w.client()).collect();
    w.owe(clients[0], &request(1, "/do/unheard-of", &access(1, 2, 900), &[], 0));
    assert_eq!(counts(&w), (0, 0), "no configuration makes that an access");
    // Writes that hold their bodies until there is no room for more.
    let (mut call, body) = (10, vec![7; 47_000]);
    while counts(&w) == (0, 0) && call < 2_000 {
        let client = clients[call as usize % 30];
        w.stray(client, &request(1 + (call / 30) as u16, "/do/orders", &access(call, call, 3_000), &body, 0));
        call += 1;
    }
    assert_eq!(counts(&w), (1, 0), "turned away after {call}");
}
