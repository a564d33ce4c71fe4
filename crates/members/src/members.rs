//! One member's view of the fleet.

use doorgrade::Ticks;
use fastrand::Rng;

use crate::MemberId;
use crate::detection::{Runtime, Swim, new_swim};
use crate::discovery::Discovery;
use crate::settings::{GOSSIP_INTERVAL, Settings, suspicion_timeout};
use crate::suspicions::Suspicions;
use crate::types::{Connectivity, Effect, Event, KnownMember, Liveness};

/// A suspicion that lasts for this many suspicion timeouts will not be ended by the member that had it first.
const MAX_SUSPICION_TIMEOUTS: Ticks = 2;
/// A gap between calls of more than this many probe intervals is a stall: calls are never further apart than a gossip
/// interval. It is less than the suspicion timeout of four intervals, so that no suspicion leads to an accusation
/// before the stall is noticed.
const STALL_PROBE_INTERVALS: f64 = 2.5;
/// Bounds of that gap, 0.75 s to 2.5 s: longer than the pauses of a busy machine, and no longer than what an operator
/// would still consider a short pause.
const STALL_BOUNDS: [Ticks; 2] = [7_500, 25_000];
/// Without a datagram for this many probe intervals a member is isolated: no probe of its own was answered, and no
/// member has probed it.
const ISOLATED_PROBE_INTERVALS: Ticks = 5;
/// More known members than this many times the configured fleet size can't be genuine: their reporter has a valid key,
/// and is malicious or faulty. `expected_members` may be off by a factor of three.
const MAX_KNOWN_PER_EXPECTED: usize = 8;
/// Lower bound of that limit, for small fleets.
const MIN_KNOWN_LIMIT: usize = 512;

/// The membership state machine of one member.
pub struct Members {
    swim: Swim,
    runtime: Runtime,
    rng: Rng,
    settings: Settings,
    last_call_at: Ticks,
    suspicions: Suspicions,
    /// Datagrams received; wraps around.
    datagram_count: u32,
    /// Datagrams that were not accepted. The caller adds those that it rejects itself.
    pub rejected: u64,
}

impl Members {
    pub fn new(own: MemberId, settings: Settings, seed: u64, now: Ticks) -> Members {
        let mut rng = Rng::with_seed(seed);
        let discovery = Discovery::new(own.address, &settings.seeds, now, &mut rng);
        let runtime = Runtime::new(&settings, now, discovery);
        let swim = new_swim(own, &settings, &mut rng);
        let suspicions = Suspicions::default();
        Members {
            swim,
            runtime,
            rng,
            settings,
            last_call_at: now,
            suspicions,
            datagram_count: 0,
            rejected: 0,
        }
    }

    /// This member's present identity.
    pub fn identity(&self) -> &MemberId {
        self.swim.identity()
    }

    pub fn connectivity(&self) -> Connectivity {
        self.runtime.connectivity
    }

    /// Datagrams sent in all, and those not sent since the rate limit was reached.
    pub fn datagram_counts(&self) -> (u64, u64) {
        (self.runtime.rate_limiter.allowed, self.runtime.rate_limiter.dropped)
    }

    /// Takes the pending effects, to be performed in order.
    pub fn take_effects(&mut self) -> Vec<Effect> {
        std::mem::take(&mut self.runtime.effects)
    }

    /// When to call `tick`, at the latest. Two and a half probe intervals without any call count as a stall.
    pub fn next_tick_at(&self) -> Ticks {
        // At least once per gossip interval, so that a stall can be distinguished from a long wait for a timer.
        self.runtime
            .next_timer_at()
            .min(self.runtime.discovery.next_request_at)
            .min(self.last_call_at + GOSSIP_INTERVAL)
    }

    /// All other members that were reported. After a stall, or when no member answers, those that were up are suspect
    /// until there is news of them.
    pub fn known_members(&self) -> Vec<KnownMember> {
        let mut known = self.runtime.known.clone();
        for m in self.swim.iter_membership_state() {
            let liveness = match m.state() {
                foca::State::Alive => Liveness::Alive,
                foca::State::Suspect => Liveness::Suspect,
                foca::State::Down => Liveness::Down,
            };
            if let Some(member) = known.get_mut(&m.id().address).filter(|k| k.id == *m.id()) {
                member.liveness = liveness;
            }
        }
        known.into_values().collect()
    }

    /// The members that are assumed to run; suspect ones are not among them.
    pub fn alive(&self) -> impl Iterator<Item = &MemberId> {
        self.swim.iter_members().filter(|m| m.state() == foca::State::Alive).map(foca::Member::id)
    }

    /// The latest known incarnation of a name, at whatever address.
    pub fn find_by_name(&self, name: &str) -> Option<KnownMember> {
        let all = self.known_members().into_iter().filter(|m| &*m.id.name == name);
        all.max_by_key(|m| (m.id.effective_incarnation(), m.liveness != Liveness::Down))
    }

