//! Rollouts that overlap, judged by evidence: the hard cases, in virtual time.

mod trial_world;

use std::io::Write;

use doorgrade_versions::service::{Harm, Line, TrialRules};
use trial_world::{SECOND, World, evidence, quantile};

fn rules() -> doorgrade_versions::service::Rules {
    evidence(TrialRules::default())
}

#[test]
fn one_change_goes_by_canaries_and_a_share_to_everyone() {
    let mut w = World::settled(1, 300, rules());
    let id = w.change("").unwrap();
    assert!(w.until(8 * SECOND, |w| w.in_force.contains_key(&id.number)), "{:?}", w.lines);
    let stages: Vec<_> = w.lines.iter().filter(|l| matches!(l.1, Line::Trial { .. })).collect();
    assert!(stages.len() >= 3, "{stages:?}");
    assert_eq!(w.having(id.number), 300);
    assert!(w.took(id.number).unwrap() < 5.0, "{:?}", w.lines);
}

#[test]
fn a_harmful_change_is_taken_out_and_reached_few() {
    let mut w = World::settled(2, 300, rules());
    let id = w.change("harm=0.1").unwrap();
    assert!(w.until(10 * SECOND, |w| w.taken_out.contains_key(&id.number)), "{:?}", w.lines);
    assert!(matches!(w.taken_out[&id.number].1, Harm::Dropped { .. }));
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
