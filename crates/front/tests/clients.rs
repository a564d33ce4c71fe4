//! Misbehaving clients, without sockets: others are served, and the bounds hold.

mod helper;

use doorgrade_front::bounds::Bounds;
use doorgrade_front::config::Limits;
use doorgrade_front::fastcgi;
use helper::*;

#[test]
fn a_request_that_cannot_be_used_reaches_no_cache() {
    let mut w = World::new(1, 128);
    let client = w.client();
    w.send(client, &request(1, "/do/unheard-of", &access_fields(1, 2, 900), &[], 0));
    w.send(client, &request(2, "/do/images", &access_fields(2, 2, 0), &[], 0));
    w.connecting().into_iter().for_each(|conn| w.finish_connect(conn));
    assert!(w.busy_conns().is_empty());
    w.send(client, &[9; 8]);
    let again = w.client();
    w.send_request(again, 1, 3, 1, 5, 1_000);
    w.serve();
    assert_eq!(w.response_to(3).map(|a| a.status), Some(200), "others are served");
}

#[test]
fn few_descriptors_end_pushes_and_nothing_else() {
    let mut w = World::new(1, 64);
    let clients: Vec<_> = (0..30).map(|_| w.client()).collect();
    for access in 0..200 {
        w.send_request(clients[10 + access as usize % 20], 1 + access as u16 / 20, access, 1, access, 1_000);
    }
    assert!(w.max_open <= 64, "{} connections at once", w.max_open);
    w.connecting().into_iter().for_each(|conn| w.finish_connect(conn));
    w.advance(1_500 * MS);
    assert!(w.open_accesses().is_empty());
}

#[test]
fn a_second_request_under_an_open_id_fails_and_leaves_the_first_alone() {
    let mut w = World::new(1, 128);
    let client = w.client();
    w.send_request(client, 1, 1, 1, 5, 1_000);
    let got = w.send_untracked(client, &request(1, "/do/images", &access_fields(2, 6, 900), &[], 0));
    assert_eq!(got, Some(400));
    assert_eq!(w.response_to(1), None);
    w.close(client);
    w.connecting().into_iter().for_each(|conn| w.finish_connect(conn));
    assert!(w.busy_conns().is_empty(), "the first access ends with its client");
}

#[test]
fn an_open_req_id_is_not_taken_twice_and_the_first_access_goes_on() {
    let mut w = World::new(1, 128);
    let (client, other) = (w.client(), w.client());
    w.send_request(client, 1, 1, 1, 5, 1_000);
    let again = request(1, "/do/images", &access_fields(1, 6, 900), &[], 0);
    assert_eq!(w.send_untracked(other, &again), Some(400));
    w.serve();
    assert_eq!(w.response_to(1).map(|a| a.status), Some(200));
    w.send_request(other, 2, 1, 1, 5, 1_000);
    w.serve();
    assert_eq!(
        w.response_to(1).map(|a| a.status),
        Some(200),
        "once the access has ended, its id may be used again"
    );
}

#[test]
fn clients_that_vanish_give_their_descriptors_back() {
    let mut w = World::new(1, 128);
    for _ in 0..100 {
        let client = w.client();
        // A partial request that is never completed.
        w.send(client, &record(fastcgi::BEGIN_REQUEST, 1, &[0, 1, 1, 0, 0, 0, 0, 0], 0));
    }
    assert!(w.clients() < 60, "{} of 128 descriptors", w.clients());
    w.advance(2_700 * MS);
    assert_eq!(w.clients(), 0);
}

#[test]
fn idle_clients_keep_no_others_out_and_lose_no_response() {
    let mut w = World::new(1, 128);
    w.connecting().into_iter().for_each(|conn| w.finish_connect(conn));
    let waiting = w.client();
    w.send_request(waiting, 1, 1, 2, 5, 1_500);
    for access in 2..200 {
        // Each sends one request and stays connected, or sends nothing.
        let client = w.client();
        if access % 2 == 0 {
            w.send_request(client, 1, access, 1, 5, 1_000);
            // The origin responds later.
            let not_origin = |w: &World, conns: Vec<_>| -> Vec<_> {
                conns.into_iter().filter(|&c| w.port_of(c) != 9120).collect()
            };
            not_origin(&w, w.connecting()).into_iter().for_each(|conn| w.finish_connect(conn));
            not_origin(&w, w.busy_conns()).into_iter().for_each(|conn| w.reply(conn, 200, false, "h"));
            assert_eq!(w.response_to(access).map(|a| a.status), Some(200), "{access}");
        }
    }
    w.serve();
    assert_eq!(w.response_to(1).map(|a| a.status), Some(200), "the waiting client is not disconnected");
    assert!(w.max_open <= 128);
    w.advance(7_000 * MS);
    assert_eq!(w.clients(), 0, "unused connections are closed");
}

