//! Invalid or extreme configuration values: either an error names the key, or the front serves with the
//! value. It never panics, and never leaves an access without a response.

mod helper;

use doorgrade_front::config::Config;
use helper::*;

/// Establishes every connection and responds to every request; then time passes, and the front is stopped.
fn run_with(from: &str, to: &str) {
    let mut w = World::with_config_change(3, 128, from, to);
    let client = w.client();
    w.connecting().into_iter().for_each(|conn| w.finish_connect(conn));
    for access in 1..60 {
        w.send_request(client, 1 + (access % 30) as u16, access, (access % 4) as usize, access % 7, 900);
        if access == 30 {
            // A cache restarts, cold.
            w.feed(&frame(2, 2, &member_record(1, 9101, 0, 0, w.now / 10)));
        }
        for _ in 0..6 {
            w.connecting().into_iter().for_each(|conn| w.finish_connect(conn));
            w.busy_conns().into_iter().for_each(|conn| w.reply(conn, 200, false, "h"));
        }
        w.advance(20 * MS);
    }
    w.advance(2_000 * MS);
    assert!(w.open_accesses().is_empty(), "{to}: an access without a response");
    w.input(doorgrade_front::reducer::Input::Stop);
    w.advance(7_000 * MS);
    assert!(w.exited, "{to}: it does not exit");
}

#[test]
fn invalid_values_are_rejected_by_key_or_served_with() {
    for (from, to, key) in [
        // Cold budgets of zero and without limit.
        ("\"fallMultiple\":4.0", "\"fallMultiple\":0.0", None),
        ("\"fallMultiple\":4.0", "\"fallMultiple\":-1.0", Some("rules.fallMultiple")),
        ("\"startCapacity\":0.16", "\"startCapacity\":0.0", None),
        ("\"startCapacity\":0.16", "\"startCapacity\":7.0", Some("rules.startCapacity")),
        ("\"fall\":1500.0", "\"fall\":0.0", None),
        ("\"cold\":17000.0", "\"cold\":0.0", None),
        ("\"cold\":17000.0", "\"cold\":1e300", None),
        ("\"cold\":17000.0", "\"cold\":-5.0", Some("rules.cold")),
        ("\"parentColdFrom\":0.1", "\"parentColdFrom\":-0.1", Some("specifics.parentColdFrom")),
        // Deadlines of zero and beyond any limit.
        ("\"deadline\":2000.0", "\"deadline\":0.0", None),
        ("\"deadline\":2000.0", "\"deadline\":1e300", None),
        ("\"deadline\":2000.0", "\"deadline\":-1.0", Some("profiles[0].deadline")),
        ("\"aim\":400.0", "\"aim\":0.0", None),
        ("\"aim\":400.0", "\"aim\":-3.0", Some("profiles[0].aim")),
        ("\"worth\":1.0", "\"worth\":0.0", None),
        ("\"worth\":1.0", "\"worth\":-1.0", Some("profiles[0].worth")),
        ("\"repeatWindow\":1000.0", "\"repeatWindow\":0.0", None),
        ("\"streamKbPerS\":9100.0", "\"streamKbPerS\":0.0", None),
        ("\"streamKbPerS\":9100.0", "\"streamKbPerS\":-4.0", Some("specifics.streamKbPerS")),
        ("\"maxAttempts\":6", "\"maxAttempts\":0", Some("limits.maxAttempts")),
        ("\"maxAttempts\":6", "\"maxAttempts\":1000000", None),
        ("\"maxAttempts\":6", "\"unheardOf\":6", None),
        ("\"connIdle\":15000.0", "\"connIdle\":0.0", None),
        ("\"connIdle\":15000.0", "\"connPause\":1.0", None),
        ("\"crewByZone\":[1]", "\"crewByZone\":[0]", None),
        ("\"purgeDone\":6000.0", "\"purgeDone\":0.0", None),
        ("\"quantum\":2.0", "\"quantum\":0.0", None),
        ("\"quantum\":2.0", "\"quantum\":1e9", None),
        // Unknown values.
        ("\"semantics\":\"guarded\"", "\"semantics\":\"perhaps\"", Some("semantics")),
        ("\"group\":\"zone\"", "\"group\":\"town\"", Some("group")),
        ("\"zone\":0,\"fleetSize\"", "\"zone\":9,\"fleetSize\"", Some("settings.zone")),
        ("\"connectTimeout\":400.0", "\"connectTimeout\":0.0", Some("settings.limits.connectTimeout")),
        ("\"sockets\":128", "\"sockets\":16", Some("limits.sockets")),
    ] {
        let text = config(128);
        assert!(text.contains(from), "{from}");
        match (Config::read(&text.replacen(from, to, 1), None, None), key) {
            (Err(error), Some(key)) => assert!(error.contains(key), "{to}: '{error}' does not name {key}"),
            (Err(error), None) => panic!("{to}: {error}"),
            (Ok(_), Some(key)) => panic!("{to}: accepted, where an error must name {key}"),
            (Ok(_), None) => run_with(from, to),
        }
    }
}
