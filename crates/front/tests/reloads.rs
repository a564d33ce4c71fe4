//! A new configuration replaces the one before as a whole: what it doesn't name is as if nothing had named it.

mod helper;

use doorgrade_front::config::Config;
use doorgrade_front::reducer::{Input, Reducer};
use doorgrade_operator::{Files, Version};
use fastrand::Rng;
use helper::*;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

const NOW: doorgrade::Ticks = 17_000_000_000_000;
/// Longer than the hand-over that `hierarchy_files` sets.
const HAND_OVER: doorgrade::Ticks = 5_000 * MS;

fn member(name: &str, incarnation: u64, number: u64, tier: u8, sources: &[&str]) -> String {
    let sources: Vec<_> = sources.iter().map(|s| format!("\"{s}\"")).collect();
    format!(
        "member \"{name}\" {{\nincarnation = {incarnation}\nnumber = {number}\ntier = {tier}\nfills_from = [{}]\n}}\n",
        sources.join(", ")
    )
}

/// A sound shape: the origin, and some parents that fill from it.
fn random_shape(rng: &mut Rng) -> String {
    let mut shape = member(ORIGIN, rng.u64(1..3), rng.u64(1..4), 2, &[]);
    let some_parent = rng.usize(..3);
    for (n, name) in [PARENT, SECOND_PARENT, "s-00000012"].into_iter().enumerate() {
        if n == some_parent || rng.bool() {
            shape += &member(name, rng.u64(1..4), rng.u64(1..5), 1, &[ORIGIN]);
        }
    }
    shape
}

/// A version that names each key or not.
fn random_version(rng: &mut Rng) -> String {
    let mut version = String::new();
    let mut maybe = |text: String| version += if rng.bool() { &text } else { "" };
    maybe("log { level = \"debug\" }\n".into());
    maybe("feed = \"127.0.0.1:9093\"\n".into());
    let limits = [rng.bool().then_some("memory_mb = 64\n"), rng.bool().then_some("sockets = 96\n")];
    version += &format!("limits {{\n{}}}\n", limits.into_iter().flatten().collect::<String>());
    if rng.bool() {
        version += "hierarchy {\ntier = 1\nhand_over_ms = 4000\n}\n";
        version += &random_shape(rng);
    }
    version
}

fn with_shape(shape: &str) -> Files {
    Files { shape: doorgrade_operator::shape::read("s", shape).expect("a sound shape"), ..hierarchy_files() }
}

/// The configuration of a front that starts on these files and on this version, or on none.
fn started_on(files: &Files, version: Option<&str>) -> Config {
    let own =
        Config::read(&config(128), None, None).expect("a valid configuration").with_files(files.clone());
    match version {
        Some(text) => own.with_version(&Version::read("v", text.as_bytes()).expect("a sound version")),
        None => own,
    }
}

proptest! {
    #![proptest_config(ProptestConfig { rng_seed: RngSeed::Fixed(58), cases: 300, ..ProptestConfig::default() })]

    /// The failure: a front that had run a version with a shape kept it under a version that names none, and confirmed
    /// that one (review/10). Whatever was in use, a version or a reload of files gives what a fresh start on it gives.
    #[test]
    fn a_new_configuration_leaves_nothing_of_those_before(seed in any::<u64>()) {
        let mut rng = Rng::with_seed(seed);
        let mut files = with_shape(&random_shape(&mut rng));
        let startup = started_on(&files, None);
        let mut version = rng.bool().then(|| random_version(&mut rng));
        let mut reducer = Reducer::new(started_on(&files, version.as_deref()), NOW);
        for step in 1..8 {
            if rng.bool() {
                files = with_shape(&random_shape(&mut rng));
            }
            if rng.bool() {
                version = rng.bool().then(|| random_version(&mut rng));
            }
            let fresh = started_on(&files, version.as_deref());
            let (reloaded, needs_restart) = startup.reload_from(fresh.clone());
            prop_assert!(needs_restart.is_empty());
            prop_assert_eq!(reloaded.log, fresh.log);
            reducer.input(NOW + step * MS, Input::Reload(Box::new(reloaded)));
            prop_assert_eq!(reducer.settings_in_use(), Reducer::new(fresh, NOW).settings_in_use());
        }
    }
}

/// The member that each of some objects, never seen before, is filled from.
fn sources_of_new_objects(w: &mut World, first: u64) -> Vec<String> {
    let client = w.client();
    let mut sources = Vec::new();
    for access in first..first + 20 {
        w.send_request(client, 1, access, 1, 1_000 + access, 1_500);
        // No cache has a copy, and no former home of the object either.
        while w.response_to(access).is_none() {
            w.connecting().into_iter().for_each(|conn| w.finish_connect(conn));
            let head = &w.request_heads[&access];
            let source = head.lines().find_map(|l| l.strip_prefix("Miss-To: "));
            let source = source.filter(|_| !head.contains("local")).map(str::to_owned);
            let (status, detail) = if source.is_some() { (200, "f") } else { (404, "l") };
            sources.extend(source);
            w.busy_conns().into_iter().for_each(|conn| w.reply(conn, status, false, detail));
        }
    }
    sources
}

/// The same as clients and caches see it: once the hand-over is over, no fill goes to the parent of the version that
/// was taken back.
#[test]
fn fills_leave_the_parent_of_a_version_that_was_taken_back() {
    let files = with_shape(&(member(ORIGIN, 1, 1, 2, &[]) + &member(PARENT, 1, 1, 1, &[ORIGIN])));
    let mut w = World::with_files(4, 128, files.clone());
    w.connecting().into_iter().for_each(|conn| w.finish_connect(conn));
    assert!(w.conn_to(9092).is_some());
    w.feed(&frame(2, 2, &member_record(0x11, 9111, 0, 1, 0)));
    let other = member(ORIGIN, 1, 1, 2, &[]) + &member(SECOND_PARENT, 1, 1, 1, &[ORIGIN]);
    let version = format!("hierarchy {{\ntier = 1\nhand_over_ms = 4000\n}}\n{other}");
    let own = started_on(&files, None);
    for (round, version, parent) in
        [(0, None, PARENT), (1, Some(&*version), SECOND_PARENT), (2, None, PARENT)]
    {
        let (reloaded, _) = own.reload_from(started_on(&files, version));
        w.input(Input::Reload(Box::new(reloaded)));
        w.advance(HAND_OVER);
        let sources = sources_of_new_objects(&mut w, 1 + 100 * round);
        assert!(!sources.is_empty(), "round {round}: no fills");
        assert!(sources.iter().all(|s| s == parent), "round {round}: {sources:?}, expected {parent}");
    }
}
