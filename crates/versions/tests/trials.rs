//! Overlapping rollouts judged by evidence: difficult cases in virtual time.

mod trial_world;

use std::io::Write;

use doorgrade_versions::VersionId;
use doorgrade_versions::message::ToService;
use doorgrade_versions::service::{
    ChangeState, LogEvent, PublishError, RemovalReason, Request, Response, Role, StoredState, ThinTraffic,
    TrialRules,
};
use trial_world::{SECOND, World, evidence, quantile};

fn rules() -> doorgrade_versions::service::Rules {
    evidence(TrialRules::default())
}

#[test]
fn a_change_goes_through_canaries_and_a_share_of_fronts_to_all() {
    let mut w = World::settled(1, 300, rules());
    let id = w.change("").unwrap();
    assert!(w.advance_until(8 * SECOND, |w| w.in_force.contains_key(&id.number)), "{}", w.recent_events());
    let stages: Vec<_> = w.log.iter().filter(|l| matches!(l.1, LogEvent::StageStarted { .. })).collect();
    assert!(stages.len() >= 3, "{stages:?}");
    assert_eq!(w.count_with(id.number), 300);
    assert!(w.seconds_to_in_force(id.number).unwrap() < 5.0, "{}", w.recent_events());
}

#[test]
fn a_harmful_change_is_removed_before_it_reaches_many_fronts() {
    let mut w = World::settled(2, 300, rules());
    let id = w.change("harm=0.1").unwrap();
    assert!(w.advance_until(10 * SECOND, |w| w.removed.contains_key(&id.number)), "{}", w.recent_events());
    assert!(matches!(w.removed[&id.number].1, RemovalReason::ServiceDrop { .. }));
    assert!(w.reach_of(id.number) <= 30, "{}", w.reach_of(id.number));
    w.advance(5 * SECOND);
    assert_eq!(w.count_with(id.number), 0);
    let next = w.change("").unwrap();
    assert!(w.advance_until(8 * SECOND, |w| w.in_force.contains_key(&next.number)));
}

#[test]
fn overlapping_changes_reach_all_fronts_within_five_seconds() {
    let mut w = World::settled(3, 300, rules());
    let mut ids = Vec::new();
    for _ in 0..200 {
        ids.push(w.change("").expect("no change is rejected"));
        let pause = -2.0 * w.rng.f64().max(1e-9).ln();
        w.advance((pause * SECOND as f64) as u64);
    }
    w.advance(20 * SECOND);
    let seconds: Vec<f64> = ids.iter().filter_map(|id| w.seconds_to_in_force(id.number)).collect();
    assert_eq!((seconds.len(), w.removed.len()), (200, 0), "{:?}", w.removed);
    let (p50, p99, max) = (quantile(&seconds, 0.5), quantile(&seconds, 0.99), quantile(&seconds, 1.0));
    let figures = format!("in force after: median {p50:.2} s, p99 {p99:.2} s, at most {max:.2} s");
    writeln!(std::io::stderr(), "{figures}").unwrap();
    assert!(p99 <= 5.0, "{figures}");
}

#[test]
fn only_the_harmful_one_of_five_changes_is_removed() {
    let mut w = World::settled(4, 300, rules());
    let ids: Vec<VersionId> =
        (0..5).map(|n| w.change(if n == 1 { "harm=0.1" } else { "" }).unwrap()).collect();
    let bad = ids[1].number;
    assert!(w.advance_until(20 * SECOND, |w| w.in_force.len() == 5), "{}", w.recent_events());
    assert_eq!(w.removed.keys().copied().collect::<Vec<_>>(), [bad]);
    assert!(matches!(w.removed[&bad].1, RemovalReason::ServiceDrop { .. }), "{:?}", w.removed);
    assert!(w.reach_of(bad) <= 30, "{}", w.reach_of(bad));
    // `World` asserts for every connected front that it is removed within five seconds.
    w.advance(10 * SECOND);
    assert_eq!(w.count_with(bad), 0);
    for id in ids.iter().filter(|id| id.number != bad) {
        assert_eq!(w.count_with(id.number), 300, "{:?}", w.state(id.number));
    }
}

