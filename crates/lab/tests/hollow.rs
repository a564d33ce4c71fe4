//! Control-only fronts follow a real configuration service over TLS, receive purges by the feed, and take a version that was
//! published during a partition once it has ended.

use std::net::SocketAddr;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

use doorgrade_control::operator_client::OperatorClient;
use doorgrade_control::serve::Running;
use doorgrade_control::settings::Settings;
use doorgrade_lab::scale::control_only::{RuntimeThreads, StartOptions, start};
use doorgrade_lab::scale::control_rig::{content, one_way_conditions, write_front_files};
use doorgrade_standins::Feed;
use doorgrade_standins::links::Links;
use doorgrade_standins::versions::{Installation, SERVICE};
use doorgrade_versions::service::{Request, Response};

/// Timeout of each wait, long enough for a busy machine.
const TIMEOUT: Duration = Duration::from_secs(60);
const PUBLICATION: &str = "  soak_ms = 1\n  answer_within_ms = 60000\n  canaries = 2\n  shares = [1.0]\n  missing = 0.9\n  drop = 1.0";

fn wait_until(what: &str, mut holds: impl FnMut() -> bool) {
    let began_at = Instant::now();
    while !holds() {
        assert!(began_at.elapsed() < TIMEOUT, "{what}");
        std::thread::sleep(Duration::from_millis(10));
    }
}

#[test]
fn control_only_fronts_follow_versions_and_the_feed_and_catch_up_after_a_partition() {
    let installation = Installation::new("lab-hollow-test").unwrap();
    installation.write("shape.hcl", "").unwrap();
    let regions = ["near", "far"];
    for region in regions {
        installation.issue(region, &installation.fronts, &[&format!("*.{region}")], 30).unwrap();
    }
    let runtime = tokio::runtime::Builder::new_multi_thread().worker_threads(2).enable_all().build().unwrap();
    let file = installation.write_control_settings("127.0.0.1:0", "127.0.0.1:0", PUBLICATION).unwrap();
    let service = runtime.block_on(Running::start(Settings::load(&file).unwrap())).unwrap();
    let links = Links::new(1);
    let feed = Feed::start("127.0.0.1:0").unwrap();
    let mut threads = RuntimeThreads::start("hollow-test", 1).unwrap();
    let fronts: Vec<_> = regions
        .iter()
        .enumerate()
        .map(|(n, region)| {
            links.set(region, "control", one_way_conditions(20));
            links.set("control", region, one_way_conditions(20));
            let address: SocketAddr =
                links.tcp_proxy_on(runtime.handle(), region, "control", service.fronts).unwrap();
            let front_files =
                write_front_files(&installation, n, region, [address, feed.address], "").unwrap();
            let handle = threads.next_handle();
            start(&front_files, StartOptions { store_versions: n == 0 }, handle, Some(handle)).unwrap()
        })
        .collect();
    let mut client = runtime
        .block_on(OperatorClient::connect_to(service.operators, SERVICE, &installation.identity("person")))
        .unwrap();
    let mut publish = |text: String| {
        let began_at = Instant::now();
        loop {
            let Response::Status(totals) = runtime.block_on(client.request(&Request::Status)).unwrap() else {
                panic!("the response is not a status")
            };
            let request = Request::Publish {
                content: text.as_bytes().into(),
                note: "".into(),
                expected_last: totals.last,
            };
            let connected = totals.connected == 2;
            if connected && let Response::Published(id) = runtime.block_on(client.request(&request)).unwrap()
            {
                return id;
            }
            assert!(began_at.elapsed() < TIMEOUT, "not published: {totals:?}");
            std::thread::sleep(Duration::from_millis(10));
        }
    };

    let first = publish(content(20, |_| false));
    wait_until("both run the first", || fronts.iter().all(|f| f.record.active_version() == Some(first)));
    let transferred = regions.map(|r| links.traffic("control", r).bytes);
    assert!(transferred.iter().all(|&bytes| bytes > content(20, |_| false).len()), "{transferred:?}");
    feed.publish_purge(2, 7, doorgrade_standins::unix_ms());
    wait_until("both received the purge", || {
        fronts.iter().all(|f| f.record.purges.load(Ordering::Relaxed) == 1)
    });

    links.partition(&["far"], &["control"]);
    let second = publish(content(20, |n| n == 3));
    wait_until("the near one runs the second", || fronts[0].record.active_version() == Some(second));
    assert_eq!(fronts[1].record.active_version(), Some(first), "nothing passes a partitioned link");
    links.heal();
    wait_until("the far one runs the second", || fronts[1].record.active_version() == Some(second));
    drop(fronts);
    runtime.block_on(service.stop());
}
