//! The state of one member's picture of all.

use doorgrade::Ticks;
use fastrand::Rng;

use crate::Id;
use crate::detection::{Runtime, Swim, swim};
use crate::doubts::Doubts;
use crate::seek::Seek;
use crate::settings::{GOSSIP, Settings, doubt_time};
use crate::types::{Effect, Event, Seen, Standing, State};

/// After so many times that, nobody can be about to end a doubt.
const DOUBT_LOST: Ticks = 2;
/// It is called at the least once in a gossip's pause. Whoever was not called for two and a half probes was stopped: less
/// than the doubt of four, so that no accusation ripens meanwhile. Three quarters of a second at the least, longer than a
/// busy machine's pauses, and no more than what is still a short stop to people.
const STALL: f64 = 2.5;
const STALLS: [Ticks; 2] = [7_500, 25_000];
/// With nobody heard for so many probes, there is nobody: each of its own was unanswered, and nobody probed it.
const UNHEARD: Ticks = 5;
/// More than so many times what operators say of the fleet's size is no fleet: whoever tells of them has a key, and lies or is
/// ill. `about` may be off by a factor of three.
const MOST_TOLD: usize = 8;
const LEAST_TOLD: usize = 512;

pub struct Members {
    swim: Swim,
    runtime: Runtime,
    rng: Rng,
    settings: Settings,
    called: Ticks,
    doubts: Doubts,
    /// Datagrams heard, in a circle.
    heard: u32,
    /// Datagrams that could not be used.
    pub refused: u64,
}

impl Members {
    pub fn new(own: Id, settings: Settings, seed: u64, now: Ticks) -> Members {
        let mut rng = Rng::with_seed(seed);
        let seek = Seek::new(own.at, &settings.seeds, now, &mut rng);
        let runtime = Runtime::new(&settings, now, seek);
        let swim = swim(own, &settings, &mut rng);
        let doubts = Doubts::default();
        Members { swim, runtime, rng, settings, called: now, doubts, heard: 0, refused: 0 }
    }

    pub fn own(&self) -> &Id {
        self.swim.identity()
    }

    pub fn standing(&self) -> Standing {
        self.runtime.standing
    }

    /// Datagrams said in all, and those not said since there were too many.
    pub fn words(&self) -> (u64, u64) {
        (self.runtime.words.said, self.runtime.words.kept)
    }

    /// What is to be done, in order.
    pub fn take(&mut self) -> Vec<Effect> {
        std::mem::take(&mut self.runtime.out)
    }

    /// When `tick` is due. Two and a half probes without any call, and it counts as having slept.
    pub fn next(&self) -> Ticks {
        // Often enough that a stall is told from a long pause of its own.
        self.runtime.next_timer().min(self.runtime.seek.due).min(self.called + GOSSIP)
    }

    /// Those heard of, this one not among them. After a stall, or when nobody answers, they are all doubted until they
    /// are heard of again.
    pub fn seen(&self) -> Vec<Seen> {
        let mut known = self.runtime.known.clone();
        for m in self.swim.iter_membership_state() {
            let state = match m.state() {
                foca::State::Alive => State::Up,
                foca::State::Suspect => State::Doubted,
                foca::State::Down => State::Down,
            };
            if let Some(seen) = known.get_mut(&m.id().at).filter(|k| k.id == *m.id()) {
                seen.state = state;
            }
        }
        known.into_values().collect()
    }

    /// Those that are there, as far as it is known; one that is doubted is not counted on.
    pub fn up(&self) -> impl Iterator<Item = &Id> {
        self.swim.iter_members().filter(|m| m.state() == foca::State::Alive).map(foca::Member::id)
    }

    /// Of a name, the latest life that was heard of, wherever it was.
    pub fn named(&self, name: &str) -> Option<Seen> {
        let all = self.seen().into_iter().filter(|s| &*s.id.name == name);
        all.max_by_key(|s| (s.id.incarnation(), s.state != State::Down))
    }