#[test]
fn two_changes_that_are_harmful_only_together_are_found() {
    // All three changes are in one batch, behind a first change that is at its canaries when they are
    // published. Either the last change or the one before it is to blame.
    for (seed, batch, culprit) in [(5, ["pair", "", "pair"], 2), (6, ["pair", "pair", ""], 1)] {
        let mut w = World::settled(seed, 300, rules());
        w.change("").unwrap();
        w.advance(SECOND / 5);
        let ids: Vec<VersionId> = batch.iter().map(|kind| w.change(kind).unwrap()).collect();
        assert!(w.advance_until(30 * SECOND, |w| w.in_force.len() == 4), "{}", w.recent_events());
        let bad = ids[culprit].number;
        assert_eq!(w.removed.keys().copied().collect::<Vec<_>>(), [bad], "{}", w.recent_events());
        assert!(matches!(w.removed[&bad].1, RemovalReason::Interaction { .. }), "{}", w.recent_events());
        assert!(w.reach_of(bad) <= 30, "{}", w.reach_of(bad));
        w.advance(10 * SECOND);
        assert_eq!((w.count_with(ids[0].number), w.count_with(bad)), (300, 0));
    }
    // Published one after the other, the later change is harmful.
    let mut w = World::settled(21, 300, rules());
    let first = w.change("pair").unwrap();
    assert!(w.advance_until(10 * SECOND, |w| w.in_force.contains_key(&first.number)));
    let second = w.change("pair").unwrap();
    assert!(
        w.advance_until(10 * SECOND, |w| w.removed.contains_key(&second.number)),
        "{}",
        w.recent_events()
    );
    assert!(!w.removed.contains_key(&first.number));
}

#[test]
fn an_overload_of_all_fronts_removes_no_change() {
    let mut w = World::settled(7, 300, rules());
    for overload in [0.05, 0.2, 0.5] {
        let ids = [w.change("").unwrap(), w.change("").unwrap()];
        w.advance(SECOND / 2);
        w.set_overload(overload);
        w.advance(3 * SECOND);
        w.set_overload(0.0);
        assert!(
            w.advance_until(20 * SECOND, |w| ids.iter().all(|id| w.in_force.contains_key(&id.number))),
            "{:?}",
            w.log
        );
    }
    assert!(w.removed.is_empty(), "{:?}", w.removed);
}

#[test]
fn lost_late_duplicate_and_false_reports_remove_no_change() {
    let mut w = World::settled(8, 300, rules());
    w.hosts.iter_mut().for_each(|h| h.unreliable = true);
    for round in 0..15 {
        // In each round the same three fronts start to report fewer answers, none, or more than they have.
        for (front, factor) in [(17, 0.5), (120, 0.0), (251, 3.0)] {
            w.hosts[front].misreports = Some(factor);
        }
        let id = w.change("").unwrap();
        let done = w.advance_until(30 * SECOND, |w| w.in_force.contains_key(&id.number));
        assert!(done, "round {round}: {}", w.recent_events());
        w.hosts.iter_mut().for_each(|h| h.misreports = None);
    }
    assert!(w.removed.is_empty(), "{:?}", w.removed);
    let bad = w.change("harm=0.1").unwrap();
    assert!(w.advance_until(10 * SECOND, |w| w.removed.contains_key(&bad.number)), "{}", w.recent_events());
}

/// The fronts that run a change.
fn fronts_running(w: &World, number: u64) -> Vec<usize> {
    (0..w.hosts.len()).filter(|&n| w.front_has(n, number)).collect()
}

#[test]
fn a_killed_canary_delays_a_change_by_less_than_a_second() {
    let seconds = |kill: bool| {
        let mut w = World::settled(9, 300, rules());
        let id = w.change("").unwrap();
        assert!(w.advance_until(2 * SECOND, |w| fronts_running(w, id.number).len() >= 5));
        if kill {
            let canary = fronts_running(&w, id.number)[0];
            w.kill_front(canary, 20 * SECOND);
        }
        assert!(
            w.advance_until(10 * SECOND, |w| w.in_force.contains_key(&id.number)),
            "{}",
            w.recent_events()
        );
        assert!(w.removed.is_empty());
        w.seconds_to_in_force(id.number).unwrap()
    };
    let (with, without) = (seconds(true), seconds(false));
    writeln!(std::io::stderr(), "in force after {without:.2} s; with a canary killed {with:.2} s").unwrap();
    assert!(with < without + 1.0, "{with} {without}");
}

