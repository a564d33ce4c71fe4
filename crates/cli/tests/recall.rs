//! What real fronts remember over their death, from their stores and from neighbours; counted at a stand-in cache that
//! holds a copy in the last fifth of its fresh time: who knows that asks for its renewal at the first access.

mod helper;

use std::path::Path;
use std::process::Command;
use std::sync::atomic::Ordering::SeqCst;
use std::time::Duration;

use doorgrade_recall::{Purge, Snapshot};
use doorgrade_standins::links::LinkConditions;
use doorgrade_standins::timeline::Disk;
use doorgrade_standins::{Client, Directory, Feed, Member, MemberConfig, Role, unix_ms};
use doorgrade_store::Records;
use helper::fleet::{Fleet, LONG, names, until};

const KEY: &str = "7f3a9c21e0b4d655";
const PATH: &str = "/data/images/7f3a9c21e0b4d655/0";
/// Long enough for all that a test does.
const FRESH_MS: u64 = 600_000;

struct Rig {
    fleet: Fleet,
    cache: Member,
    archive: Member,
    feed: Feed,
}

/// So many fronts, none started, before one cache.
fn rig(name: &str, size: usize) -> Rig {
    let directory = Directory::default();
    let fresh_ms = [("images".to_owned(), FRESH_MS)].into();
    let cache =
        MemberConfig { max_age_ms: fresh_ms, ..MemberConfig::new("s-00000001", "127.0.0.1:0", Role::Cache) };
    let cache = Member::start(cache, &directory).unwrap();
    let archive =
        Member::start(MemberConfig::new("s-00000020", "127.0.0.1:0", Role::Archive), &directory).unwrap();
    let feed = Feed::start("127.0.0.1:0").unwrap();
    let config = include_str!("../../../examples/config.json");
    let second = config.find("{\"id\": \"s-00000002\"").unwrap();
    let origin = config.find("{\"id\": \"s-00000020\"").unwrap();
    let mut config = format!("{}{}", &config[..second], &config[origin..]);
    for (from, to) in [
        ("127.0.0.1:9101", cache.address),
        ("127.0.0.1:9120", archive.address),
        ("127.0.0.1:9092", feed.address),
    ] {
        config = config.replace(from, &to.to_string());
    }
    let config = config.replace("\"maxAge\": [8000.0, 0.0]", &format!("\"maxAge\": [{FRESH_MS}.0, 0.0]"));
    Rig { fleet: Fleet::with(name, size, &config, true), cache, archive, feed }
}

impl Rig {
    fn ask(&mut self, n: usize) {
        let line = self.fleet.front(n).wait_for_log(" listens on ", LONG).unwrap();
        let at = line.split_once(" listens on ").unwrap().1.trim().parse().unwrap();
        let head = Client::connect(at).unwrap().request("images", KEY, 2_000).unwrap().0;
        assert!(head.starts_with("Status: 200"), "{head}");
    }

    fn renewals_asked(&self) -> usize {
        self.cache.counts().refreshes_requested.load(SeqCst)
    }

    fn line(&mut self, n: usize, text: &str) -> String {
        let front = self.fleet.front(n);
        front
            .wait_for_log(text, LONG)
            .unwrap_or_else(|| panic!("n{n} never says '{text}': {:?}", front.log_lines()))
    }

    /// Asked until a snapshot has it; then killed.
    fn learn_and_die(&mut self, n: usize) {
        let file = self.fleet.folder.join(format!("n{n}.redb"));
        let written = |file: &Path| std::fs::metadata(file).and_then(|m| m.modified()).ok();
        let before = written(&file);
        self.ask(n);
        until("a snapshot is written", || written(&file) > before);
        // The write that began with this access may have had less: the next one is whole.
        std::thread::sleep(Duration::from_millis(500));
        self.fleet.front(n).kill();
    }

    fn show(&self, n: usize, args: &[&str]) -> (i32, String, String) {
        let run = Command::new(env!("CARGO_BIN_EXE_doorgrade"))
            .args([&["recall", "show"], args].concat())
            .env("DOORGRADE_SETTINGS", self.fleet.folder.join(format!("n{n}.hcl")))
            .env_remove("PROXY_CONFIG")
            .output()
            .unwrap();
        let text = |bytes: &[u8]| String::from_utf8_lossy(bytes).into_owned();
        (run.status.code().unwrap_or(-1), text(&run.stdout), text(&run.stderr))
    }
}

