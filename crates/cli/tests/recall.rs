//! What killed fronts know after a restart, from their stores and from neighbours. A stand-in cache holds a copy in the
//! last fifth of its fresh time and counts refresh requests: a front that knows the copy's age asks for a refresh at the
//! first access.

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
use helper::fleet::{Fleet, TIMEOUT, front_names, wait_until};

const KEY: &str = "7f3a9c21e0b4d655";
const PATH: &str = "/data/images/7f3a9c21e0b4d655/0";
/// Longer than any test here takes.
const FRESH_MS: u64 = 600_000;

struct Rig {
    fleet: Fleet,
    cache: Member,
    archive: Member,
    feed: Feed,
}

/// `size` fronts, none started yet, with one cache.
fn rig(name: &str, size: usize) -> Rig {
    let directory = Directory::default();
    let max_age_ms = [("images".to_owned(), FRESH_MS)].into();
    let cache = MemberConfig { max_age_ms, ..MemberConfig::new("s-00000001", "127.0.0.1:0", Role::Cache) };
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
    /// Requests the object from a front.
    fn access(&mut self, n: usize) {
        let line = self.fleet.front(n).wait_for_log(" listens on ", TIMEOUT).unwrap();
        let at = line.split_once(" listens on ").unwrap().1.trim().parse().unwrap();
        let head = Client::connect(at).unwrap().request("images", KEY, 2_000).unwrap().0;
        assert!(head.starts_with("Status: 200"), "{head}");
    }

    fn refreshes_requested(&self) -> usize {
        self.cache.counts().refreshes_requested.load(SeqCst)
    }

    /// Waits for a line of a front's log.
    fn wait_for_log(&mut self, n: usize, text: &str) -> String {
        let front = self.fleet.front(n);
        front
            .wait_for_log(text, TIMEOUT)
            .unwrap_or_else(|| panic!("n{n} never logs '{text}': {:?}", front.log_lines()))
    }

    /// Accesses the object, waits until a snapshot contains it, and kills the front.
    fn access_and_kill(&mut self, n: usize) {
        let file = self.fleet.folder.join(format!("n{n}.redb"));
        let modified = |file: &Path| std::fs::metadata(file).and_then(|m| m.modified()).ok();
        let before = modified(&file);
        self.access(n);
        wait_until("a snapshot is written", || modified(&file) > before);
        // The write in progress may have begun before this access; the next one contains it.
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
fn a_killed_front_knows_from_its_snapshot_which_copy_expires_soon() {
    let mut rig = rig("recall-own", 2);
    rig.cache.preload(PATH, FRESH_MS * 17 / 20);
    rig.fleet.start(0);
    rig.wait_for_log(0, "recall: no snapshot of its own");
    rig.access_and_kill(0);
    assert_eq!(rig.refreshes_requested(), 0, "its age is not known yet");
    let (code, out, err) = rig.show(0, &[]);
    assert!(
        code == 0 && out.contains("n0's snapshot of ") && out.contains("1 parts and 0 purges"),
        "{out}{err}"
    );
    rig.fleet.start(0);
    let line = rig.wait_for_log(0, "recall: from its own snapshot");
    assert!(line.contains("1 parts and 0 purges taken"), "{line}");
    let (code, _, err) = rig.show(0, &[]);
    assert!(code == 1 && err.contains("a front that runs has it open"), "{err}");
    rig.access(0);
    assert_eq!(rig.refreshes_requested(), 1, "refreshed at the first access");
    // Without its store it knows nothing again. Another front's snapshot is rejected.
    let disk = Disk::new(&rig.fleet.folder.join("n0.redb"));
    rig.fleet.front(0).kill();
    disk.back_up().unwrap();
    disk.delete().unwrap();
    rig.fleet.start(0);
    rig.wait_for_log(0, "recall: no snapshot of its own");
    rig.fleet.front(0).kill();
    std::fs::copy(rig.fleet.folder.join("n0.redb.aside"), rig.fleet.folder.join("n1.redb")).unwrap();
    rig.fleet.start(1);
    rig.wait_for_log(1, "recall: its own snapshot is left out: it is n0's");
    // A corrupt store is set aside, and the front starts.
    std::fs::write(rig.fleet.folder.join("n0.redb"), [7; 9_000]).unwrap();
    rig.fleet.start(0);
    rig.wait_for_log(0, "recall: the store can't be opened");
    rig.access(0);
}

#[test]
fn a_front_without_a_store_learns_from_a_neighbour_that_kept_running() {
    let mut rig = rig("recall-neighbour", 3);
    rig.cache.preload(PATH, FRESH_MS * 17 / 20);
    rig.fleet.start(0);
    rig.fleet.start(1);
    rig.access(0);
    assert_eq!(rig.refreshes_requested(), 0, "its age is not known yet");
    // Two fronts that start together have no pages for each other; after that they serve pages.
    rig.wait_for_log(0, "recall: from neighbours, 0 pages");
    // The only front that knows the copy can't reach the new one for a while.
    rig.fleet.links.set("n0", "n2", LinkConditions { cut: true, ..LinkConditions::default() });
    rig.fleet.start(2);
    rig.wait_for_log(2, "n1 (hillside, ");
    rig.fleet.links.heal();
    let line = rig.wait_for_log(2, "recall: from neighbours, ");
    assert!(line.contains("1 parts and 0 purges taken"), "{line}");
    rig.access(2);
    assert_eq!(rig.refreshes_requested(), 1);
    let (listener, address) = (rig.fleet.listen_addresses[2].to_string(), rig.fleet.addresses[2].to_string());
    let (code, out, _) = rig.show(2, &[&address, "--through", &listener, "--json"]);
    let status: serde_json::Value = serde_json::from_str(&out).unwrap();
    assert_eq!((code, &status["front"], &status["done"]), (0, &"n2".into(), &true.into()), "{status}");
    rig.fleet.assert_datagram_rates();
}

#[test]
fn a_purge_received_before_a_restart_is_kept_though_the_feed_is_unreachable_after_it() {
    let mut rig = rig("recall-purge", 2);
    rig.fleet.start(0);
    rig.access(0);
    let fills = rig.archive.requests();
    let purged = unix_ms();
    rig.feed.publish_purge(2, u64::from_str_radix(KEY, 16).unwrap(), purged);
    // Once the purge is received, the access is filled again; then the older copy is put back at the cache.
    wait_until("the purge is received", || {
        std::thread::sleep(Duration::from_millis(50));
        rig.feed.resume_numbers().contains(&1)
    });
    rig.access_and_kill(0);
    rig.cache.preload(PATH, unix_ms() - purged + 1_000);
    // The feed is unreachable after the restart, so that the purge can only come from the snapshot.
    let config = rig.fleet.folder.join("config.json");
    let text = std::fs::read_to_string(&config).unwrap();
    std::fs::write(&config, text.replace(&rig.feed.address.to_string(), "127.0.0.1:1")).unwrap();
    let hits = rig.cache.counts().hits.load(SeqCst);
    rig.fleet.start(0);
    let line = rig.wait_for_log(0, "recall: from its own snapshot");
    rig.access(0);
    // The test is only meaningful within the time for which purges are kept.
    assert!(unix_ms() < purged + 6_000, "the machine is too slow for this test");
    assert_eq!(rig.cache.counts().hits.load(SeqCst), hits, "no response comes from the older copy");
    assert!(rig.archive.requests() > fills);
    assert_eq!(rig.cache.counts().too_old.load(SeqCst), 0);
    assert!(line.contains(" 1 purges taken"), "{line}");
}

#[test]
fn a_restarted_front_that_is_stalled_at_any_step_fetches_again_and_serves() {
    let mut rig = rig("recall-steps", 3);
    rig.cache.preload(PATH, FRESH_MS * 17 / 20);
    rig.fleet.start(0);
    rig.fleet.start(1);
    rig.wait_for_log(0, "recall: from neighbours, 0 pages");
    rig.access(0);
    // Stalled before it knows a member, while it fetches, and when it has everything.
    for (step, message) in
        ["recall: no snapshot", "neighbours: connected to neighbours", "recall: from neighbours, 1 pages"]
            .into_iter()
            .enumerate()
    {
        let _ = std::fs::remove_file(rig.fleet.folder.join("n2.redb"));
        rig.fleet.start(2);
        rig.wait_for_log(2, message);
        rig.fleet.front(2).suspend();
        // Long enough to count as a stall.
        std::thread::sleep(Duration::from_secs(3));
        let before = rig.fleet.front(2).log_lines().len();
        rig.fleet.front(2).resume();
        // Stalled this early, it may not have any state to drop yet, and logs no stall.
        if step > 0 {
            rig.wait_for_log(2, "neighbours: stalled for ");
        }
        wait_until("the front has fetched again", || {
            let lines = rig.fleet.fronts[2].as_ref().unwrap().log_lines();
            lines[before..].iter().any(|l| l.contains("recall: from neighbours, 1 pages: "))
        });
        let refreshes = rig.refreshes_requested();
        rig.access(2);
        assert_eq!(
            rig.refreshes_requested(),
            refreshes + 1,
            "step {step}: it knows that the copy expires soon"
        );
        rig.fleet.front(2).kill();
    }
    rig.fleet.assert_datagram_rates();
}

#[test]
fn a_neighbour_that_stalls_while_it_serves_pages_delays_nobody() {
    let mut rig = rig("recall-stopped", 3);
    rig.fleet.start(0);
    rig.fleet.start(1);
    rig.access(0);
    rig.wait_for_log(1, "neighbours: connected to neighbours");
    rig.fleet.front(0).suspend();
    rig.fleet.start(2);
    rig.access(2);
    // The fetch ends though a neighbour does not respond.
    rig.wait_for_log(2, "recall: from neighbours, ");
    // Long enough to count as a stall.
    std::thread::sleep(Duration::from_secs(1));
    rig.fleet.front(0).resume();
    rig.wait_for_log(0, "neighbours: stalled for ");
    rig.access(0);
}

#[test]
fn a_half_restarted_during_a_partition_learns_once_the_partition_heals() {
    let mut rig = rig("recall-halves", 6);
    rig.cache.preload(PATH, FRESH_MS * 17 / 20);
    (0..6).for_each(|n| rig.fleet.start(n));
    rig.fleet.wait_for_membership(0..6, 0..6);
    (0..3).for_each(|n| rig.access(n));
    rig.fleet.links.partition(&front_names(0..3), &front_names(3..6));
    rig.fleet.wait_for_membership(3..6, 3..6);
    for n in 3..6 {
        rig.fleet.front(n).kill();
        let _ = std::fs::remove_file(rig.fleet.folder.join(format!("n{n}.redb")));
        rig.fleet.start(n);
    }
    // Nobody on their side knows the copy.
    (3..6).for_each(|n| drop(rig.wait_for_log(n, "recall: from neighbours, 0 pages")));
    rig.fleet.links.heal();
    rig.fleet.wait_for_membership(0..6, 0..6);
    for n in 3..6 {
        rig.wait_for_log(n, "recall: from neighbours, 1 pages: 1 parts");
        let refreshes = rig.refreshes_requested();
        rig.access(n);
        assert_eq!(rig.refreshes_requested(), refreshes + 1, "n{n} knows the copy at its first access");
    }
    assert_eq!(rig.cache.counts().too_old.load(SeqCst), 0);
    rig.fleet.assert_datagram_rates();
}

/// Changes the snapshot in a front's store.
fn change_snapshot(rig: &Rig, n: usize, change: impl FnOnce(&mut Snapshot)) {
    let (records, trouble) = Records::open(&rig.fleet.folder.join(format!("n{n}.redb"))).unwrap();
    assert_eq!(trouble, None);
    let mut snapshot = doorgrade_control_client::memory::read_snapshot(&records).unwrap().unwrap();
    change(&mut snapshot);
    records.write(&[("memory", postcard::to_stdvec(&snapshot).unwrap())], &[]).unwrap();
}

/// A neighbour reports a young copy as old, and an old one as young. The effect is one refresh request that the cache
/// ignores, or one that comes an access late; the first response corrects the age.
#[test]
fn a_neighbour_with_wrong_ages_affects_one_access_at_most() {
    for (actual, reported, first, second) in [(1, 17, 1, 0), (17, 1, 0, 1)] {
        let mut rig = rig(&format!("recall-false-{actual}"), 2);
        rig.cache.preload(PATH, FRESH_MS * actual / 20);
        rig.fleet.start(0);
        rig.access_and_kill(0);
        change_snapshot(&rig, 0, |snapshot| {
            assert_eq!(snapshot.fills.len(), 1);
            snapshot.fills[0].made_at = (unix_ms() - FRESH_MS * reported / 20) * 10;
            // Also a purge in the future, and one of another object that never happened: at worst, an access asks the
            // cache for a maximum age.
            let at = unix_ms() * 10;
            snapshot.purges.push(Purge { object: None, group: 17, at: at + 36_000_000 });
            snapshot.purges.push(Purge { object: Some(7), group: 0, at });
        });
        rig.fleet.start(0);
        rig.wait_for_log(0, "1 parts and 1 purges taken; dropped: 1 from the future");
        rig.fleet.start(1);
        rig.wait_for_log(1, "recall: from neighbours, 1 pages: 1 parts");
        let (fills, refreshes) = (rig.archive.requests(), rig.refreshes_requested());
        rig.access(1);
        assert_eq!(
            rig.refreshes_requested(),
            refreshes + first,
            "reported as {reported} twentieths old, actually {actual}"
        );
        rig.access(1);
        assert_eq!(
            rig.refreshes_requested(),
            refreshes + first + second,
            "the second access knows the actual age"
        );
        if actual == 1 {
            assert_eq!(rig.archive.requests(), fills, "a young copy is not refreshed, whichever front asks");
        }
        assert_eq!(rig.cache.counts().too_old.load(SeqCst), 0);
    }
}

#[test]
fn a_front_with_a_wrong_clock_ignores_its_snapshot_and_serves_no_stale_copy() {
    let mut rig = rig("recall-clock", 2);
    rig.fleet.start(0);
    rig.access(0);
    rig.access_and_kill(0);
    for (ms, message) in
        [(-3_600_000, "its own snapshot is left out: it was taken 3"), (3_600_000, "ms ago, and nothing")]
    {
        let incarnation = |rig: &Rig| rig.fleet.status(0).map_or(0, |s| s.own.incarnation);
        rig.fleet.set_clock(0, ms);
        rig.fleet.start(0);
        rig.wait_for_log(0, message);
        let before = incarnation(&rig);
        assert!(before > 0);
        // Purged with the time of a correct clock, and the older copy put back.
        let purged = unix_ms();
        if ms < 0 {
            rig.feed.publish_purge(2, u64::from_str_radix(KEY, 16).unwrap(), purged);
            // The feed sends news every 20 ms. If the purge has not arrived by now, the test fails.
            std::thread::sleep(Duration::from_millis(500));
            rig.cache.preload(PATH, unix_ms() - purged + 1_000);
            let hits = rig.cache.counts().hits.load(SeqCst);
            rig.access(0);
            assert_eq!(rig.cache.counts().hits.load(SeqCst), hits, "no response comes from the older copy");
        }
        rig.access(0);
        rig.access_and_kill(0);
        rig.fleet.start(0);
        assert!(incarnation(&rig) > before, "a later incarnation, whatever the clock says");
        rig.fleet.front(0).kill();
    }
    assert_eq!(rig.cache.counts().too_old.load(SeqCst), 0);
}

#[test]
fn of_fronts_restarted_together_the_one_without_a_store_learns_from_the_others() {
    let mut rig = rig("recall-one-lost", 3);
    rig.cache.preload(PATH, FRESH_MS * 17 / 20);
    (0..3).for_each(|n| rig.fleet.start(n));
    (0..2).for_each(|n| rig.access_and_kill(n));
    rig.fleet.front(2).kill();
    std::fs::remove_file(rig.fleet.folder.join("n2.redb")).unwrap();
    (0..3).for_each(|n| rig.fleet.start(n));
    rig.wait_for_log(2, "recall: from neighbours, 1 pages: 1 parts");
    let refreshes = rig.refreshes_requested();
    rig.access(2);
    assert_eq!(rig.refreshes_requested(), refreshes + 1);
}
