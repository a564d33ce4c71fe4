//! Simulates a site of the target in virtual time: the copies in its caches, the accesses of all its fronts, and one front
//! with the real decision module. Compares what that front's table of fills knows with the state of the caches, and with
//! other tables.

use doorgrade::{CacheStatus, Outcome, Ticks, hash};
use rustc_hash::FxHashMap;

use super::popularity::{self, Popularity, ZipfSampler};
use super::simulation::{
    CacheModel, CacheResponse, FirstDecision, HOUR, MemberCounts, SITE_FRONTS, SimulatedPush, Simulation,
};
use super::tables::{Table, TableConfig};

/// Entries of the decision module's table (`MAX_FILL_RECORDS`).
pub const ENTRIES: usize = 1 << 16;
/// Half the mean latency of a hit and of a fill; the rest is random.
const HIT_LATENCY: Ticks = 100;
const FILL_LATENCY: Ticks = 500;
const TICKS_PER_SECOND: f64 = 10_000.0;

#[derive(Clone, Debug)]
pub struct SiteCase {
    /// Accesses a second at a front.
    pub rate: f64,
    pub exponent: f64,
    pub objects: u32,
    pub warm_up_s: f64,
    pub measured_s: f64,
    pub seed: u64,
    pub tables: Vec<TableConfig>,
}

/// The result of one case. Shares are of the front's accesses in the measured time.
#[derive(Clone, Debug, Default)]
pub struct SiteStats {
    pub accesses: u64,
    pub declined: u64,
    pub pushes_per_access: f64,
    pub lookups_per_access: f64,
    /// The table has an entry of the object's last fill, whose copy is still fresh.
    pub known: f64,
    /// The table has an entry, up to date or not.
    pub has_entry: f64,
    /// How long an entry stays on average (entries over insertions a second), and the shortest observed stay, in seconds.
    pub stay_s: f64,
    pub min_stay_s: f64,
    /// The front does not know a fill, but a cache has a fresh copy.
    pub wrongly_lacking: f64,
    /// Known if the front's table had room for all objects of the last hour; accessed at this front within the last hour.
    pub hour_known: f64,
    pub hour_accessed: f64,
    /// The same for all fronts of the site together.
    pub shared_hour_known: f64,
    pub shared_hour_accessed: f64,
    /// Known if each object were kept by one of the site's fronts, with a table of `ENTRIES` entries at each.
    pub shared_known: f64,
    /// Distinct objects accessed at this front within the last hour: the entries of an unbounded table.
    pub distinct_in_hour: u64,
    /// Known to each of the case's tables.
    pub tables_known: Vec<f64>,
}

/// The state of an object at the site. Times are in ticks, 0 for never; the first access is at one hour.
#[derive(Clone, Copy, Default)]
struct Object {
    filled_at: u32,
    accessed_at: u32,
    /// Its position in the queue of the front that would keep it, if each object were kept by one front; 0 for none.
    shared_position: u32,
}

/// What this front has seen of an object.
#[derive(Clone, Copy, Default)]
struct OwnObject {
    reported_filled_at: u32,
    accessed_at: u32,
    inserted_at: u32,
}

struct SiteCaches {
    objects: Vec<Object>,
    own: FxHashMap<u32, OwnObject>,
    /// Ranks and fill times in the responses to this front's pushes.
    reported: Vec<(u32, u32)>,
    rng: fastrand::Rng,
}

const HOUR_U32: u32 = HOUR as u32;

fn is_fresh(filled_at: u32, now: u32) -> bool {
    filled_at > 0 && now < filled_at.saturating_add(HOUR_U32)
}

