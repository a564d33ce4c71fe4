//! Gossip between real fronts whose links are cut and whose processes are killed, stalled and restarted. Their views are
//! read with the status request; the datagrams that they send are counted at the links.

mod helper;

use std::path::Path;
use std::process::Command;
use std::time::{Duration, Instant};

use doorgrade_control_client::neighbours::Connectivity;
use doorgrade_standins::links::LinkConditions;
use doorgrade_standins::timeline::{Action, Timeline};
use helper::fleet::{Fleet, front_names, wait_until};

fn command(settings: &Path, args: &[&str]) -> (i32, String, String) {
    let run = Command::new(env!("CARGO_BIN_EXE_doorgrade"))
        .args(args)
        .env("DOORGRADE_SETTINGS", settings)
        .env_remove("PROXY_CONFIG")
        .output()
        .unwrap();
    let text = |bytes: &[u8]| String::from_utf8_lossy(bytes).into_owned();
    (run.status.code().unwrap_or(-1), text(&run.stdout), text(&run.stderr))
}

#[test]
fn seven_of_ten_fronts_killed_and_restarted_rejoin_with_later_incarnations() {
    let mut fleet = Fleet::new("neighbours-die", 10);
    fleet.wait_for_membership(0..10, 0..10);
    let incarnations = |fleet: &Fleet| -> Vec<u64> {
        let status = fleet.status(9).unwrap();
        let incarnation = |n: usize| {
            status
                .neighbours
                .iter()
                .find(|r| *r.id.name == *format!("n{n}"))
                .map(|r| r.id.effective_incarnation())
        };
        (0..7).filter_map(incarnation).collect()
    };
    let before = incarnations(&fleet);
    // Both seeds are among those killed.
    (0..7).for_each(|n| fleet.front(n).kill());
    fleet.wait_for_membership(7..10, 7..10);
    (0..7).for_each(|n| fleet.start(n));
    fleet.wait_for_membership(0..10, 0..10);
    let after = incarnations(&fleet);
    assert_eq!((before.len(), after.len()), (7, 7));
    assert!(before.iter().zip(&after).all(|(b, a)| b < a), "{before:?} {after:?}");
    fleet.assert_datagram_rates();
}

/// The previous instance is shutting down: its listener is closed, but it keeps its datagram socket for some seconds more.
/// The new instance used to exit then, with "key 'listen': ... Address already in use".
#[test]
fn a_front_whose_datagram_address_is_still_in_use_serves_and_joins_later() {
    let mut fleet = Fleet::new("neighbours-held", 3);
    fleet.wait_for_membership(0..3, 0..3);
    fleet.front(2).kill();
    let previous = std::net::UdpSocket::bind(fleet.listen_addresses[2]).unwrap();
    fleet.start(2);
    let message = "is in use";
    assert!(
        fleet.front(2).wait_for_log(message, helper::fleet::TIMEOUT).is_some(),
        "{:?}",
        fleet.front(2).log_lines()
    );
    assert!(fleet.front(2).is_running(), "{:?}", fleet.front(2).log_lines());
    drop(previous);
    fleet.wait_for_membership(0..3, 0..3);
}

#[test]
fn a_stalled_front_reports_its_stall_before_it_reports_any_other_front() {
    let mut fleet = Fleet::new("neighbours-stall", 5);
    fleet.wait_for_membership(0..5, 0..5);
    fleet.front(3).suspend();
    // Long enough to count as a stall, and until the others mark it down.
    let marked_down =
        |fleet: &Fleet| (0..5).filter(|&n| n != 3).all(|n| !fleet.alive_members(n).contains(&"n3".into()));
    wait_until("n3 is marked down", || marked_down(&fleet));
    std::thread::sleep(Duration::from_secs(3));
    let before = fleet.front(3).log_lines().len();
    fleet.front(3).resume();
    fleet.wait_for_membership(0..5, 0..5);
    // The log arrives through a pipe that another thread reads.
    let stalled = "neighbours: stalled for ";
    assert!(fleet.front(3).wait_for_log(stalled, helper::fleet::TIMEOUT).is_some());
    let lines = fleet.front(3).log_lines();
    let messages: Vec<_> = lines[before..].iter().filter(|l| l.contains("neighbours: ")).collect();
    assert!(messages.first().is_some_and(|l| l.contains(stalled)), "{messages:?}");
    for n in 0..5 {
        let marked_down: Vec<_> =
            fleet.front(n).log_lines().into_iter().filter(|l| l.contains("is down")).collect();
        assert!(
            marked_down.iter().all(|l| l.contains("n3 (")),
            "n{n}: only the stalled front is marked down: {marked_down:?}"
        );
    }
    fleet.assert_datagram_rates();
}

#[test]
fn partitioned_halves_rejoin_after_one_half_was_restarted() {
    let mut fleet = Fleet::new("neighbours-halves", 6);
    fleet.wait_for_membership(0..6, 0..6);
    fleet.links.partition(&front_names(0..3), &front_names(3..6));
    fleet.wait_for_membership(0..3, 0..3);
    fleet.wait_for_membership(3..6, 3..6);
    // Restarts the half without a seed: its fronts know no members, and can't reach the configured seeds.
    for n in 3..6 {
        fleet.front(n).kill();
        fleet.start(n);
    }
    wait_until("fronts without a reachable seed are alone", || {
        (3..6).all(|n| fleet.status(n).is_some_and(|s| s.connectivity == Connectivity::Isolated))
    });
    fleet.links.heal();
    fleet.wait_for_membership(0..6, 0..6);
    fleet.assert_datagram_rates();
}

