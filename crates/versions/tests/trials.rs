//! Rollouts that overlap, judged by evidence: the hard cases, in virtual time.

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
fn one_change_goes_by_canaries_and_a_share_to_everyone() {
    let mut w = World::settled(1, 300, rules());
    let id = w.change("").unwrap();
    assert!(w.until(8 * SECOND, |w| w.in_force.contains_key(&id.number)), "{}", w.story());
    let stages: Vec<_> = w.lines.iter().filter(|l| matches!(l.1, LogEvent::StageStarted { .. })).collect();
    assert!(stages.len() >= 3, "{stages:?}");
    assert_eq!(w.having(id.number), 300);
    assert!(w.took(id.number).unwrap() < 5.0, "{}", w.story());
}

#[test]
fn a_harmful_change_is_taken_out_and_reached_few() {
    let mut w = World::settled(2, 300, rules());
    let id = w.change("harm=0.1").unwrap();
    assert!(w.until(10 * SECOND, |w| w.taken_out.contains_key(&id.number)), "{}", w.story());
    assert!(matches!(w.taken_out[&id.number].1, RemovalReason::ServiceDrop { .. }));
    assert!(w.reach_of(id.number) <= 30, "{}", w.reach_of(id.number));
    w.pass(5 * SECOND);
    assert_eq!(w.having(id.number), 0);
    let next = w.change("").unwrap();
    assert!(w.until(8 * SECOND, |w| w.in_force.contains_key(&next.number)));
}

#[test]
fn overlapping_changes_reach_everyone_within_five_seconds() {
    let mut w = World::settled(3, 300, rules());
    let mut ids = Vec::new();
    for _ in 0..200 {
        ids.push(w.change("").expect("none is refused"));
        let pause = -2.0 * w.rng.f64().max(1e-9).ln();
        w.pass((pause * SECOND as f64) as u64);
    }
    w.pass(20 * SECOND);
    let took: Vec<f64> = ids.iter().filter_map(|id| w.took(id.number)).collect();
    assert_eq!((took.len(), w.taken_out.len()), (200, 0), "{:?}", w.taken_out);
    let (p50, p99, most) = (quantile(&took, 0.5), quantile(&took, 0.99), quantile(&took, 1.0));
    let figures = format!("in force after: median {p50:.2} s, p99 {p99:.2} s, at most {most:.2} s");
    writeln!(std::io::stderr(), "{figures}").unwrap();
    assert!(p99 <= 5.0, "{figures}");
}

#[test]
fn the_harmful_one_of_five_goes_out_alone() {
    let mut w = World::settled(4, 300, rules());
    let ids: Vec<VersionId> =
        (0..5).map(|n| w.change(if n == 1 { "harm=0.1" } else { "" }).unwrap()).collect();
    let bad = ids[1].number;
    assert!(w.until(20 * SECOND, |w| w.in_force.len() == 5), "{}", w.story());
    assert_eq!(w.taken_out.keys().copied().collect::<Vec<_>>(), [bad]);
    assert!(matches!(w.taken_out[&bad].1, RemovalReason::ServiceDrop { .. }), "{:?}", w.taken_out);
    assert!(w.reach_of(bad) <= 30, "{}", w.reach_of(bad));
    // Undone within five seconds of being found: `World` asserts it of every connected front.
    w.pass(10 * SECOND);
    assert_eq!(w.having(bad), 0);
    for id in ids.iter().filter(|id| id.number != bad) {
        assert_eq!(w.having(id.number), 300, "{:?}", w.state(id.number));
    }
}

