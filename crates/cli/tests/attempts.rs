//! Attempts that start late: after their client has disconnected, or with less time left than they tell the cache.

mod helper;

use std::io::Write;
use std::time::{Duration, Instant};

use doorgrade_standins::client::AccessRequest;
use doorgrade_standins::manual_cache::Connection;
use doorgrade_standins::shim::{Counter, Fault, Shim};
use doorgrade_standins::{Client, Feed, ManualCache};
use helper::standins::{KEY, TIMEOUT, example_config};
use helper::{Front, Launch, start, wait_until};

/// How much more time than the client has left an attempt may tell its cache, by the acceptance rules.
const SLACK: Duration = Duration::from_millis(150);
/// No attempt may start for a client that left longer ago than this, by the acceptance rules.
const AFTER_LEAVING: Duration = Duration::from_millis(100);

fn read(key: &str) -> AccessRequest<'_> {
    AccessRequest { class: "images", key, bucket: 17, timeout_ms: 1_900, body: b"" }
}

/// A cache whose connections and responses the test controls.
struct Cache {
    listener: ManualCache,
    connections: Vec<Connection>,
}

impl Cache {
    fn start() -> Cache {
        Cache { listener: ManualCache::start().unwrap(), connections: Vec::new() }
    }

    /// Accepts new connections; the index of a connection with an unread request.
    fn pending_request(&mut self) -> Option<usize> {
        self.connections.extend(self.listener.accept(Duration::ZERO));
        self.connections.iter().position(Connection::has_unread_bytes)
    }

    fn respond(&mut self, connection: usize) {
        self.connections[connection].read_request().unwrap().expect("a request");
        self.connections[connection].respond(200, &[("Detail", "h"), ("Tag", "aa")], b"content").unwrap();
    }
}

/// `Call-Ms`, which tells the cache how much time is left, used to be written when the attempt was decided on, a second
/// before its connection was established.
#[test]
fn an_attempt_whose_connection_is_late_tells_the_time_left_when_it_is_sent() {
    let mut cache = ManualCache::start().unwrap();
    let feed = Feed::start("127.0.0.1:0").unwrap();
    let address = cache.address;
    let changes = [("\"connectTimeout\": 400.0", "\"connectTimeout\": 3000.0")];
    let front = start(&example_config([&address, &address, &address, &feed.address], &changes), None);
    cache.block_connects().unwrap();
    let mut client = Client::connect(front.address).unwrap();
    let sent_at = Instant::now();
    client.send_access(&read(KEY)).unwrap();
    wait_until("the front connects", || cache.pending_connects() > 0);
    std::thread::sleep(Duration::from_millis(300));
    cache.unblock_connects().unwrap();
    // The connection is established when the kernel repeats the SYN, a second after the first.
    let mut connection = cache.accept(TIMEOUT).unwrap();
    let head = connection.read_request().unwrap().expect("a request");
    let left = Duration::from_millis(read(KEY).timeout_ms).saturating_sub(sent_at.elapsed());
    let call_ms = Duration::from_millis(head.number("call-ms"));
    assert!(call_ms <= left + SLACK, "{call_ms:?} sent, {left:?} left");
}

/// The coroutines' thread is delayed, as on a busy machine, when a client disconnects; meanwhile the second attempt of its
/// request becomes due. The thread used to write that attempt first, and to read the client's disconnect after it.
#[test]
fn no_second_attempt_starts_for_a_client_whose_disconnect_is_not_read_yet() {
    check_no_second_attempt(drop);
}

/// The same, where the client aborts its request and keeps its connection.
#[test]
fn no_second_attempt_starts_for_a_request_whose_abort_is_not_read_yet() {
    check_no_second_attempt(|client| {
        const ABORT_REQUEST: [u8; 8] = [1, 2, 0, 1, 0, 0, 0, 0];
        client.stream().write_all(&ABORT_REQUEST).unwrap();
        std::mem::forget(client);
    });
}

