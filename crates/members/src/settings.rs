//! Settings of a member, and the failure detector's settings that follow from them.

use std::net::SocketAddrV4;
use std::num::{NonZeroU8, NonZeroUsize};
use std::time::Duration;

use doorgrade::Ticks;
use foca::{Config, PeriodicParams};

/// Share of the probe interval in which a direct response is awaited before other members are requested to probe. The
/// rest, which is longer, is for the indirect probe.
const DIRECT_PROBE_SHARE: f64 = 0.4;
/// How many probe intervals a member that did not answer stays suspect before it is declared down, more in a large
/// fleet: its refutation must have time to arrive, and the news of the suspicion to reach it (SWIM's suspicion timeout
/// with the factor 4 that is usual on one site).
const SUSPICION_FACTOR: f64 = 4.0;
/// Changes are passed on at this interval.
pub(crate) const GOSSIP_INTERVAL: Ticks = 2_500;
/// How long a member that is down is remembered; then its address may be used by another one.
const REMEMBER_DOWN: Duration = Duration::from_secs(3_600);
/// The payload that fits in one datagram on any network path, without the seal.
const MAX_PAYLOAD_BYTES: usize = 1_400 - crate::seal::SEAL_BYTES;

#[derive(Clone, Debug)]
pub struct Settings {
    pub seeds: Vec<SocketAddrV4>,
    /// Approximate size of the fleet. The suspicion timeout and the number of times that a change is passed on depend on
    /// it.
    pub expected_members: u32,
    /// How often one other member is probed. More than twice the round trip time of the slowest link.
    pub probe_interval: Ticks,
    pub max_datagrams_per_second: u32,
}

impl Settings {
    /// A second suits links with round trip times of some tens of milliseconds.
    pub const DEFAULT_PROBE_INTERVAL: Ticks = 10_000;
    /// A few times what a member sends at rest, with all of its responses.
    pub const DEFAULT_MAX_DATAGRAMS_PER_SECOND: u32 = 40;
}

/// How long a member that did not answer stays suspect before it is declared down.
pub(crate) fn suspicion_timeout(settings: &Settings) -> Ticks {
    let size = f64::from(settings.expected_members.max(2));
    (SUSPICION_FACTOR * size.log10().max(1.0) * settings.probe_interval.max(1_000) as f64) as Ticks
}

/// The failure detector's settings.
pub(crate) fn swim_config(settings: &Settings) -> Config {
    let duration = |t: Ticks| Duration::from_micros(t * 100);
    let size = f64::from(settings.expected_members.max(2));
    let probe_interval = settings.probe_interval.max(1_000);
    // Four times the decimal logarithm, as is usual: a change then reaches all but one member in some thousand.
    let max_transmissions = (4.0 * (size + 1.0).log10()).ceil().clamp(1.0, 100.0) as u8;
    Config {
        probe_period: duration(probe_interval),
        probe_rtt: duration((DIRECT_PROBE_SHARE * probe_interval as f64) as Ticks),
        suspect_to_down_after: duration(suspicion_timeout(settings)),
        max_transmissions: NonZeroU8::new(max_transmissions).unwrap_or(NonZeroU8::MIN),
        max_packet_size: NonZeroUsize::new(MAX_PAYLOAD_BYTES).unwrap_or(NonZeroUsize::MIN),
        remove_down_after: Some(REMEMBER_DOWN),
        notify_down_members: true,
        // `Discovery` contacts members that are missing, whether or not others are up.
        periodic_announce_to_down_members: None,
        periodic_announce: Some(PeriodicParams {
            frequency: Duration::from_secs(20),
            num_members: NonZeroUsize::MIN,
        }),
        periodic_gossip: Some(PeriodicParams {
            frequency: duration(GOSSIP_INTERVAL),
            num_members: NonZeroUsize::new(2).unwrap_or(NonZeroUsize::MIN),
        }),
        ..Config::simple()
    }
}