#[test]
fn two_that_harm_only_together_are_found() {
    // In one batch, behind a first one that is at its canaries when they come: by the last of all, and by one before.
    for (seed, batch, to_blame) in [(5, ["pair", "", "pair"], 2), (6, ["pair", "pair", ""], 1)] {
        let mut w = World::settled(seed, 300, rules());
        w.change("").unwrap();
        w.pass(SECOND / 5);
        let ids: Vec<VersionId> = batch.iter().map(|what| w.change(what).unwrap()).collect();
        assert!(w.until(30 * SECOND, |w| w.in_force.len() == 4), "{}", w.story());
        let bad = ids[to_blame].number;
        assert_eq!(w.taken_out.keys().copied().collect::<Vec<_>>(), [bad], "{}", w.story());
        assert!(matches!(w.taken_out[&bad].1, RemovalReason::Interaction { .. }), "{}", w.story());
        assert!(w.reach_of(bad) <= 30, "{}", w.reach_of(bad));
        w.pass(10 * SECOND);
        assert_eq!((w.having(ids[0].number), w.having(bad)), (300, 0));
    }
    // One after the other: the later is harmful on what is there.
    let mut w = World::settled(21, 300, rules());
    let first = w.change("pair").unwrap();
    assert!(w.until(10 * SECOND, |w| w.in_force.contains_key(&first.number)));
    let second = w.change("pair").unwrap();
    assert!(w.until(10 * SECOND, |w| w.taken_out.contains_key(&second.number)), "{}", w.story());
    assert!(!w.taken_out.contains_key(&first.number));
}

#[test]
fn a_storm_over_all_fronts_stops_nothing() {
    let mut w = World::settled(7, 300, rules());
    for storm in [0.05, 0.2, 0.5] {
        let ids = [w.change("").unwrap(), w.change("").unwrap()];
        w.pass(SECOND / 2);
        w.set_storm(storm);
        w.pass(3 * SECOND);
        w.set_storm(0.0);
        assert!(
            w.until(20 * SECOND, |w| ids.iter().all(|id| w.in_force.contains_key(&id.number))),
            "{:?}",
            w.lines
        );
    }
    assert!(w.taken_out.is_empty(), "{:?}", w.taken_out);
}

#[test]
fn reports_lost_late_and_doubled_and_fronts_that_lie_stop_nothing() {
    let mut w = World::settled(8, 300, rules());
    w.hosts.iter_mut().for_each(|h| h.unruly = true);
    for round in 0..15 {
        // The same three begin, each round, to say that they answer less, nothing, or more than they do.
        for (front, lie) in [(17, 0.5), (120, 0.0), (251, 3.0)] {
            w.hosts[front].lies = Some(lie);
        }
        let id = w.change("").unwrap();
        let done = w.until(30 * SECOND, |w| w.in_force.contains_key(&id.number));
        assert!(done, "round {round}: {}", w.story());
        w.hosts.iter_mut().for_each(|h| h.lies = None);
    }
    assert!(w.taken_out.is_empty(), "{:?}", w.taken_out);
    let bad = w.change("harm=0.1").unwrap();
    assert!(w.until(10 * SECOND, |w| w.taken_out.contains_key(&bad.number)), "{}", w.story());
}

/// The fronts that run a change.
fn with(w: &World, number: u64) -> Vec<usize> {
    (0..w.hosts.len()).filter(|&n| w.has(n, number)).collect()
}

#[test]
fn a_killed_canary_costs_less_than_a_second() {
    let took = |kill: bool| {
        let mut w = World::settled(9, 300, rules());
        let id = w.change("").unwrap();
        assert!(w.until(2 * SECOND, |w| with(w, id.number).len() >= 5));
        if kill {
            let canary = with(&w, id.number)[0];
            w.kill_front(canary, 20 * SECOND);
        }
        assert!(w.until(10 * SECOND, |w| w.in_force.contains_key(&id.number)), "{}", w.story());
        assert!(w.taken_out.is_empty());
        w.took(id.number).unwrap()
    };
    let (with, without) = (took(true), took(false));
    writeln!(std::io::stderr(), "in force after {without:.2} s; with a canary killed {with:.2} s").unwrap();
    assert!(with < without + 1.0, "{with} {without}");
}

