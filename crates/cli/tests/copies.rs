//! What a front says of a client's own copy.

mod helper;

use doorgrade_standins::{Client, Feed, ManualCache};
use helper::forced::{KEY, SOON, config};
use helper::start;

fn params<'a>(call: &'a str, tag: &'a str) -> [(&'a str, &'a str); 7] {
    [
        ("SCRIPT_NAME", "/do/images"),
        ("HTTP_REQ_ID", call),
        ("HTTP_REQ_WAIT_MS", "700"),
        ("HTTP_REQ_KEY", KEY),
        ("HTTP_X_SEG", "0"),
        ("HTTP_X_BUCKET", "17"),
        ("HTTP_X_ETAG", tag),
    ]
}

/// A cache answers 304 and names another copy than the client's, as a cache whose answers are spoilt may. The front told the
/// client that its copy was current: it looked whether the client had one, not whether the cache had named it.
#[test]
fn a_copy_is_current_only_if_a_cache_has_named_it() {
    for (named, current) in [("cc", false), ("bb", true)] {
        let held = ManualCache::start().unwrap();
        let feed = Feed::start("127.0.0.1:0").unwrap();
        let at = held.address;
        let front = start(&config([&at, &at, &at, &feed.address], &[]), None);
        let mut client = Client::connect(front.at).unwrap();
        client.send(&params("00000000000000a1", "bb"), b"").unwrap();
        let mut line = held.accept(SOON).unwrap();
        let asked = line.read_request().unwrap().expect("a request");
        assert_eq!(asked.field("have"), Some("bb"));
        line.respond(304, &[("Detail", "h"), ("Tag", named)], b"").unwrap();
        // Whoever is asked next fails: nothing else can be served.
        drop(line);
        let (head, body) = client.receive().unwrap();
        assert_eq!(head.contains("X-Notmod: 1"), current, "{named} is named: {head}");
        assert!(body.is_empty());
    }
}