#[test]
fn a_region_disconnected_during_a_trial_goes_directly_to_the_newest_version() {
    let mut w = World::settled(10, 300, rules());
    let first = w.change("").unwrap();
    assert!(w.advance_until(2 * SECOND, |w| !fronts_running(w, first.number).is_empty()));
    // A tenth of the stations, with canaries among them.
    let station = fronts_running(&w, first.number)[0] % 30;
    let region: Vec<usize> = (0..300).filter(|n| (n % 30 + 30 - station) % 30 < 3).collect();
    region.iter().for_each(|&n| w.disconnect_front(n, 60 * SECOND));
    let mut last = first;
    for _ in 0..10 {
        w.advance(3 * SECOND);
        last = w.change("").unwrap();
    }
    assert!(w.advance_until(10 * SECOND, |w| w.in_force.contains_key(&last.number)), "{}", w.recent_events());
    assert!(w.removed.is_empty(), "{:?}", w.removed);
    let lacking = |w: &World| region.iter().filter(|&&n| !w.front_has(n, last.number)).count();
    assert_eq!(lacking(&w), region.len(), "they are disconnected, and the service knows it");
    let connected = w.service.as_ref().unwrap().fronts().filter(|f| f.connected).count();
    assert_eq!(connected, 300 - region.len());
    let before: Vec<u64> = region.iter().map(|&n| w.hosts[n].applied).collect();
    w.advance(130 * SECOND);
    assert_eq!(lacking(&w), 0);
    for (&n, before) in region.iter().zip(before) {
        assert_eq!(w.hosts[n].applied - before, 1, "front {n} applied other versions on the way");
    }
}

#[test]
fn restarts_of_a_tenth_of_the_fronts_remove_no_change() {
    let mut w = World::settled(11, 300, rules());
    for round in 0..10 {
        let ids = [w.change("").unwrap(), w.change("").unwrap(), w.change("").unwrap()];
        for _ in 0..30 {
            w.advance(SECOND / 20);
            let n = w.rng.usize(0..300);
            if w.hosts[n].front.is_some() {
                w.kill_front(n, 2 * SECOND);
            }
        }
        let done = w.advance_until(30 * SECOND, |w| ids.iter().all(|id| w.in_force.contains_key(&id.number)));
        assert!(done, "round {round}: {}", w.recent_events());
    }
    assert!(w.removed.is_empty(), "{:?}", w.removed);
}

#[test]
fn two_hundred_changes_in_a_minute_all_come_into_force() {
    let mut w = World::settled(12, 300, rules());
    let mut ids = Vec::new();
    for _ in 0..200 {
        ids.push(w.change("").expect("no change is rejected"));
        w.advance(3 * SECOND / 10);
    }
    assert!(
        w.advance_until(60 * SECOND, |w| w.in_force.len() == 201),
        "{} {:?}",
        w.in_force.len(),
        w.log.last()
    );
    let seconds: Vec<f64> = ids.iter().filter_map(|id| w.seconds_to_in_force(id.number)).collect();
    let (p50, max) = (quantile(&seconds, 0.5), quantile(&seconds, 1.0));
    writeln!(std::io::stderr(), "200 in a minute: median {p50:.2} s, at most {max:.2} s").unwrap();
    assert!(w.removed.is_empty());
}

#[test]
fn a_front_paused_during_a_removal_returns_to_a_good_version() {
    let mut w = World::settled(13, 300, rules());
    let bad = w.change("harm=0.1").unwrap();
    assert!(w.advance_until(3 * SECOND, |w| !fronts_running(w, bad.number).is_empty()));
    let stopped = fronts_running(&w, bad.number)[0];
    w.pause_front(stopped);
    assert!(w.advance_until(10 * SECOND, |w| w.removed.contains_key(&bad.number)));
    w.advance(60 * SECOND);
    assert_eq!(fronts_running(&w, bad.number), [stopped]);
    let good = w.change("").unwrap();
    assert!(
        w.advance_until(30 * SECOND, |w| w.in_force.contains_key(&good.number)),
        "the others do not wait for it"
    );
    w.resume_front(stopped);
    w.advance(5 * SECOND);
    assert_eq!(w.count_with(bad.number), 0);
    assert!(w.front_has(stopped, good.number));
}

