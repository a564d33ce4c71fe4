//! A cache refreshes a copy in the background as the protocol specifies: in the last fifth of its max age, and once at
//! a time.

use std::collections::HashMap;
use std::io::{Read, Write};
use std::net::TcpStream;
use std::sync::atomic::Ordering::SeqCst;
use std::time::{Duration, Instant};

use doorgrade_standins::{Directory, Member, MemberConfig, Role};

const PATH: &str = "/data/font-css/0000000000000001/0";
const ARCHIVE: &str = "s-000000ff";
const MAX_AGE_MS: u64 = 600_000;

/// The archive, and a cache.
fn rig() -> (Member, Member) {
    let directory = Directory::default();
    let archive =
        Member::start(MemberConfig::new(ARCHIVE, "127.0.0.1:0", Role::Archive), &directory).unwrap();
    let max_age_ms = HashMap::from([("font-css".to_owned(), MAX_AGE_MS)]);
    let config = MemberConfig { max_age_ms, ..MemberConfig::new("s-00000001", "127.0.0.1:0", Role::Cache) };
    (archive, Member::start(config, &directory).unwrap())
}

/// Sends a request that asks for a background refresh. Returns the head of the response.
fn request(cache: &Member) -> String {
    let mut stream = TcpStream::connect(cache.address).unwrap();
    stream.set_read_timeout(Some(Duration::from_secs(5))).unwrap();
    let fields =
        format!("Call-Id: 01\r\nCall-Ms: 900\r\nMiss-To: {ARCHIVE}\r\nHandling: merge+revalidate\r\n");
    stream.write_all(format!("GET {PATH} HTTP/1.1\r\n{fields}\r\n").as_bytes()).unwrap();
    let mut head = vec![0; 4096];
    let count = stream.read(&mut head).unwrap();
    String::from_utf8_lossy(&head[..count]).into_owned()
}

fn wait_until(failure: &str, condition: impl Fn() -> bool) {
    let deadline = Instant::now() + Duration::from_secs(10);
    while !condition() {
        assert!(Instant::now() < deadline, "{failure}");
        std::thread::sleep(Duration::from_millis(2));
    }
}

#[test]
fn a_copy_before_its_last_fifth_is_not_refreshed() {
    let (archive, cache) = rig();
    // The archive counts requests but doesn't answer them, so that none is missed.
    archive.gate().set_closed(true);
    cache.preload(PATH, MAX_AGE_MS * 4 / 5 - 60_000);
    for _ in 0..3 {
        assert!(request(&cache).contains("Detail: h"));
    }
    let counts = cache.counts();
    assert_eq!((counts.refreshes_requested.load(SeqCst), counts.refreshes.load(SeqCst)), (3, 0));
    assert_eq!(archive.requests(), 0);
}

#[test]
fn a_copy_in_its_last_fifth_is_refreshed_once_for_any_number_of_requests() {
    let (archive, cache) = rig();
    archive.gate().set_closed(true);
    cache.preload(PATH, MAX_AGE_MS * 9 / 10);
    let first = request(&cache);
    for _ in 0..4 {
        assert_eq!(request(&cache), first, "the old copy is served until the new one has arrived");
    }
    wait_until("no refresh arrives at the archive", || archive.gate().waiting() == 1);
    assert_eq!((cache.counts().refreshes.load(SeqCst), archive.requests()), (1, 1));
    archive.gate().set_closed(false);
    wait_until("the refreshed copy is never served", || request(&cache) != first);
    assert_eq!(cache.counts().refreshes.load(SeqCst), 1, "the new copy is not refreshed");
}
