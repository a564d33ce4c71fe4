//! A front ended a client's connection in order, because a newcomer needed its place, at the moment in which the client
//! sent its next request there. The request had been read, but the reducer had not heard of it when it decided on the
//! end. It then took the request and sent it on. The coroutine of the connection found the order to end the connection and
//! the order to read on waiting together, did not see which came first, and ended the connection with the request open.
//! The client closed, and the front gave the attempt up, all within a millisecond.
//!
//! The first run of this test against that front settled it:
//!
//!     198.5 DEBUG a client's connection is to end: others need its place
//!     198.7 DEBUG client's connection connection=22 clients=23
//!     198.9 DEBUG request taken connection=0 offering="images"
//!     199.0 DEBUG attempt attempt=0 member="s-00000001" source="s-00000020" before=None
//!     its connection ended with no answer: failed to fill whole buffer

mod helper;

use doorgrade_standins::client::Asked;
use doorgrade_standins::shim::{Fault, Seen, Shim};
use doorgrade_standins::{Client, object};
use helper::forced::{KEY, SOON, caches, config};
use helper::{Launch, until};

/// Descriptors so few that a newcomer takes the place of whoever rests longest.
const SOCKETS: usize = 64;
const PLACES: usize = SOCKETS / 3 + 4;

#[test]
fn a_request_that_crosses_the_end_of_its_resting_connection_is_answered() {
    let (_directory, [one, two, origin], feed) = caches();
    let sockets = format!("\"sockets\": {SOCKETS}");
    let changes = [("\"sockets\": 1024", &*sockets), ("\"log\": \"info\"", "\"log\": \"debug\"")];
    let config = config([&one.at, &two.at, &origin.at, &feed.at], &changes);
    let shim = Shim::new(1).unwrap();
    let environment = shim.environment().unwrap();
    let front = Launch { environment, ..Launch::default() }.start(&config);

    let mut longest = Client::connect(front.at).unwrap();
    assert!(longest.check().unwrap());
    // Two places are kept free; the rest are taken by clients that rest for a shorter time.
    let mut others: Vec<_> = (1..PLACES - 3).map(|_| Client::connect(front.at).unwrap()).collect();
    for other in &mut others {
        assert!(other.check().unwrap());
    }
    until("all are idle", || shim.seen(Seen::Accepted).unwrap() as usize == PLACES - 3);

    // Both the newcomer and the request are read before the reducer hears of either.
    shim.set(Fault::HoldMain, 1).unwrap();
    shim.until(Seen::MainHeld, 1, SOON).unwrap();
    let (accepted, received) = (shim.seen(Seen::Accepted).unwrap(), shim.seen(Seen::Received).unwrap());
    let newcomer = Client::connect(front.at).unwrap();
    shim.until(Seen::Accepted, accepted + 1, SOON).unwrap();
    let asked = Asked { class: "images", key: KEY, bucket: 17, wait_ms: 2_000, body: b"" };
    let request = longest.send_access(&asked).unwrap();
    shim.until(Seen::Received, received + 1, SOON).unwrap();

    // The end that the newcomer causes and the request's next read wait together for the coroutine.
    shim.set(Fault::HoldIo, 1).unwrap();
    shim.set(Fault::HoldMain, 0).unwrap();
    until("the request is taken", || {
        front.log().iter().any(|line| line.contains("request taken") && line.contains(&request))
    });
    shim.until(Seen::IoHeld, 1, SOON).unwrap();
    shim.set(Fault::HoldIo, 0).unwrap();

    let answer = longest.receive();
    let log = front.log().join("\n");
    let (head, body) = answer.unwrap_or_else(|e| panic!("its connection ended with no answer: {e}\n{log}"));
    assert!(head.starts_with("Status: 200"), "{head}\n{log}");
    assert_eq!(body, object(&format!("/data/images/{KEY}/0")));
    drop(newcomer);
}
