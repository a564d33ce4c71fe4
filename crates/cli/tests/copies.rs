//! When a front tells a client that the client's own copy is current.

mod helper;

use doorgrade_standins::{Client, Feed, ManualCache};
use helper::standins::{KEY, TIMEOUT, example_config};
use helper::start;

fn params<'a>(request_id: &'a str, tag: &'a str) -> [(&'a str, &'a str); 7] {
    [
        ("SCRIPT_NAME", "/do/images"),
        ("HTTP_REQ_ID", request_id),
        ("HTTP_REQ_WAIT_MS", "700"),
        ("HTTP_REQ_KEY", KEY),
        ("HTTP_X_SEG", "0"),
        ("HTTP_X_BUCKET", "17"),
        ("HTTP_X_ETAG", tag),
    ]
}

/// A faulty cache responds 304 with the tag of another copy than the client's. The front used to tell the client that its
/// copy was current, since it only checked that the client had one, not that the tags matched.
#[test]
fn a_copy_is_current_only_if_a_cache_responds_with_its_tag() {
    for (tag, current) in [("cc", false), ("bb", true)] {
        let cache = ManualCache::start().unwrap();
        let feed = Feed::start("127.0.0.1:0").unwrap();
        let address = cache.address;
        let front = start(&example_config([&address, &address, &address, &feed.address], &[]), None);
        let mut client = Client::connect(front.address).unwrap();
        client.send(&params("00000000000000a1", "bb"), b"").unwrap();
        let mut connection = cache.accept(TIMEOUT).unwrap();
        let request = connection.read_request().unwrap().expect("a request");
        assert_eq!(request.field("have"), Some("bb"));
        connection.respond(304, &[("Detail", "h"), ("Tag", tag)], b"").unwrap();
        // Further attempts fail, so that nothing else can be served.
        drop(connection);
        let (head, body) = client.receive().unwrap();
        assert_eq!(head.contains("X-Notmod: 1"), current, "tag {tag}: {head}");
        assert!(body.is_empty());
    }
}
