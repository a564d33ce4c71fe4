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

use std::time::Duration;

use doorgrade_standins::client::AccessRequest;
use doorgrade_standins::shim::{Counter, Fault, Shim};
use doorgrade_standins::{Client, Directory, Feed, Member, object_bytes};
use helper::forced::{KEY, SOON, caches, config};
use helper::{Front, Launch, until};

/// Descriptors so few that a newcomer takes the place of whoever rests longest.
const SOCKETS: usize = 64;
/// Places that the front keeps free for newcomers.
const SPARE: usize = 2;

/// Longer than the front waits for a client to end its side of a connection that was ended.
const LINGERED: Duration = Duration::from_millis(400);

const ASKED: AccessRequest<'static> =
    AccessRequest { class: "images", key: KEY, bucket: 17, timeout_ms: 2_000, body: b"" };

/// A front with few places, its caches, and the faults of its system.
struct Rig {
    front: Front,
    shim: Shim,
    _directory: Directory,
    _members: [Member; 3],
    _feed: Feed,
}

impl Rig {
    fn start() -> Rig {
        let (directory, members, feed) = caches();
        let [one, two, origin] = &members;
        let sockets = format!("\"sockets\": {SOCKETS}");
        let changes = [("\"sockets\": 1024", &*sockets), ("\"log\": \"info\"", "\"log\": \"debug\"")];
        let config = config([&one.address, &two.address, &origin.address, &feed.address], &changes);
        let shim = Shim::new(1).unwrap();
        let environment = shim.environment().unwrap();
        let front = Launch { environment, ..Launch::default() }.start(&config);
        Rig { front, shim, _directory: directory, _members: members, _feed: feed }
    }

    /// One that has been served, and rests.
    fn resting(&self) -> Client {
        let mut client = Client::connect(self.front.at).unwrap();
        assert!(client.is_ready().unwrap());
        client
    }

    /// Clients' connections that the front keeps at the most.
    fn places(&self) -> usize {
        let log = self.front.log();
        let bounds = log.iter().find_map(|line| line.split_once("Bounds { clients: ")).expect("its bounds");
        bounds.1.split(',').next().unwrap().parse().unwrap()
    }

    /// So many clients that the next newcomers make the front end connections, those that rest longest first.
    fn fill(&self) -> Vec<Client> {
        (0..self.places() - SPARE).map(|_| self.resting()).collect()
    }

    fn logged(&self, words: &str) -> bool {
        self.front.log().iter().any(|line| line.contains(words))
    }

    /// The main thread hears of nothing from here on.
    fn hold_main(&self) {
        self.shim.set(Fault::HoldMain, 1).unwrap();
        self.shim.wait_for(Counter::MainHeld, 1, SOON).unwrap();
    }

    /// One more client is accepted.
    fn newcomer(&self) -> Client {
        let before = self.shim.read(Counter::Accepted).unwrap();
        let client = Client::connect(self.front.at).unwrap();
        self.shim.wait_for(Counter::Accepted, before + 1, SOON).unwrap();
        client
    }

    /// It asks, and the front has read it; the request's id.
    fn ask(&self, client: &mut Client) -> String {
        let before = self.shim.read(Counter::Received).unwrap();
        let request = client.send_access(&ASKED).unwrap();
        self.shim.wait_for(Counter::Received, before + 1, SOON).unwrap();
        request
    }

    fn expect_answer(&self, client: &mut Client) {
        let answer = client.receive();
        let log = self.front.log().join("\n");
        let (head, body) =
            answer.unwrap_or_else(|e| panic!("its connection ended with no answer: {e}\n{log}"));
        assert!(head.starts_with("Status: 200"), "{head}\n{log}");
        assert_eq!(body, object_bytes(&format!("/data/images/{KEY}/0")));
    }
}

#[test]
fn a_request_that_crosses_the_end_of_its_resting_connection_is_answered() {
    let rig = Rig::start();
    let mut clients = rig.fill();
    let longest = &mut clients[0];
    // Both the newcomer and the request are read before the reducer hears of either.
    rig.hold_main();
    let _newcomer = rig.newcomer();
    let request = rig.ask(longest);
    // The end that the newcomer causes and the request's next read wait together for the coroutine.
    rig.shim.set(Fault::HoldIo, 1).unwrap();
    rig.shim.set(Fault::HoldMain, 0).unwrap();
    until("the request is taken", || {
        rig.front.log().iter().any(|line| line.contains("request taken") && line.contains(&request))
    });
    rig.shim.wait_for(Counter::IoHeld, 1, SOON).unwrap();
    rig.shim.set(Fault::HoldIo, 0).unwrap();
    rig.expect_answer(longest);
}

/// So many newcomers come at once that no place is left. The connection that rested longest was closed at once for them,
/// although a request on it had been read and waited for the reducer.
#[test]
fn a_request_that_was_read_is_answered_though_newcomers_need_every_place() {
    let rig = Rig::start();
    let mut clients = rig.fill();
    let longest = &mut clients[0];
    rig.hold_main();
    let _newcomers: Vec<_> = (0..SPARE + 1).map(|_| rig.newcomer()).collect();
    rig.ask(longest);
    rig.shim.set(Fault::HoldMain, 0).unwrap();
    rig.expect_answer(longest);
}

/// The coroutines' thread is behind by more than the time that a client has to end its side. The connection was then closed
/// over a request that had come meanwhile and that nobody had read.
#[test]
fn a_request_that_comes_before_its_connection_was_ended_is_answered_however_late_the_end_is() {
    let rig = Rig::start();
    let mut clients = rig.fill();
    let longest = &mut clients[0];
    let _newcomer = {
        rig.hold_main();
        let newcomer = rig.newcomer();
        rig.shim.set(Fault::HoldIo, 1).unwrap();
        rig.shim.set(Fault::HoldMain, 0).unwrap();
        newcomer
    };
    rig.shim.wait_for(Counter::IoHeld, 1, SOON).unwrap();
    assert!(rig.logged("others need its place"));
    longest.send_access(&ASKED).unwrap();
    std::thread::sleep(LINGERED);
    rig.shim.set(Fault::HoldIo, 0).unwrap();
    rig.expect_answer(longest);
}
