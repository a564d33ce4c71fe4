//! A front with a cache hierarchy whose shape changes, against stand-ins on loopback.

mod helper;

use std::sync::atomic::Ordering::SeqCst;

use doorgrade_standins::feed::member_record;
use doorgrade_standins::{Client, Directory, Feed, Member, MemberConfig, Role, unix_ms};
use helper::{start, wait_until};
use serde_json::{Value, json};

const CACHE: &str = "s-00000001";
const TRUNKS: [&str; 3] = ["s-000000a1", "s-000000a2", "s-000000a3"];
const ARCHIVE: &str = "s-000000ff";

fn member(name: &str, number: u64, tier: u8, sources: &[&str]) -> String {
    format!(
        "member \"{name}\" {{\n  incarnation = 1\n  number = {number}\n  tier = {tier}\n  fills_from = {sources:?}\n}}\n"
    )
}

fn config(feed: &Feed, cache: &Member, trunks: &[Member], archive: &Member) -> String {
    let row = |m: &Member, place: &str, flavor: &str| {
        json!({"id": m.id, "host_port": m.address.to_string(), "locality": place, "flavor": flavor, "cell": 0,
            "phase": "in_service", "size": 1, "up_since_ms": 0})
    };
    let mut members = vec![row(cache, "here", "cache"), row(archive, "hub", "archive")];
    members.extend(trunks.iter().map(|t| row(t, "hub", "trunk")));
    let settings = json!({
        "zone": 0, "fleetSize": 1, "quantum": 2.0, "localities": ["here", "hub"],
        "machineTypes": ["cache", "trunk", "archive"], "registryMode": "automatic", "weightKind": "nominal",
        "limits": {"cancel": true, "connIdle": 15000.0, "connectTimeout": 400.0, "maxAttempts": 6, "secondCopies": true},
        "profiles": [{"name": "files", "aim": 1500.0, "deadline": 2000.0, "worth": 1.0, "semantics": "free"}],
        "rules": {"cold": 1000.0, "fall": 500.0, "fallMultiple": 4.0, "startCapacity": 0.5},
        "specifics": {"crewByZone": [1, 1], "maxAge": [0.0], "notesGiven": "all", "passOn": [false],
            "purgeDone": 6000.0, "upperKind": 1, "rootKind": 2, "parentCold": 1000.0, "parentColdFrom": 0.5,
            "parentLimitFactor": 4.0, "sharesFills": true, "straight": true}
    });
    let census = json!({"revision": 1, "complete": true, "members": members});
    json!({"name": "n1", "listen": "127.0.0.1:0", "feed": feed.address.to_string(), "seed": "1f",
        "known": {"n": 1, "events": [{"n": 1, "members": census}]}, "settings": settings})
    .to_string()
}

#[test]
fn shape_changes_take_effect_cycles_are_rejected_and_old_homes_hand_over_their_copies() {
    let directory = Directory::default();
    let member_at = |id, role, max_copies| {
        Member::start(MemberConfig { max_copies, ..MemberConfig::new(id, "127.0.0.1:0", role) }, &directory)
            .unwrap()
    };
    // The station's cache keeps one copy only, so that nearly every access reaches the tiers above it.
    let (cache, archive) = (member_at(CACHE, Role::Cache, 1), member_at(ARCHIVE, Role::Archive, 0));
    let trunks = TRUNKS.map(|id| member_at(id, Role::Parent, 1_000));
    trunks.iter().for_each(|t| t.set_fill_sources(&[ARCHIVE]));
    let feed = Feed::start("127.0.0.1:0").unwrap();

    let folder = std::env::temp_dir().join(format!("doorgrade-tiers-{}", std::process::id()));
    std::fs::create_dir_all(&folder).unwrap();
    let settings = folder.join("doorgrade.hcl");
    let text = "log {\n  format = \"json\"\n}\nhierarchy {\n  enabled = true\n  shape = \"shape.hcl\"\n  hand_over_ms = 300\n}\n";
    std::fs::write(&settings, text).unwrap();
    let two = member(ARCHIVE, 1, 2, &[])
        + &member(TRUNKS[0], 1, 1, &[ARCHIVE])
        + &member(TRUNKS[1], 1, 1, &[ARCHIVE]);
    let shape = |text: &str| std::fs::write(folder.join("shape.hcl"), text).unwrap();
    shape(&two);
    let front = start(&config(&feed, &cache, &trunks[..2], &archive), Some(&settings));
    let mut client = Client::connect(front.address).unwrap();
    let mut ask = |key: u64| {
        let (head, _) = client.request("files", &format!("{key:016x}"), 2_000).unwrap();
        assert!(head.starts_with("Status: 200"), "{head}");
    };

    // Each object is fetched once, since all its fills go through one parent.
    (1..=60).for_each(&mut ask);
    (1..=60).for_each(&mut ask);
    assert_eq!(archive.requests(), 60);

    // A third parent joins. It fills its objects from their old homes, not from the archive.
    let three = two.clone() + &member(TRUNKS[2], 1, 1, &[ARCHIVE]);
    shape(&three);
    front.signal("-HUP");
    feed.publish_members(2, &[member_record(TRUNKS[2], trunks[2].address, 0, 1, 1, unix_ms())]);
    let logged = |text: &str| front.log().iter().any(|line| line.contains(text));
    wait_until("the new member list is received", || logged("33.3% of the objects move"));
    wait_until("the new parent has taken over objects", || {
        (1..=60).for_each(&mut ask);
        trunks[2].counts().fills.load(SeqCst) >= 10
    });
    assert_eq!(archive.requests(), 60, "nothing was fetched again");

    // A change that would close a cycle is left pending and logged; accesses continue.
    shape(&(three.clone() + &member(TRUNKS[0], 2, 1, &[TRUNKS[1]]) + &member(TRUNKS[1], 2, 1, &[TRUNKS[0]])));
    front.signal("-HUP");
    let cycle = format!("it would close a ring: {0} -> {1} -> {0}", TRUNKS[1], TRUNKS[0]);
    wait_until("the cycle is logged", || logged(&cycle));
    (1..=20).for_each(&mut ask);

    // A cycle that is not in the shape: it is detected on the first turn and reported, and the access uses another route.
    trunks[0].set_fill_sources(&[TRUNKS[1]]);
    trunks[1].set_fill_sources(&[TRUNKS[0]]);
    (1_000..1_030).for_each(&mut ask);
    wait_until("the cycle is reported", || logged("a fill came round in a ring"));
    let sum = |of: fn(&Member) -> usize| trunks.iter().map(of).sum::<usize>();
    assert!(sum(|t| t.counts().loops_rejected.load(SeqCst)) > 0);
    assert_eq!(sum(|t| t.counts().loops_missed.load(SeqCst)), 0);

    // Every log line is a JSON object with the same keys.
    let log = front.log();
    for line in &log {
        let line: Value = serde_json::from_str(line).expect("a line that is JSON");
        assert!(line["timestamp"].is_string() && line["level"].is_string() && line["message"].is_string());
        assert_eq!(line["span"]["front"], "n1", "{line}");
    }
    let pending = log.iter().find(|l| l.contains("it would close a ring")).unwrap();
    assert!(pending.contains(&format!("\"member\":\"{}\"", TRUNKS[1])), "{pending}");
    std::fs::remove_dir_all(folder).unwrap();
}