fn check_no_second_attempt(leave: impl FnOnce(Client)) {
    let mut caches = [Cache::start(), Cache::start()];
    let feed = Feed::start("127.0.0.1:0").unwrap();
    let ([one, two], origin) = (caches.each_ref().map(|c| c.listener.address), ManualCache::start().unwrap());
    let debug = ("\"log\": \"info\"", "\"log\": \"debug\"");
    let config = example_config([&one, &two, &origin.address, &feed.address], &[debug]);
    let shim = Shim::new(1).unwrap();
    let front = Launch { environment: shim.environment().unwrap(), ..Launch::default() }.start(&config);
    // Each cache has served some requests, so that it has an idle connection and the cache of each object is known.
    let keys: Vec<_> = (0..16).map(|n| format!("{n:016x}")).collect();
    let own: Vec<usize> = keys.iter().map(|key| serve(&front, key, &mut caches)).collect();
    let first = own[0];
    let other = own.iter().position(|&cache| cache != first).expect("a key of the other cache");
    let same = own.iter().rposition(|&cache| cache == first).expect("a second key of the first cache");
    assert!(same != 0 && other != 0);
    std::thread::sleep(Duration::from_millis(50));

    // The first cache never responds to this request but serves others, so that only this request is stuck.
    let mut client = Client::connect(front.address).unwrap();
    let request = client.send_access(&read(&keys[0])).unwrap();
    wait_until("the cache has received it", || caches[first].pending_request().is_some());
    let stuck = caches[first].pending_request().unwrap();
    let _stuck = caches[first].connections.remove(stuck);
    assert_eq!(serve(&front, &keys[same], &mut caches), first);
    shim.set(Fault::HoldIo, 1).unwrap();
    leave(client);
    let left_at = Instant::now();
    shim.wait_for(Counter::IoHeld, 1, TIMEOUT).unwrap();
    wait_until("the second attempt is due", || {
        front.log().iter().any(|line| line.contains(&request) && line.contains("attempt=1"))
    });
    std::thread::sleep(AFTER_LEAVING.saturating_sub(left_at.elapsed()));
    shim.set(Fault::HoldIo, 0).unwrap();
    wait_until("the disconnect is processed", || {
        let log = front.log();
        log.iter().any(|line| line.contains(&request) && line.contains("given up by its client"))
    });
    std::thread::sleep(Duration::from_millis(50));
    assert_eq!(
        caches[1 - first].pending_request(),
        None,
        "an attempt started {:?} after its client had left",
        left_at.elapsed()
    );
}

/// The coroutines' thread is delayed when an attempt is handed to it. The request used to be written 400 ms later with the
/// time that had been left before; likewise a repeat could start after its window, or an attempt after the grace of a
/// purge.
#[test]
fn an_attempt_that_was_handed_over_long_ago_is_updated_before_it_starts() {
    let mut caches = [Cache::start(), Cache::start()];
    let feed = Feed::start("127.0.0.1:0").unwrap();
    let ([one, two], origin) = (caches.each_ref().map(|c| c.listener.address), ManualCache::start().unwrap());
    let debug = ("\"log\": \"info\"", "\"log\": \"debug\"");
    let config = example_config([&one, &two, &origin.address, &feed.address], &[debug]);
    let shim = Shim::new(1).unwrap();
    let front = Launch { environment: shim.environment().unwrap(), ..Launch::default() }.start(&config);
    // The object's cache has an idle connection.
    let own = serve(&front, KEY, &mut caches);
    std::thread::sleep(Duration::from_millis(50));
    let mut client = Client::connect(front.address).unwrap();
    assert!(client.is_ready().unwrap());
    // The request is read, and the main thread processes it once the coroutines' thread is held.
    shim.set(Fault::HoldMain, 1).unwrap();
    shim.wait_for(Counter::MainHeld, 1, TIMEOUT).unwrap();
    let received = shim.read(Counter::Received).unwrap();
    let request = client.send_access(&read(KEY)).unwrap();
    let sent_at = Instant::now();
    shim.wait_for(Counter::Received, received + 1, TIMEOUT).unwrap();
    shim.set(Fault::HoldIo, 1).unwrap();
    shim.set(Fault::HoldMain, 0).unwrap();
    wait_until("the attempt is decided on", || {
        front.log().iter().any(|line| line.contains(&request) && line.contains("attempt=0"))
    });
    std::thread::sleep(Duration::from_millis(400));
    shim.set(Fault::HoldIo, 0).unwrap();
    wait_until("the cache has received it", || caches[own].pending_request().is_some());
    let connection = caches[own].pending_request().unwrap();
    let head = caches[own].connections[connection].read_request().unwrap().expect("a request");
    let left = Duration::from_millis(read(KEY).timeout_ms).saturating_sub(sent_at.elapsed());
    let call_ms = Duration::from_millis(head.number("call-ms"));
    assert!(call_ms <= left + SLACK, "{call_ms:?} sent, {left:?} left");
}

/// Sends a request and responds to it at the cache that gets it; the index of that cache.
fn serve(front: &Front, key: &str, caches: &mut [Cache; 2]) -> usize {
    let mut client = Client::connect(front.address).unwrap();
    client.send_access(&read(key)).unwrap();
    let mut found = None;
    wait_until("a cache gets the request", || {
        found = (0..2).find_map(|cache| Some((cache, caches[cache].pending_request()?)));
        found.is_some()
    });
    let (cache, connection) = found.unwrap();
    caches[cache].respond(connection);
    assert!(client.receive().unwrap().0.starts_with("Status: 200"));
    cache
}
