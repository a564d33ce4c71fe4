//! One front's decisions in virtual time: the very module, with caches that answer when their answer is due.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::fmt::Arguments;

use doorgrade::*;

use super::popularity;

/// A front of the target's: 23 of a site, which share its caches; objects of 228 KB (1.7 Tbit a second over 930,000
/// accesses), fresh for an hour.
pub const CREW: u32 = 23;
const OBJECT_KB: f64 = 228.0;
pub const HOUR: Ticks = 36_000_000;
const SOFT: Ticks = 4_000;
const HARD: Ticks = 15_000;
/// The target's bound on a purge.
pub const PURGE_DONE: Ticks = 46_000;
/// Ranks fit the lower bits of an access's id.
const RANK_BITS: u32 = 27;

/// One push, as the caches see it.
#[derive(Clone, Copy, Debug)]
pub struct Pushed {
    pub access: AccessId,
    pub number: usize,
    /// The rank in the line: 1 is of a part that the front does not know.
    pub rank: u8,
    pub renew: bool,
    /// Only what the cache holds is asked for.
    pub look: bool,
}

impl Pushed {
    /// The object's rank in popularity.
    pub fn object(&self) -> u32 {
        (self.access & ((1 << RANK_BITS) - 1)) as u32
    }
}

/// What a cache makes of a push.
#[derive(Clone, Copy, Debug)]
pub struct Answer {
    pub outcome: Outcome,
    pub note: CacheStatus,
    /// When the copy was made.
    pub made: Option<Ticks>,
    pub lag: Ticks,
}

/// The caches and what is behind them.
pub trait World {
    fn serve(&mut self, now: Ticks, push: &Pushed) -> Answer;
}

/// What a front was handed, so that another can be handed the same.
#[derive(Clone, Copy, Debug)]
pub enum Input {
    Access(Access),
    Ended(AccessId, PushResult),
    Due(u64),
}

/// Hands an input to a front.
pub fn hand(front: &mut Front, now: Ticks, input: &Input, out: &mut dyn EffectSink) {
    match input {
        Input::Access(access) => front.access(now, access, out),
        Input::Ended(access, ended) => front.push_ended(now, *access, ended, out),
        Input::Due(key) => front.timer_fired(now, *key, out),
    }
}

/// Where decisions go that nobody waits for.
pub struct Nowhere;

impl EffectSink for Nowhere {
    fn push(&mut self, p: &Push<'_>) {
        std::hint::black_box(p);
    }
    fn cancel_push(&mut self, _: AccessId, _: usize) {}
    fn decline(&mut self, _: AccessId, _: UnservedReason) {}
    fn give_up(&mut self, _: AccessId, _: UnservedReason) {}
    fn set_timer(&mut self, at: Ticks, _: u64) {
        std::hint::black_box(at);
    }
    fn request_member_list(&mut self) {}
    fn log(&mut self, _: Arguments<'_>) {}
}

#[derive(Default)]
struct Decided {
    pushed: Vec<Pushed>,
    wakes: Vec<(Ticks, u64)>,
    withdrawn: Vec<(AccessId, usize)>,
    declined: u64,
}

impl EffectSink for Decided {
    fn push(&mut self, p: &Push<'_>) {
        let look = p.source == p.cache || p.only_if_cached;
        self.pushed.push(Pushed { access: p.access, number: 0, rank: p.rank, renew: p.refresh, look });
    }
    fn cancel_push(&mut self, access: AccessId, push: usize) {
        self.withdrawn.push((access, push));
    }
    fn decline(&mut self, _: AccessId, _: UnservedReason) {
        self.declined += 1;
    }
    fn give_up(&mut self, _: AccessId, _: UnservedReason) {
        self.declined += 1;
    }
    fn set_timer(&mut self, at: Ticks, key: u64) {
        self.wakes.push((at, key));
    }
    fn request_member_list(&mut self) {}
    fn log(&mut self, _: Arguments<'_>) {}
}

/// Caches of the front's zone, caches of other zones, and parents; besides them there is one origin.
#[derive(Clone, Copy, Debug)]
pub struct Members {
    pub near: usize,
    pub far: usize,
    pub parents: usize,
}

impl Members {
    pub fn list(&self) -> Vec<Member> {
        let member = |n: usize, zone: usize, kind: usize| Member {
            id: format!("s-{n:08x}").into(),
            zone,
            kind,
            cell: 0,
            status: MemberStatus::Listed,
            weight: 1.0,
            started_at: None,
        };
        let place = |n: usize| match n {
            n if n < self.near => (0, 0),
            n if n < self.near + self.far => (1 + n % 43, 0),
            n if n < self.near + self.far + self.parents => (1, 1),
            _ => (1, 2),
        };
        let all = self.near + self.far + self.parents + 1;
        (0..all).map(|n| member(n, place(n).0, place(n).1)).collect()
    }
}

pub fn settings() -> Settings {
    let cold = ColdLimits { initial_share: 0.16, duration: 170_000, load_multiple: 2.0, window: 15_000 };
    let offering = Offering {
        soft_limit: SOFT,
        transfer_factor: 4.0,
        benefit: 1.0,
        repeat_policy: RepeatPolicy::Idempotent,
        fresh_time: HOUR,
        uncacheable: false,
    };
    Settings {
        offerings: vec![offering],
        zone: 0,
        zone_fronts: CREW,
        parent_kind: Some(1),
        origin_kind: Some(2),
        status_reporting: StatusReporting::All,
        features: Features { join_fills: true, cache_bypass: true, cancel_pushes: true, hedged_pushes: true },
        max_pushes: 4,
        comparable_weights: true,
        list_on_request: false,
        min_input_interval: 20,
        flow_kb_per_s: 20_000.0,
        cold,
        parent_cold: cold,
        purge_propagation: PURGE_DONE,
    }
}

/// A new front that has its list.
pub fn front(members: Members, seed: u64, now: Ticks) -> Front {
    let mut front = Front::new(&settings(), seed);
    front.member_list_received(now, &members.list(), true, &mut Nowhere);
    front
}

#[derive(Clone, Copy, Debug)]
enum Event {
    Answer(AccessId, PushResult),
    Wake(u64),
}

/// A front with what is due to it.
pub struct Play {
    front: Front,
    out: Decided,
    due: BinaryHeap<Reverse<(Ticks, u64, usize)>>,
    events: slab::Slab<Event>,
    made: u64,
    accesses: u64,
    /// Everything that the front was handed, where it is to be kept.
    pub record: Option<Vec<(Ticks, Input)>>,
    pub pushes: u64,
    pub looks: u64,
}

/// What became of an access at once.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Sight {
    Declined,
    /// The front does not know its object's fill.
    First,
    Known,
}

impl Play {
    pub fn new(members: Members, seed: u64, now: Ticks) -> Play {
        Play {
            front: front(members, seed, now),
            out: Decided::default(),
            due: BinaryHeap::new(),
            events: slab::Slab::new(),
            made: 0,
            accesses: 0,
            record: None,
            pushes: 0,
            looks: 0,
        }
    }

