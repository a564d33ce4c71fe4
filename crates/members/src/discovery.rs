//! Which address to send a request for other members to, and when: seeds, and formerly known members that are missing.

use std::collections::BTreeSet;
use std::net::SocketAddrV4;

use doorgrade::Ticks;
use fastrand::Rng;

/// The first interval between requests: some round trips.
const MIN_INTERVAL: Ticks = 5_000;
/// The longest interval: the end of a network partition is noticed within some of them. A fleet of 1,000 members that
/// all send requests at this interval sends 100 per second in total.
const MAX_INTERVAL: Ticks = 100_000;
/// One response names some thirty other members. A newcomer that learns of another member sends requests at this
/// interval, also to members that are up, until it has learned of no other one for `NEWS_WINDOW`.
const NEWCOMER_INTERVAL: Ticks = 2_500;
const NEWS_WINDOW: Ticks = 10_000;
/// How long a member counts as a newcomer. Later on changes arrive by gossip, and a request on each of them would make
/// the whole fleet send requests because of one change.
const NEWCOMER_PERIOD: Ticks = 300_000;
/// Limit for the addresses remembered besides the seeds: room for a whole former fleet and more.
const MAX_ADDRESSES: usize = 4_096;

pub(crate) struct Discovery {
    own: SocketAddrV4,
    seeds: Vec<SocketAddrV4>,
    known: BTreeSet<SocketAddrV4>,
    interval: Ticks,
    started_at: Ticks,
    /// Until when a newcomer sends requests at `NEWCOMER_INTERVAL`.
    fast_until: Ticks,
    pub(crate) next_request_at: Ticks,
}

impl Discovery {
    pub(crate) fn new(own: SocketAddrV4, seeds: &[SocketAddrV4], now: Ticks, rng: &mut Rng) -> Discovery {
        let seeds = seeds.iter().copied().filter(|s| *s != own).collect();
        // Spreads the requests of members that start at the same time.
        let next_request_at = now + rng.u64(0..MIN_INTERVAL);
        Discovery {
            own,
            seeds,
            known: BTreeSet::new(),
            interval: MIN_INTERVAL,
            started_at: now,
            fast_until: now,
            next_request_at,
        }
    }

    /// Another member has come up.
    pub(crate) fn member_up(&mut self, now: Ticks, address: SocketAddrV4) {
        if address != self.own && self.known.len() < MAX_ADDRESSES {
            self.known.insert(address);
        }
        if now < self.started_at + NEWCOMER_PERIOD {
            (self.fast_until, self.next_request_at) =
                (now + NEWS_WINDOW, self.next_request_at.min(now + NEWCOMER_INTERVAL));
        } else {
            // Other missing members may be back as well. If none is missing, nothing is sent.
            self.request_soon(now);
        }
    }

    /// Starts over as a newcomer.
    pub(crate) fn restart(&mut self, now: Ticks, rng: &mut Rng) {
        (self.interval, self.started_at, self.next_request_at) =
            (MIN_INTERVAL, now, now + rng.u64(0..MIN_INTERVAL));
    }

    /// Resets the interval, as after a member went down.
    pub(crate) fn request_soon(&mut self, now: Ticks) {
        self.interval = MIN_INTERVAL;
        self.next_request_at = self.next_request_at.min(now + MIN_INTERVAL);
    }

    /// The address to send a request to now, if one is due: a random one of those that are not up. Seeds are chosen as
    /// often as all the other addresses together.
    pub(crate) fn next_target(
        &mut self,
        now: Ticks,
        up: &BTreeSet<SocketAddrV4>,
        rng: &mut Rng,
    ) -> Option<SocketAddrV4> {
        if now < self.next_request_at {
            return None;
        }
        // Jitter between half and one and a half of the interval spreads the requests of members that began in step.
        let interval = if now < self.fast_until { NEWCOMER_INTERVAL } else { self.interval };
        self.next_request_at = now + interval / 2 + rng.u64(0..=interval);
        self.interval = (self.interval * 2).min(MAX_INTERVAL);
        if now < self.fast_until && rng.bool() {
            return rng.choice(up).copied();
        }
        let is_missing = |address: &&SocketAddrV4| !up.contains(address);
        let seeds: Vec<_> = self.seeds.iter().filter(is_missing).collect();
        let others: Vec<_> = self.known.iter().filter(is_missing).collect();
        let candidates = if others.is_empty() || !seeds.is_empty() && rng.bool() { seeds } else { others };
        rng.choice(candidates).copied()
    }
}
