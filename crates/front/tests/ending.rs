//! The end of the front, without sockets.

mod helper;

use doorgrade_front::config::Config;
use doorgrade_front::fastcgi;
use doorgrade_front::reducer::{Effect, Input, Reducer};
use helper::*;

#[test]
fn after_the_word_to_stop_accesses_are_taken_finished_and_the_rest_ended() {
    let mut w = World::new(1, 128);
    let client = w.client();
    w.input(Input::Stop);
    w.pass(300 * MS);
    w.ask(client, 1, 1, 1, 5, 1_000);
    w.serve();
    assert_eq!(w.answer_of(1).map(|a| a.status), Some(200), "still served");
    // One that may run far beyond the hard stop is ended before it, as its effect allows.
    w.ask(client, 2, 2, 1, 6, 60_000);
    w.ask(client, 3, 3, 2, 7, 60_000);
    w.connecting().into_iter().for_each(|conn| w.connected(conn));
    w.pass(2_200 * MS);
    assert_eq!([2, 3].map(|call| w.answer_of(call).map(|a| a.status)), [Some(503), Some(500)]);
    assert!(w.exited);
}

#[test]
fn only_a_serving_front_says_that_it_is_ready() {
    let mut w = World::new(1, 128);
    let client = w.client();
    let check = request(1, "/check", &[], &[], 0);
    assert_eq!(w.stray(client, &check), Some(200));
    w.input(Input::Stop);
    assert_eq!(w.stray(client, &check), Some(503));
    w.pass(1_000 * MS);
    assert!(w.exited);
}

#[test]
fn clients_told_to_end_are_ended_in_order_and_those_that_stay_cut_off() {
    let mut w = World::new(1, 128);
    let clients: Vec<_> = (0..3).map(|_| w.client()).collect();
    w.resting.insert(clients[0]);
    // Half a request: it may still become a whole one.
    w.owe(clients[1], &record(fastcgi::BEGIN_REQUEST, 1, &[0, 1, 1, 0, 0, 0, 0, 0], 0));
    w.input(Input::Stop);
    w.pass(890 * MS);
    assert_eq!(w.clients(), 3);
    w.pass(20 * MS);
    assert_eq!(w.clients(), 2, "one rests though the front has ended it, one has half a request");
    let rest = &request(1, "/do/images", &access(1, 2, 900), &[], 0)[16..];
    assert_eq!(w.stray(clients[1], rest), Some(503), "too late to be taken, not to be answered");
    assert_eq!(w.clients(), 1);
    assert!(!w.exited);
    w.pass(250 * MS);
    assert!(w.exited && w.clients() == 0);
}

#[test]
fn what_comes_whole_after_the_time_is_declined_while_others_are_still_open() {
    let mut w = World::new(1, 128);
    let (client, other) = (w.client(), w.client());
    w.input(Input::Stop);
    w.pass(500 * MS);
    w.ask(client, 1, 1, 1, 5, 2_000);
    w.pass(450 * MS);
    assert_eq!(w.clients(), 1, "the other one is ended, the first is owed an answer");
    let _ = other;
    w.ask(client, 2, 2, 1, 6, 1_000);
    assert_eq!(w.answer_of(2).map(|a| a.status), Some(503));
    w.serve();
    assert_eq!((w.answer_of(1).map(|a| a.status), w.pushes_of(2)), (Some(200), 0));
    w.pass(50 * MS);
    assert!(w.exited);
}

#[test]
fn no_attempt_waits_past_the_end_of_the_front() {
    let mut w = World::new(1, 128);
    let client = w.client();
    w.input(Input::Stop);
    w.ask(client, 1, 1, 1, 5, 60_000);
    w.connecting().into_iter().for_each(|conn| w.connected(conn));
    let told = w.heads[&1].lines().find_map(|l| l.strip_prefix("Call-Ms: ")?.parse::<u64>().ok());
    assert!(told.is_some_and(|ms| ms <= 2_400), "{told:?} ms to answer, and it ends in 2.4 s");
}

/// What was remembered is told before the front listens: that is no end.
#[test]
fn what_happens_before_the_front_listens_does_not_close_its_listener() {
    let told = Config::read(&config(128), None, None).expect("a sound configuration");
    let mut reducer = Reducer::new(told, 17_000_000_000_000);
    reducer.input(17_000_000_000_000, Input::Recall(Vec::new(), Vec::new()));
    reducer.input(17_000_000_000_010, Input::Tick);
    assert!(!reducer.effects().any(|e| matches!(e, Effect::StopListening | Effect::Exit)));
}
