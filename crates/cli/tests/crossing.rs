//! Guards against requests that are lost when the front closes an idle client connection, to make room for a new client,
//! at the moment at which the client sends its next request there.
//!
//! In the failure, the request had been read, but the reducer had not processed it when it decided to close. It then
//! accepted the request and forwarded it. The connection's coroutine found the commands to close and to read on in its
//! queue together, ignored their order, and closed the connection with the request in flight. The client closed its side,
//! and the front cancelled the attempt, all within a millisecond. The log of the first run of this test against it:
//!
//!     198.5 DEBUG a client's connection is to end: others need its place
//!     198.7 DEBUG client's connection connection=22 clients=23
//!     198.9 DEBUG request taken connection=0 offering="images"
//!     199.0 DEBUG attempt attempt=0 member="s-00000001" source="s-00000020" before=None
//!     its connection ended with no answer: failed to fill whole buffer

mod helper;

use std::io::Write;
use std::time::Duration;

use doorgrade_standins::client::{AccessRequest, request_bytes};
use doorgrade_standins::shim::{Counter, Fault, Shim};
use doorgrade_standins::{Client, Directory, Feed, Member, object_bytes};
use helper::standins::{KEY, TIMEOUT, example_config, start_members};
use helper::{Front, Launch, wait_until};

/// So few descriptors that a new client displaces the one that has been idle longest.
const SOCKETS: usize = 64;
/// Places that the front keeps free for new clients.
const SPARE: usize = 2;

/// Longer than the front waits for a client to close its side of a connection.
const LINGER: Duration = Duration::from_millis(400);

const ACCESS: AccessRequest<'static> =
    AccessRequest { class: "images", key: KEY, bucket: 17, timeout_ms: 2_000, body: b"" };

/// A front with few places for clients, its members, and injected system faults.
struct Rig {
    front: Front,
    shim: Shim,
    _directory: Directory,
    _members: [Member; 3],
    _feed: Feed,
}

impl Rig {
    fn start() -> Rig {
        let (directory, members, feed) = start_members();
        let [one, two, origin] = &members;
        let sockets = format!("\"sockets\": {SOCKETS}");
        let changes = [("\"sockets\": 1024", &*sockets), ("\"log\": \"info\"", "\"log\": \"debug\"")];
        let config = example_config([&one.address, &two.address, &origin.address, &feed.address], &changes);
        let shim = Shim::new(1).unwrap();
        let environment = shim.environment().unwrap();
        let front = Launch { environment, ..Launch::default() }.start(&config);
        Rig { front, shim, _directory: directory, _members: members, _feed: feed }
    }

    /// A client that has been served and is now idle.
    fn idle_client(&self) -> Client {
        let mut client = Client::connect(self.front.address).unwrap();
        assert!(client.is_ready().unwrap());
        client
    }

    /// The maximum number of client connections.
    fn max_clients(&self) -> usize {
        let log = self.front.log();
        let bounds = log.iter().find_map(|line| line.split_once("Bounds { clients: ")).expect("its bounds");
        bounds.1.split(',').next().unwrap().parse().unwrap()
    }

    /// Connects so many clients that the front must close idle connections for the next ones, longest idle first.
    fn fill(&self) -> Vec<Client> {
        (0..self.max_clients() - SPARE).map(|_| self.idle_client()).collect()
    }

    fn logged(&self, text: &str) -> bool {
        self.front.log().iter().any(|line| line.contains(text))
    }

    /// Holds the main thread: it processes no events from here on.
    fn hold_main(&self) {
        self.shim.set(Fault::HoldMain, 1).unwrap();
        self.shim.wait_for(Counter::MainHeld, 1, TIMEOUT).unwrap();
    }

    /// Connects one more client, and waits until it is accepted.
    fn new_client(&self) -> Client {
        let before = self.shim.read(Counter::Accepted).unwrap();
        let client = Client::connect(self.front.address).unwrap();
        self.shim.wait_for(Counter::Accepted, before + 1, TIMEOUT).unwrap();
        client
    }

    /// Sends a request and waits until the front has read it; the request's id.
    fn send_request(&self, client: &mut Client) -> String {
        let before = self.shim.read(Counter::Received).unwrap();
        let request = client.send_access(&ACCESS).unwrap();
        self.shim.wait_for(Counter::Received, before + 1, TIMEOUT).unwrap();
        request
    }