/// A front killed during a hand-over and restarted with its store still fills from old homes; without its store the copies
/// there would be fetched again.
#[test]
fn a_hand_over_in_progress_survives_a_restart() {
    const OBJECTS: u64 = 60;
    let directory = Directory::default();
    let member_at = |id, role, max_copies| {
        Member::start(MemberConfig { max_copies, ..MemberConfig::new(id, "127.0.0.1:0", role) }, &directory)
            .unwrap()
    };
    let (cache, archive) = (member_at(CACHE, Role::Cache, 1), member_at(ARCHIVE, Role::Archive, 0));
    let trunks = [TRUNKS[0], TRUNKS[1]].map(|id| member_at(id, Role::Parent, 1_000));
    trunks.iter().for_each(|t| t.set_fill_sources(&[ARCHIVE]));
    // The first parent holds all objects.
    let path = |key: u64| format!("/data/files/{key:016x}/0");
    (0..OBJECTS).for_each(|key| trunks[0].preload(&path(key), 1_000));
    let feed = Feed::start("127.0.0.1:0").unwrap();
    let folder = std::env::temp_dir().join(format!("doorgrade-tiers-back-{}", std::process::id()));
    let _ = std::fs::remove_dir_all(&folder);
    std::fs::create_dir_all(&folder).unwrap();
    let settings = folder.join("doorgrade.hcl");
    let text = "hierarchy {\n  enabled = true\n  shape = \"shape.hcl\"\n  hand_over_ms = 60000\n}\n\
                recall {\n  enabled = true\n  store = \"n1.redb\"\n  write_ms = 200\n}\n";
    std::fs::write(&settings, text).unwrap();
    let shape = |text: &str| std::fs::write(folder.join("shape.hcl"), text).unwrap();
    let one = member(ARCHIVE, 1, 2, &[]) + &member(TRUNKS[0], 1, 1, &[ARCHIVE]);
    shape(&one);
    let config = config(&feed, &cache, &trunks, &archive);
    let mut front = start(&config, Some(&settings));
    let logged = |front: &helper::Front, text: &str| front.log().iter().any(|line| line.contains(text));
    wait_until("the shape with one parent is loaded", || logged(&front, "shape: 2 members"));
    shape(&(one + &member(TRUNKS[1], 1, 1, &[ARCHIVE])));
    front.signal("-HUP");
    wait_until("the hand-over begins", || logged(&front, "50.0% of the objects move"));
    let ask = |front: &helper::Front, keys: std::ops::Range<u64>| {
        let mut client = Client::connect(front.address).unwrap();
        for key in keys {
            let (head, _) = client.request("files", &format!("{key:016x}"), 2_000).unwrap();
            assert!(head.starts_with("Status: 200"), "{head}");
        }
    };
    ask(&front, 0..10);
    assert_eq!(archive.requests(), 0, "everything comes from the first parent");
    let store = folder.join("n1.redb");
    let modified = || std::fs::metadata(&store).and_then(|m| m.modified()).ok();
    let before = modified();
    ask(&front, 10..12);
    wait_until("the snapshot is written", || modified() > before);
    std::thread::sleep(std::time::Duration::from_millis(500));
    let _ = front.process.kill();
    let _ = front.process.wait();
    front = start(&config, Some(&settings));
    wait_until("the hand-over is restored", || {
        logged(&front, "homes: a hand-over is known again, over 2 lists")
    });
    ask(&front, 12..40);
    assert_eq!(archive.requests(), 0, "nothing was fetched again");
    // Without its store half of the rest is fetched again.
    let _ = front.process.kill();
    let _ = front.process.wait();
    std::fs::remove_file(&store).unwrap();
    front = start(&config, Some(&settings));
    ask(&front, 40..OBJECTS);
    assert!(archive.requests() > 0, "otherwise the test shows nothing");
    std::fs::remove_dir_all(folder).unwrap();
}
