//! The runtime that the failure detector (the crate `foca`) calls back into: timers, outgoing datagrams, and the table
//! of known members.

use std::cmp::{Ordering, Reverse};
use std::collections::{BTreeMap, BTreeSet, BinaryHeap};
use std::net::SocketAddrV4;
use std::time::Duration;

use doorgrade::Ticks;
use fastrand::Rng;
use foca::{Foca, NoCustomBroadcast, Notification, PostcardCodec, Timer};
use rand::SeedableRng;
use rand::rngs::SmallRng;

use crate::MemberId;
use crate::discovery::Discovery;
use crate::rate_limiter::RateLimiter;
use crate::settings::{Settings, swim_config};
use crate::types::{Connectivity, Effect, Event, KnownMember, Liveness};

/// The SWIM failure detector.
pub(crate) type Swim = Foca<MemberId, PostcardCodec, SmallRng, NoCustomBroadcast>;

/// A timer of the failure detector: its deadline, a sequence number for timers of equal deadlines, and the timer.
pub(crate) struct PendingTimer(pub Ticks, u64, pub Timer<MemberId>);

impl PartialEq for PendingTimer {
    fn eq(&self, other: &PendingTimer) -> bool {
        (self.0, self.1) == (other.0, other.1)
    }
}

impl Eq for PendingTimer {}

impl PartialOrd for PendingTimer {
    fn partial_cmp(&self, other: &PendingTimer) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for PendingTimer {
    fn cmp(&self, other: &PendingTimer) -> Ordering {
        (self.0, self.1).cmp(&(other.0, other.1))
    }
}

/// All of the state but the failure detector itself, which calls back into it.
pub(crate) struct Runtime {
    pub now: Ticks,
    pub timers: BinaryHeap<Reverse<PendingTimer>>,
    pub last_timer_number: u64,
    pub rate_limiter: RateLimiter,
    pub effects: Vec<Effect>,
    /// All members that were ever reported, in their last state.
    pub known: BTreeMap<SocketAddrV4, KnownMember>,
    /// Sender of the datagram being handled, set once the datagram was found to be for the present identity.
    pub sender: Option<SocketAddrV4>,
    /// When the last datagram from any member that is up was received.
    pub last_datagram_at: Ticks,
    /// Addresses of the members that are up, suspect ones included.
    pub up: BTreeSet<SocketAddrV4>,
    pub connectivity: Connectivity,
    pub discovery: Discovery,
}

impl foca::Runtime<MemberId> for &mut Runtime {
    fn notify(&mut self, notification: Notification<'_, MemberId>) {
        let event = match notification {
            Notification::MemberUp(id) => {
                self.up.insert(id.address);
                self.discovery.member_up(self.now, id.address);
                self.record(id, Liveness::Alive);
                Event::MemberUp(id.clone())
            }
            Notification::MemberDown(id) => {
                self.up.remove(&id.address);
                self.record(id, Liveness::Down);
                // It may have restarted without being able to reach any member that is up here.
                self.discovery.request_soon(self.now);
                Event::MemberDown(id.clone())
            }
            Notification::Rename(old, new) => {
                self.record(new, Liveness::Alive);
                Event::IdentityChanged { old: old.clone(), new: new.clone() }
            }
            Notification::Rejoin(id) => Event::Rejoined(id.clone()),
            Notification::DataReceived(header) => {
                self.sender = Some(header.src.address);
                return;
            }
            // `Active` and `Idle` are not used: connectivity depends on datagrams received (`Members::receive`).
            _ => return,
        };
        self.effects.push(Effect::Notify(event));
    }

    fn send_to(&mut self, to: MemberId, payload: &[u8]) {
        if self.rate_limiter.try_acquire(self.now) {
            self.effects.push(Effect::Send { to: to.address, payload: payload.to_vec() });
        }
    }

    fn submit_after(&mut self, timer: Timer<MemberId>, after: Duration) {
        self.last_timer_number += 1;
        let deadline = self.now + (after.as_micros() / 100) as Ticks;
        self.timers.push(Reverse(PendingTimer(deadline, self.last_timer_number, timer)));
    }
}

impl Runtime {
    pub fn new(settings: &Settings, now: Ticks, discovery: Discovery) -> Runtime {
        Runtime {
            now,
            timers: BinaryHeap::new(),
            last_timer_number: 0,
            rate_limiter: RateLimiter::new(settings.max_datagrams_per_second, now),
            effects: Vec::new(),
            known: BTreeMap::new(),
            sender: None,
            last_datagram_at: now,
            up: BTreeSet::new(),
            connectivity: Connectivity::Isolated,
            discovery,
        }
    }

    /// Removes and returns the next timer whose deadline has passed.
    pub fn pop_expired_timer(&mut self) -> Option<Timer<MemberId>> {
        if self.next_timer_at() > self.now {
            return None;
        }
        self.timers.pop().map(|Reverse(PendingTimer(_, _, timer))| timer)
    }

    /// The deadline of the next timer; `Ticks::MAX` if there is none.
    pub fn next_timer_at(&self) -> Ticks {
        self.timers.peek().map_or(Ticks::MAX, |timer| timer.0.0)
    }

    fn record(&mut self, id: &MemberId, liveness: Liveness) {
        let last_datagram_at =
            self.known.get(&id.address).filter(|k| k.id == *id).and_then(|k| k.last_datagram_at);
        self.known
            .insert(id.address, KnownMember { id: id.clone(), liveness, since: self.now, last_datagram_at });
    }
}

/// A failure detector that knows no other member yet.
pub(crate) fn new_swim(own: MemberId, settings: &Settings, rng: &mut Rng) -> Swim {
    Foca::new(own, swim_config(settings), SmallRng::seed_from_u64(rng.u64(..)), PostcardCodec)
}
