//! Purges: the age that pushes ask for, from when a purge is known on, and how long it is remembered.
//!
//! In the failure that the second test guards against, a front named the age of a purge only for as long as caches need to
//! drop their older copies by themselves, 6 s there. A cache that had hung when the purge came still held one, and answered
//! from it. The log of the front, in seconds:
//!
//!     15.417 purge of object 0008d765d620ad5d ago_ms=156
//!     20.959 "GET /data/briefing-video/0008d765d620ad5d/5 ... No-Older-Than: 5541"
//!     28.013 "GET /data/briefing-video/0008d765d620ad5d/5 ... Store-As: 2"
//!     30.417 attempt ended outcome=Handled status=200 note=Hit, made at 11.331

mod helper;

use doorgrade::*;
use helper::*;

/// A class whose copies stay fresh until they are purged.
const FRESH_UNTIL_PURGED: usize = 1;
/// 1 s.
const SECOND: Ticks = 10_000;

#[test]
fn a_purge_limits_the_age_at_once_and_never_permits_any_age() {
    let (mut sim, mut front) = Simulation::new(settings(), &member_list(2, 2));
    sim.purge(&mut front, Some(5), 0, 0);
    sim.access(&mut front, 1, 1, 5);
    assert_eq!(sim.last_push(1).max_age, 1);
    sim.advance(&mut front, 400);
    sim.access(&mut front, 2, 0, 5);
    assert!((398..=400).contains(&sim.last_push(2).max_age));
}

/// A cache that hangs, or is cut off, may keep an older copy for longer than purges need to reach the others.
#[test]
fn a_purge_is_respected_after_the_time_in_which_it_reaches_all_caches() {
    let (mut sim, mut front) = Simulation::new(settings(), &member_list(2, 2));
    let (object, group) = (5, 2);
    sim.purge(&mut front, Some(object), 0, 0);
    sim.purge(&mut front, None, group, 0);
    let purged_at = sim.now;
    for id in 0..20 {
        sim.advance(&mut front, settings().purge_propagation / 2);
        for (id, object) in [(2 * id, object), (2 * id + 1, group)] {
            sim.access(&mut front, id, FRESH_UNTIL_PURGED, object);
            let since_purge = sim.now - purged_at;
            let max_age = sim.last_push(id).max_age;
            assert!(
                (1..=since_purge).contains(&max_age),
                "{max_age} asked for {since_purge} after the purge"
            );
            sim.end_push(&mut front, id, 0, Outcome::Handled, CacheStatus::Hit);
        }
    }
}

/// What is remembered is bounded; the oldest purges are forgotten first, and none before it has reached all caches that
/// work.
#[test]
fn the_oldest_purges_are_forgotten_when_there_are_too_many() {
    let (mut sim, mut front) = Simulation::new(settings(), &member_list(2, 2));
    front.purge_received(sim.now, Some(1), 0, 0);
    let flood = 1 << 15;
    (0..flood).for_each(|number| front.purge_received(sim.now, Some(100 + number), 0, 0));
    let max_age = |sim: &mut Simulation, front: &mut Front, id: AccessId, object: u64| {
        sim.access(front, id, FRESH_UNTIL_PURGED, object);
        sim.end_push(front, id, 0, Outcome::Handled, CacheStatus::Hit);
        sim.last_push(id).max_age
    };
    sim.advance(&mut front, settings().purge_propagation - SECOND);
    assert!(max_age(&mut sim, &mut front, 1, 1) > 0, "it may still be on its way");
    sim.advance(&mut front, 2 * SECOND);
    front.purge_received(sim.now, Some(2), 0, 0);
    assert_eq!(max_age(&mut sim, &mut front, 2, 1), 0, "the oldest of too many");
    assert!(max_age(&mut sim, &mut front, 3, 100 + flood - 1) > 0, "the newest of the flood");
    assert!(max_age(&mut sim, &mut front, 4, 2) > 0, "the newest");
}
