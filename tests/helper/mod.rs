//! A front in a simulation that checks the rules at every call: it plays the clients, the caches and the clock, knows
//! what the front was told, and fails the test at the first violation.
//!
//! The five rules:
//! 1. Each access gets exactly one final answer, before its deadline.
//! 2. An access that may have run is sent again, or declined as safe to repeat, only as its repeat policy permits.
//! 3. No push names a member that is known to be draining or gone.
//! 4. A cold member is not overloaded.
//! 5. Once a purge is known, no copy from before it is accepted.
#![allow(dead_code)] // Each test target uses only a part.

use std::collections::BTreeMap;

use doorgrade::*;

/// A push that the front has sent.
pub struct SentPush {
    pub cache: String,
    pub source: String,
    pub sent_at: Ticks,
    pub times_out_at: Ticks,
    /// None while it is in flight.
    pub outcome: Option<Outcome>,
    pub max_age: Ticks,
    pub rank: u8,
    pub refresh: bool,
    pub only_if_cached: bool,
}

/// An access that the front was handed, and what the front has done about it.
pub struct AccessRecord {
    pub access: Access,
    pub pushes: Vec<SentPush>,
    /// Responses, declines and give-ups.
    pub final_answers: u32,
    pub declined: bool,
}

/// Everything around one front, as the tests play it.
pub struct Simulation {
    pub settings: Settings,
    pub now: Ticks,
    /// Every member that was ever listed, in its latest state.
    pub members: BTreeMap<String, Member>,
    pub accesses: BTreeMap<AccessId, AccessRecord>,
    /// The timers that are set: when each fires, and its key.
    pub timers: Vec<(Ticks, u64)>,
    /// The purges that the front was told of: object, group and time.
    pub purges: Vec<(Option<u64>, u64, Ticks)>,
    pub list_requests: u32,
    pub log_events: u32,
    /// The age of the copies in the answers from now on, in ticks; None if answers don't report it.
    pub copy_age: Option<i64>,
}

/// A member in service, whose start isn't known.
pub fn member(id: &str, zone: usize, kind: usize) -> Member {
    let status = MemberStatus::Listed;
    Member { id: id.into(), zone, kind, cell: zone as u64, status, weight: 1.0, started_at: None }
}

pub fn offering(repeat_policy: RepeatPolicy, fresh_time: Ticks, uncacheable: bool) -> Offering {
    Offering {
        soft_limit: 4_000,
        hard_limit: 20_000,
        transfer_factor: 1.0,
        benefit: 1.0,
        repeat_policy,
        fresh_time,
        uncacheable,
    }
}

/// Caches and parents of the front's zone, a cache of another one, and the origin.
pub fn member_list(caches: usize, parents: usize) -> Vec<Member> {
    let mut list: Vec<_> = (0..caches).map(|i| member(&format!("cache-{i}"), 0, 0)).collect();
    list.extend((0..parents).map(|i| member(&format!("parent-{i}"), 1, 1)));
    list.push(member("other-zone-cache", 2, 0));
    list.push(member("origin", 1, 2));
    list
}

/// Zone 0 is the front's; kinds: 0 cache, 1 parent, 2 origin.
pub fn settings() -> Settings {
    let cold = ColdLimits { initial_share: 0.2, duration: 160_000, load_multiple: 3.0, window: 20_000 };
    let deduplicated = RepeatPolicy::Deduplicated { within: Group::Cell, window: 10_000 };
    Settings {
        offerings: vec![
            offering(RepeatPolicy::Idempotent, 80_000, false),
            offering(RepeatPolicy::Idempotent, 0, false),
            offering(deduplicated, 80_000, false),
            offering(RepeatPolicy::Unrepeatable, 0, true),
            offering(RepeatPolicy::Idempotent, 0, true),
        ],
        zone: 0,
        zone_fronts: 1,
        parent_kind: Some(1),
        origin_kind: Some(2),
        status_reporting: StatusReporting::All,
        features: Features { join_fills: true, cache_bypass: true, cancel_pushes: true, hedged_pushes: true },
        max_pushes: 6,
        comparable_weights: true,
        list_on_request: false,
        min_input_interval: 20,
        flow_kb_per_s: 5_000.0,
        cold,
        parent_cold: ColdLimits { initial_share: 0.1, load_multiple: 2.0, ..cold },
        purge_propagation: 60_000,
    }
}

impl Simulation {
    pub fn new(settings: Settings, listed: &[Member]) -> (Simulation, Front) {
        Simulation::seeded(settings, listed, 7)
    }

