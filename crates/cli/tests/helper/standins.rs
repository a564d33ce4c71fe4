//! A front of the example configuration, with stand-ins for its members and its feed.

use std::time::{Duration, Instant};

use doorgrade_standins::{Directory, Feed, Member, MemberConfig, Role};

use super::Front;

/// Timeout for expected states.
pub const TIMEOUT: Duration = Duration::from_secs(20);

pub const KEY: &str = "7f3a9c21e0b4d655";

/// The example configuration with the given addresses of its two caches, its archive and its feed, and with texts
/// replaced by `changes`.
pub fn example_config(addresses: [&dyn std::fmt::Display; 4], changes: &[(&str, &str)]) -> String {
    let mut config =
        include_str!("../../../../examples/config.json").replace("127.0.0.1:8080", "127.0.0.1:0");
    for (from, to) in ["9101", "9102", "9120", "9092"].into_iter().zip(addresses) {
        config = config.replace(&format!("127.0.0.1:{from}"), &to.to_string());
    }
    for (from, to) in changes {
        assert!(config.contains(from), "{from}");
        config = config.replace(from, to);
    }
    config
}

/// Waits until the front exits by itself.
pub fn wait_for_exit(front: &mut Front, timeout: Duration) -> std::process::ExitStatus {
    let started_at = Instant::now();
    loop {
        if let Some(status) = front.process.try_wait().unwrap() {
            return status;
        }
        assert!(started_at.elapsed() < timeout, "it has not exited in {timeout:?}: {:#?}", front.log());
        std::thread::sleep(Duration::from_millis(5));
    }
}

/// Two caches, an archive and a feed.
pub fn start_members() -> (Directory, [Member; 3], Feed) {
    let directory = Directory::default();
    let member = |id, role| Member::start(MemberConfig::new(id, "127.0.0.1:0", role), &directory).unwrap();
    let members = [
        member("s-00000001", Role::Cache),
        member("s-00000002", Role::Cache),
        member("s-00000020", Role::Archive),
    ];
    (directory, members, Feed::start("127.0.0.1:0").unwrap())
}
