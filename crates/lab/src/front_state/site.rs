//! A site of the target in virtual time: its caches' copies, the accesses of all its fronts, and the very module as one
//! of them. What that front's table of fills knows is held against what happened, and against other tables.

use doorgrade::{CacheStatus, Outcome, Ticks, hash};
use rustc_hash::FxHashMap;

use super::play::{Answer, CREW, HOUR, Members, Play, Pushed, Sight, World};
use super::popularity::{self, Draws, Popularity};
use super::tables::{Table, Variant};

/// Entries of the module's table (`MOST_FILLS`).
pub const ENTRIES: usize = 1 << 16;
/// Half the answer time of a hit and of a fill, in tenths of a millisecond: the rest is drawn.
const HIT: Ticks = 100;
const FILL: Ticks = 500;
const SECOND: f64 = 10_000.0;

/// One run.
#[derive(Clone, Debug)]
pub struct Case {
    /// Accesses a second at a front.
    pub rate: f64,
    pub exponent: f64,
    pub objects: u32,
    pub warm_s: f64,
    pub measured_s: f64,
    pub seed: u64,
    pub variants: Vec<Variant>,
}

/// Shares are of the front's accesses in the time measured.
#[derive(Clone, Debug, Default)]
pub struct Found {
    pub accesses: u64,
    pub declined: u64,
    pub pushes_per_access: f64,
    pub looks_per_access: f64,
    /// The table has an entry, and it has the object's last fill, which has not ended.
    pub known: f64,
    /// It has an entry, right or not.
    pub entry: f64,
    /// How long an entry stays on average (entries over first sights a second), and the shortest stay seen, in seconds.
    pub reach_s: f64,
    pub shortest_s: f64,
    /// The front takes it for lacking, and a cache has a fresh copy.
    pub wrongly_lacking: f64,
    /// Known, had the front's table room for the hour; asked for at this front within the hour.
    pub hour: f64,
    pub hour_asked: f64,
    /// The same for all fronts of the site together.
    pub shared_hour: f64,
    pub shared_hour_asked: f64,
    /// Known, were each object kept by one of the site's fronts, in a table as today's.
    pub shared: f64,
    /// Distinct objects that this front was asked for within the hour: what an unbounded table holds.
    pub distinct_hour: u64,
    /// Known to each of the variants.
    pub variants: Vec<f64>,
}

/// What an object has been through at the site. Times are tenths of a millisecond, the first access is an hour in; 0 for never.
#[derive(Clone, Copy, Default)]
struct Object {
    made: u32,
    asked: u32,
    /// Its place in the queue of the front that keeps it, were each object kept by one of them.
    slot: u32,
}

/// What this front has seen of an object.
#[derive(Clone, Copy, Default)]
struct Own {
    told: u32,
    asked: u32,
    put: u32,
}

struct Caches {
    objects: Vec<Object>,
    own: FxHashMap<u32, Own>,
    told: Vec<(u32, u32)>,
    rng: fastrand::Rng,
}

const HOUR_SHORT: u32 = HOUR as u32;

fn fresh(made: u32, now: u32) -> bool {
    made > 0 && now < made.saturating_add(HOUR_SHORT)
}

impl World for Caches {
    fn serve(&mut self, now: Ticks, push: &Pushed) -> Answer {
        let (rank, now) = (push.object(), now as u32);
        let copy = &mut self.objects[rank as usize].made;
        let hit = fresh(*copy, now);
        let drawn = |of: Ticks, rng: &mut fastrand::Rng| of + rng.u64(0..of * 2);
        if push.look && !hit {
            let lag = drawn(HIT / 2, &mut self.rng);
            return Answer { outcome: Outcome::Miss, note: CacheStatus::SourceLacks, made: None, lag };
        }
        let made = if hit { *copy } else { now };
        // A renewal behind the answer is told by the next one.
        *copy = if push.renew { now } else { made };
        self.own.entry(rank).or_default().told = made;
        self.told.push((rank, made));
        let (note, lag) = if hit { (CacheStatus::Hit, HIT) } else { (CacheStatus::Filled, FILL) };
        let made = Some(Ticks::from(made));
        Answer { outcome: Outcome::Handled, note, made, lag: drawn(lag, &mut self.rng) }
    }
}

/// The tables of all fronts, each of which keeps the objects that hash to it.
#[derive(Default)]
struct Shared {
    /// How many each has put in.
    put: [u32; CREW as usize],
}

impl Shared {
    fn access(&mut self, rank: u32, object: &mut Object) -> bool {
        let keeper = (hash::unit(popularity::object(rank), 1) * f64::from(CREW)) as usize % CREW as usize;
        let put = &mut self.put[keeper];
        let known = object.slot > 0 && (*put - object.slot) < ENTRIES as u32;
        if !known {
            *put += 1;
            object.slot = *put;
        }
        known
    }
}

#[derive(Default)]
struct Counts {
    accesses: u64,
    known: u64,
    entry: u64,
    first: u64,
    wrongly_lacking: u64,
    hour: u64,
    hour_asked: u64,
    shared_hour: u64,
    shared_hour_asked: u64,
    shared: u64,
    variants: Vec<u64>,
    shortest: u32,
}

