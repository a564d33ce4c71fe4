//! One client that takes back what it asks for, at full speed, takes nothing from the others.

mod helper;

use doorgrade_front::fastcgi;
use helper::*;

/// Requests with an abort right behind each.
const PAIRS: u64 = 400;
/// Where the data is split between a request and its abort, the request is started: at most once for each piece that is
/// read, and there are fewer pieces than this.
const MAX_STARTED: usize = 40;

/// The failure: each such request took a connection to a cache before its abort was looked at, so that the connections
/// were used up and others were refused.
#[test]
fn a_request_that_is_taken_back_right_behind_is_never_started() {
    let mut w = World::new(31, 128);
    w.connecting().into_iter().for_each(|conn| w.finish_connect(conn));
    let bad = w.client();
    let mut bytes = Vec::new();
    for access in 1..=PAIRS {
        bytes.extend(request(1, "/do/images", &access_fields(access, access, 900), &[], 0));
        bytes.extend(record(fastcgi::ABORT_REQUEST, 1, &[], 0));
    }
    let before = w.connect_timeouts.len();
    w.send_untracked(bad, &bytes);
    let started = w.connect_timeouts.len() - before;
    assert!(started <= MAX_STARTED, "{started} connections for {PAIRS} requests that were taken back");
    let usual = w.client();
    w.send_request(usual, 1, 1_000, 1, 3, 900);
    w.advance(MS);
    w.connecting().into_iter().for_each(|conn| w.finish_connect(conn));
    assert!(w.request_heads.contains_key(&1_000), "the usual client's request finds a connection at once");
}

/// An abort takes back only the request before it: the next one under the same number is answered.
#[test]
fn a_request_under_the_number_of_one_that_was_taken_back_is_answered() {
    let mut w = World::new(32, 128);
    let client = w.client();
    let mut bytes = request(1, "/do/images", &access_fields(1, 5, 900), &[], 0);
    bytes.extend(record(fastcgi::ABORT_REQUEST, 1, &[], 0));
    bytes.extend(w.new_request(client, 1, 2, 1, 6, 900));
    w.send(client, &bytes);
    w.serve();
    assert_eq!(w.response_to(2).map(|r| r.status), Some(200));
}
