//! The sources that one front's accesses may be filled from now, in the order in which to try them.
//!
//! The router is notified of changes of the shape, of the members that the front can reach, and of each push and its
//! result. Before a push it gives the [`FillRoutes`] of the access. The decision module (`doorgrade`) chooses among
//! them by health, limits and cold budgets, and never uses a source that is not among them. Usually they are the
//! object's home, a second home in case the first is unfit, then the archive.

use arrayvec::ArrayVec;
use doorgrade::{
    Access, AccessId, CacheStatus, FillRoute, FillRoutes, Member, MemberStatus, Outcome, PushResult, Ticks,
    hash,
};
use rustc_hash::{FxHashMap, FxHashSet};

use crate::homes::{self, Home, Homes, HomesChange};
use crate::reconcile::replacement;
use crate::shape::{ApplyOutcome, Change, Shape, Standing};
use crate::shield::{Admission, ArchiveOutcome, Shield};

#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RouterConfig {
    /// The tier whose members are the homes of objects.
    pub tier: u8,
    /// How long objects take to move to their new homes.
    pub handover_duration: Ticks,
    /// The fraction of its capacity that a member starts with, and how long it takes to reach all of it.
    pub cold_initial_share: f64,
    pub cold_duration: Ticks,
    pub zone_fronts: u32,
    /// Whether fills that reach the archive are limited.
    pub shield: bool,
}

/// A member that the front can reach, or a member of the shape that it could reach before.
struct ListedMember {
    listed: bool,
    started_at: Option<Ticks>,
    weight: f64,
}

/// The part of the archive's budget that a push has reserved.
struct Reservation {
    parent: Option<u64>,
    probability: f64,
}

/// The state of an access that is not done.
#[derive(Default)]
struct AccessState {
    object: u64,
    /// A push that makes the object's new home fetch it from an old home, and the key of the new home.
    handover_push: Option<(usize, u64)>,
    home: Option<u64>,
    /// How likely a fill through its home reaches the archive.
    archive_probability: f64,
    /// The probability that is queued for it at the shield; 0 if it does not wait.
    queued: f64,
    /// By the number of the push; the decision module sends no more for one access.
    reservations: ArrayVec<(usize, Reservation), 8>,
}

/// Objects remembered as taken over. One that is forgotten is handed over again, at the cost of one round trip.
const MAX_TAKEN_OVER: usize = 1 << 16;

/// Gives the fill routes of one front's accesses, by the shape, the homes of objects and the archive's budget.
pub struct FillRouter {
    config: RouterConfig,
    shape: Shape,
    homes: Homes,
    shield: Shield,
    /// By the hash of the member's id.
    members: FxHashMap<u64, ListedMember>,
    /// Members of the shape whose fills can't end at the archive: they may serve only copies that they hold.
    cut_off: FxHashSet<u64>,
    /// Members in service that have no source.
    roots: Vec<u64>,
    accesses: FxHashMap<AccessId, AccessState>,
    /// Objects that their new homes have taken over, and the keys of these homes.
    taken_over: FxHashMap<u64, u64>,
    depth: usize,
    /// Fills rejected because they had gone round in a cycle.
    pub cycles: u64,
}

impl FillRouter {
    pub fn new(config: RouterConfig, now: Ticks) -> FillRouter {
        FillRouter {
            config,
            shape: Shape::new(),
            homes: Homes::default(),
            shield: Shield::new(config.zone_fronts, now),
            members: FxHashMap::default(),
            cut_off: FxHashSet::default(),
            roots: Vec::new(),
            accesses: FxHashMap::default(),
            taken_over: FxHashMap::default(),
            depth: 1,
            cycles: 0,
        }
    }

    pub fn shape(&self) -> &Shape {
        &self.shape
    }

    pub fn shield(&self) -> &Shield {
        &self.shield
    }

    /// How many members may forward a fill.
    pub fn depth(&self) -> usize {
        self.depth
    }

    /// Puts the shape that these changes describe in place of the current one. Gives the outcome of each, and the
    /// change of homes, if any.
    pub fn replace_shape(
        &mut self,
        now: Ticks,
        desired: &[Change],
    ) -> (Vec<ApplyOutcome>, Option<HomesChange>) {
        let (shape, outcomes) = replacement(&self.shape, desired);
        self.shape = shape;
        self.cut_off = self.shape.cut_off().into_iter().map(hash::text).collect();
        let roots = self.shape.members().into_iter().filter(|m| m.root && m.standing == Standing::InService);
        self.roots = roots.map(|m| hash::text(m.name)).collect();
        // A station's cache, below the lowest member, forwards fills, too.
        self.depth = self.shape.depth() + 1;
        (outcomes, self.update_homes(now))
    }