    fn expect_response(&self, client: &mut Client) {
        let response = client.receive();
        let log = self.front.log().join("\n");
        let (head, body) =
            response.unwrap_or_else(|e| panic!("its connection ended with no response: {e}\n{log}"));
        assert!(head.starts_with("Status: 200"), "{head}\n{log}");
        assert_eq!(body, object_bytes(&format!("/data/images/{KEY}/0")));
    }
}

/// A connection on which half a request had come counted as idle, and was ended for new clients: 48 of 50 requests that were
/// written in two pieces, 0.6 s apart, had no answer.
#[test]
fn a_request_written_in_two_pieces_gets_a_response_while_new_clients_need_places() {
    let rig = Rig::start();
    let mut slow = Client::connect(rig.front.address).unwrap();
    let fields = [
        ("SCRIPT_NAME", "/do/images"),
        ("HTTP_REQ_ID", "00000000000000ff"),
        ("HTTP_REQ_WAIT_MS", "2000"),
        ("HTTP_REQ_KEY", KEY),
    ];
    let bytes = request_bytes(&fields, b"");
    let (first, rest) = bytes.split_at(bytes.len() / 2);
    let before = rig.shim.read(Counter::Received).unwrap();
    slow.stream().write_all(first).unwrap();
    rig.shim.wait_for(Counter::Received, before + 1, TIMEOUT).unwrap();
    let _clients: Vec<_> = (0..2 * rig.max_clients()).map(|_| rig.idle_client()).collect();
    slow.stream().write_all(rest).unwrap();
    rig.expect_response(&mut slow);
}

#[test]
fn a_request_sent_while_its_idle_connection_is_closed_gets_a_response() {
    let rig = Rig::start();
    let mut clients = rig.fill();
    let longest_idle = &mut clients[0];
    // Both the new client and the request are read before the reducer processes either.
    rig.hold_main();
    let _new_client = rig.new_client();
    let request = rig.send_request(longest_idle);
    // The close caused by the new client and the next read command are queued together for the coroutine.
    rig.shim.set(Fault::HoldIo, 1).unwrap();
    rig.shim.set(Fault::HoldMain, 0).unwrap();
    wait_until("the request is accepted", || {
        rig.front.log().iter().any(|line| line.contains("request taken") && line.contains(&request))
    });
    rig.shim.wait_for(Counter::IoHeld, 1, TIMEOUT).unwrap();
    rig.shim.set(Fault::HoldIo, 0).unwrap();
    rig.expect_response(longest_idle);
}

/// So many clients connect at once that no place is left. The connection that was idle longest was then closed immediately,
/// although a request on it had been read and was queued for the reducer.
#[test]
fn a_request_that_was_read_gets_a_response_though_new_clients_need_every_place() {
    let rig = Rig::start();
    let mut clients = rig.fill();
    let longest_idle = &mut clients[0];
    rig.hold_main();
    let _new_clients: Vec<_> = (0..SPARE + 1).map(|_| rig.new_client()).collect();
    rig.send_request(longest_idle);
    rig.shim.set(Fault::HoldMain, 0).unwrap();
    rig.expect_response(longest_idle);
}

/// The coroutines' thread is delayed by more than the time that a client has to close its side. The connection was then
/// closed although an unread request had arrived meanwhile.
#[test]
fn a_request_that_arrives_before_a_delayed_close_of_its_connection_gets_a_response() {
    let rig = Rig::start();
    let mut clients = rig.fill();
    let longest_idle = &mut clients[0];
    let _new_client = {
        rig.hold_main();
        let new_client = rig.new_client();
        rig.shim.set(Fault::HoldIo, 1).unwrap();
        rig.shim.set(Fault::HoldMain, 0).unwrap();
        new_client
    };
    rig.shim.wait_for(Counter::IoHeld, 1, TIMEOUT).unwrap();
    // The coroutines' thread may be held, and the log's reader behind, before the decision to close is in the log.
    wait_until("the front decides to close the connection", || rig.logged("others need its place"));
    longest_idle.send_access(&ACCESS).unwrap();
    std::thread::sleep(LINGER);
    rig.shim.set(Fault::HoldIo, 0).unwrap();
    rig.expect_response(longest_idle);
}