#[test]
fn an_endless_body_is_rejected_before_it_ends_and_cut_off() {
    let mut w = World::new(1, 128);
    let client = w.client();
    let whole = request(1, "/do/orders", &access_fields(1, 2, 900), &[7; 60_000], 0);
    assert_eq!(w.send_untracked(client, &whole[..55_000]), Some(413));
    assert_eq!(w.clients(), 0);
}

#[test]
fn a_client_that_keeps_sending_without_reading_is_closed_with_its_accesses() {
    let mut w = World::new(1, 128);
    let client = w.client();
    w.send_request(client, 1, 1, 2, 5, 1_000);
    w.not_reading.insert(client);
    let values = record(fastcgi::GET_VALUES, 0, &[], 0);
    w.send(client, &values.repeat(20_000));
    assert_eq!(w.clients(), 0);
    assert!(w.unread_at_close > 100_000, "the front kept reading though no response was read");
    w.connecting().into_iter().for_each(|conn| w.finish_connect(conn));
    assert!(w.busy_conns().is_empty(), "no request is started for it");
}

#[test]
fn unread_responses_stay_within_the_bound_and_others_are_served_again() {
    let mut w = World::new(1, 128);
    let bound = Bounds::new(&Limits { memory_mb: 48, sockets: 128 }).bodies;
    let clients: Vec<_> = (0..30).map(|_| w.client()).collect();
    w.not_reading.extend(&clients);
    let mut access = 0;
    for _ in 0..32 {
        for &client in &clients {
            access += 1;
            w.send_request(client, 1 + (access / 30) as u16, access, 1, access, 3_000);
            w.serve();
            assert!(w.reducer.peaks().bodies <= bound, "{:?}", w.reducer.peaks());
        }
    }
    assert!(w.reducer.peaks().bodies > bound - 240_000, "the bound was reached");
    w.advance(12_000 * MS);
    let client = w.client();
    w.send_request(client, 1, 5_000, 1, 5, 1_000);
    w.serve();
    assert_eq!(w.response_to(5_000).map(|a| a.status), Some(200));
}

#[test]
fn lack_of_descriptors_counts_against_no_cache() {
    let mut w = World::new(1, 128);
    let client = w.client();
    for access in 0..20 {
        w.send_request(client, 1, access, 1, 5, 1_000);
        let waiting: Vec<_> = w.connecting().into_iter().filter(|&c| w.port_of(c) != 9092).collect();
        waiting.into_iter().for_each(|conn| w.fail_locally(conn));
        while let Some(&conn) = w.connecting().iter().find(|&&c| w.port_of(c) != 9092) {
            w.fail_locally(conn);
        }
        assert_eq!(w.response_to(access).map(|a| a.status), Some(503));
    }
    w.send_request(client, 1, 20, 1, 5, 1_000);
    let first = w.connecting().into_iter().map(|c| w.port_of(c)).find(|&port| port != 9092);
    w.send_request(client, 2, 21, 1, 5, 1_000);
    let again = w.connecting().into_iter().map(|c| w.port_of(c)).rfind(|&port| port != 9092);
    assert_eq!(first, again, "the object's own cache is still preferred");
}

#[test]
fn an_invalid_record_ends_its_connection_after_earlier_requests_are_answered() {
    let mut w = World::new(1, 128);
    let client = w.client();
    w.send_request(client, 1, 1, 1, 5, 1_000);
    // Started before the invalid bytes, and never completed.
    w.send(client, &record(fastcgi::BEGIN_REQUEST, 2, &[0, 1, 1, 0, 0, 0, 0, 0], 0));
    w.send(client, &[9; 64]);
    assert_eq!(w.clients(), 1, "a response is owed");
    // Further data is discarded, but a disconnect would still be noticed.
    w.send(client, &request(3, "/do/images", &access_fields(3, 2, 900), &[], 0));
    w.serve();
    assert_eq!(w.response_to(1).map(|a| a.status), Some(200));
    assert_eq!((w.response_to(3), w.clients()), (None, 0));
}
