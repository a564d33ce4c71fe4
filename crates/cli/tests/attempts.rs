//! Attempts that begin late: for clients that have left meanwhile, or with less time left than they tell.

mod helper;

use std::io::Write;
use std::time::{Duration, Instant};

use doorgrade_standins::client::AccessRequest;
use doorgrade_standins::manual_cache::Connection;
use doorgrade_standins::shim::{Counter, Fault, Shim};
use doorgrade_standins::{Client, Feed, ManualCache};
use helper::forced::{KEY, SOON, config};
use helper::{Front, Launch, start, until};

/// The terms: how much more than the client has left an attempt may tell its cache.
const SLACK: Duration = Duration::from_millis(150);
/// The terms: nothing begins for a client that left longer ago than this.
const AFTER_LEAVING: Duration = Duration::from_millis(100);

fn read(key: &str) -> AccessRequest<'_> {
    AccessRequest { class: "images", key, bucket: 17, timeout_ms: 1_900, body: b"" }
}

/// A cache whose connections and answers the test plays.
struct Cache {
    held: ManualCache,
    lines: Vec<Connection>,
}

impl Cache {
    fn start() -> Cache {
        Cache { held: ManualCache::start().unwrap(), lines: Vec::new() }
    }

    /// Takes in new connections, and says on which one a request waits.
    fn asked(&mut self) -> Option<usize> {
        self.lines.extend(self.held.accept(Duration::ZERO));
        self.lines.iter().position(Connection::has_unread_bytes)
    }

    fn answer(&mut self, line: usize) {
        self.lines[line].read_request().unwrap().expect("a request");
        self.lines[line].respond(200, &[("Detail", "h"), ("Tag", "aa")], b"content").unwrap();
    }
}

/// An answer that was being made when its connection came up told the time that had been left when it was asked for:
/// `Call-Ms` was written with the decision, a second before the connection was there.
#[test]
fn an_attempt_whose_connection_comes_up_late_tells_the_time_that_is_left_then() {
    let mut held = ManualCache::start().unwrap();
    let feed = Feed::start("127.0.0.1:0").unwrap();
    let at = held.address;
    let changes = [("\"connectTimeout\": 400.0", "\"connectTimeout\": 3000.0")];
    let front = start(&config([&at, &at, &at, &feed.address], &changes), None);
    held.block_connects().unwrap();
    let mut client = Client::connect(front.at).unwrap();
    let asked = Instant::now();
    client.send_access(&read(KEY)).unwrap();
    until("it dials", || held.pending_connects() > 0);
    std::thread::sleep(Duration::from_millis(300));
    held.unblock_connects().unwrap();
    // Its next word is said a second after the first.
    let mut line = held.accept(SOON).unwrap();
    let head = line.read_request().unwrap().expect("a request");
    let left = Duration::from_millis(read(KEY).timeout_ms).saturating_sub(asked.elapsed());
    let told = Duration::from_millis(head.number("call-ms"));
    assert!(told <= left + SLACK, "{told:?} told, {left:?} left");
}

/// The coroutines' thread is behind, as on a busy machine, when a client leaves; meanwhile the second copy of its request
/// falls due. The thread then wrote that copy first and read the client's end after it.
#[test]
fn a_second_attempt_does_not_begin_for_a_client_whose_end_waits_to_be_read() {
    a_second_attempt_does_not_begin(drop);
}

/// The same, where the client gives its request up and keeps its connection.
#[test]
fn a_second_attempt_does_not_begin_for_a_request_whose_abort_waits_to_be_read() {
    a_second_attempt_does_not_begin(|client| {
        const ABORT_REQUEST: [u8; 8] = [1, 2, 0, 1, 0, 0, 0, 0];
        client.stream().write_all(&ABORT_REQUEST).unwrap();
        std::mem::forget(client);
    });
}

