//! A front whose machine's wall clock can be stepped.

use std::time::Duration;

use doorgrade_standins::shim::{Fault, Shim};
use doorgrade_standins::{Client, Directory, Feed, Member, MemberConfig, Role};

use super::forced::config;
use super::{Front, Launch, until};

const HOUR: i64 = 3_600_000;
/// Milliseconds by which the clock is stepped.
pub const STEPS: [i64; 6] = [HOUR, -HOUR, 5_000, -5_000, 900, -900];
/// How long a cache is cold after its start.
pub const COLD: Duration = Duration::from_secs(3);

pub struct Rig {
    pub front: Front,
    pub shim: Shim,
    pub one: Member,
    pub two: Member,
    pub origin: Member,
    pub feed: Feed,
    _directory: Directory,
}

impl Rig {
    /// Its clock is off by so many milliseconds from the start.
    pub fn start(off_ms: i64) -> Rig {
        Rig::with_lag(off_ms, Duration::ZERO)
    }

    /// The archive takes so long for an answer.
    pub fn with_lag(off_ms: i64, lag: Duration) -> Rig {
        let directory = Directory::default();
        let member = |id, role, lag| {
            Member::start(
                MemberConfig { latency: lag, ..MemberConfig::new(id, "127.0.0.1:0", role) },
                &directory,
            )
            .unwrap()
        };
        let one = member("s-00000001", Role::Cache, Duration::ZERO);
        let two = member("s-00000002", Role::Cache, Duration::ZERO);
        let origin = member("s-00000020", Role::Archive, lag);
        let feed = Feed::start("127.0.0.1:0").unwrap();
        let shim = Shim::new(1).unwrap();
        step(&shim, off_ms);
        let environment = shim.environment().unwrap();
        let cold = format!("\"cold\": {}.0", COLD.as_millis());
        // As the stand-in's records have them.
        let size = ("\"size\": 4", "\"size\": 1");
        let falls = ("\"fallMultiple\": 4.0", "\"fallMultiple\": 1.0");
        let changes = [("\"cold\": 17000.0", &*cold), size, falls];
        let config = config([&one.address, &two.address, &origin.address, &feed.address], &changes);
        let front = Launch { environment, ..Launch::default() }.start(&config);
        until("the feed is followed", || !feed.resume_numbers().is_empty());
        Rig { front, shim, one, two, origin, feed, _directory: directory }
    }

    pub fn read(&self, key: &str) -> String {
        let mut client = Client::connect(self.front.at).unwrap();
        client.request("images", key, 2_000).unwrap().0
    }
}

pub fn step(shim: &Shim, ms: i64) {
    shim.set(Fault::ClockOffsetNs, ms * 1_000_000).unwrap();
}
