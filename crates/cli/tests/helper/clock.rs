//! A front whose wall clock can be stepped.

use std::time::Duration;

use doorgrade_standins::shim::{Fault, Shim};
use doorgrade_standins::{Client, Directory, Feed, Member, MemberConfig, Role};

use super::standins::example_config;
use super::{Front, Launch, wait_until};

const HOUR_MS: i64 = 3_600_000;
/// Steps of the wall clock, in milliseconds.
pub const CLOCK_STEPS_MS: [i64; 6] = [HOUR_MS, -HOUR_MS, 5_000, -5_000, 900, -900];
/// How long a cache is cold after it starts.
pub const COLD: Duration = Duration::from_secs(3);

pub struct Rig {
    pub front: Front,
    pub shim: Shim,
    pub first_cache: Member,
    pub second_cache: Member,
    pub origin: Member,
    pub feed: Feed,
    _directory: Directory,
}

impl Rig {
    /// With a clock that is off by `offset_ms` from the start.
    pub fn start(offset_ms: i64) -> Rig {
        Rig::with_origin_latency(offset_ms, Duration::ZERO)
    }

    /// With an archive that takes `origin_latency` for each response.
    pub fn with_origin_latency(offset_ms: i64, origin_latency: Duration) -> Rig {
        let directory = Directory::default();
        let member = |id, role, latency| {
            Member::start(MemberConfig { latency, ..MemberConfig::new(id, "127.0.0.1:0", role) }, &directory)
                .unwrap()
        };
        let first_cache = member("s-00000001", Role::Cache, Duration::ZERO);
        let second_cache = member("s-00000002", Role::Cache, Duration::ZERO);
        let origin = member("s-00000020", Role::Archive, origin_latency);
        let feed = Feed::start("127.0.0.1:0").unwrap();
        let shim = Shim::new(1).unwrap();
        set_clock_offset(&shim, offset_ms);
        let environment = shim.environment().unwrap();
        let cold = format!("\"cold\": {}.0", COLD.as_millis());
        // The values that the stand-in feed's member records carry.
        let size = ("\"size\": 4", "\"size\": 1");
        let fall_multiple = ("\"fallMultiple\": 4.0", "\"fallMultiple\": 1.0");
        let changes = [("\"cold\": 17000.0", &*cold), size, fall_multiple];
        let config = example_config(
            [&first_cache.address, &second_cache.address, &origin.address, &feed.address],
            &changes,
        );
        let front = Launch { environment, ..Launch::default() }.start(&config);
        wait_until("the front subscribes to the feed", || !feed.resume_numbers().is_empty());
        Rig { front, shim, first_cache, second_cache, origin, feed, _directory: directory }
    }

    /// Reads an object; the header of the response.
    pub fn read(&self, key: &str) -> String {
        let mut client = Client::connect(self.front.address).unwrap();
        client.request("images", key, 2_000).unwrap().0
    }
}

/// Sets the wall clock off by `ms` milliseconds.
pub fn set_clock_offset(shim: &Shim, ms: i64) {
    shim.set(Fault::ClockOffsetNs, ms * 1_000_000).unwrap();
}
