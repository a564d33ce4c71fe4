//! Shutdown, without sockets.

mod helper;

use doorgrade_front::config::Config;
use doorgrade_front::fastcgi;
use doorgrade_front::reducer::{Effect, Input, Reducer};
use helper::*;

#[test]
fn after_a_stop_accesses_are_accepted_and_finished_and_the_rest_ended() {
    let mut w = World::new(1, 128);
    let client = w.client();
    w.input(Input::Stop);
    w.advance(300 * MS);
    w.send_request(client, 1, 1, 1, 5, 1_000);
    w.serve();
    assert_eq!(w.response_to(1).map(|a| a.status), Some(200), "still served");
    // An access whose time goes far beyond the hard stop ends before it: declined if it may be repeated,
    // given up if not.
    w.send_request(client, 2, 2, 1, 6, 60_000);
    w.send_request(client, 3, 3, 2, 7, 60_000);
    w.connecting().into_iter().for_each(|conn| w.finish_connect(conn));
    w.advance(2_200 * MS);
    assert_eq!([2, 3].map(|access| w.response_to(access).map(|a| a.status)), [Some(503), Some(500)]);
    assert!(w.exited);
}

#[test]
fn only_a_serving_front_reports_that_it_is_ready() {
    let mut w = World::new(1, 128);
    let client = w.client();
    let check = request(1, "/check", &[], &[], 0);
    assert_eq!(w.send_untracked(client, &check), Some(200));
    w.input(Input::Stop);
    assert_eq!(w.send_untracked(client, &check), Some(503));
    w.advance(1_000 * MS);
    assert!(w.exited);
}

#[test]
fn clients_are_half_closed_at_shutdown_and_those_that_stay_are_closed() {
    let mut w = World::new(1, 128);
    let clients: Vec<_> = (0..3).map(|_| w.client()).collect();
    w.keeps_open.insert(clients[0]);
    // A partial request, which may still be completed.
    w.send(clients[1], &record(fastcgi::BEGIN_REQUEST, 1, &[0, 1, 1, 0, 0, 0, 0, 0], 0));
    w.input(Input::Stop);
    w.advance(890 * MS);
    assert_eq!(w.clients(), 3);
    w.advance(20 * MS);
    assert_eq!(w.clients(), 2, "one does not close after the half-close, one has sent a partial request");
    let rest = &request(1, "/do/images", &access_fields(1, 2, 900), &[], 0)[16..];
    assert_eq!(
        w.send_untracked(clients[1], rest),
        Some(503),
        "too late to be accepted, but it gets a response"
    );
    assert_eq!(w.clients(), 1);
    assert!(!w.exited);
    w.advance(250 * MS);
    assert!(w.exited && w.clients() == 0);
}

#[test]
fn requests_completed_too_late_are_declined_while_others_are_still_open() {
    let mut w = World::new(1, 128);
    let (client, other) = (w.client(), w.client());
    w.input(Input::Stop);
    w.advance(500 * MS);
    w.send_request(client, 1, 1, 1, 5, 2_000);
    w.advance(450 * MS);
    assert_eq!(w.clients(), 1, "the other one is closed, the first is owed a response");
    let _ = other;
    w.send_request(client, 2, 2, 1, 6, 1_000);
    assert_eq!(w.response_to(2).map(|a| a.status), Some(503));
    w.serve();
    assert_eq!((w.response_to(1).map(|a| a.status), w.push_count(2)), (Some(200), 0));
    w.advance(50 * MS);
    assert!(w.exited);
}

#[test]
fn no_push_waits_past_the_hard_stop() {
    let mut w = World::new(1, 128);
    let client = w.client();
    w.input(Input::Stop);
    w.send_request(client, 1, 1, 1, 5, 60_000);
    w.connecting().into_iter().for_each(|conn| w.finish_connect(conn));
    let wait_ms = w.request_heads[&1].lines().find_map(|l| l.strip_prefix("Call-Ms: ")?.parse::<u64>().ok());
    assert!(wait_ms.is_some_and(|ms| ms <= 2_400), "{wait_ms:?} ms to respond, but the front ends in 2.4 s");
}

/// A recall before the front listens must not be taken for a shutdown.
#[test]
fn inputs_before_the_front_listens_do_not_close_its_listener() {
    let config = Config::read(&config(128), None, None).expect("a valid configuration");
    let mut reducer = Reducer::new(config, 17_000_000_000_000);
    reducer.input(17_000_000_000_000, Input::Recall(Vec::new(), Vec::new()));
    reducer.input(17_000_000_000_010, Input::Tick);
    assert!(!reducer.effects().any(|e| matches!(e, Effect::StopListening | Effect::Exit)));
}