impl CacheModel for SiteCaches {
    fn serve(&mut self, now: Ticks, push: &SimulatedPush) -> CacheResponse {
        let (rank, now) = (push.object(), now as u32);
        let copy = &mut self.objects[rank as usize].filled_at;
        let hit = is_fresh(*copy, now);
        let random_latency = |min: Ticks, rng: &mut fastrand::Rng| min + rng.u64(0..min * 2);
        if push.is_lookup && !hit {
            let latency = random_latency(HIT_LATENCY / 2, &mut self.rng);
            return CacheResponse {
                outcome: Outcome::Miss,
                cache_status: CacheStatus::SourceLacks,
                filled_at: None,
                latency,
            };
        }
        let filled_at = if hit { *copy } else { now };
        // A refresh in the background is reported by the next response.
        *copy = if push.refresh { now } else { filled_at };
        self.own.entry(rank).or_default().reported_filled_at = filled_at;
        self.reported.push((rank, filled_at));
        let (cache_status, min_latency) =
            if hit { (CacheStatus::Hit, HIT_LATENCY) } else { (CacheStatus::Filled, FILL_LATENCY) };
        let filled_at = Some(Ticks::from(filled_at));
        CacheResponse {
            outcome: Outcome::Handled,
            cache_status,
            filled_at,
            latency: random_latency(min_latency, &mut self.rng),
        }
    }
}

/// Tables of all fronts of the site, each of which keeps the objects that hash to it.
#[derive(Default)]
struct SharedTables {
    /// Insertions into each table so far.
    inserted: [u32; SITE_FRONTS as usize],
}

impl SharedTables {
    fn access(&mut self, rank: u32, object: &mut Object) -> bool {
        let keeper = (hash::unit(popularity::object(rank), 1) * f64::from(SITE_FRONTS)) as usize
            % SITE_FRONTS as usize;
        let inserted = &mut self.inserted[keeper];
        let known = object.shared_position > 0 && (*inserted - object.shared_position) < ENTRIES as u32;
        if !known {
            *inserted += 1;
            object.shared_position = *inserted;
        }
        known
    }
}

#[derive(Default)]
struct Counts {
    accesses: u64,
    known: u64,
    has_entry: u64,
    pushed_unknown: u64,
    wrongly_lacking: u64,
    hour_known: u64,
    hour_accessed: u64,
    shared_hour_known: u64,
    shared_hour_accessed: u64,
    shared_known: u64,
    tables_known: Vec<u64>,
    min_stay: u32,
}

/// The copies after many hours of accesses. An object is filled at the first access after its copy has expired, so it has no
/// copy between the expiry and that access. Filling all objects at one time would make all copies expire together.
fn steady_state(case: &SiteCase, rng: &mut fastrand::Rng) -> Vec<Object> {
    let mut objects = Vec::with_capacity(case.objects as usize);
    let site_rate = case.rate * f64::from(SITE_FRONTS);
    let hour_s = HOUR as f64 / TICKS_PER_SECOND;
    for &(count, share) in Popularity::new(case.objects, case.exponent).ranges() {
        let has_copy = site_rate * share * hour_s / (1.0 + site_rate * share * hour_s);
        for _ in 0..count as u64 {
            let filled_at = if rng.f64() < has_copy { rng.u32(1..HOUR_U32) } else { 0 };
            objects.push(Object { filled_at, ..Object::default() });
        }
    }
    objects
}

/// Simulates a site. None if the exponent or the number of objects is invalid.
pub fn run(case: &SiteCase) -> Option<SiteStats> {
    let mut sampler = ZipfSampler::new(case.objects, case.exponent, case.seed)?;
    let mut rng = fastrand::Rng::with_seed(case.seed ^ 1);
    let objects = steady_state(case, &mut rng);
    let mut caches = SiteCaches { objects, own: FxHashMap::default(), reported: Vec::new(), rng };
    let mut rng = fastrand::Rng::with_seed(case.seed);
    let mut simulation =
        Simulation::new(MemberCounts { own_zone: 6, other_zones: 232, parents: 12 }, case.seed, HOUR);
    let mut tables: Vec<Table> = case.tables.iter().map(|&t| Table::new(t)).collect();
    let mut shared = SharedTables::default();
    let mut counts = Counts { tables_known: vec![0; tables.len()], min_stay: u32::MAX, ..Counts::default() };
    let mean_interval = TICKS_PER_SECOND / (case.rate * f64::from(SITE_FRONTS));
    let begin = HOUR as f64;
    let (warm_up_end, end) = (
        begin + case.warm_up_s * TICKS_PER_SECOND,
        begin + (case.warm_up_s + case.measured_s) * TICKS_PER_SECOND,
    );
    let (mut at, mut before) = (begin, (0, 0, 0));
    loop {
        at += -(1.0 - rng.f64()).ln() * mean_interval;
        if at >= end {
            break;
        }
        let (now, rank) = (at as u32, sampler.sample());
        let measured = at >= warm_up_end;
        if measured && before.0 == 0 {
            before = (simulation.pushes.max(1), simulation.lookups, simulation.declined());
        }
        let object = &mut caches.objects[rank as usize];
        let object_before = *object;
        object.accessed_at = now;
        let shared_known = shared.access(rank, object);
        // Accesses of the site's other fronts only fill the caches.
        if rng.u32(0..SITE_FRONTS) > 0 {
            if !is_fresh(object_before.filled_at, now) {
                object.filled_at = now;
            }
            continue;
        }
        let own_before = caches.own.get(&rank).copied().unwrap_or_default();
        let decision = simulation.access(Ticks::from(now), rank, &mut caches);
        let tables_known: Vec<bool> = tables.iter_mut().map(|t| t.access(now, rank)).collect();
        for (rank, filled_at) in caches.reported.drain(..) {
            tables.iter_mut().for_each(|t| t.fill_reported(rank, filled_at));
        }
        let own = caches.own.entry(rank).or_default();
        own.accessed_at = now;
        if decision == FirstDecision::PushedUnknown {
            own.inserted_at = now;
        }
        if measured {
            counts.count(now, &object_before, &own_before, decision, shared_known, &tables_known);
        }
    }
    let distinct =
        caches.own.values().filter(|o| o.accessed_at > 0 && o.accessed_at + HOUR_U32 > at as u32).count();
    Some(counts.stats(case, &simulation, before, distinct as u64))
}

