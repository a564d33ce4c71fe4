//! For bad orders forced with real connections.

use std::time::{Duration, Instant};

use doorgrade_standins::{Directory, Feed, Member, MemberConfig, Role};

use super::Front;

pub const SOON: Duration = Duration::from_secs(20);

pub const KEY: &str = "7f3a9c21e0b4d655";

/// The example's configuration with these in the places of its two caches, its archive and its feed.
pub fn config(at: [&dyn std::fmt::Display; 4], changes: &[(&str, &str)]) -> String {
    let mut config =
        include_str!("../../../../examples/config.json").replace("127.0.0.1:8080", "127.0.0.1:0");
    for (from, to) in ["9101", "9102", "9120", "9092"].into_iter().zip(at) {
        config = config.replace(&format!("127.0.0.1:{from}"), &to.to_string());
    }
    for (from, to) in changes {
        assert!(config.contains(from), "{from}");
        config = config.replace(from, to);
    }
    config
}

/// The front has ended by itself; how.
pub fn ended(front: &mut Front, within: Duration) -> std::process::ExitStatus {
    let begun = Instant::now();
    loop {
        if let Some(status) = front.process.try_wait().unwrap() {
            return status;
        }
        assert!(begun.elapsed() < within, "it has not ended in {within:?}: {:#?}", front.log());
        std::thread::sleep(Duration::from_millis(5));
    }
}

pub fn caches() -> (Directory, [Member; 3], Feed) {
    let directory = Directory::default();
    let member = |id, role| Member::start(MemberConfig::new(id, "127.0.0.1:0", role), &directory).unwrap();
    let members = [
        member("s-00000001", Role::Cache),
        member("s-00000002", Role::Cache),
        member("s-00000020", Role::Archive),
    ];
    (directory, members, Feed::start("127.0.0.1:0").unwrap())
}
