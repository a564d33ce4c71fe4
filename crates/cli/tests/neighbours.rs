//! Real fronts that speak with each other, links between them that are cut, and processes that die, stall and begin
//! anew. What they say of each other is asked by the command; what they said is counted at the links.

mod helper;

use std::path::Path;
use std::process::Command;
use std::time::{Duration, Instant};

use doorgrade_control_client::neighbours::Connectivity;
use doorgrade_standins::links::LinkConditions;
use doorgrade_standins::timeline::{Action, Timeline};
use helper::fleet::{Fleet, names, until};

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
fn seven_in_ten_die_begin_anew_and_are_known_in_their_later_lives() {
    let mut fleet = Fleet::new("neighbours-die", 10);
    fleet.all_see(0..10, 0..10);
    let lives = |fleet: &Fleet| -> Vec<u64> {
        let told = fleet.ask(9).unwrap();
        let life = |n: usize| {
            told.neighbours
                .iter()
                .find(|r| *r.id.name == *format!("n{n}"))
                .map(|r| r.id.effective_incarnation())
        };
        (0..7).filter_map(life).collect()
    };
    let before = lives(&fleet);
    // Both seeds are among them.
    (0..7).for_each(|n| fleet.front(n).kill());
    fleet.all_see(7..10, 7..10);
    (0..7).for_each(|n| fleet.start(n));
    fleet.all_see(0..10, 0..10);
    let after = lives(&fleet);
    assert_eq!((before.len(), after.len()), (7, 7));
    assert!(before.iter().zip(&after).all(|(b, a)| b < a), "{before:?} {after:?}");
    fleet.words_hold();
}

/// The instance before it is on its way out: its listener is shut, and it holds its address for datagrams for some seconds
/// more. The new one had ended then, with "key 'listen': ... Address already in use".
#[test]
fn one_whose_address_is_still_held_by_the_one_before_serves_and_joins_later() {
    let mut fleet = Fleet::new("neighbours-held", 3);
    fleet.all_see(0..3, 0..3);
    fleet.front(2).kill();
    let before = std::net::UdpSocket::bind(fleet.own[2]).unwrap();
    fleet.start(2);
    let waits = "is in use";
    assert!(
        fleet.front(2).wait_for_log(waits, helper::fleet::LONG).is_some(),
        "{:?}",
        fleet.front(2).log_lines()
    );
    assert!(fleet.front(2).is_running(), "{:?}", fleet.front(2).log_lines());
    drop(before);
    fleet.all_see(0..3, 0..3);
}

#[test]
fn one_that_is_stopped_and_woken_says_so_before_it_says_anything_of_others() {
    let mut fleet = Fleet::new("neighbours-stall", 5);
    fleet.all_see(0..5, 0..5);
    fleet.front(3).suspend();
    // Longer than any pause of its own, and until the others miss it.
    let missed = |fleet: &Fleet| (0..5).filter(|&n| n != 3).all(|n| !fleet.picture(n).contains(&"n3".into()));
    until("n3 is missed", || missed(&fleet));
    std::thread::sleep(Duration::from_secs(3));
    let before = fleet.front(3).log_lines().len();
    fleet.front(3).resume();
    fleet.all_see(0..5, 0..5);
    // The log comes through a pipe that another thread reads.
    let slept = "neighbours: stalled for ";
    assert!(fleet.front(3).wait_for_log(slept, helper::fleet::LONG).is_some());
    let lines = fleet.front(3).log_lines();
    let told: Vec<_> = lines[before..].iter().filter(|l| l.contains("neighbours: ")).collect();
    assert!(told.first().is_some_and(|l| l.contains(slept)), "{told:?}");
    for n in 0..5 {
        let wrong: Vec<_> =
            fleet.front(n).log_lines().into_iter().filter(|l| l.contains("is down")).collect();
        assert!(wrong.iter().all(|l| l.contains("n3 (")), "n{n}: only one that sleeps is missed: {wrong:?}");
    }
    fleet.words_hold();
}

#[test]
fn halves_cut_apart_meet_again_though_one_has_begun_anew() {
    let mut fleet = Fleet::new("neighbours-halves", 6);
    fleet.all_see(0..6, 0..6);
    fleet.links.partition(&names(0..3), &names(3..6));
    fleet.all_see(0..3, 0..3);
    fleet.all_see(3..6, 3..6);
    // The half without a seed: it knows nobody now, and can reach none of those that it is told of.
    for n in 3..6 {
        fleet.front(n).kill();
        fleet.start(n);
    }
    until("cut off from all seeds, it is alone", || {
        (3..6).all(|n| fleet.ask(n).is_some_and(|s| s.connectivity == Connectivity::Isolated))
    });
    fleet.links.heal();
    fleet.all_see(0..6, 0..6);
    fleet.words_hold();
}