    /// Handles a datagram whose seal was valid.
    pub fn receive(&mut self, now: Ticks, payload: &[u8]) {
        self.advance_clock(now);
        self.runtime.sender = None;
        let handled = self.swim.handle_data(payload, &mut self.runtime);
        self.rejected += u64::from(handled.is_err());
        let sender = self.runtime.sender.take().filter(|address| self.runtime.up.contains(address));
        if let Some(member) = sender.and_then(|address| self.runtime.known.get_mut(&address)) {
            (member.last_datagram_at, self.runtime.last_datagram_at) =
                (Some(self.runtime.now), self.runtime.now);
            // A member that is up has addressed the present identity of this one.
            if std::mem::replace(&mut self.runtime.connectivity, Connectivity::Connected)
                != Connectivity::Connected
            {
                self.runtime.effects.push(Effect::Notify(Event::Connected));
            }
        }
        self.enforce_member_limit();
        self.check_isolation();
    }

    /// Runs the timers that have expired and sends the requests that are due.
    pub fn tick(&mut self, now: Ticks) {
        self.advance_clock(now);
        while let Some(timer) = self.runtime.pop_expired_timer() {
            // Fails if the timers of a probe came out of order; the next probe starts regardless.
            let _ = self.swim.handle_timer(timer, &mut self.runtime);
        }
        self.expire_suspicions();
        if let Some(target) =
            self.runtime.discovery.next_target(self.runtime.now, &self.runtime.up, &mut self.rng)
        {
            let _ = self.swim.announce(MemberId::unknown(target), &mut self.runtime);
        }
        self.check_isolation();
    }

    /// SWIM ends a suspicion by a timer of the member that first had it, and loses the timer when that member takes a
    /// new identity. A suspicion that has lasted for twice the timeout has no such member any more. The suspect is then
    /// declared down, learns of it, and rejoins if it is alive.
    fn expire_suspicions(&mut self) {
        let max_age = MAX_SUSPICION_TIMEOUTS * suspicion_timeout(&self.settings);
        let expired = self.suspicions.expired(self.runtime.now, max_age, self.swim.iter_membership_state());
        if !expired.is_empty() {
            let _ = self.swim.apply_many(expired.into_iter(), true, &mut self.runtime);
        }
    }

    /// Comes first in every call: sets the time, and discards the membership state if the process has stalled.
    fn advance_clock(&mut self, now: Ticks) {
        let now = now.max(self.runtime.now);
        let gap = now - self.last_call_at;
        (self.runtime.now, self.last_call_at) = (now, now);
        let threshold = (STALL_PROBE_INTERVALS * self.settings.probe_interval as f64) as Ticks;
        if gap <= threshold.clamp(STALL_BOUNDS[0], STALL_BOUNDS[1]) {
            return;
        }
        self.runtime.effects.push(Effect::Notify(Event::Stalled(gap)));
        if self.runtime.connectivity != Connectivity::Isolated {
            self.runtime.connectivity = Connectivity::Unconfirmed;
        }
        self.runtime.last_datagram_at = now;
        self.reset();
    }

    /// Discards the failure detector's state and takes a new identity. Known members stay on record, those that were
    /// alive as suspects, and are contacted anew.
    fn reset(&mut self) {
        let own = self.swim.identity().renewed();
        self.swim = new_swim(own, &self.settings, &mut self.rng);
        let runtime = &mut self.runtime;
        runtime.timers.clear();
        runtime.up.clear();
        runtime
            .known
            .values_mut()
            .filter(|k| k.liveness == Liveness::Alive)
            .for_each(|k| k.liveness = Liveness::Suspect);
        runtime.discovery.restart(runtime.now, &mut self.rng);
    }

    /// Bounds the number of known members, whatever holders of a key report.
    fn enforce_member_limit(&mut self) {
        let limit = (MAX_KNOWN_PER_EXPECTED * self.settings.expected_members as usize).max(MIN_KNOWN_LIMIT);
        if self.runtime.known.len() > limit {
            // Members that are down are removed first; discovery does not contact them any more either.
            self.runtime.known.retain(|_, k| k.liveness != Liveness::Down);
        }
        // Members that were reported as down without ever having been up are in the failure detector only. One datagram
        // names some thirty, so that counting them now and then is enough.
        self.datagram_count = self.datagram_count.wrapping_add(1);
        let reported = match self.datagram_count % 16 {
            0 => self.swim.iter_membership_state().count(),
            _ => 0,
        };
        if reported > 2 * limit || self.runtime.known.len() > limit {
            let reported = reported.max(self.runtime.known.len());
            self.runtime.effects.push(Effect::Notify(Event::TooManyMembers(reported)));
            self.runtime.known.clear();
            if self.runtime.connectivity != Connectivity::Isolated {
                self.runtime.connectivity = Connectivity::Unconfirmed;
            }
            self.reset();
        }
    }

    /// A member that receives nothing is isolated: the others may all have restarted and not know of it, or it is cut
    /// off from them.
    fn check_isolation(&mut self) {
        let silent = self.runtime.last_datagram_at + ISOLATED_PROBE_INTERVALS * self.settings.probe_interval
            <= self.runtime.now;
        if silent && self.runtime.connectivity != Connectivity::Isolated {
            self.runtime.connectivity = Connectivity::Isolated;
            self.runtime.effects.push(Effect::Notify(Event::Isolated));
            self.reset();
        }
    }
}
