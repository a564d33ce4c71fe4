//! The reducer's use of the hierarchy of parents.

use doorgrade::{Access, AccessId, FillRoutes, Member, PushResult, Ticks};
use doorgrade_hierarchy::homes::{HomesChange, SavedList};
use doorgrade_hierarchy::{ApplyOutcome, Change, FillRouter, RouterConfig, cdn_loop};

use super::{Observation, State};
use crate::config::Config;

/// A cycle is logged at most once in this time, 1 s, since every fill on its route runs into it.
const CYCLE_LOG_INTERVAL: Ticks = 10_000;

pub(super) struct Hierarchy {
    pub(super) router: FillRouter,
    /// The `CDN-Loop` value of each request, if it is sent.
    pub(super) cdn_loop: Option<String>,
    name: String,
    sends_loop_header: bool,
    /// When a cycle was last logged.
    cycle_logged_at: Ticks,
    /// The kinds of members that are parents and the origin.
    member_kinds: [Option<usize>; 2],
}

impl Hierarchy {
    /// None if the operators' settings don't enable the hierarchy.
    pub(super) fn new(config: &Config, now: Ticks) -> Option<Hierarchy> {
        let own = config.files.settings.hierarchy.as_ref()?;
        let platform = &config.platform.settings;
        let router_config = RouterConfig {
            tier: own.tier,
            handover_duration: own.hand_over_ms * 10,
            cold_initial_share: platform.parent_cold.initial_share,
            cold_duration: platform.parent_cold.duration,
            zone_fronts: platform.zone_fronts,
            shield: own.shield,
        };
        Some(Hierarchy {
            router: FillRouter::new(router_config, now),
            cdn_loop: None,
            name: config.name.clone(),
            sends_loop_header: own.loop_header,
            cycle_logged_at: 0,
            member_kinds: [platform.parent_kind, platform.origin_kind],
        })
    }
}

fn log_homes_change(moved: Option<HomesChange>) {
    if let Some(moved) = moved.filter(|m| m.moved_share > 0.0) {
        let (share, min_share) = (100.0 * moved.moved_share, 100.0 * moved.min_moved_share);
        tracing::info!("homes: {share:.1}% of the objects move ({min_share:.1}% is the least possible)");
    }
}

impl State {
    /// Puts the shape that these changes describe in use, whatever was in use before.
    pub(super) fn apply_shape(&mut self, changes: &[Change]) {
        let Some(hierarchy) = &mut self.hierarchy else { return };
        let before = hierarchy.router.shape().revision;
        let (outcomes, moved) = hierarchy.router.replace_shape(self.now, changes);
        for (change, outcome) in changes.iter().zip(outcomes) {
            let member = &change.member;
            match outcome {
                ApplyOutcome::Rejected(reason) => {
                    tracing::warn!(member = %member, "shape: change of {member} rejected: {reason}")
                }
                ApplyOutcome::Pending(_)
                | ApplyOutcome::Applied
                | ApplyOutcome::Duplicate
                | ApplyOutcome::Superseded { .. } => {}
            }
        }
        // Only the changes that are still pending at the end are worth a log event; a change often waits for
        // a later one of the same file.
        for pending in hierarchy.router.shape().pending_changes() {
            tracing::warn!(member = %pending.member, "shape: change {} of {} is not in force: {}", pending.number, pending.member, pending.reason);
        }
        if hierarchy.router.shape().revision != before {
            let shape = hierarchy.router.shape();
            tracing::info!("shape: {} members, {} deep", shape.len(), shape.depth());
        }
        let depth = hierarchy.router.depth();
        hierarchy.cdn_loop =
            hierarchy.sends_loop_header.then(|| cdn_loop::initial_header(&hierarchy.name, depth));
        log_homes_change(moved);
        self.record_homes(moved.is_some());
    }

    /// If homes have changed, records them for saving, with times of this process.
    fn record_homes(&mut self, changed: bool) {
        let Some((hierarchy, learned)) =
            self.hierarchy.as_ref().zip(self.learned.as_mut()).filter(|_| changed)
        else {
            return;
        };
        learned.push(Observation::Homes(hierarchy.router.save_homes()));
    }

    /// Restores the homes saved before the start. The member list has been applied before.
    pub(super) fn restore_homes(&mut self, saved_at: Ticks, lists: Vec<SavedList>) {
        let Some(hierarchy) = &mut self.hierarchy else { return };
        let age_ms = lists.first().map_or(0, |l| self.now.saturating_sub(l.started_at) / 10);
        let restored = hierarchy.router.restore_homes(self.now, saved_at, &lists);
        match restored {
            Ok(count) => {
                tracing::info!(
                    "homes: a hand-over is known again, over {count} lists, the last of {age_ms} ms ago"
                );
            }
            Err(reason) => tracing::info!("homes: no handover restored: {reason}"),
        }
        self.record_homes(restored.is_ok());
    }

    pub(super) fn update_hierarchy(&mut self, members: &[Member], complete: bool) {
        if let Some(hierarchy) = &mut self.hierarchy {
            let in_hierarchy = |m: &&Member| hierarchy.member_kinds.contains(&Some(m.kind));
            let parents: Vec<Member> = members.iter().filter(in_hierarchy).cloned().collect();
            let moved = hierarchy.router.update_members(self.now, &parents, complete);
            log_homes_change(moved);
            self.record_homes(moved.is_some());
        }
    }

    pub(super) fn hierarchy_routes(&mut self, access: &Access, soft_limit_at: Ticks) -> FillRoutes {
        let Some(hierarchy) = &mut self.hierarchy else { return FillRoutes::default() };
        if let Some(open_access) = self.accesses.get_mut(&access.id) {
            open_access.soft_limit_at = soft_limit_at;
        }
        hierarchy.router.fill_routes(self.now, access, soft_limit_at)
    }

    /// Reports the end of a push to the router.
    pub(super) fn report_push_end(
        &mut self,
        access: AccessId,
        push_result: &PushResult,
        cycle: Option<&str>,
    ) {
        let Some(hierarchy) = &mut self.hierarchy else { return };
        let open_access = self.accesses.get(&access);
        let late = open_access.is_some_and(|a| self.now > a.soft_limit_at);
        let refresh = open_access.and_then(|a| a.pushes.get(push_result.push)).is_some_and(|s| s.refresh);
        hierarchy.router.push_ended(self.now, access, push_result, late, refresh);
        if let Some(ring) = cycle {
            hierarchy.router.cycles += 1;
            if self.now >= hierarchy.cycle_logged_at + CYCLE_LOG_INTERVAL {
                hierarchy.cycle_logged_at = self.now;
                let count = hierarchy.router.cycles;
                tracing::warn!(
                    ring,
                    count,
                    "a fill came round in a ring, {ring}: cut, and sent by another route"
                );
            }
        }
    }
}