#[test]
fn a_link_that_loses_one_way_makes_no_death_and_the_command_shows_it_all() {
    let fleet = Fleet::new("neighbours-command", 4);
    fleet.all_see(0..4, 0..4);
    fleet.links.set("n2", "n3", LinkConditions { cut: true, ..LinkConditions::default() });
    let settings = fleet.folder.join("n1.hcl");
    let (own, at) = (fleet.own[1].to_string(), fleet.at[1].to_string());
    let (code, out, err) = command(&settings, &["neighbours", "--json", "--through", &own]);
    assert_eq!((code, &*err), (0, ""));
    let told: serde_json::Value = serde_json::from_str(&out).unwrap();
    assert_eq!((&told["front"], &told["standing"]), (&"n1".into(), &"among".into()));
    assert_eq!(told["neighbours"].as_array().map(Vec::len), Some(3));
    let (code, out, _) = command(&settings, &["neighbours", "--through", &own]);
    assert!(code == 0 && out.contains("n1 (hillside, ") && out.contains("NAME"), "{out}");
    // Some dozens of probes of each.
    std::thread::sleep(Duration::from_secs(6));
    for n in 0..4 {
        let lines = fleet.fronts[n].as_ref().unwrap().log_lines();
        assert!(!lines.iter().any(|l| l.contains("is down")), "n{n}: {lines:?}");
    }
    // Other keys, and nobody there.
    let secret = "7f".repeat(32);
    std::fs::write(fleet.folder.join("other.hcl"), format!("key \"1\" {{ secret = \"{secret}\" }}\n"))
        .unwrap();
    let text = std::fs::read_to_string(&settings).unwrap().replace("seal-keys.hcl", "other.hcl");
    let other = fleet.folder.join("stranger.hcl");
    std::fs::write(&other, text).unwrap();
    let (code, _, err) = command(&other, &["neighbours", "--through", &own]);
    assert!(code == 1 && err.contains(&format!("{at}: no answer")), "{code} {err}");
    let (code, _, err) = command(Path::new("/dev/null"), &["neighbours"]);
    assert!(code == 1 && err.contains("block 'neighbours' is off"), "{code} {err}");
}

/// Deaths, stalls, cuts of one way or both, slow and lossy links, by a seed.
#[test]
fn a_drawn_time_line_of_troubles_ends_with_all_agreed() {
    let mut fleet = Fleet::new("neighbours-drawn", 6);
    fleet.all_see(0..6, 0..6);
    let line = Timeline::random(28, &names(0..6), 8_000, 14);
    // Played as it would be from a file.
    let line = Timeline::parse(&line.to_json_lines()).unwrap();
    let links = fleet.links.clone();
    let of = |name: &str| name[1..].parse::<usize>().unwrap();
    let mut deaths = 0;
    line.play(Instant::now(), &links, |what| match what {
        Action::Kill { process } => {
            deaths += 1;
            fleet.front(of(process)).kill();
        }
        Action::Suspend { process } => fleet.front(of(process)).suspend(),
        Action::Resume { process } => fleet.front(of(process)).resume(),
        Action::Start { process } => fleet.start(of(process)),
        _ => {}
    });
    assert!(deaths > 0, "the seed draws none");
    fleet.all_see(0..6, 0..6);
    fleet.words_hold();
}

/// A clock that is set stops no wait and passes for no sleep: all that is waited for is a span of real time.
#[test]
fn a_clock_that_is_set_stops_no_probe_and_fools_nobody() {
    let mut fleet = Fleet::new("neighbours-clock", 4);
    fleet.all_see(0..4, 0..4);
    fleet.set_clock(1, -3_600_000);
    fleet.front(3).kill();
    fleet.all_see(0..3, 0..3);
    // One begins anew a minute late by its own clock, and one an hour early: nothing is kept of its life before.
    fleet.set_clock(3, 60_000);
    fleet.start(3);
    fleet.all_see(0..4, 0..4);
    fleet.front(2).kill();
    fleet.set_clock(2, -3_600_000);
    fleet.start(2);
    fleet.all_see(0..4, 0..4);
    fleet.set_clock(1, 0);
    // Long enough for it to say that it has slept, and for the others to miss it, if either were to be.
    std::thread::sleep(Duration::from_secs(3));
    fleet.all_see(0..4, 0..4);
    let slept: Vec<_> =
        fleet.front(1).log_lines().into_iter().filter(|line| line.contains("neighbours: stalled")).collect();
    assert_eq!(slept, [""; 0], "set forward by an hour");
    for n in [0, 2, 3] {
        let lines = fleet.front(n).log_lines();
        assert!(
            !lines.iter().any(|line| line.contains("n1 (") && line.contains("is down")),
            "n{n}: {lines:?}"
        );
    }
    fleet.words_hold();
}