    /// Takes in the list of members that the front can reach, or changes to it if not `complete`.
    pub fn update_members(&mut self, now: Ticks, members: &[Member], complete: bool) -> Option<HomesChange> {
        if complete {
            self.members.values_mut().for_each(|m| m.listed = false);
        }
        for m in members {
            let listed = m.status == MemberStatus::Listed;
            let weight = if m.weight > 0.0 { m.weight } else { 1.0 };
            let key = hash::text(&m.id);
            let before = self.members.insert(key, ListedMember { listed, started_at: m.started_at, weight });
            if before.is_some_and(|b| b.started_at != m.started_at) {
                // It has restarted empty, and has lost what it had taken over.
                self.taken_over.retain(|_, home| *home != key);
            }
        }
        // Unlisted members are kept only if they are in the shape, so that the two lists bound the table.
        let in_shape: FxHashSet<u64> = self.shape.members().iter().map(|m| hash::text(m.name)).collect();
        self.members.retain(|key, m| m.listed || in_shape.contains(key));
        self.update_homes(now)
    }

    /// The homes are the members of the configured tier that are in service and listed.
    fn update_homes(&mut self, now: Ticks) -> Option<HomesChange> {
        let is_cold = |m: &ListedMember| m.started_at.is_some_and(|at| now < at + self.config.cold_duration);
        let (mut list, mut duration) = (Vec::new(), self.config.handover_duration);
        for m in self.shape.members() {
            if m.tier != self.config.tier || m.standing != Standing::InService {
                continue;
            }
            let key = hash::text(m.name);
            let Some(member) = self.members.get(&key).filter(|m| m.listed) else { continue };
            let initial_capacity =
                if is_cold(member) { self.config.cold_initial_share.clamp(0.0, 1.0) } else { 1.0 };
            if is_cold(member) {
                duration = duration.max(self.config.cold_duration);
            }
            list.push(Home { key, weight: member.weight, initial_capacity });
        }
        self.homes.set_members(now, list, duration)
    }

    /// The homes in the form that `restore_homes` takes after a restart.
    pub fn save_homes(&self) -> Vec<homes::SavedList> {
        self.homes.save()
    }

    /// Restores the homes from before a restart, once the shape and the member list are known. Gives the number of
    /// member lists now known.
    pub fn restore_homes(
        &mut self,
        now: Ticks,
        saved_at: Ticks,
        saved: &[homes::SavedList],
    ) -> Result<usize, homes::RestoreError> {
        self.homes.restore(now, saved_at, saved)
    }

    fn is_listed(&self, key: u64) -> bool {
        self.members.get(&key).is_some_and(|m| m.listed)
    }

    /// The sources that an access may be filled from now; `soft_limit_at` is when its soft limit ends.
    pub fn fill_routes(&mut self, now: Ticks, access: &Access, soft_limit_at: Ticks) -> FillRoutes {
        if self.shape.is_empty() {
            return FillRoutes::default();
        }
        self.homes.drop_finished(now);
        if !self.homes.in_handover(now) {
            self.taken_over.clear();
        }
        let mut found = self.homes.route(now, access.object, |key| self.is_listed(key));
        if found.home.is_some() && self.taken_over.get(&access.object).copied() == found.home {
            // The home has taken the object over: the old homes are not needed any more.
            (found.old_homes, found.recently_moved) = Default::default();
        }
        let mut routes = FillRoutes { hierarchical: true, ..FillRoutes::default() };
        let mut add_route = |key, only_if_cached, via_parent| {
            let route = FillRoute { key, only_if_cached, via_parent };
            if !routes.order.contains(&route) {
                let _ = routes.order.try_push(route);
            }
        };
        if let Some(home) = found.home {
            // The push goes to the new home, which fills from an old one and keeps the copy. While the new home has
            // no capacity left, the old one is the source itself.
            found.old_homes.iter().for_each(|&h| add_route(h, true, Some(home)));
        }
        let mut add = |key, only_if_cached| add_route(key, only_if_cached, None);
        found.old_homes.iter().for_each(|&h| add(h, true));
        let home_cut_off = found.home.is_none_or(|h| self.cut_off.contains(&h));
        let probability = match found.home {
            Some(home) if !found.recently_moved && !home_cut_off => self.shield.archive_probability(home),
            _ => 1.0,
        };
        let state = self.accesses.entry(access.id).or_default();
        (state.object, state.home, state.archive_probability) = (access.object, found.home, probability);
        let has_waited = state.queued > 0.0;
        self.shield.dequeue(std::mem::take(&mut state.queued));
        let admission = match self.config.shield {
            true => self.shield.admit(now, probability, soft_limit_at, has_waited),
            false => Admission::Admit,
        };
        // A copy that a home holds costs the archive nothing, whatever the budget.
        if admission != Admission::Admit || home_cut_off {
            found.home.iter().for_each(|&h| add(h, true));
        }
        if admission == Admission::Admit {
            found.home.filter(|_| !home_cut_off).iter().for_each(|&h| add(h, false));
            // If the home is unfit: the latest old home most likely holds the object, the second home next.
            let old = found.old_homes.first().copied();
            let second = homes::home_without(self.homes.newest(), access.object, found.home).map(|h| h.key);
            let reaches_archive = |key: &u64| !self.cut_off.contains(key);
            [old, second].into_iter().flatten().filter(reaches_archive).for_each(|key| add(key, false));
            self.roots.iter().for_each(|&root| add(root, false));
        }
        if let Admission::WaitUntil(at) = admission {
            state.queued = probability;
            self.shield.enqueue(probability);
            routes.retry_at = Some(at);
        }
        routes
    }