#[test]
fn a_link_cut_in_one_direction_marks_nobody_down_and_the_command_shows_all_members() {
    let fleet = Fleet::new("neighbours-command", 4);
    fleet.wait_for_membership(0..4, 0..4);
    fleet.links.set("n2", "n3", LinkConditions { cut: true, ..LinkConditions::default() });
    let settings = fleet.folder.join("n1.hcl");
    let (listener, address) = (fleet.listen_addresses[1].to_string(), fleet.addresses[1].to_string());
    let (code, out, err) = command(&settings, &["neighbours", "--json", "--through", &listener]);
    assert_eq!((code, &*err), (0, ""));
    let status: serde_json::Value = serde_json::from_str(&out).unwrap();
    assert_eq!((&status["front"], &status["standing"]), (&"n1".into(), &"among".into()));
    assert_eq!(status["neighbours"].as_array().map(Vec::len), Some(3));
    let (code, out, _) = command(&settings, &["neighbours", "--through", &listener]);
    assert!(code == 0 && out.contains("n1 (hillside, ") && out.contains("NAME"), "{out}");
    // Time for some dozens of probes by each front.
    std::thread::sleep(Duration::from_secs(6));
    for n in 0..4 {
        let lines = fleet.fronts[n].as_ref().unwrap().log_lines();
        assert!(!lines.iter().any(|l| l.contains("is down")), "n{n}: {lines:?}");
    }
    // Errors: other seal keys, and settings without neighbours.
    let secret = "7f".repeat(32);
    std::fs::write(fleet.folder.join("other.hcl"), format!("key \"1\" {{ secret = \"{secret}\" }}\n"))
        .unwrap();
    let text = std::fs::read_to_string(&settings).unwrap().replace("seal-keys.hcl", "other.hcl");
    let other_settings = fleet.folder.join("stranger.hcl");
    std::fs::write(&other_settings, text).unwrap();
    let (code, _, err) = command(&other_settings, &["neighbours", "--through", &listener]);
    assert!(code == 1 && err.contains(&format!("{address}: no answer")), "{code} {err}");
    let (code, _, err) = command(Path::new("/dev/null"), &["neighbours"]);
    assert!(code == 1 && err.contains("block 'neighbours' is off"), "{code} {err}");
}

/// A seeded random timeline of kills, stalls, cuts in one or both directions, and slow and lossy links.
#[test]
fn after_a_random_timeline_of_faults_all_fronts_agree() {
    let mut fleet = Fleet::new("neighbours-drawn", 6);
    fleet.wait_for_membership(0..6, 0..6);
    let timeline = Timeline::random(28, &front_names(0..6), 8_000, 14);
    // Written out and parsed, as it would be from a file.
    let timeline = Timeline::parse(&timeline.to_json_lines()).unwrap();
    let links = fleet.links.clone();
    let index = |name: &str| name[1..].parse::<usize>().unwrap();
    let mut kills = 0;
    timeline.play(Instant::now(), &links, |action| match action {
        Action::Kill { process } => {
            kills += 1;
            fleet.front(index(process)).kill();
        }
        Action::Suspend { process } => fleet.front(index(process)).suspend(),
        Action::Resume { process } => fleet.front(index(process)).resume(),
        Action::Start { process } => fleet.start(index(process)),
        _ => {}
    });
    assert!(kills > 0, "the seed contains no kill");
    fleet.wait_for_membership(0..6, 0..6);
    fleet.assert_datagram_rates();
}

/// Timers measure monotonic time: a step of the wall clock must neither stop a timer nor look like a stall.
#[test]
fn a_stepped_clock_stops_no_probe_and_marks_nobody_down() {
    let mut fleet = Fleet::new("neighbours-clock", 4);
    fleet.wait_for_membership(0..4, 0..4);
    fleet.set_clock(1, -3_600_000);
    fleet.front(3).kill();
    fleet.wait_for_membership(0..3, 0..3);
    // One front restarts with its clock a minute ahead, one with its clock an hour behind: neither keeps any state.
    fleet.set_clock(3, 60_000);
    fleet.start(3);
    fleet.wait_for_membership(0..4, 0..4);
    fleet.front(2).kill();
    fleet.set_clock(2, -3_600_000);
    fleet.start(2);
    fleet.wait_for_membership(0..4, 0..4);
    fleet.set_clock(1, 0);
    // Long enough for it to report a stall and for the others to mark it down, if the step had either effect.
    std::thread::sleep(Duration::from_secs(3));
    fleet.wait_for_membership(0..4, 0..4);
    let stalls: Vec<_> =
        fleet.front(1).log_lines().into_iter().filter(|line| line.contains("neighbours: stalled")).collect();
    assert_eq!(stalls, [""; 0], "after its clock was set forward by an hour");
    for n in [0, 2, 3] {
        let lines = fleet.front(n).log_lines();
        assert!(
            !lines.iter().any(|line| line.contains("n1 (") && line.contains("is down")),
            "n{n}: {lines:?}"
        );
    }
    fleet.assert_datagram_rates();
}