    pub fn seeded(settings: Settings, listed: &[Member], seed: u64) -> (Simulation, Front) {
        let mut front = Front::new(&settings, seed);
        let (now, list_requests) = (1_000_000, 0);
        let (members, accesses, timers, purges) = Default::default();
        let mut simulation = Simulation {
            settings,
            now,
            members,
            accesses,
            timers,
            purges,
            list_requests,
            log_events: 0,
            copy_age: None,
        };
        simulation.send_list(&mut front, listed, true);
        (simulation, front)
    }

    /// Hands the front a list of members: all that there are (`full`), or those that have changed.
    pub fn send_list(&mut self, front: &mut Front, listed: &[Member], full: bool) {
        if full {
            self.members.values_mut().for_each(|m| m.status = MemberStatus::Gone);
        }
        for m in listed {
            self.members.insert(m.id.to_string(), m.clone());
        }
        front.member_list_received(self.now, listed, full, self);
    }

    /// Sends an access that carries an identifier by which caches recognise a repeat of it.
    pub fn access(&mut self, front: &mut Front, id: AccessId, offering: usize, object: u64) {
        self.access_with(front, id, offering, object, true);
    }

    /// Sends an access with or without that identifier.
    pub fn access_with(
        &mut self,
        front: &mut Front,
        id: AccessId,
        offering: usize,
        object: u64,
        has_repeat_id: bool,
    ) {
        let (part, group, kb, deadline) = (0, object % 4, 0.0, self.now + 20_000);
        let access = Access { id, offering, object, part, group, kb, deadline, has_repeat_id };
        self.send_access(front, access);
    }

    /// Sends an access whose client tells the size of the response.
    pub fn access_of_size(&mut self, front: &mut Front, id: AccessId, offering: usize, object: u64, kb: f64) {
        let (part, group, deadline) = (0, object % 4, self.now + 20_000);
        let access = Access { id, offering, object, part, group, kb, deadline, has_repeat_id: true };
        self.send_access(front, access);
    }

    fn send_access(&mut self, front: &mut Front, access: Access) {
        let id = access.id;
        let record = AccessRecord { access, pushes: Vec::new(), final_answers: 0, declined: false };
        self.accesses.insert(id, record);
        front.access(self.now, &access, self);
    }

    /// Ends a push. If it was handled, the client gets its response, unless the access already ended.
    pub fn end_push(
        &mut self,
        front: &mut Front,
        id: AccessId,
        push: usize,
        outcome: Outcome,
        cache_status: CacheStatus,
    ) {
        let record = self.accesses.get_mut(&id).unwrap();
        let latency = self.now - record.pushes[push].sent_at;
        record.pushes[push].outcome = Some(outcome);
        let access_done = outcome == Outcome::Handled || record.final_answers > 0;
        if outcome == Outcome::Handled && record.final_answers == 0 {
            record.final_answers = 1;
        }
        let origin_sent_at = self.copy_age.and_then(|age| self.now.checked_add_signed(-age));
        front.push_ended(
            self.now,
            id,
            &PushResult { push, outcome, access_done, latency, cache_status, origin_sent_at },
            self,
        );
    }

    /// Tells the front of a purge that took place this long ago.
    pub fn purge(&mut self, front: &mut Front, object: Option<u64>, group: u64, ago: Ticks) {
        self.purges.push((object, group, self.now - ago));
        front.purge_received(self.now, object, group, ago);
    }

    /// Lets time pass in small steps: timers fire, pushes time out, and no access may be open past its
    /// deadline.
    pub fn advance(&mut self, front: &mut Front, time: Ticks) {
        let end = self.now + time;
        while self.now < end {
            self.now = (self.now + 20).min(end);
            let timed_out_pushes = |record: &AccessRecord| {
                let timed_out = |p: &SentPush| p.outcome.is_none() && p.times_out_at <= self.now;
                let pushes = record.pushes.iter().enumerate().filter(|(_, p)| timed_out(p));
                pushes.map(|(number, _)| (record.access.id, number)).collect::<Vec<_>>()
            };
            let timed_out: Vec<_> = self.accesses.values().flat_map(timed_out_pushes).collect();
            for (id, push) in timed_out {
                self.end_push(front, id, push, Outcome::TimedOut, CacheStatus::Untold);
            }
            let fired: Vec<_> = self.timers.extract_if(.., |t| t.0 <= self.now).collect();
            for (_, key) in fired {
                front.timer_fired(self.now, key, self);
            }
            for record in self.accesses.values() {
                assert!(
                    record.final_answers == 1 || self.now <= record.access.deadline,
                    "rule 1: no final answer before the deadline"
                );
            }
            self.accesses.retain(|_, record| {
                record.final_answers == 0 || record.pushes.iter().any(|p| p.outcome.is_none())
            });
        }
    }