#[test]
fn a_region_cut_off_in_mid_trial_comes_straight_to_the_newest_version() {
    let mut w = World::settled(10, 300, rules());
    let first = w.change("").unwrap();
    assert!(w.until(2 * SECOND, |w| !with(w, first.number).is_empty()));
    // A tenth of the stations, canaries among them.
    let station = with(&w, first.number)[0] % 30;
    let region: Vec<usize> = (0..300).filter(|n| (n % 30 + 30 - station) % 30 < 3).collect();
    region.iter().for_each(|&n| w.cut_front(n, 60 * SECOND));
    let mut last = first;
    for _ in 0..10 {
        w.pass(3 * SECOND);
        last = w.change("").unwrap();
    }
    assert!(w.until(10 * SECOND, |w| w.in_force.contains_key(&last.number)), "{}", w.story());
    assert!(w.taken_out.is_empty(), "{:?}", w.taken_out);
    let behind = |w: &World| region.iter().filter(|&&n| !w.has(n, last.number)).count();
    assert_eq!(behind(&w), region.len(), "they are cut off, and known to be");
    let connected = w.service.as_ref().unwrap().fronts().filter(|f| f.connected).count();
    assert_eq!(connected, 300 - region.len());
    let before: Vec<u64> = region.iter().map(|&n| w.hosts[n].applied).collect();
    w.pass(130 * SECOND);
    assert_eq!(behind(&w), 0);
    for (&n, before) in region.iter().zip(before) {
        assert_eq!(w.hosts[n].applied - before, 1, "front {n} came by way of others");
    }
}

#[test]
fn a_tenth_of_the_fronts_restarting_stops_nothing() {
    let mut w = World::settled(11, 300, rules());
    for round in 0..10 {
        let ids = [w.change("").unwrap(), w.change("").unwrap(), w.change("").unwrap()];
        for _ in 0..30 {
            w.pass(SECOND / 20);
            let n = w.rng.usize(0..300);
            if w.hosts[n].front.is_some() {
                w.kill_front(n, 2 * SECOND);
            }
        }
        let done = w.until(30 * SECOND, |w| ids.iter().all(|id| w.in_force.contains_key(&id.number)));
        assert!(done, "round {round}: {}", w.story());
    }
    assert!(w.taken_out.is_empty(), "{:?}", w.taken_out);
}

#[test]
fn two_hundred_changes_in_a_minute_are_all_taken_and_come_to_everyone() {
    let mut w = World::settled(12, 300, rules());
    let mut ids = Vec::new();
    for _ in 0..200 {
        ids.push(w.change("").expect("none is refused"));
        w.pass(3 * SECOND / 10);
    }
    assert!(w.until(60 * SECOND, |w| w.in_force.len() == 201), "{} {:?}", w.in_force.len(), w.lines.last());
    let took: Vec<f64> = ids.iter().filter_map(|id| w.took(id.number)).collect();
    let (p50, most) = (quantile(&took, 0.5), quantile(&took, 1.0));
    writeln!(std::io::stderr(), "200 in a minute: median {p50:.2} s, at most {most:.2} s").unwrap();
    assert!(w.taken_out.is_empty());
}

#[test]
fn a_front_stopped_over_a_withdrawal_is_on_a_good_version_once_it_is_heard_again() {
    let mut w = World::settled(13, 300, rules());
    let bad = w.change("harm=0.1").unwrap();
    assert!(w.until(3 * SECOND, |w| !with(w, bad.number).is_empty()));
    let stopped = with(&w, bad.number)[0];
    w.stop_front(stopped);
    assert!(w.until(10 * SECOND, |w| w.taken_out.contains_key(&bad.number)));
    w.pass(60 * SECOND);
    assert_eq!(with(&w, bad.number), [stopped]);
    let good = w.change("").unwrap();
    assert!(
        w.until(30 * SECOND, |w| w.in_force.contains_key(&good.number)),
        "the others need not wait for it"
    );
    w.continue_front(stopped);
    w.pass(5 * SECOND);
    assert_eq!(w.having(bad.number), 0);
    assert!(w.has(stopped, good.number));
}