#[test]
fn a_front_that_was_killed_knows_from_its_own_snapshot_what_is_about_to_end() {
    let mut rig = rig("recall-own", 2);
    rig.cache.preload(PATH, FRESH_MS * 17 / 20);
    rig.fleet.start(0);
    rig.line(0, "recall: no snapshot of its own");
    rig.learn_and_die(0);
    assert_eq!(rig.renewals_asked(), 0, "blind");
    let (code, out, err) = rig.show(0, &[]);
    assert!(
        code == 0 && out.contains("n0's snapshot of ") && out.contains("1 parts and 0 purges"),
        "{out}{err}"
    );
    rig.fleet.start(0);
    let line = rig.line(0, "recall: from its own snapshot");
    assert!(line.contains("1 parts and 0 purges taken"), "{line}");
    let (code, _, err) = rig.show(0, &[]);
    assert!(code == 1 && err.contains("a front that runs has it open"), "{err}");
    rig.ask(0);
    assert_eq!(rig.renewals_asked(), 1, "at its first access");
    // Without its disk it is blind again. Another's is nothing to a front.
    let disk = Disk::new(&rig.fleet.folder.join("n0.redb"));
    rig.fleet.front(0).kill();
    disk.back_up().unwrap();
    disk.delete().unwrap();
    rig.fleet.start(0);
    rig.line(0, "recall: no snapshot of its own");
    rig.fleet.front(0).kill();
    std::fs::copy(rig.fleet.folder.join("n0.redb.aside"), rig.fleet.folder.join("n1.redb")).unwrap();
    rig.fleet.start(1);
    rig.line(1, "recall: its own snapshot is left out: it is n0's");
    // A disk of noise is set aside, and the front starts.
    std::fs::write(rig.fleet.folder.join("n0.redb"), [7; 9_000]).unwrap();
    rig.fleet.start(0);
    rig.line(0, "recall: the store can't be opened");
    rig.ask(0);
}

#[test]
fn a_front_without_a_disk_is_told_by_a_neighbour_that_lived() {
    let mut rig = rig("recall-neighbour", 3);
    rig.cache.preload(PATH, FRESH_MS * 17 / 20);
    rig.fleet.start(0);
    rig.fleet.start(1);
    rig.ask(0);
    assert_eq!(rig.renewals_asked(), 0, "blind");
    // Two that begin together have nothing for each other, and say so; from then on they give.
    rig.line(0, "recall: from neighbours, 0 pages");
    // The only one that knows can't be heard by the newcomer for a while.
    rig.fleet.links.set("n0", "n2", LinkConditions { cut: true, ..LinkConditions::default() });
    rig.fleet.start(2);
    rig.line(2, "n1 (hillside, ");
    rig.fleet.links.heal();
    let line = rig.line(2, "recall: from neighbours, ");
    assert!(line.contains("1 parts and 0 purges taken"), "{line}");
    rig.ask(2);
    assert_eq!(rig.renewals_asked(), 1);
    let (own, at) = (rig.fleet.own[2].to_string(), rig.fleet.at[2].to_string());
    let (code, out, _) = rig.show(2, &[&at, "--through", &own, "--json"]);
    let told: serde_json::Value = serde_json::from_str(&out).unwrap();
    assert_eq!((code, &told["front"], &told["done"]), (0, &"n2".into(), &true.into()), "{told}");
    rig.fleet.words_hold();
}

#[test]
fn a_purge_heard_before_its_death_binds_a_front_that_cannot_hear_the_feed() {
    let mut rig = rig("recall-purge", 2);
    rig.fleet.start(0);
    rig.ask(0);
    let fills = rig.archive.requests();
    let purged = unix_ms();
    rig.feed.publish_purge(2, u64::from_str_radix(KEY, 16).unwrap(), purged);
    // Once it is heard, the access is filled anew; the older copy is put back at the cache.
    until("the purge is heard", || {
        std::thread::sleep(Duration::from_millis(50));
        rig.feed.resume_numbers().contains(&1)
    });
    rig.learn_and_die(0);
    rig.cache.preload(PATH, unix_ms() - purged + 1_000);
    // Nobody tells the front of it after its start.
    let config = rig.fleet.folder.join("config.json");
    let text = std::fs::read_to_string(&config).unwrap();
    std::fs::write(&config, text.replace(&rig.feed.address.to_string(), "127.0.0.1:1")).unwrap();
    let hits = rig.cache.counts().hits.load(SeqCst);
    rig.fleet.start(0);
    let line = rig.line(0, "recall: from its own snapshot");
    rig.ask(0);
    // Within the time in which purges act, or the test says nothing.
    assert!(unix_ms() < purged + 6_000, "the machine is too slow for this test");
    assert_eq!(rig.cache.counts().hits.load(SeqCst), hits, "nothing is answered from the older copy");
    assert!(rig.archive.requests() > fills);
    assert_eq!(rig.cache.counts().too_old.load(SeqCst), 0);
    assert!(line.contains(" 1 purges taken"), "{line}");
}

