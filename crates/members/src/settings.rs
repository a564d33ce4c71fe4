//! What a member is told of the fleet, and the detection's settings that follow from it.

use std::net::SocketAddrV4;
use std::num::{NonZeroU8, NonZeroUsize};
use std::time::Duration;

use doorgrade::Ticks;
use foca::{Config, PeriodicParams};

/// Of a probe's time, how long a direct answer may take; then others are asked to ask. The rest leaves more than as long
/// again for the way round.
const ROUND_TRIP: f64 = 0.4;
/// One that did not answer is doubted for so many probes before it is held for down, more in a large fleet: it, and
/// word of it, must have time to come (SWIM's own reckoning, with the factor 4 that is usual on one site).
const DOUBT: f64 = 4.0;
/// Word of a change is passed on this often.
pub(crate) const GOSSIP: Ticks = 2_500;
/// Down ones are remembered for so long: then their address may serve anybody.
const REMEMBERED: Duration = Duration::from_secs(3_600);
/// What fits in one datagram on any path, less the seal.
const MOST_SAID: usize = 1_400 - crate::seal::LENGTH;

/// What a member is told of the fleet.
#[derive(Clone, Debug)]
pub struct Settings {
    pub seeds: Vec<SocketAddrV4>,
    /// About how many there are, for how long one is doubted and how often word is passed on.
    pub about: u32,
    /// How often one other is asked whether it is there. More than twice what the slowest link takes there and back.
    pub probe: Ticks,
    /// Datagrams a second at the most.
    pub words: u32,
}

impl Settings {
    /// A second suits links of some tens of milliseconds.
    pub const PROBE: Ticks = 10_000;
    /// A few times what a calm member says, with all that it answers.
    pub const WORDS: u32 = 40;
}

/// How long one that did not answer is doubted before it is held for down.
pub(crate) fn doubt_time(settings: &Settings) -> Ticks {
    let size = f64::from(settings.about.max(2));
    (DOUBT * size.log10().max(1.0) * settings.probe.max(1_000) as f64) as Ticks
}

/// The detection's settings.
pub(crate) fn config(settings: &Settings) -> Config {
    let tenths = |t: Ticks| Duration::from_micros(t * 100);
    let size = f64::from(settings.about.max(2));
    let probe = settings.probe.max(1_000);
    // Four times the decimal logarithm, as is usual: word then reaches all but one in some thousand.
    let passed_on = (4.0 * (size + 1.0).log10()).ceil().clamp(1.0, 100.0) as u8;
    Config {
        probe_period: tenths(probe),
        probe_rtt: tenths((ROUND_TRIP * probe as f64) as Ticks),
        suspect_to_down_after: tenths(doubt_time(settings)),
        max_transmissions: NonZeroU8::new(passed_on).unwrap_or(NonZeroU8::MIN),
        max_packet_size: NonZeroUsize::new(MOST_SAID).unwrap_or(NonZeroUsize::MIN),
        remove_down_after: Some(REMEMBERED),
        notify_down_members: true,
        // Who is missing is asked by `Seek`, whether or not anybody is here.
        periodic_announce_to_down_members: None,
        periodic_announce: Some(PeriodicParams {
            frequency: Duration::from_secs(20),
            num_members: NonZeroUsize::MIN,
        }),
        periodic_gossip: Some(PeriodicParams {
            frequency: tenths(GOSSIP),
            num_members: NonZeroUsize::new(2).unwrap_or(NonZeroUsize::MIN),
        }),
        ..Config::simple()
    }
}
