//! What clients may do wrong, without sockets: others are served, bounds hold.

mod helper;

use doorgrade_front::bounds::Bounds;
use doorgrade_front::config::Limits;
use doorgrade_front::fastcgi;
use helper::*;

#[test]
fn a_request_that_cannot_be_used_reaches_no_cache() {
    let mut w = World::new(1, 128);
    let client = w.client();
    w.owe(client, &request(1, "/do/unheard-of", &access(1, 2, 900), &[], 0));
    w.owe(client, &request(2, "/do/images", &access(2, 2, 0), &[], 0));
    w.connecting().into_iter().for_each(|conn| w.connected(conn));
    assert!(w.working().is_empty());
    w.owe(client, &[9; 8]);
    let again = w.client();
    w.ask(again, 1, 3, 1, 5, 1_000);
    w.serve();
    assert_eq!(w.answer_of(3).map(|a| a.status), Some(200), "others are served");
}

#[test]
fn few_descriptors_end_pushes_and_break_nothing() {
    let mut w = World::new(1, 64);
    let clients: Vec<_> = (0..30).map(|_| w.client()).collect();
    for call in 0..200 {
        w.ask(clients[10 + call as usize % 20], 1 + call as u16 / 20, call, 1, call, 1_000);
    }
    assert!(w.most_open <= 64, "{} connections at once", w.most_open);
    w.connecting().into_iter().for_each(|conn| w.connected(conn));
    w.pass(1_500 * MS);
    assert!(w.open_calls().is_empty());
}

#[test]
fn a_second_request_under_an_open_id_fails_and_leaves_the_first_alone() {
    let mut w = World::new(1, 128);
    let client = w.client();
    w.ask(client, 1, 1, 1, 5, 1_000);
    let got = w.stray(client, &request(1, "/do/images", &access(2, 6, 900), &[], 0));
    assert_eq!(got, Some(400));
    assert_eq!(w.answer_of(1), None);
    w.end(client);
    w.connecting().into_iter().for_each(|conn| w.connected(conn));
    assert!(w.working().is_empty(), "the first one's client is gone, and it with it");
}

#[test]
fn an_open_req_id_is_not_taken_twice_and_the_first_access_goes_on() {
    let mut w = World::new(1, 128);
    let (client, other) = (w.client(), w.client());
    w.ask(client, 1, 1, 1, 5, 1_000);
    let again = request(1, "/do/images", &access(1, 6, 900), &[], 0);
    assert_eq!(w.stray(other, &again), Some(400));
    w.serve();
    assert_eq!(w.answer_of(1).map(|a| a.status), Some(200));
    w.ask(other, 2, 1, 1, 5, 1_000);
    w.serve();
    assert_eq!(w.answer_of(1).map(|a| a.status), Some(200), "once ended, it may come again");
}

#[test]
fn clients_that_vanish_give_their_descriptors_back() {
    let mut w = World::new(1, 128);
    for _ in 0..100 {
        let client = w.client();
        // Half a request, and never the rest.
        w.owe(client, &record(fastcgi::BEGIN_REQUEST, 1, &[0, 1, 1, 0, 0, 0, 0, 0], 0));
    }
    assert!(w.clients() < 60, "{} of 128 descriptors", w.clients());
    w.pass(2_700 * MS);
    assert_eq!(w.clients(), 0);
}

#[test]
fn clients_that_hold_on_keep_no_others_out_and_lose_nothing_they_are_owed() {
    let mut w = World::new(1, 128);
    w.connecting().into_iter().for_each(|conn| w.connected(conn));
    let waiting = w.client();
    w.ask(waiting, 1, 1, 2, 5, 1_500);
    for call in 2..200 {
        // Each asks once and stays, or says nothing.
        let client = w.client();
        if call % 2 == 0 {
            w.ask(client, 1, call, 1, 5, 1_000);
            // The origin answers later.
            let quick = |w: &World, conns: Vec<_>| -> Vec<_> {
                conns.into_iter().filter(|&c| w.to(c) != 9120).collect()
            };
            quick(&w, w.connecting()).into_iter().for_each(|conn| w.connected(conn));
            quick(&w, w.working()).into_iter().for_each(|conn| w.reply(conn, 200, false, "h"));
            assert_eq!(w.answer_of(call).map(|a| a.status), Some(200), "{call}");
        }
    }
    w.serve();
    assert_eq!(w.answer_of(1).map(|a| a.status), Some(200), "the one that waits is not cut off");
    assert!(w.most_open <= 128);
    w.pass(7_000 * MS);
    assert_eq!(w.clients(), 0, "what no client uses is given back");
}