    pub fn last_push(&self, id: AccessId) -> &SentPush {
        self.accesses[&id].pushes.last().unwrap()
    }

    fn record_end(&mut self, id: AccessId, declined: bool) {
        let record = self.accesses.get_mut(&id).expect("a final answer for an access that was never sent");
        assert_eq!(record.final_answers, 0, "rule 1: a second final answer");
        (record.final_answers, record.declined) = (1, declined);
        let never_run = record.pushes.iter().all(|p| p.outcome.is_some_and(Outcome::proves_unrun));
        let safe_to_repeat = match self.settings.offerings[record.access.offering].repeat_policy {
            RepeatPolicy::Idempotent => true,
            RepeatPolicy::Deduplicated { within: Group::All, .. } if record.access.has_repeat_id => true,
            _ => never_run,
        };
        assert!(safe_to_repeat || !declined, "rule 2: declined as safe to repeat, but it may have run");
    }
}

impl EffectSink for Simulation {
    fn push(&mut self, push: &Push<'_>) {
        let record = self.accesses.get_mut(&push.access).expect("a push for an access that was never sent");
        assert_eq!(record.final_answers, 0, "rule 1: a push after the final answer");
        assert!(
            push.timeout > 0 && self.now + push.timeout < record.access.deadline,
            "rule 1: the push leaves no time for a final answer before the deadline"
        );
        assert!(record.pushes.len() < self.settings.max_pushes && self.now < push.send_deadline);
        let (cache, source) = (&self.members[push.cache], &self.members[push.source]);
        for m in [cache, source] {
            assert_eq!(
                m.status,
                MemberStatus::Listed,
                "rule 3: a push names a member that is known to be draining or gone"
            );
        }
        assert!(self.settings.features.cache_bypass || cache.kind == 0);
        assert!(cache.kind != 0 || cache.zone == 0, "a cache of another zone");
        let offering = &self.settings.offerings[record.access.offering];
        assert!(!offering.uncacheable || source.kind == 2, "an uncacheable access must run at the origin");
        for earlier in record.pushes.iter().filter(|p| !p.outcome.is_some_and(Outcome::proves_unrun)) {
            match offering.repeat_policy {
                RepeatPolicy::Idempotent => {}
                RepeatPolicy::Deduplicated { .. } if !record.access.has_repeat_id => {
                    panic!("rule 2: a deduplicated access without an identifier was sent again")
                }
                RepeatPolicy::Unrepeatable => panic!("rule 2: an unrepeatable access was sent again"),
                RepeatPolicy::Deduplicated { within, window } => {
                    let first = &self.members[&earlier.cache];
                    assert!(
                        push.send_deadline <= earlier.sent_at + window,
                        "rule 2: sent again after caches may have forgotten the first push"
                    );
                    assert!(
                        within != Group::Zone || first.zone == cache.zone,
                        "rule 2: sent again to a zone that doesn't know of the first push"
                    );
                    assert!(
                        within != Group::Cell || first.cell == cache.cell,
                        "rule 2: sent again to a cell that doesn't know of the first push"
                    );
                }
            }
        }
        assert!(self.settings.features.hedged_pushes || record.pushes.iter().all(|p| p.outcome.is_some()));
        for &(object, group, purged_at) in &self.purges {
            let applies = object.map_or(group == record.access.group, |o| o == record.access.object);
            if applies {
                assert!(
                    push.max_age > 0 && self.now - push.max_age >= purged_at.min(self.now - 1),
                    "rule 5: accepts a copy from before a known purge"
                );
            }
        }
        assert!(push.max_age <= offering.fresh_time || offering.fresh_time == 0);
        record.pushes.push(SentPush {
            cache: push.cache.to_string(),
            source: push.source.to_string(),
            sent_at: self.now,
            times_out_at: self.now + push.timeout,
            outcome: None,
            max_age: push.max_age,
            rank: push.rank,
            refresh: push.refresh,
            only_if_cached: push.only_if_cached,
        });
    }

    fn cancel_push(&mut self, access: AccessId, push: usize) {
        assert!(self.settings.features.cancel_pushes && push < self.accesses[&access].pushes.len());
    }

    fn decline(&mut self, access: AccessId, _: UnservedReason) {
        self.record_end(access, true);
    }

    fn give_up(&mut self, access: AccessId, _: UnservedReason) {
        self.record_end(access, false);
    }

    fn set_timer(&mut self, at: Ticks, key: u64) {
        assert!(at > self.now);
        self.timers.push((at, key));
    }

    fn request_member_list(&mut self) {
        self.list_requests += 1;
    }

    fn log(&mut self, _: std::fmt::Arguments<'_>) {
        self.log_events += 1;
    }
}