    /// A datagram has come, its seal found good.
    pub fn hear(&mut self, now: Ticks, said: &[u8]) {
        self.wake(now);
        self.runtime.spoke = None;
        let heard = self.swim.handle_data(said, &mut self.runtime);
        self.refused += u64::from(heard.is_err());
        let spoke = self.runtime.spoke.take().filter(|at| self.runtime.here.contains(at));
        if let Some(seen) = spoke.and_then(|at| self.runtime.known.get_mut(&at)) {
            (seen.heard, self.runtime.heard) = (Some(self.runtime.now), self.runtime.now);
            // Somebody that is there has spoken to it in its present life.
            if std::mem::replace(&mut self.runtime.standing, Standing::Among) != Standing::Among {
                self.runtime.out.push(Effect::Tell(Event::Among));
            }
        }
        self.bound();
        self.settle();
    }

    /// Time has passed.
    pub fn tick(&mut self, now: Ticks) {
        self.wake(now);
        while let Some(timer) = self.runtime.due() {
            // An error is a probe whose timers came out of order: it is begun anew by itself.
            let _ = self.swim.handle_timer(timer, &mut self.runtime);
        }
        self.end_doubts();
        if let Some(at) = self.runtime.seek.whom(self.runtime.now, &self.runtime.here, &mut self.rng) {
            let _ = self.swim.announce(Id::unknown(at), &mut self.runtime);
        }
        self.settle();
    }

    /// The detection ends a doubt by a timer of whoever doubted first, and loses it when that one begins a later life. A
    /// doubt that has lasted for twice that time is nobody's: the doubted one is held for down, hears of it, and comes
    /// back if it lives.
    fn end_doubts(&mut self) {
        let most = DOUBT_LOST * doubt_time(&self.settings);
        let overdue = self.doubts.overdue(self.runtime.now, most, self.swim.iter_membership_state());
        if !overdue.is_empty() {
            let _ = self.swim.apply_many(overdue.into_iter(), true, &mut self.runtime);
        }
    }

    /// Before anything else is done at a call: has it slept?
    fn wake(&mut self, now: Ticks) {
        let now = now.max(self.runtime.now);
        let slept = now - self.called;
        (self.runtime.now, self.called) = (now, now);
        let stall = (STALL * self.settings.probe as f64) as Ticks;
        if slept <= stall.clamp(STALLS[0], STALLS[1]) {
            return;
        }
        self.runtime.out.push(Effect::Tell(Event::Slept(slept)));
        if self.runtime.standing != Standing::Alone {
            self.runtime.standing = Standing::Doubts;
        }
        self.runtime.heard = now;
        self.begin_anew();
    }

    /// Nothing of what it believes is acted upon any more: a later life, and those it knew are asked anew.
    fn begin_anew(&mut self) {
        let own = self.swim.identity().next();
        self.swim = swim(own, &self.settings, &mut self.rng);
        let runtime = &mut self.runtime;
        runtime.timers.clear();
        runtime.here.clear();
        runtime.known.values_mut().filter(|k| k.state == State::Up).for_each(|k| k.state = State::Doubted);
        runtime.seek.anew(runtime.now, &mut self.rng);
    }

    /// What is known of others is bounded, whatever holders of keys tell.
    fn bound(&mut self) {
        let most = (MOST_TOLD * self.settings.about as usize).max(LEAST_TOLD);
        if self.runtime.known.len() > most {
            // Those that are down are the first to go; they are not asked any more either.
            self.runtime.known.retain(|_, k| k.state != State::Down);
        }
        // Ones that were told of as down without ever having been up stand in the detection alone: one datagram names some
        // thirty, so they are counted now and then.
        self.heard = self.heard.wrapping_add(1);
        let told = match self.heard % 16 {
            0 => self.swim.iter_membership_state().count(),
            _ => 0,
        };
        if told > 2 * most || self.runtime.known.len() > most {
            let told = told.max(self.runtime.known.len());
            self.runtime.out.push(Effect::Tell(Event::TooMany(told)));
            self.runtime.known.clear();
            if self.runtime.standing != Standing::Alone {
                self.runtime.standing = Standing::Doubts;
            }
            self.begin_anew();
        }
    }

    /// Who hears nobody has nobody: others may all have begun anew, and know nothing of it; or it is cut off.
    fn settle(&mut self) {
        let unheard = self.runtime.heard + UNHEARD * self.settings.probe <= self.runtime.now;
        if unheard && self.runtime.standing != Standing::Alone {
            self.runtime.standing = Standing::Alone;
            self.runtime.out.push(Effect::Tell(Event::Alone));
            self.begin_anew();
        }
    }
}
