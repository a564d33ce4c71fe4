//! A cache renews behind as the protocol's page has it: in the last fifth of a copy's fresh time, one at a time.

use std::collections::HashMap;
use std::io::{Read, Write};
use std::net::TcpStream;
use std::sync::atomic::Ordering::SeqCst;
use std::time::{Duration, Instant};

use doorgrade_standins::{Directory, Member, Role, Spec};

const PATH: &str = "/data/font-css/0000000000000001/0";
const ARCHIVE: &str = "s-000000ff";
const FRESH_MS: u64 = 600_000;

fn rig() -> (Member, Member) {
    let directory = Directory::default();
    let archive = Member::start(Spec::new(ARCHIVE, "127.0.0.1:0", Role::Archive), &directory).unwrap();
    let fresh_ms = HashMap::from([("font-css".to_owned(), FRESH_MS)]);
    let spec = Spec { fresh_ms, ..Spec::new("s-00000001", "127.0.0.1:0", Role::Cache) };
    (archive, Member::start(spec, &directory).unwrap())
}

/// The head of the answer to one push that asks for a renewal behind.
fn ask(cache: &Member) -> String {
    let mut stream = TcpStream::connect(cache.at).unwrap();
    stream.set_read_timeout(Some(Duration::from_secs(5))).unwrap();
    let fields =
        format!("Call-Id: 01\r\nCall-Ms: 900\r\nMiss-To: {ARCHIVE}\r\nHandling: merge+revalidate\r\n");
    stream.write_all(format!("GET {PATH} HTTP/1.1\r\n{fields}\r\n").as_bytes()).unwrap();
    let mut head = vec![0; 4096];
    let count = stream.read(&mut head).unwrap();
    String::from_utf8_lossy(&head[..count]).into_owned()
}

fn until(what: &str, done: impl Fn() -> bool) {
    let end = Instant::now() + Duration::from_secs(10);
    while !done() {
        assert!(Instant::now() < end, "{what}");
        std::thread::sleep(Duration::from_millis(2));
    }
}

#[test]
fn a_copy_before_its_last_fifth_is_not_renewed() {
    let (archive, cache) = rig();
    // The archive keeps whoever comes waiting, so that nothing that came is missed.
    archive.gate().shut(true);
    cache.preload(PATH, FRESH_MS * 4 / 5 - 60_000);
    for _ in 0..3 {
        assert!(ask(&cache).contains("Detail: h"));
    }
    let counts = cache.counts();
    assert_eq!((counts.renewal_asked.load(SeqCst), counts.renewed.load(SeqCst)), (3, 0));
    assert_eq!(archive.asked(), 0);
}

#[test]
fn a_copy_in_its_last_fifth_is_renewed_once_however_many_ask() {
    let (archive, cache) = rig();
    archive.gate().shut(true);
    cache.preload(PATH, FRESH_MS * 9 / 10);
    let first = ask(&cache);
    for _ in 0..4 {
        assert_eq!(ask(&cache), first, "the copy that it has, until the new one is here");
    }
    until("no renewal comes to the archive", || archive.gate().waiting() == 1);
    assert_eq!((cache.counts().renewed.load(SeqCst), archive.asked()), (1, 1));
    archive.gate().shut(false);
    until("the renewed copy is never served", || ask(&cache) != first);
    assert_eq!(cache.counts().renewed.load(SeqCst), 1, "it is young again");
}
