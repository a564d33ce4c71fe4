//! The reducer's dealings with a hierarchy of parents: what it is told, and what it says of an access.

use doorgrade::{Access, AccessId, FillRoutes, Member, PushResult, Ticks};
use doorgrade_hierarchy::homes::{HomesChange, SavedList};
use doorgrade_hierarchy::reconcile::reconcile;
use doorgrade_hierarchy::{ApplyOutcome, Change, FillRouter, RouterConfig, Shape, cdn_loop};

use super::{Learned, Work};
use crate::config::Config;

/// A ring is met by every fill that goes that way; the log has one line a second of it.
const RINGS_TOLD: Ticks = 10_000;

pub(super) struct Tiers {
    pub(super) guide: FillRouter,
    /// What each push says that it has come through, if it is to say so.
    pub(super) via: Option<String>,
    name: String,
    loop_header: bool,
    /// When a ring was in the log last.
    ring_told: Ticks,
    /// Parents and the archive are members of these kinds.
    kinds: [Option<usize>; 2],
}

impl Tiers {
    /// None where the operators' settings have it off.
    pub(super) fn new(config: &Config, now: Ticks) -> Option<Tiers> {
        let own = config.files.settings.hierarchy.as_ref()?;
        let told = &config.told.settings;
        let rules = RouterConfig {
            tier: own.tier,
            handover_duration: own.hand_over_ms * 10,
            cold_initial_share: told.parent_cold.initial_share,
            cold_duration: told.parent_cold.duration,
            zone_fronts: told.zone_fronts,
            shield: own.shield,
        };
        Some(Tiers {
            guide: FillRouter::new(rules, now),
            via: None,
            name: config.name.clone(),
            loop_header: own.loop_header,
            ring_told: 0,
            kinds: [told.parent_kind, told.origin_kind],
        })
    }
}

fn tell(moved: Option<HomesChange>) {
    if let Some(moved) = moved.filter(|m| m.moved_share > 0.0) {
        let (share, least) = (100.0 * moved.moved_share, 100.0 * moved.min_moved_share);
        tracing::info!("homes: {share:.1}% of the objects move ({least:.1}% is the least possible)");
    }
}

impl Work {
    /// Changes of shape; `whole`: they tell all there is to be, whatever was told before.
    pub(super) fn take_shape(&mut self, changes: &[Change], whole: bool) {
        let Some(tiers) = &mut self.tiers else { return };
        let leads = whole.then(|| {
            let mut wanted = Shape::new();
            changes.iter().for_each(|c| drop(wanted.apply(c)));
            reconcile(tiers.guide.shape(), &wanted)
        });
        let changes = leads.as_deref().unwrap_or(changes);
        let before = tiers.guide.shape().revision;
        let (heard, moved) = tiers.guide.apply_changes(self.now, changes);
        for (change, heard) in changes.iter().zip(heard) {
            let member = &change.member;
            match heard {
                ApplyOutcome::Rejected(why) => {
                    tracing::warn!(member = %member, "shape: change of {member} refused: {why}")
                }
                ApplyOutcome::Pending(_)
                | ApplyOutcome::Applied
                | ApplyOutcome::Duplicate
                | ApplyOutcome::Superseded { .. } => {}
            }
        }
        // What waits at the end is what is worth a line; on the way much waits for the next line of a file.
        for aside in tiers.guide.shape().pending_changes() {
            tracing::warn!(member = %aside.member, "shape: change {} of {} is not in force: {}", aside.number, aside.member, aside.reason);
        }
        if tiers.guide.shape().revision != before {
            let shape = tiers.guide.shape();
            tracing::info!("shape: {} members, {} deep", shape.len(), shape.depth());
        }
        let depth = tiers.guide.depth();
        tiers.via = tiers.loop_header.then(|| cdn_loop::initial_header(&tiers.name, depth));
        tell(moved);
        self.learn_homes(moved.is_some());
    }

    /// Homes have changed: whoever remembers them is told, in the system's time.
    fn learn_homes(&mut self, changed: bool) {
        let Some((tiers, learned)) = self.tiers.as_ref().zip(self.learned.as_mut()).filter(|_| changed)
        else {
            return;
        };
        learned.push(Learned::Homes(tiers.guide.save_homes()));
    }

    /// Homes from before the start. The list after it has been told.
    pub(super) fn recall_homes(&mut self, taken: Ticks, kept: Vec<SavedList>) {
        let Some(tiers) = &mut self.tiers else { return };
        let since = kept.first().map_or(0, |k| self.now.saturating_sub(k.started_at) / 10);
        let recalled = tiers.guide.restore_homes(self.now, taken, &kept);
        match recalled {
            Ok(lists) => {
                tracing::info!(
                    "homes: a hand-over is known again, over {lists} lists, the last of {since} ms ago"
                );
            }
            Err(why) => tracing::info!("homes: nothing of a hand-over is known from before: {why}"),
        }
        self.learn_homes(recalled.is_ok());
    }

    pub(super) fn list_tiers(&mut self, members: &[Member], whole: bool) {
        if let Some(tiers) = &mut self.tiers {
            let ours = |m: &&Member| tiers.kinds.contains(&Some(m.kind));
            let parents: Vec<Member> = members.iter().filter(ours).cloned().collect();
            let moved = tiers.guide.update_members(self.now, &parents, whole);
            tell(moved);
            self.learn_homes(moved.is_some());
        }
    }

    pub(super) fn ask_tiers(&mut self, access: &Access, until: Ticks) -> FillRoutes {
        let Some(tiers) = &mut self.tiers else { return FillRoutes::default() };
        if let Some(taken) = self.accesses.get_mut(&access.id) {
            taken.soft_at = until;
        }
        tiers.guide.fill_routes(self.now, access, until)
    }

    /// A push has ended.
    pub(super) fn tell_tiers(&mut self, access: AccessId, ended: &PushResult, ring: Option<&str>) {
        let Some(tiers) = &mut self.tiers else { return };
        let taken = self.accesses.get(&access);
        let late = taken.is_some_and(|t| self.now > t.soft_at);
        let renews = taken.and_then(|t| t.sent.get(ended.push)).is_some_and(|s| s.renews);
        tiers.guide.push_ended(self.now, access, ended, late, renews);
        if let Some(ring) = ring {
            tiers.guide.cycles += 1;
            if self.now >= tiers.ring_told + RINGS_TOLD {
                tiers.ring_told = self.now;
                let count = tiers.guide.cycles;
                tracing::warn!(ring, count, "a fill came round in a ring, {ring}: cut, and sent another way");
            }
        }
    }
}