/// Five changes, one of them harmful, and a sixth; the service is killed at the `point`th record that it writes.
fn killed_at(point: u32, store: u8) -> bool {
    let mut w = World::settled(14, 60, rules());
    let older = w.found.clone();
    w.stores = 0;
    w.dies_at = Some(point);
    let mut ids = Vec::new();
    for n in 0..6 {
        if let Ok(id) = w.change(if n == 2 { "harm=0.1" } else { "" }) {
            ids.push(id);
        }
        w.pass(SECOND / 2);
        if w.service.is_none() {
            break;
        }
    }
    w.pass(12 * SECOND);
    let died = w.service.is_none();
    w.dies_at = None;
    if died {
        match store {
            0 => {}
            1 => w.found = older,
            _ => w.found = StoredState::default(),
        }
        w.epochs += 1;
        w.start_service();
        w.pass(90 * SECOND);
    }
    if store == 0 {
        let bad = ids.get(2).map(|id| id.number);
        let kept = ids.iter().filter(|id| Some(id.number) != bad);
        for id in kept {
            assert_eq!(w.having(id.number), 60, "killed at record {point}: {}", w.story());
        }
        if let Some(bad) = bad {
            assert_eq!(w.having(bad), 0, "killed at record {point}: {}", w.story());
            assert!(matches!(w.state(bad), Some(ChangeState::Removed(RemovalReason::ServiceDrop { .. }))));
        }
        assert!(w.taken_out.keys().all(|n| Some(*n) == bad), "killed at record {point}: {:?}", w.taken_out);
    }
    // Whatever it had lost, what is published now comes to everyone.
    let last = w.publish_text("end c0; good again\n").expect("it publishes again");
    let done = w.until(90 * SECOND, |w| w.having(last.number) == 60);
    assert!(done, "killed at record {point}, store {store}: {}", w.story());
    died
}

#[test]
fn a_service_killed_at_each_step_goes_on_with_its_store() {
    let points = (1..).take_while(|&point| killed_at(point, 0)).count();
    assert!(points >= 10, "{points}");
}

#[test]
fn a_service_killed_at_each_step_goes_on_with_an_older_store_or_none() {
    for store in [1, 2] {
        let points = (1..).take_while(|&point| killed_at(point, store)).count();
        assert!(points >= 10, "{points}");
    }
}

#[test]
fn where_traffic_is_thin_it_waits_or_goes_on_and_says_so() {
    for (thin_traffic, goes_on) in [(ThinTraffic::Wait, false), (ThinTraffic::Continue, true)] {
        let mut w = World::settled(15, 60, evidence(TrialRules { thin_traffic, ..TrialRules::default() }));
        w.set_rate(0.5);
        w.pass(10 * SECOND);
        let id = w.change("").unwrap();
        w.pass(40 * SECOND);
        assert_eq!(w.in_force.contains_key(&id.number), goes_on, "{}", w.story());
        let told = w
            .lines
            .iter()
            .any(|l| matches!(l.1, LogEvent::ContinuedUnproven { change } if change == id.number));
        assert_eq!(told, goes_on);
        let state = w.state(id.number).unwrap();
        assert_eq!(state, if goes_on { ChangeState::Unproven } else { ChangeState::Canary });
        if !goes_on {
            // Once there is traffic it goes on by itself.
            w.set_rate(930.0);
            assert!(w.until(20 * SECOND, |w| w.in_force.contains_key(&id.number)));
        }
    }
}

#[test]
fn two_changes_at_one_place_conflict_and_at_two_are_joined() {
    let mut w = World::settled(16, 60, rules());
    let last = w.service.as_ref().unwrap().last();
    let seen = w.head();
    let mine = w.change_line(10, "mine").unwrap();
    let theirs = seen.replace("member 10 = 0\n", "member 10 = theirs\n");
    let refused = w.publish_content(&theirs, "theirs", last);
    assert_eq!(refused, Err(PublishError::Conflict { last: mine.number }));
    let beside = seen.replace("member 40 = 0\n", "member 40 = beside\n");
    let id = w.publish_content(&beside, "beside", last).expect("another place");
    assert!(w.until(20 * SECOND, |w| w.in_force.contains_key(&id.number)));
    assert_eq!((w.having(mine.number), w.having(id.number)), (60, 60));
    let unknown = w.publish_content("x\n", "x", 999_999);
    assert_eq!(unknown, Err(PublishError::Conflict { last: w.service.as_ref().unwrap().last() }));
}

