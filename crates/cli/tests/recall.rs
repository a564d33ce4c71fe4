//! What real fronts remember over their death, from their stores and from neighbours; counted at a stand-in cache that
//! holds a copy in the last fifth of its fresh time: who knows that asks for its renewal at the first access.

mod helper;

use std::path::Path;
use std::process::Command;
use std::sync::atomic::Ordering::SeqCst;
use std::time::Duration;

use doorgrade_standins::links::Way;
use doorgrade_standins::timeline::Disk;
use doorgrade_standins::{Client, Directory, Feed, Member, Role, Spec, unix_ms};
use helper::fleet::{Fleet, LONG, until};

const KEY: &str = "7f3a9c21e0b4d655";
const PATH: &str = "/data/images/7f3a9c21e0b4d655/0";
/// Long enough for all that a test does.
const FRESH_MS: u64 = 120_000;

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
    let cache = Spec { fresh_ms, ..Spec::new("s-00000001", "127.0.0.1:0", Role::Cache) };
    let cache = Member::start(cache, &directory).unwrap();
    let archive = Member::start(Spec::new("s-00000020", "127.0.0.1:0", Role::Archive), &directory).unwrap();
    let feed = Feed::start("127.0.0.1:0").unwrap();
    let config = include_str!("../../../examples/config.json");
    let second = config.find("{\"id\": \"s-00000002\"").unwrap();
    let origin = config.find("{\"id\": \"s-00000020\"").unwrap();
    let mut config = format!("{}{}", &config[..second], &config[origin..]);
    for (from, to) in
        [("127.0.0.1:9101", cache.at), ("127.0.0.1:9120", archive.at), ("127.0.0.1:9092", feed.at)]
    {
        config = config.replace(from, &to.to_string());
    }
    let config = config.replace("\"maxAge\": [8000.0, 0.0]", &format!("\"maxAge\": [{FRESH_MS}.0, 0.0]"));
    Rig { fleet: Fleet::with(name, size, &config, true), cache, archive, feed }
}

impl Rig {
    fn ask(&mut self, n: usize) {
        let line = self.fleet.front(n).line(" listens on ", LONG).unwrap();
        let at = line.split_once(" listens on ").unwrap().1.trim().parse().unwrap();
        let head = Client::connect(at).unwrap().ask("images", KEY, 2_000).unwrap().0;
        assert!(head.starts_with("Status: 200"), "{head}");
    }

    fn renewals_asked(&self) -> usize {
        self.cache.counts().renewal_asked.load(SeqCst)
    }

    fn line(&mut self, n: usize, text: &str) -> String {
        let front = self.fleet.front(n);
        front.line(text, LONG).unwrap_or_else(|| panic!("n{n} never says '{text}': {:?}", front.lines()))
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
    disk.keep().unwrap();
    disk.lose().unwrap();
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
    rig.fleet.links.set("n0", "n2", Way { cut: true, ..Way::default() });
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
    let fills = rig.archive.asked();
    let purged = unix_ms();
    rig.feed.purge(2, u64::from_str_radix(KEY, 16).unwrap(), purged);
    // Once it is heard, the access is filled anew; the older copy is put back at the cache.
    until("the purge is heard", || {
        std::thread::sleep(Duration::from_millis(50));
        rig.feed.begun().contains(&1)
    });
    rig.learn_and_die(0);
    rig.cache.preload(PATH, unix_ms() - purged + 1_000);
    // Nobody tells the front of it after its start.
    let config = rig.fleet.folder.join("config.json");
    let text = std::fs::read_to_string(&config).unwrap();
    std::fs::write(&config, text.replace(&rig.feed.at.to_string(), "127.0.0.1:1")).unwrap();
    let hits = rig.cache.counts().hits.load(SeqCst);
    rig.fleet.start(0);
    let line = rig.line(0, "recall: from its own snapshot");
    rig.ask(0);
    // Within the time in which purges act, or the test says nothing.
    assert!(unix_ms() < purged + 6_000, "the machine is too slow for this test");
    assert_eq!(rig.cache.counts().hits.load(SeqCst), hits, "nothing is answered from the older copy");
    assert!(rig.archive.asked() > fills);
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
        ["recall: no snapshot", "neighbours: among neighbours", "recall: from neighbours, 1 pages"]
            .into_iter()
            .enumerate()
    {
        let _ = std::fs::remove_file(rig.fleet.folder.join("n2.redb"));
        rig.fleet.start(2);
        rig.line(2, told);
        rig.fleet.front(2).stop();
        // Longer than any pause of its own.
        std::thread::sleep(Duration::from_secs(3));
        let before = rig.fleet.front(2).lines().len();
        rig.fleet.front(2).wake();
        // Stopped so early, it may not have begun to believe anything that it could drop.
        if step > 0 {
            rig.line(2, "neighbours: slept for ");
        }
        until("it has asked anew", || {
            let lines = rig.fleet.fronts[2].as_ref().unwrap().lines();
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
    rig.line(1, "neighbours: among neighbours");
    rig.fleet.front(0).stop();
    rig.fleet.start(2);
    rig.ask(2);
    // It ends, whoever does not answer.
    rig.line(2, "recall: from neighbours, ");
    // Longer than any pause of its own.
    std::thread::sleep(Duration::from_secs(1));
    rig.fleet.front(0).wake();
    rig.line(0, "neighbours: slept for ");
    rig.ask(0);
}