#[test]
fn a_returning_front_stopped_at_each_step_asks_anew_and_serves() {
    let mut rig = rig("recall-steps", 3);
    rig.cache.preload(PATH, FRESH_MS * 17 / 20);
    rig.fleet.start(0);
    rig.fleet.start(1);
    rig.line(0, "recall: from neighbours, 0 pages");
    rig.ask(0);
    // Before it knows anybody, while it asks, and when it has all.
    for (step, told) in
        ["recall: no snapshot", "neighbours: connected to neighbours", "recall: from neighbours, 1 pages"]
            .into_iter()
            .enumerate()
    {
        let _ = std::fs::remove_file(rig.fleet.folder.join("n2.redb"));
        rig.fleet.start(2);
        rig.line(2, told);
        rig.fleet.front(2).suspend();
        // Longer than any pause of its own.
        std::thread::sleep(Duration::from_secs(3));
        let before = rig.fleet.front(2).log_lines().len();
        rig.fleet.front(2).resume();
        // Stopped so early, it may not have begun to believe anything that it could drop.
        if step > 0 {
            rig.line(2, "neighbours: stalled for ");
        }
        until("it has asked anew", || {
            let lines = rig.fleet.fronts[2].as_ref().unwrap().log_lines();
            lines[before..].iter().any(|l| l.contains("recall: from neighbours, 1 pages: "))
        });
        let asked = rig.renewals_asked();
        rig.ask(2);
        assert_eq!(rig.renewals_asked(), asked + 1, "step {step}: it knows what is about to end");
        rig.fleet.front(2).kill();
    }
    rig.fleet.words_hold();
}

#[test]
fn givers_that_are_stopped_while_they_give_hold_nobody_up() {
    let mut rig = rig("recall-stopped", 3);
    rig.fleet.start(0);
    rig.fleet.start(1);
    rig.ask(0);
    rig.line(1, "neighbours: connected to neighbours");
    rig.fleet.front(0).suspend();
    rig.fleet.start(2);
    rig.ask(2);
    // It ends, whoever does not answer.
    rig.line(2, "recall: from neighbours, ");
    // Longer than any pause of its own.
    std::thread::sleep(Duration::from_secs(1));
    rig.fleet.front(0).resume();
    rig.line(0, "neighbours: stalled for ");
    rig.ask(0);
}

#[test]
fn a_half_that_began_anew_behind_a_cut_is_told_once_the_halves_meet() {
    let mut rig = rig("recall-halves", 6);
    rig.cache.preload(PATH, FRESH_MS * 17 / 20);
    (0..6).for_each(|n| rig.fleet.start(n));
    rig.fleet.all_see(0..6, 0..6);
    (0..3).for_each(|n| rig.ask(n));
    rig.fleet.links.partition(&names(0..3), &names(3..6));
    rig.fleet.all_see(3..6, 3..6);
    for n in 3..6 {
        rig.fleet.front(n).kill();
        let _ = std::fs::remove_file(rig.fleet.folder.join(format!("n{n}.redb")));
        rig.fleet.start(n);
    }
    // Nobody on their side knows anything.
    (3..6).for_each(|n| drop(rig.line(n, "recall: from neighbours, 0 pages")));
    rig.fleet.links.heal();
    rig.fleet.all_see(0..6, 0..6);
    for n in 3..6 {
        rig.line(n, "recall: from neighbours, 1 pages: 1 parts");
        let asked = rig.renewals_asked();
        rig.ask(n);
        assert_eq!(rig.renewals_asked(), asked + 1, "n{n} knows at its first access");
    }
    assert_eq!(rig.cache.counts().too_old.load(SeqCst), 0);
    rig.fleet.words_hold();
}

/// What a front wrote down, with something else in it.
fn alter(rig: &Rig, n: usize, change: impl FnOnce(&mut Snapshot)) {
    let (records, trouble) = Records::open(&rig.fleet.folder.join(format!("n{n}.redb"))).unwrap();
    assert_eq!(trouble, None);
    let mut snapshot = doorgrade_control_client::memory::read_snapshot(&records).unwrap().unwrap();
    change(&mut snapshot);
    records.write(&[("memory", postcard::to_stdvec(&snapshot).unwrap())], &[]).unwrap();
}