#[test]
fn what_builds_on_a_harmful_change_goes_out_with_it_and_says_so() {
    let mut w = World::settled(17, 300, rules());
    let bad = w.change_line(10, "harm=0.1").unwrap();
    let on_it = w.change_line(11, "").unwrap();
    let beside = w.change_line(60, "").unwrap();
    assert!(w.until(20 * SECOND, |w| w.in_force.contains_key(&beside.number)), "{}", w.story());
    assert_eq!(w.taken_out.keys().copied().collect::<Vec<_>>(), [bad.number, on_it.number], "{}", w.story());
    assert_eq!(w.taken_out[&on_it.number].1, RemovalReason::DependsOn { change: bad.number });
    w.pass(10 * SECOND);
    assert_eq!((w.having(bad.number), w.having(on_it.number), w.having(beside.number)), (0, 0, 300));
}

#[test]
fn one_that_is_turned_down_goes_out_and_no_front_starts_on_it() {
    for what in ["refuse", "fatal"] {
        let mut w = World::settled(18, 100, rules());
        let bad = w.change(what).unwrap();
        assert!(w.until(20 * SECOND, |w| w.taken_out.contains_key(&bad.number)), "{what}: {:?}", w.lines);
        w.pass(10 * SECOND);
        assert_eq!((w.having(bad.number), w.reach_of(bad.number)), (0, 0));
        let next = w.change("").unwrap();
        assert!(
            w.until(20 * SECOND, |w| w.in_force.contains_key(&next.number)),
            "{what}: {:?}",
            w.lines.last()
        );
        // Whoever turned it down restarts, and does not start on it either.
        (0..100).for_each(|n| w.kill_front(n, SECOND));
        w.pass(30 * SECOND);
        assert_eq!((w.having(bad.number), w.having(next.number)), (0, 100), "{what}");
    }
}

#[test]
fn hostile_counts_move_nothing_and_break_nothing() {
    let mut w = World::settled(19, 100, rules());
    let id = w.change("").unwrap();
    let mut sequence = 1 << 40;
    for round in 0..40 {
        for n in [3, 4] {
            let conn = w.hosts[n].conn.unwrap();
            let running = w.hosts[n].front.as_ref().and_then(|f| f.running());
            let (asked, answered) =
                [(u64::MAX, u64::MAX), (0, u64::MAX), (u64::MAX, 0), (5, 9), (0, 0), (1 << 63, 1)][round % 6];
            sequence += round as u64 % 3;
            let report = ToService::Report { running, accesses: asked, answered, sequence };
            w.on_service(|s, now, out| s.on_message(now, conn, report, out));
        }
        w.pass(SECOND / 20);
    }
    assert!(w.until(20 * SECOND, |w| w.in_force.contains_key(&id.number)), "{}", w.story());
    assert!(w.taken_out.is_empty());
    // A sequence at the end of all numbers shuts only its own front out.
    let conn = w.hosts[5].conn.unwrap();
    let report = ToService::Report { running: None, accesses: 1, answered: 1, sequence: u64::MAX };
    w.on_service(|s, now, out| s.on_message(now, conn, report, out));
    let bad = w.change("harm=0.1").unwrap();
    assert!(w.until(10 * SECOND, |w| w.taken_out.contains_key(&bad.number)));
}