fn a_second_attempt_does_not_begin(leave: impl FnOnce(Client)) {
    let mut caches = [Cache::start(), Cache::start()];
    let feed = Feed::start("127.0.0.1:0").unwrap();
    let ([one, two], origin) = (caches.each_ref().map(|c| c.held.address), ManualCache::start().unwrap());
    let debug = ("\"log\": \"info\"", "\"log\": \"debug\"");
    let config = config([&one, &two, &origin.address, &feed.address], &[debug]);
    let shim = Shim::new(1).unwrap();
    let front = Launch { environment: shim.environment().unwrap(), ..Launch::default() }.start(&config);
    // Each cache has answered some, so that it has a connection at rest, and the objects' own caches are known.
    let keys: Vec<_> = (0..16).map(|n| format!("{n:016x}")).collect();
    let own: Vec<usize> = keys.iter().map(|key| serve(&front, key, &mut caches)).collect();
    let first = own[0];
    let other = own.iter().position(|&cache| cache != first).expect("a key of the other cache");
    let same = own.iter().rposition(|&cache| cache == first).expect("a second key of the first cache");
    assert!(same != 0 && other != 0);
    std::thread::sleep(Duration::from_millis(50));

    // The first cache hangs at this request, and goes on answering others: the request alone is stuck.
    let mut client = Client::connect(front.at).unwrap();
    let request = client.send_access(&read(&keys[0])).unwrap();
    until("its cache has it", || caches[first].asked().is_some());
    let stuck = caches[first].asked().unwrap();
    let _stuck = caches[first].lines.remove(stuck);
    assert_eq!(serve(&front, &keys[same], &mut caches), first);
    shim.set(Fault::HoldIo, 1).unwrap();
    leave(client);
    let left = Instant::now();
    shim.wait_for(Counter::IoHeld, 1, SOON).unwrap();
    until("a second copy is due", || {
        front.log().iter().any(|line| line.contains(&request) && line.contains("attempt=1"))
    });
    std::thread::sleep(AFTER_LEAVING.saturating_sub(left.elapsed()));
    shim.set(Fault::HoldIo, 0).unwrap();
    until("its end is heard", || {
        let log = front.log();
        log.iter().any(|line| line.contains(&request) && line.contains("given up by its client"))
    });
    std::thread::sleep(Duration::from_millis(50));
    assert_eq!(
        caches[1 - first].asked(),
        None,
        "it has begun {:?} after its client had left",
        left.elapsed()
    );
}

/// The coroutines' thread is behind when a request is handed to it. It was written 400 ms later as it had been made, with the
/// time that had been left then; likewise a repeat could begin after its window, or an attempt past the grace of a purge.
#[test]
fn a_request_that_was_handed_over_long_ago_is_made_anew_before_it_begins() {
    let mut caches = [Cache::start(), Cache::start()];
    let feed = Feed::start("127.0.0.1:0").unwrap();
    let ([one, two], origin) = (caches.each_ref().map(|c| c.held.address), ManualCache::start().unwrap());
    let debug = ("\"log\": \"info\"", "\"log\": \"debug\"");
    let config = config([&one, &two, &origin.address, &feed.address], &[debug]);
    let shim = Shim::new(1).unwrap();
    let front = Launch { environment: shim.environment().unwrap(), ..Launch::default() }.start(&config);
    // The object's cache has a connection at rest.
    let own = serve(&front, KEY, &mut caches);
    std::thread::sleep(Duration::from_millis(50));
    let mut client = Client::connect(front.at).unwrap();
    assert!(client.is_ready().unwrap());
    // The request is read, and the main thread hears of it once the other one is held.
    shim.set(Fault::HoldMain, 1).unwrap();
    shim.wait_for(Counter::MainHeld, 1, SOON).unwrap();
    let received = shim.read(Counter::Received).unwrap();
    let request = client.send_access(&read(KEY)).unwrap();
    let asked = Instant::now();
    shim.wait_for(Counter::Received, received + 1, SOON).unwrap();
    shim.set(Fault::HoldIo, 1).unwrap();
    shim.set(Fault::HoldMain, 0).unwrap();
    until("it is decided on", || {
        front.log().iter().any(|line| line.contains(&request) && line.contains("attempt=0"))
    });
    std::thread::sleep(Duration::from_millis(400));
    shim.set(Fault::HoldIo, 0).unwrap();
    until("its cache has it", || caches[own].asked().is_some());
    let line = caches[own].asked().unwrap();
    let head = caches[own].lines[line].read_request().unwrap().expect("a request");
    let left = Duration::from_millis(read(KEY).timeout_ms).saturating_sub(asked.elapsed());
    let told = Duration::from_millis(head.number("call-ms"));
    assert!(told <= left + SLACK, "{told:?} told, {left:?} left");
}

/// Has a request answered by the cache that gets it, and says which one that is.
fn serve(front: &Front, key: &str, caches: &mut [Cache; 2]) -> usize {
    let mut client = Client::connect(front.at).unwrap();
    client.send_access(&read(key)).unwrap();
    let mut at = None;
    until("a cache is asked", || {
        at = (0..2).find_map(|cache| Some((cache, caches[cache].asked()?)));
        at.is_some()
    });
    let (cache, line) = at.unwrap();
    caches[cache].answer(line);
    assert!(client.receive().unwrap().0.starts_with("Status: 200"));
    cache
}
