//! Clients that begin requests and do not finish them: they lose their room to those who finish.

mod helper;

use doorgrade_front::fastcgi;
use helper::*;

const BAD_CLIENTS: usize = 40;
/// By the protocol, the open requests of a connection.
const OPEN_REQUESTS: u16 = 32;
/// Half of the longest body.
static HALF_BODY: [u8; 24_000] = [7; 24_000];

/// A front that may hold 32 MB.
fn small_front() -> World {
    let mut w = World::with_config_change(21, 128, "\"memory_mb\":48", "\"memory_mb\":32");
    w.connecting().into_iter().for_each(|conn| w.finish_connect(conn));
    w
}

/// The start of a write, without the end of its body.
fn half_of_write(id: u16, access: u64) -> Vec<u8> {
    let mut bytes = request(id, "/do/orders", &access_fields(access, 5, 1_500), &HALF_BODY, 0);
    bytes.truncate(bytes.len() - record(fastcgi::STDIN, id, &[], 0).len());
    bytes
}

/// A usual client reads and writes; both are served.
fn usual_client_is_served(w: &mut World, round: u64) {
    let client = w.client();
    for offering in [1, 2] {
        let access = 1_000_000 + 10 * round + offering as u64;
        w.send_request(client, 1, access, offering, 3, 1_500);
        w.serve();
        let status = w.response_to(access).map(|r| r.status);
        assert_eq!(status, Some(200), "round {round}, offering {offering}");
    }
    w.close(client);
}

/// The failure: 300 clients that sent half of 32 large writes each and then nothing took all the room for bodies, and
/// every usual request was refused.
#[test]
fn clients_that_stop_half_way_through_many_writes_do_not_get_others_refused() {
    let mut w = small_front();
    let bad_clients: Vec<_> = (0..BAD_CLIENTS).map(|_| w.client()).collect();
    for (number, &bad) in bad_clients.iter().enumerate() {
        for id in 1..=OPEN_REQUESTS {
            w.send(bad, &half_of_write(id, 100 * number as u64 + u64::from(id)));
        }
        usual_client_is_served(&mut w, number as u64);
    }
    w.advance(3_000 * MS);
    assert_eq!(w.clients(), 0, "none of them keeps its place for longer than 3 s");
}

/// The same with one slow write each, which never ends.
#[test]
fn many_slow_writers_do_not_get_others_refused() {
    let mut w = small_front();
    let slow_clients: Vec<_> = (0..BAD_CLIENTS).map(|_| w.client()).collect();
    for (number, &slow) in slow_clients.iter().enumerate() {
        w.send(slow, &half_of_write(1, number as u64 + 1));
    }
    for round in 0..20 {
        for &slow in &slow_clients {
            w.send(slow, &record(fastcgi::STDIN, 1, &[7; 1_000], 0));
        }
        usual_client_is_served(&mut w, round);
        w.advance(100 * MS);
    }
}

/// A writer on a slow link finishes while others hold what they never finish.
#[test]
fn a_slow_writer_finishes_beside_clients_that_do_not() {
    let mut w = small_front();
    let (slow, access) = (w.client(), 77);
    let whole = w.new_request(slow, 1, access, 2, 5, 1_500);
    for (number, piece) in whole.chunks(whole.len().div_ceil(10)).enumerate() {
        w.send(slow, piece);
        let bad = w.client();
        for id in 1..=OPEN_REQUESTS {
            w.send(bad, &half_of_write(id, 1_000 + 100 * number as u64 + u64::from(id)));
        }
        w.advance(20 * MS);
    }
    w.serve();
    assert_eq!(w.response_to(access).map(|r| r.status), Some(200));
}

/// A client that has finished requests keeps its room against many that start at the same time and never have.
#[test]
fn a_writer_that_has_finished_before_outlasts_newcomers() {
    let mut w = small_front();
    let known = w.client();
    for access in [1, 2] {
        let whole = w.new_request(known, 1, access, 2, 5, 1_500);
        let (begin, rest) = whole.split_at(whole.len() / 2);
        w.send(known, begin);
        if access == 2 {
            // More than there is room for, each less than one request may hold.
            for number in 0..1_000 {
                let bad = w.client();
                w.send(bad, &half_of_write(1, 100 + number));
            }
        }
        w.send(known, rest);
        w.serve();
        assert_eq!(w.response_to(access).map(|r| r.status), Some(200), "write {access}");
    }
}