#[test]
fn a_rollback_comes_to_all_at_once_and_one_by_hand_goes_out() {
    let mut w = World::settled(20, 100, rules());
    let good = w.service.as_ref().unwrap().last();
    let ids = [w.change("").unwrap(), w.change("").unwrap()];
    w.pass(SECOND / 2);
    let stop = Request::Stop { number: ids[0].number };
    let done = w.on_service(|s, now, out| s.handle_request(now, Role::Operator, stop, |_| Ok(()), out));
    assert_eq!(done, Some(Response::Done));
    assert!(w.until(10 * SECOND, |w| w.in_force.contains_key(&ids[1].number)), "{}", w.story());
    assert_eq!(w.taken_out[&ids[0].number].1, RemovalReason::Manual);
    let pending = w.change("").unwrap();
    let back = w.on_service(|s, now, out| s.roll_back(now, good, out)).unwrap().unwrap();
    assert!(w.until(3 * SECOND, |w| w.in_force.contains_key(&back.number)));
    assert_eq!(w.taken_out[&pending.number].1, RemovalReason::RolledBack);
    w.pass(10 * SECOND);
    assert_eq!((w.having(ids[1].number), w.having(pending.number)), (0, 0));
}

/// All faults at once; `World` checks after each step what must never be.
fn random_run(seed: u64) {
    let fronts = 40;
    let mut w = World::settled(seed, fronts, rules());
    let mut older = w.found.clone();
    for _ in 0..60 {
        let n = w.rng.usize(0..fronts);
        match w.rng.u8(0..20) {
            0..=5 => {
                let what = ["", "", "", "harm=0.2", "refuse", "fatal", "pair"][w.rng.usize(0..7)];
                let _ = w.service.is_some() && w.change(what).is_ok();
            }
            6 | 7 if w.hosts[n].front.is_some() => {
                let after = w.rng.u64(1..20 * SECOND);
                w.kill_front(n, after);
            }
            8 => {
                let after = w.rng.u64(1..30 * SECOND);
                (0..4).for_each(|m| w.cut_front((n + m) % fronts, after));
            }
            9 => w.stop_front(n),
            10 => (0..fronts).filter(|n| n % 2 == 0).for_each(|n| w.continue_front(n)),
            11 => w.kill_service(),
            12 => older = w.found.clone(),
            13 if w.service.is_none() => {
                // What it had taken out it may try anew: it knows nothing of it.
                w.taken_out.clear();
                w.found = [older.clone(), StoredState::default()][w.rng.usize(0..2)].clone();
            }
            14 => w.set_storm([0.0, 0.0, 0.1, 0.4][w.rng.clone().usize(0..4)]),
            15 => w.hosts[n].unruly = !w.hosts[n].unruly,
            16 => w.hosts[n].lies = [None, Some(0.5), Some(2.0)][w.rng.usize(0..3)],
            17 => {
                let number = w.service.as_ref().map_or(0, |s| s.last());
                let stop = Request::Stop { number };
                w.on_service(|s, now, out| s.handle_request(now, Role::Operator, stop, |_| Ok(()), out));
            }
            _ => {}
        }
        if w.service.is_none() && w.rng.bool() {
            w.start_service();
        }
        let time = w.rng.u64(1..4 * SECOND);
        w.pass(time);
    }
    // Whoever can hear converges.
    if w.service.is_none() {
        w.start_service();
    }
    w.set_storm(0.0);
    for n in 0..fronts {
        w.continue_front(n);
        (w.hosts[n].unruly, w.hosts[n].lies) = (false, None);
    }
    w.pass(200 * SECOND);
    let text = format!("end c0; the last of seed {seed}\n");
    let mut last = w.publish_text(&text);
    if matches!(last, Err(PublishError::Superseded { .. })) {
        w.on_service(|s, _, out| s.take_over(out));
        last = w.publish_text(&text);
    }
    let last = last.expect("it publishes again");
    let done =
        w.until(200 * SECOND, |w| w.having(last.number) == fronts && w.in_force.contains_key(&last.number));
    assert!(done, "seed {seed}: {} of {fronts}: {}", w.having(last.number), w.story());
}

#[test]
fn with_all_faults_at_once_what_must_never_be_is_not() {
    (1_000..1_060).for_each(random_run);
}