#[test]
fn a_body_without_end_is_answered_before_it_ends_and_cut_off() {
    let mut w = World::new(1, 128);
    let client = w.client();
    let whole = request(1, "/do/orders", &access(1, 2, 900), &[7; 60_000], 0);
    assert_eq!(w.stray(client, &whole[..55_000]), Some(413));
    assert_eq!(w.clients(), 0);
}

#[test]
fn a_client_that_sends_on_and_reads_nothing_is_closed_at_once_and_its_accesses_with_it() {
    let mut w = World::new(1, 128);
    let client = w.client();
    w.ask(client, 1, 1, 2, 5, 1_000);
    w.stuck.insert(client);
    let values = record(fastcgi::GET_VALUES, 0, &[], 0);
    w.owe(client, &values.repeat(20_000));
    assert_eq!(w.clients(), 0);
    assert!(w.left_unread > 100_000, "the front reads on though nothing is taken");
    w.connecting().into_iter().for_each(|conn| w.connected(conn));
    assert!(w.working().is_empty(), "nothing begins for it");
}

#[test]
fn answers_nobody_reads_hold_no_more_than_the_bound_and_others_are_served_again() {
    let mut w = World::new(1, 128);
    let bound = Bounds::new(&Limits { memory_mb: 48, sockets: 128 }).bodies;
    let clients: Vec<_> = (0..30).map(|_| w.client()).collect();
    w.stuck.extend(&clients);
    let mut call = 0;
    for _ in 0..32 {
        for &client in &clients {
            call += 1;
            w.ask(client, 1 + (call / 30) as u16, call, 1, call, 3_000);
            w.serve();
            assert!(w.reducer.most().bodies <= bound, "{:?}", w.reducer.most());
        }
    }
    assert!(w.reducer.most().bodies > bound - 240_000, "the bound was reached");
    w.pass(12_000 * MS);
    let client = w.client();
    w.ask(client, 1, 5_000, 1, 5, 1_000);
    w.serve();
    assert_eq!(w.answer_of(5_000).map(|a| a.status), Some(200));
}

#[test]
fn a_machine_without_descriptors_blames_no_cache() {
    let mut w = World::new(1, 128);
    let client = w.client();
    for call in 0..20 {
        w.ask(client, 1, call, 1, 5, 1_000);
        let waiting: Vec<_> = w.connecting().into_iter().filter(|&c| w.to(c) != 9092).collect();
        waiting.into_iter().for_each(|conn| w.fail(conn));
        while let Some(&conn) = w.connecting().iter().find(|&&c| w.to(c) != 9092) {
            w.fail(conn);
        }
        assert_eq!(w.answer_of(call).map(|a| a.status), Some(503));
    }
    w.ask(client, 1, 20, 1, 5, 1_000);
    let first = w.connecting().into_iter().map(|c| w.to(c)).find(|&port| port != 9092);
    w.ask(client, 2, 21, 1, 5, 1_000);
    let again = w.connecting().into_iter().map(|c| w.to(c)).rfind(|&port| port != 9092);
    assert_eq!(first, again, "the object's own cache is asked as before");
}

#[test]
fn a_record_that_cannot_be_read_ends_its_connection_after_what_was_asked_before() {
    let mut w = World::new(1, 128);
    let client = w.client();
    w.ask(client, 1, 1, 1, 5, 1_000);
    // Begun before the bytes that make no sense, and never whole.
    w.owe(client, &record(fastcgi::BEGIN_REQUEST, 2, &[0, 1, 1, 0, 0, 0, 0, 0], 0));
    w.owe(client, &[9; 64]);
    assert_eq!(w.clients(), 1, "an answer is owed");
    // What it says from now on is of no use, but its end is heard.
    w.owe(client, &request(3, "/do/images", &access(3, 2, 900), &[], 0));
    w.serve();
    assert_eq!(w.answer_of(1).map(|a| a.status), Some(200));
    assert_eq!((w.answer_of(3), w.clients()), (None, 0));
}