/// Publishes five changes, of which one is harmful, and a sixth; the service is killed at the `point`th
/// record that it stores.
fn killed_at(point: u32, store: u8) -> bool {
    let mut w = World::settled(14, 60, rules());
    let older = w.disk.clone();
    w.stores = 0;
    w.dies_at_store = Some(point);
    let mut ids = Vec::new();
    for n in 0..6 {
        if let Ok(id) = w.change(if n == 2 { "harm=0.1" } else { "" }) {
            ids.push(id);
        }
        w.advance(SECOND / 2);
        if w.service.is_none() {
            break;
        }
    }
    w.advance(12 * SECOND);
    let died = w.service.is_none();
    w.dies_at_store = None;
    if died {
        match store {
            0 => {}
            1 => w.disk = older,
            _ => w.disk = StoredState::default(),
        }
        w.epochs += 1;
        w.start_service();
        w.advance(90 * SECOND);
    }
    if store == 0 {
        let bad = ids.get(2).map(|id| id.number);
        let kept = ids.iter().filter(|id| Some(id.number) != bad);
        for id in kept {
            assert_eq!(w.count_with(id.number), 60, "killed at record {point}: {}", w.recent_events());
        }
        if let Some(bad) = bad {
            assert_eq!(w.count_with(bad), 0, "killed at record {point}: {}", w.recent_events());
            assert!(matches!(w.state(bad), Some(ChangeState::Removed(RemovalReason::ServiceDrop { .. }))));
        }
        assert!(w.removed.keys().all(|n| Some(*n) == bad), "killed at record {point}: {:?}", w.removed);
    }
    // Whatever was lost, a new publication reaches all fronts.
    let last = w.publish_text("end c0; good again\n").expect("it publishes again");
    let done = w.advance_until(90 * SECOND, |w| w.count_with(last.number) == 60);
    assert!(done, "killed at record {point}, store {store}: {}", w.recent_events());
    died
}

#[test]
fn a_service_killed_at_each_step_continues_with_its_store() {
    let points = (1..).take_while(|&point| killed_at(point, 0)).count();
    assert!(points >= 10, "{points}");
}

#[test]
fn a_service_killed_at_each_step_continues_with_an_older_store_or_none() {
    for store in [1, 2] {
        let points = (1..).take_while(|&point| killed_at(point, store)).count();
        assert!(points >= 10, "{points}");
    }
}

#[test]
fn with_thin_traffic_a_change_waits_or_continues_as_unproven() {
    for (thin_traffic, continues) in [(ThinTraffic::Wait, false), (ThinTraffic::Continue, true)] {
        let mut w = World::settled(15, 60, evidence(TrialRules { thin_traffic, ..TrialRules::default() }));
        w.set_rate(0.5);
        w.advance(10 * SECOND);
        let id = w.change("").unwrap();
        w.advance(40 * SECOND);
        assert_eq!(w.in_force.contains_key(&id.number), continues, "{}", w.recent_events());
        let logged = w
            .log
            .iter()
            .any(|l| matches!(l.1, LogEvent::ContinuedUnproven { change } if change == id.number));
        assert_eq!(logged, continues);
        let state = w.state(id.number).unwrap();
        assert_eq!(state, if continues { ChangeState::Unproven } else { ChangeState::Canary });
        if !continues {
            // With more traffic it continues by itself.
            w.set_rate(930.0);
            assert!(w.advance_until(20 * SECOND, |w| w.in_force.contains_key(&id.number)));
        }
    }
}

