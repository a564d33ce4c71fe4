//! Hollow instances: they follow a real service over TLS through links, hear the feed, and wait out a cut.

use std::net::SocketAddr;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

use doorgrade_control::operator_client::OperatorClient;
use doorgrade_control::serve::Running;
use doorgrade_control::settings::Settings;
use doorgrade_lab::scale::control_rig::{content, files, one_way};
use doorgrade_lab::scale::hollow::{Does, Threads, start};
use doorgrade_standins::Feed;
use doorgrade_standins::links::Links;
use doorgrade_standins::versions::{Installation, SERVICE};
use doorgrade_versions::service::{Request, Response};

/// For what is to come to be; a busy machine takes longer than an idle one.
const LONG: Duration = Duration::from_secs(60);
const PUBLICATION: &str = "  soak_ms = 1\n  answer_within_ms = 60000\n  canaries = 2\n  shares = [1.0]\n  missing = 0.9\n  drop = 1.0";

fn until(what: &str, mut holds: impl FnMut() -> bool) {
    let begun = Instant::now();
    while !holds() {
        assert!(begun.elapsed() < LONG, "{what}");
        std::thread::sleep(Duration::from_millis(10));
    }
}

#[test]
fn hollow_fronts_follow_versions_and_the_feed_and_one_that_is_cut_off_takes_the_version_once_healed() {
    let place = Installation::new("lab-hollow-test").unwrap();
    place.write("shape.hcl", "").unwrap();
    let regions = ["near", "far"];
    for region in regions {
        place.issue(region, &place.fronts, &[&format!("*.{region}")], 30).unwrap();
    }
    let runtime = tokio::runtime::Builder::new_multi_thread().worker_threads(2).enable_all().build().unwrap();
    let file = place.write_control_settings("127.0.0.1:0", "127.0.0.1:0", PUBLICATION).unwrap();
    let service = runtime.block_on(Running::start(Settings::load(&file).unwrap())).unwrap();
    let links = Links::new(1);
    let feed = Feed::start("127.0.0.1:0").unwrap();
    let mut threads = Threads::start("hollow-test", 1).unwrap();
    let fronts: Vec<_> = regions
        .iter()
        .enumerate()
        .map(|(n, region)| {
            links.set(region, "control", one_way(20));
            links.set("control", region, one_way(20));
            let at: SocketAddr =
                links.tcp_proxy_on(runtime.handle(), region, "control", service.fronts).unwrap();
            let files = files(&place, n, region, [at, feed.address], "").unwrap();
            let handle = threads.handle();
            start(&files, Does { stores: n == 0 }, handle, Some(handle)).unwrap()
        })
        .collect();
    let mut asker = runtime
        .block_on(OperatorClient::connect_to(service.operators, SERVICE, &place.identity("person")))
        .unwrap();
    let mut publish = |text: String| {
        let begun = Instant::now();
        loop {
            let Response::Status(totals) = runtime.block_on(asker.request(&Request::Status)).unwrap() else {
                panic!("no status")
            };
            let ask = Request::Publish {
                content: text.as_bytes().into(),
                note: "".into(),
                expected_last: totals.last,
            };
            let connected = totals.connected == 2;
            if connected && let Response::Published(id) = runtime.block_on(asker.request(&ask)).unwrap() {
                return id;
            }
            assert!(begun.elapsed() < LONG, "not published: {totals:?}");
            std::thread::sleep(Duration::from_millis(10));
        }
    };

    let first = publish(content(20, |_| false));
    until("both run the first", || fronts.iter().all(|f| f.record.runs() == Some(first)));
    let passed = regions.map(|r| links.traffic("control", r).bytes);
    assert!(passed.iter().all(|&bytes| bytes > content(20, |_| false).len()), "{passed:?}");
    feed.publish_purge(2, 7, doorgrade_standins::unix_ms());
    until("both heard the purge", || fronts.iter().all(|f| f.record.purges.load(Ordering::Relaxed) == 1));

    links.partition(&["far"], &["control"]);
    let second = publish(content(20, |n| n == 3));
    until("the near one runs the second", || fronts[0].record.runs() == Some(second));
    assert_eq!(fronts[1].record.runs(), Some(first), "nothing passes a cut link");
    links.heal();
    until("the far one runs the second", || fronts[1].record.runs() == Some(second));
    drop(fronts);
    runtime.block_on(service.stop());
}