    /// A push was sent to `cache` with this source.
    pub fn push_sent(
        &mut self,
        now: Ticks,
        access: AccessId,
        push: usize,
        cache: u64,
        source: u64,
        only_if_cached: bool,
    ) {
        let is_root = |key: &u64| self.roots.contains(key);
        let Some(state) = self.accesses.get_mut(&access) else { return };
        if only_if_cached && self.members.contains_key(&cache) {
            state.handover_push = Some((push, cache));
        }
        if only_if_cached || cache == source {
            return;
        }
        // If the push goes directly to a parent, it is that parent which fills from the archive.
        let parent = if is_root(&source) && self.members.contains_key(&cache) { cache } else { source };
        // A parent that is not the object's home is not expected to hold it.
        let probability = if Some(parent) == state.home { state.archive_probability } else { 1.0 };
        self.shield.reserve(now, probability);
        let parent = Some(parent).filter(|p| !is_root(p));
        let _ = state.reservations.try_push((push, Reservation { parent, probability }));
    }

    /// A push has ended. `late`: after the soft limit of its access; `refresh`: it made the cache refresh its copy in
    /// the background.
    pub fn push_ended(
        &mut self,
        now: Ticks,
        access: AccessId,
        result: &PushResult,
        late: bool,
        refresh: bool,
    ) {
        let Some(state) = self.accesses.get_mut(&access) else { return };
        if let Some((_, home)) =
            state.handover_push.filter(|h| h.0 == result.push && result.outcome == Outcome::Handled)
        {
            if self.taken_over.len() >= MAX_TAKEN_OVER {
                self.taken_over.clear();
            }
            self.taken_over.insert(state.object, home);
        }
        let Some(index) = state.reservations.iter().position(|r| r.0 == result.push) else { return };
        let (_, Reservation { parent, probability }) = state.reservations.swap_remove(index);
        let outcome = match (result.outcome, result.cache_status) {
            (Outcome::Handled, CacheStatus::FilledByOrigin) if late => ArchiveOutcome::Late,
            (Outcome::Handled, CacheStatus::FilledByOrigin) => ArchiveOutcome::InTime,
            (Outcome::Handled, CacheStatus::Filled) if parent.is_none() && late => ArchiveOutcome::Late,
            (Outcome::Handled, CacheStatus::Filled) if parent.is_none() => ArchiveOutcome::InTime,
            (Outcome::Handled, CacheStatus::Filled | CacheStatus::Joined) => ArchiveOutcome::NotAsked,
            (Outcome::Handled, CacheStatus::Hit | CacheStatus::Stale) if !refresh => ArchiveOutcome::NotAsked,
            (_, CacheStatus::OriginFailed) => ArchiveOutcome::Failed,
            (_, CacheStatus::SourceRefused) if parent.is_none() => ArchiveOutcome::Failed,
            (Outcome::Full | Outcome::Unreachable | Outcome::NeverSent, _) => ArchiveOutcome::NotAsked,
            _ => ArchiveOutcome::Unknown,
        };
        self.shield.settle(now, parent, probability, outcome);
    }

    /// An access is done, together with all its pushes that have not ended.
    pub fn access_done(&mut self, now: Ticks, access: AccessId) {
        let Some(state) = self.accesses.remove(&access) else { return };
        self.shield.dequeue(state.queued);
        for (_, Reservation { parent, probability }) in state.reservations {
            self.shield.settle(now, parent, probability, ArchiveOutcome::Unknown);
        }
    }

    /// The number of accesses that are not done.
    pub fn open_accesses(&self) -> usize {
        self.accesses.len()
    }
}