#[test]
fn overlapping_edits_conflict_and_separate_edits_merge() {
    let mut w = World::settled(16, 60, rules());
    let last = w.service.as_ref().unwrap().last();
    let seen = w.head();
    let ours = w.change_line(10, "mine").unwrap();
    let theirs = seen.replace("member 10 = 0\n", "member 10 = theirs\n");
    let rejected = w.publish_content(&theirs, "theirs", last);
    assert_eq!(rejected, Err(PublishError::Conflict { last: ours.number }));
    let beside = seen.replace("member 40 = 0\n", "member 40 = beside\n");
    let id = w.publish_content(&beside, "beside", last).expect("the changes do not overlap");
    assert!(w.advance_until(20 * SECOND, |w| w.in_force.contains_key(&id.number)));
    assert_eq!((w.count_with(ours.number), w.count_with(id.number)), (60, 60));
    let unknown = w.publish_content("x\n", "x", 999_999);
    assert_eq!(unknown, Err(PublishError::Conflict { last: w.service.as_ref().unwrap().last() }));
}

#[test]
fn a_change_that_depends_on_a_harmful_one_is_removed_with_it() {
    let mut w = World::settled(17, 300, rules());
    let bad = w.change_line(10, "harm=0.1").unwrap();
    let dependent = w.change_line(11, "").unwrap();
    let beside = w.change_line(60, "").unwrap();
    assert!(
        w.advance_until(20 * SECOND, |w| w.in_force.contains_key(&beside.number)),
        "{}",
        w.recent_events()
    );
    assert_eq!(
        w.removed.keys().copied().collect::<Vec<_>>(),
        [bad.number, dependent.number],
        "{}",
        w.recent_events()
    );
    assert_eq!(w.removed[&dependent.number].1, RemovalReason::DependsOn { change: bad.number });
    w.advance(10 * SECOND);
    assert_eq!(
        (w.count_with(bad.number), w.count_with(dependent.number), w.count_with(beside.number)),
        (0, 0, 300)
    );
}

#[test]
fn a_rejected_change_is_removed_and_no_front_applies_it() {
    for kind in ["refuse", "fatal"] {
        let mut w = World::settled(18, 100, rules());
        let bad = w.change(kind).unwrap();
        assert!(w.advance_until(20 * SECOND, |w| w.removed.contains_key(&bad.number)), "{kind}: {:?}", w.log);
        w.advance(10 * SECOND);
        assert_eq!((w.count_with(bad.number), w.reach_of(bad.number)), (0, 0));
        let next = w.change("").unwrap();
        assert!(
            w.advance_until(20 * SECOND, |w| w.in_force.contains_key(&next.number)),
            "{kind}: {:?}",
            w.log.last()
        );
        // Fronts that rejected it do not apply it after a restart either.
        (0..100).for_each(|n| w.kill_front(n, SECOND));
        w.advance(30 * SECOND);
        assert_eq!((w.count_with(bad.number), w.count_with(next.number)), (0, 100), "{kind}");
    }
}

#[test]
fn hostile_counts_have_no_effect() {
    let mut w = World::settled(19, 100, rules());
    let id = w.change("").unwrap();
    let mut sequence = 1 << 40;
    for round in 0..40 {
        for n in [3, 4] {
            let conn = w.hosts[n].conn.unwrap();
            let running = w.hosts[n].front.as_ref().and_then(|f| f.running());
            let (accesses, answered) =
                [(u64::MAX, u64::MAX), (0, u64::MAX), (u64::MAX, 0), (5, 9), (0, 0), (1 << 63, 1)][round % 6];
            sequence += round as u64 % 3;
            let report = ToService::Report { running, accesses, answered, sequence };
            w.on_service(|s, now, effects| s.on_message(now, conn, report, effects));
        }
        w.advance(SECOND / 20);
    }
    assert!(w.advance_until(20 * SECOND, |w| w.in_force.contains_key(&id.number)), "{}", w.recent_events());
    assert!(w.removed.is_empty());
    // A report with the greatest sequence number excludes only its own front.
    let conn = w.hosts[5].conn.unwrap();
    let report = ToService::Report { running: None, accesses: 1, answered: 1, sequence: u64::MAX };
    w.on_service(|s, now, effects| s.on_message(now, conn, report, effects));
    let bad = w.change("harm=0.1").unwrap();
    assert!(w.advance_until(10 * SECOND, |w| w.removed.contains_key(&bad.number)));
}