/// The site's copies as they are after many hours: an object is filled at the first access after its copy's end, so
/// it is without one for as long as it takes until somebody asks. Else all would end together.
fn copies(case: &Case, rng: &mut fastrand::Rng) -> Vec<Object> {
    let mut objects = Vec::with_capacity(case.objects as usize);
    let site = case.rate * f64::from(CREW);
    let hour = HOUR as f64 / SECOND;
    for &(count, share) in Popularity::new(case.objects, case.exponent).ranges() {
        let has = site * share * hour / (1.0 + site * share * hour);
        for _ in 0..count as u64 {
            let made = if rng.f64() < has { rng.u32(1..HOUR_SHORT) } else { 0 };
            objects.push(Object { made, ..Object::default() });
        }
    }
    objects
}

/// Plays a site. None where the exponent or the number of objects is none to draw from.
pub fn run(case: &Case) -> Option<Found> {
    let mut draws = Draws::new(case.objects, case.exponent, case.seed)?;
    let mut rng = fastrand::Rng::with_seed(case.seed ^ 1);
    let objects = copies(case, &mut rng);
    let mut caches = Caches { objects, own: FxHashMap::default(), told: Vec::new(), rng };
    let mut rng = fastrand::Rng::with_seed(case.seed);
    let mut play = Play::new(Members { near: 6, far: 232, parents: 12 }, case.seed, HOUR);
    let mut tables: Vec<Table> = case.variants.iter().map(|&v| Table::new(v)).collect();
    let mut shared = Shared::default();
    let mut counts = Counts { variants: vec![0; tables.len()], shortest: u32::MAX, ..Counts::default() };
    let between = SECOND / (case.rate * f64::from(CREW));
    let begin = HOUR as f64;
    let (warm, end) = (begin + case.warm_s * SECOND, begin + (case.warm_s + case.measured_s) * SECOND);
    let (mut at, mut before) = (begin, (0, 0, 0));
    loop {
        at += -(1.0 - rng.f64()).ln() * between;
        if at >= end {
            break;
        }
        let (now, rank) = (at as u32, draws.rank());
        let counted = at >= warm;
        if counted && before.0 == 0 {
            before = (play.pushes.max(1), play.looks, play.declined());
        }
        let object = &mut caches.objects[rank as usize];
        let seen = *object;
        object.asked = now;
        let kept = shared.access(rank, object);
        if rng.u32(0..CREW) > 0 {
            if !fresh(seen.made, now) {
                object.made = now;
            }
            continue;
        }
        let own = caches.own.get(&rank).copied().unwrap_or_default();
        let sight = play.access(Ticks::from(now), rank, &mut caches);
        let held: Vec<bool> = tables.iter_mut().map(|t| t.access(now, rank)).collect();
        for (rank, made) in caches.told.drain(..) {
            tables.iter_mut().for_each(|t| t.told(rank, made));
        }
        let entry = caches.own.entry(rank).or_default();
        entry.asked = now;
        if sight == Sight::First {
            entry.put = now;
        }
        if counted {
            counts.count(now, &seen, &own, sight, kept, &held);
        }
    }
    let distinct = caches.own.values().filter(|o| o.asked > 0 && o.asked + HOUR_SHORT > at as u32).count();
    Some(counts.found(case, &play, before, distinct as u64))
}

impl Counts {
    fn count(&mut self, now: u32, seen: &Object, own: &Own, sight: Sight, kept: bool, held: &[bool]) {
        let good = fresh(seen.made, now);
        let right = good && own.told == seen.made;
        let lately = |asked: u32| asked > 0 && now < asked + HOUR_SHORT;
        let add = |to: &mut u64, yes: bool| *to += u64::from(yes);
        self.accesses += 1;
        add(&mut self.entry, sight == Sight::Known);
        add(&mut self.known, sight == Sight::Known && right);
        add(&mut self.first, sight == Sight::First);
        add(&mut self.wrongly_lacking, sight == Sight::First && good);
        add(&mut self.hour, right);
        add(&mut self.hour_asked, lately(own.asked));
        add(&mut self.shared_hour, good);
        add(&mut self.shared_hour_asked, lately(seen.asked));
        add(&mut self.shared, kept && good);
        for (count, &known) in self.variants.iter_mut().zip(held) {
            add(count, known && right);
        }
        if sight == Sight::First && own.put > 0 {
            self.shortest = self.shortest.min(now - own.put);
        }
    }

    fn found(self, case: &Case, play: &Play, before: (u64, u64, u64), distinct_hour: u64) -> Found {
        let of = |count: u64| count as f64 / self.accesses.max(1) as f64;
        Found {
            accesses: self.accesses,
            declined: play.declined() - before.2,
            pushes_per_access: of(play.pushes - before.0),
            looks_per_access: of(play.looks - before.1),
            known: of(self.known),
            entry: of(self.entry),
            reach_s: ENTRIES as f64 * case.measured_s / self.first.max(1) as f64,
            shortest_s: f64::from(self.shortest) / SECOND,
            wrongly_lacking: of(self.wrongly_lacking),
            hour: of(self.hour),
            hour_asked: of(self.hour_asked),
            shared_hour: of(self.shared_hour),
            shared_hour_asked: of(self.shared_hour_asked),
            shared: of(self.shared),
            distinct_hour,
            variants: self.variants.into_iter().map(of).collect(),
        }
    }
}