/// A giver that says of a young copy that it is old, and of an old one that it is young: a renewal that the cache does not
/// make, or one an access later; the first answer ends it.
#[test]
fn a_giver_of_false_ages_does_no_more_harm_than_one_access_long() {
    for (is, said, first, second) in [(1, 17, 1, 0), (17, 1, 0, 1)] {
        let mut rig = rig(&format!("recall-false-{is}"), 2);
        rig.cache.preload(PATH, FRESH_MS * is / 20);
        rig.fleet.start(0);
        rig.learn_and_die(0);
        alter(&rig, 0, |snapshot| {
            assert_eq!(snapshot.fills.len(), 1);
            snapshot.fills[0].made_at = (unix_ms() - FRESH_MS * said / 20) * 10;
            // And of a purge that is to come, and one of something else that never was: an age that is asked for, no more.
            let at = unix_ms() * 10;
            snapshot.purges.push(Purge { object: None, group: 17, at: at + 36_000_000 });
            snapshot.purges.push(Purge { object: Some(7), group: 0, at });
        });
        rig.fleet.start(0);
        rig.line(0, "1 parts and 1 purges taken; dropped: 1 from the future");
        rig.fleet.start(1);
        rig.line(1, "recall: from neighbours, 1 pages: 1 parts");
        let (fills, asked) = (rig.archive.requests(), rig.renewals_asked());
        rig.ask(1);
        assert_eq!(rig.renewals_asked(), asked + first, "said to be {said} twentieths old, and is {is}");
        rig.ask(1);
        assert_eq!(rig.renewals_asked(), asked + first + second, "and then as it is");
        if is == 1 {
            assert_eq!(rig.archive.requests(), fills, "what is young is not renewed, whoever asks");
        }
        assert_eq!(rig.cache.counts().too_old.load(SeqCst), 0);
    }
}

#[test]
fn a_front_with_a_wrong_clock_believes_nothing_of_before_and_answers_nothing_too_old() {
    let mut rig = rig("recall-clock", 2);
    rig.fleet.start(0);
    rig.ask(0);
    rig.learn_and_die(0);
    for (ms, says) in
        [(-3_600_000, "its own snapshot is left out: it was taken 3"), (3_600_000, "ms ago, and nothing")]
    {
        let life = |rig: &Rig| rig.fleet.ask(0).map_or(0, |s| s.own.incarnation);
        rig.fleet.set_clock(0, ms);
        rig.fleet.start(0);
        rig.line(0, says);
        let before = life(&rig);
        assert!(before > 0);
        // Purged by the right clock, and the older copy put back.
        let purged = unix_ms();
        if ms < 0 {
            rig.feed.publish_purge(2, u64::from_str_radix(KEY, 16).unwrap(), purged);
            // The feed looks for news each 20 ms. Not heard of yet, the test fails.
            std::thread::sleep(Duration::from_millis(500));
            rig.cache.preload(PATH, unix_ms() - purged + 1_000);
            let hits = rig.cache.counts().hits.load(SeqCst);
            rig.ask(0);
            assert_eq!(rig.cache.counts().hits.load(SeqCst), hits, "nothing from the older copy");
        }
        rig.ask(0);
        rig.learn_and_die(0);
        rig.fleet.start(0);
        assert!(life(&rig) > before, "a later life, whatever the clock says");
        rig.fleet.front(0).kill();
    }
    assert_eq!(rig.cache.counts().too_old.load(SeqCst), 0);
}

#[test]
fn of_all_that_come_back_at_once_the_one_that_lost_its_disk_is_told_by_those_that_did_not() {
    let mut rig = rig("recall-one-lost", 3);
    rig.cache.preload(PATH, FRESH_MS * 17 / 20);
    (0..3).for_each(|n| rig.fleet.start(n));
    (0..2).for_each(|n| rig.learn_and_die(n));
    rig.fleet.front(2).kill();
    std::fs::remove_file(rig.fleet.folder.join("n2.redb")).unwrap();
    (0..3).for_each(|n| rig.fleet.start(n));
    rig.line(2, "recall: from neighbours, 1 pages: 1 parts");
    let asked = rig.renewals_asked();
    rig.ask(2);
    assert_eq!(rig.renewals_asked(), asked + 1);
}
