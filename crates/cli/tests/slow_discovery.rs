//! Guards against a front that goes on asking a draining cache because discovery is slow, with real processes.
//!
//! In the failure, the bytes of the feed came 3 s late, and each connection to it was given up after 2.5 s. The draining cache
//! got its full share of the requests until the end of the run, 25 s later. The front's log:
//!
//!     feed: connected; last event 1
//!     feed: silent
//!     feed: connected; last event 1
//!     feed: silent

mod helper;

use std::time::{Duration, Instant};

use doorgrade_standins::links::{LinkConditions, Links};
use doorgrade_standins::{Client, feed};
use helper::standins::{example_config, start_members};
use helper::{start, wait_until};

const DELAY: Duration = Duration::from_millis(3_000);
/// What the feed has to tell counts as told after this time, whether it has arrived or not.
const TOLD_AFTER: Duration = Duration::from_millis(7_000);
const DRAINING: u8 = 1;

#[test]
fn a_drain_is_heard_over_a_link_that_is_slower_than_the_feeds_heartbeat_timeout() {
    let (_directory, [one, two, origin], feed) = start_members();
    let links = Links::new(1);
    let proxy = links.tcp_proxy("front", "feed", feed.address).unwrap();
    let front = start(&example_config([&one.address, &two.address, &origin.address, &proxy], &[]), None);
    wait_until("the front subscribes to the feed", || !feed.resume_numbers().is_empty());
    let delay_ms = DELAY.as_millis() as u64;
    links.set("feed", "front", LinkConditions { delay_ms, ..LinkConditions::default() });
    // The connection made before the link became slow goes on for a while.
    wait_until("the feed is silent", || front.log().iter().any(|line| line.contains("feed: silent")));
    feed.publish_members(2, &[feed::member_record(&one.id, one.address, DRAINING, 0, 0, 0)]);
    let published_at = Instant::now();
    let mut asked_late = 0;
    for number in 0.. {
        let elapsed = published_at.elapsed();
        if elapsed > TOLD_AFTER + DELAY {
            break;
        }
        let asked_before = one.requests();
        let mut client = Client::connect(front.address).unwrap();
        client.request("images", &format!("{number:016x}"), 1_500).unwrap();
        asked_late += usize::from(elapsed > TOLD_AFTER && one.requests() > asked_before);
        std::thread::sleep(Duration::from_millis(20));
    }
    assert_eq!(asked_late, 0, "{:#?}", front.log());
    assert!(one.requests() > 0, "it was asked before it drained");
}

/// What is known of caches and purges was old, and nothing said so.
#[test]
fn a_feed_that_tells_nothing_for_long_is_reported() {
    let (_directory, [one, two, origin], feed) = start_members();
    let links = Links::new(1);
    let proxy = links.tcp_proxy("front", "feed", feed.address).unwrap();
    let front = start(&example_config([&one.address, &two.address, &origin.address, &proxy], &[]), None);
    wait_until("the front subscribes to the feed", || !feed.resume_numbers().is_empty());
    links.partition(&["front"], &["feed"]);
    let logged = |text: &str| front.log().iter().any(|line| line.contains(text));
    wait_until("the front says that what it knows is old", || logged("feed: nothing heard for"));
    links.heal();
    wait_until("the front says that it hears the feed again", || logged("feed: heard again after"));
}
