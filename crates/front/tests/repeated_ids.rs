//! A request under the id of one that may have run is not run a second time.

mod helper;

use helper::*;

/// The offerings that may not simply run again: writes, and votes that are deduplicated.
const NOT_IDEMPOTENT: [usize; 2] = [2, 3];
/// The hard limit of the offerings.
const HARD_LIMIT: doorgrade::Ticks = 2_000 * MS;
/// A vote with this id has a mark by which caches know a repeat.
const ACCESS: u64 = 7;

/// A request under the id of the first one, from another client.
fn again(w: &mut World, offering: usize) -> Option<u16> {
    let client = w.client();
    let path = format!("/do/{}", OFFERINGS[offering]);
    w.send_untracked(client, &request(1, &path, &access_fields(ACCESS, 5, 1_500), &[], 0))
}

/// Requests that members have received.
fn pushes(w: &World) -> usize {
    w.request_counts.values().sum()
}

fn started(offering: usize) -> World {
    let mut w = World::new(41, 128);
    let client = w.client();
    w.send_request(client, 1, ACCESS, offering, 5, 1_500);
    w.connecting().into_iter().for_each(|conn| w.finish_connect(conn));
    assert_eq!(pushes(&w), 1);
    w.close(client);
    w
}

/// The failure: the id of an unrepeatable request came again within 0.1 s after its client had left, and ran twice.
#[test]
fn an_id_that_comes_again_while_its_request_may_be_running_is_rejected() {
    for offering in NOT_IDEMPOTENT {
        let mut w = started(offering);
        w.advance(50 * MS);
        assert_eq!(again(&mut w, offering), Some(400), "offering {offering}");
        assert_eq!(pushes(&w), 1, "offering {offering}");
    }
}

/// The same once it has run, for as long as its client may try again, and not for longer.
#[test]
fn an_id_that_comes_again_after_its_request_has_run_is_rejected() {
    for offering in NOT_IDEMPOTENT {
        let mut w = started(offering);
        w.busy_conns().into_iter().for_each(|conn| w.reply(conn, 200, false, "h"));
        for _ in 0..19 {
            assert_eq!(again(&mut w, offering), Some(400), "offering {offering}");
            w.advance(HARD_LIMIT / 20);
        }
        assert_eq!(pushes(&w), 1, "offering {offering}");
    }
}

/// An id whose request was never written to a cache is free again.
#[test]
fn an_id_whose_request_never_ran_may_come_again() {
    for offering in NOT_IDEMPOTENT {
        let mut w = World::new(42, 128);
        let client = w.client();
        w.send_request(client, 1, ACCESS, offering, 5, 1_500);
        w.close(client);
        let client = w.client();
        w.send_request(client, 1, ACCESS, offering, 5, 1_500);
        w.serve();
        assert_eq!(w.response_to(ACCESS).map(|r| r.status), Some(200), "offering {offering}");
        assert_eq!(pushes(&w), 1, "offering {offering}");
    }
}