#[test]
fn a_rollback_reaches_all_fronts_at_once_and_a_stopped_change_is_removed() {
    let mut w = World::settled(20, 100, rules());
    let good = w.service.as_ref().unwrap().last();
    let ids = [w.change("").unwrap(), w.change("").unwrap()];
    w.advance(SECOND / 2);
    let stop = Request::Stop { number: ids[0].number };
    let done =
        w.on_service(|s, now, effects| s.handle_request(now, Role::Operator, stop, |_| Ok(()), effects));
    assert_eq!(done, Some(Response::Done));
    assert!(
        w.advance_until(10 * SECOND, |w| w.in_force.contains_key(&ids[1].number)),
        "{}",
        w.recent_events()
    );
    assert_eq!(w.removed[&ids[0].number].1, RemovalReason::Manual);
    let pending = w.change("").unwrap();
    let back = w.on_service(|s, now, effects| s.roll_back(now, good, effects)).unwrap().unwrap();
    assert!(w.advance_until(3 * SECOND, |w| w.in_force.contains_key(&back.number)));
    assert_eq!(w.removed[&pending.number].1, RemovalReason::RolledBack);
    w.advance(10 * SECOND);
    assert_eq!((w.count_with(ids[1].number), w.count_with(pending.number)), (0, 0));
}

/// Combines all faults; `World` checks the invariants after each step.
fn random_run(seed: u64) {
    let fronts = 40;
    let mut w = World::settled(seed, fronts, rules());
    let mut older = w.disk.clone();
    for _ in 0..60 {
        let n = w.rng.usize(0..fronts);
        match w.rng.u8(0..20) {
            0..=5 => {
                let kind = ["", "", "", "harm=0.2", "refuse", "fatal", "pair"][w.rng.usize(0..7)];
                let _ = w.service.is_some() && w.change(kind).is_ok();
            }
            6 | 7 if w.hosts[n].front.is_some() => {
                let after = w.rng.u64(1..20 * SECOND);
                w.kill_front(n, after);
            }
            8 => {
                let after = w.rng.u64(1..30 * SECOND);
                (0..4).for_each(|m| w.disconnect_front((n + m) % fronts, after));
            }
            9 => w.pause_front(n),
            10 => (0..fronts).filter(|n| n % 2 == 0).for_each(|n| w.resume_front(n)),
            11 => w.kill_service(),
            12 => older = w.disk.clone(),
            13 if w.service.is_none() => {
                // The service may try removed changes again, since it has forgotten them.
                w.removed.clear();
                w.disk = [older.clone(), StoredState::default()][w.rng.usize(0..2)].clone();
            }
            14 => w.set_overload([0.0, 0.0, 0.1, 0.4][w.rng.clone().usize(0..4)]),
            15 => w.hosts[n].unreliable = !w.hosts[n].unreliable,
            16 => w.hosts[n].misreports = [None, Some(0.5), Some(2.0)][w.rng.usize(0..3)],
            17 => {
                let number = w.service.as_ref().map_or(0, |s| s.last());
                let stop = Request::Stop { number };
                w.on_service(|s, now, effects| {
                    s.handle_request(now, Role::Operator, stop, |_| Ok(()), effects)
                });
            }
            _ => {}
        }
        if w.service.is_none() && w.rng.bool() {
            w.start_service();
        }
        let time = w.rng.u64(1..4 * SECOND);
        w.advance(time);
    }
    // All fronts can connect again and must converge.
    if w.service.is_none() {
        w.start_service();
    }
    w.set_overload(0.0);
    for n in 0..fronts {
        w.resume_front(n);
        (w.hosts[n].unreliable, w.hosts[n].misreports) = (false, None);
    }
    w.advance(200 * SECOND);
    let text = format!("end c0; the last of seed {seed}\n");
    let mut last = w.publish_text(&text);
    if matches!(last, Err(PublishError::Superseded { .. })) {
        w.on_service(|s, _, effects| s.take_over(effects));
        last = w.publish_text(&text);
    }
    let last = last.expect("it publishes again");
    let done = w.advance_until(200 * SECOND, |w| {
        w.count_with(last.number) == fronts && w.in_force.contains_key(&last.number)
    });
    assert!(done, "seed {seed}: {} of {fronts}: {}", w.count_with(last.number), w.recent_events());
}

#[test]
fn invariants_hold_with_all_faults_at_once() {
    (1_000..1_060).for_each(random_run);
}