impl Counts {
    /// Counts an access of this front, with the states of its object before the access.
    fn count(
        &mut self,
        now: u32,
        object: &Object,
        own: &OwnObject,
        decision: FirstDecision,
        shared_known: bool,
        tables_known: &[bool],
    ) {
        let fresh = is_fresh(object.filled_at, now);
        let up_to_date = fresh && own.reported_filled_at == object.filled_at;
        let within_hour = |accessed_at: u32| accessed_at > 0 && now < accessed_at + HOUR_U32;
        let add = |count: &mut u64, condition: bool| *count += u64::from(condition);
        self.accesses += 1;
        add(&mut self.has_entry, decision == FirstDecision::PushedKnown);
        add(&mut self.known, decision == FirstDecision::PushedKnown && up_to_date);
        add(&mut self.pushed_unknown, decision == FirstDecision::PushedUnknown);
        add(&mut self.wrongly_lacking, decision == FirstDecision::PushedUnknown && fresh);
        add(&mut self.hour_known, up_to_date);
        add(&mut self.hour_accessed, within_hour(own.accessed_at));
        add(&mut self.shared_hour_known, fresh);
        add(&mut self.shared_hour_accessed, within_hour(object.accessed_at));
        add(&mut self.shared_known, shared_known && fresh);
        for (count, &known) in self.tables_known.iter_mut().zip(tables_known) {
            add(count, known && up_to_date);
        }
        if decision == FirstDecision::PushedUnknown && own.inserted_at > 0 {
            self.min_stay = self.min_stay.min(now - own.inserted_at);
        }
    }

    /// `before` has the numbers of pushes, lookups and declined accesses at the end of the warm-up.
    fn stats(
        self,
        case: &SiteCase,
        simulation: &Simulation,
        before: (u64, u64, u64),
        distinct_in_hour: u64,
    ) -> SiteStats {
        let share = |count: u64| count as f64 / self.accesses.max(1) as f64;
        SiteStats {
            accesses: self.accesses,
            declined: simulation.declined() - before.2,
            pushes_per_access: share(simulation.pushes - before.0),
            lookups_per_access: share(simulation.lookups - before.1),
            known: share(self.known),
            has_entry: share(self.has_entry),
            stay_s: ENTRIES as f64 * case.measured_s / self.pushed_unknown.max(1) as f64,
            min_stay_s: f64::from(self.min_stay) / TICKS_PER_SECOND,
            wrongly_lacking: share(self.wrongly_lacking),
            hour_known: share(self.hour_known),
            hour_accessed: share(self.hour_accessed),
            shared_hour_known: share(self.shared_hour_known),
            shared_hour_accessed: share(self.shared_hour_accessed),
            shared_known: share(self.shared_known),
            distinct_in_hour,
            tables_known: self.tables_known.into_iter().map(share).collect(),
        }
    }
}