    pub fn declined(&self) -> u64 {
        self.out.declined
    }

    /// An access of the object of a rank, after all that is due before it.
    pub fn access(&mut self, now: Ticks, rank: u32, world: &mut impl World) -> Sight {
        self.advance(now, world);
        self.accesses += 1;
        let access = Access {
            id: self.accesses << RANK_BITS | u64::from(rank),
            offering: 0,
            object: popularity::object(rank),
            part: 0,
            group: 0,
            kb: OBJECT_KB,
            deadline: now + HARD,
            has_repeat_id: false,
        };
        self.hand(now, Input::Access(access));
        let sight = match self.out.pushed.first() {
            None => Sight::Declined,
            Some(p) if p.rank > 1 => Sight::Known,
            Some(_) => Sight::First,
        };
        self.follow(now, world);
        sight
    }

    fn hand(&mut self, now: Ticks, input: Input) {
        hand(&mut self.front, now, &input, &mut self.out);
        self.record.iter_mut().for_each(|record| record.push((now, input)));
    }

    fn advance(&mut self, now: Ticks, world: &mut impl World) {
        while let Some(&Reverse((at, _, event))) = self.due.peek().filter(|d| d.0.0 <= now) {
            self.due.pop();
            match self.events.remove(event) {
                Event::Answer(access, ended) => self.hand(at, Input::Ended(access, ended)),
                Event::Wake(key) => self.hand(at, Input::Due(key)),
            }
            self.follow(at, world);
        }
    }

    fn put(&mut self, at: Ticks, event: Event) {
        self.made += 1;
        self.due.push(Reverse((at, self.made, self.events.insert(event))));
    }

    /// What the front has decided is carried out, and what it decides upon that.
    fn follow(&mut self, now: Ticks, world: &mut impl World) {
        while !(self.out.pushed.is_empty() && self.out.wakes.is_empty() && self.out.withdrawn.is_empty()) {
            // A push says nothing of its number; the wake that goes out before it does.
            let wakes = std::mem::take(&mut self.out.wakes);
            let mut numbers = wakes.iter().map(|w| (w.1 >> 4, (w.1 & 15) as usize));
            for mut push in std::mem::take(&mut self.out.pushed) {
                push.number = numbers.find(|n| n.0 == push.access).map_or(0, |n| n.1);
                self.serve(now, &push, world);
            }
            for (at, key) in wakes {
                self.put(at, Event::Wake(key));
            }
            for (access, push) in std::mem::take(&mut self.out.withdrawn) {
                let (outcome, note) = (Outcome::Withdrawn, CacheStatus::Untold);
                let ended = PushResult {
                    push,
                    outcome,
                    access_done: false,
                    latency: 0,
                    cache_status: note,
                    origin_sent_at: None,
                };
                self.hand(now, Input::Ended(access, ended));
            }
        }
    }

    fn serve(&mut self, now: Ticks, push: &Pushed, world: &mut impl World) {
        self.pushes += 1;
        self.looks += u64::from(push.look);
        let Answer { outcome, note, made, lag } = world.serve(now, push);
        let settled = outcome == Outcome::Handled;
        let ended = PushResult {
            push: push.number,
            outcome,
            access_done: settled,
            latency: lag,
            cache_status: note,
            origin_sent_at: made,
        };
        self.put(now + lag, Event::Answer(push.access, ended));
    }
}
