//! The control service, a real front and the `config` commands, as processes on loopback.

mod helper;

use std::ffi::OsString;
use std::path::{Path, PathBuf};
use std::process::{Command, Output, Stdio};

use doorgrade_standins::client::AccessRequest;
use doorgrade_standins::feed::member_record;
use doorgrade_standins::shim::{Fault, Shim};
use doorgrade_standins::versions::{Installation, SERVICE};
use doorgrade_standins::{Client, Directory, Feed, Member, MemberConfig, Role};
use helper::control::{Control, QUICK_ROLLOUT, start_control, start_control_with};
use helper::{Front, signal, start, wait_until};
use serde_json::Value;

/// A shape whose members fill from each other in a loop.
const CYCLE: &str = r#"
hierarchy { tier = 1 }
member "root" {
  incarnation = 1
  number = 1
  tier = 2
}
member "a" {
  incarnation = 1
  number = 1
  tier = 1
  fills_from = ["b", "root"]
}
member "b" {
  incarnation = 1
  number = 2
  tier = 1
  fills_from = ["a", "root"]
}
"#;

/// Settings of a front, which also name the service for the commands.
fn settings(installation: &Installation, control: &Control) -> PathBuf {
    let text = format!(
        "versions {{\n  enabled = true\n  service = [\"{}\"]\n  server_name = \"{SERVICE}\"\n  station = \"hill\"\n  \
         certificate = \"n1.pem\"\n  key = \"n1.key\"\n  authority = \"fronts-ca.pem\"\n  seal_keys = \"seal-keys.hcl\"\n  \
         store = \"n1.redb\"\n}}\nmanage {{\n  service = \"{}\"\n  server_name = \"{SERVICE}\"\n  \
         certificate = \"person.pem\"\n  key = \"person.key\"\n  authority = \"fronts-ca.pem\"\n}}\n",
        control.fronts_address, control.operators_address
    );
    installation.write("n1.hcl", &text).unwrap();
    installation.file("n1.hcl")
}

fn config(settings: &Path, args: &[&str]) -> Output {
    let mut command = Command::new(env!("CARGO_BIN_EXE_doorgrade"));
    command.arg("config").args(args).arg("--settings").arg(settings).output().unwrap()
}

fn text(bytes: &[u8]) -> String {
    String::from_utf8_lossy(bytes).into_owned()
}

fn json(output: &Output) -> Value {
    serde_json::from_slice(&output.stdout).unwrap_or_else(|e| panic!("{e}: {output:?}"))
}

struct Rig {
    installation: Installation,
    control: Control,
    settings: PathBuf,
    config: String,
    feed: Feed,
    origin: Member,
    _cache: Member,
}

impl Rig {
    fn start(name: &str) -> Rig {
        Rig::with(name, QUICK_ROLLOUT, Vec::new())
    }

    fn with(name: &str, publication: &str, environment: Vec<(&str, OsString)>) -> Rig {
        let installation = Installation::new(name).unwrap();
        installation.issue("n1", &installation.fronts, &["n1"], 30).unwrap();
        let control = start_control_with(&installation, "127.0.0.1:0", publication, environment);
        let settings = settings(&installation, &control);
        let directory = Directory::default();
        let member =
            |id, role| Member::start(MemberConfig::new(id, "127.0.0.1:0", role), &directory).unwrap();
        let (cache, origin) = (member("s-00000001", Role::Cache), member("s-00000020", Role::Archive));
        let feed = Feed::start("127.0.0.1:0").unwrap();
        let mut config =
            include_str!("../../../examples/config.json").replace("127.0.0.1:8080", "127.0.0.1:0");
        for (from, to) in [
            ("9101", cache.address),
            ("9102", cache.address),
            ("9120", origin.address),
            ("9092", feed.address),
        ] {
            config = config.replace(&format!("127.0.0.1:{from}"), &to.to_string());
        }
        Rig { installation, control, settings, config, feed, origin, _cache: cache }
    }

    fn front(&self) -> Front {
        start(&self.config, Some(&self.settings))
    }

    fn publish(&self, content: &str) -> Output {
        self.installation.write("next.hcl", content).unwrap();
        config(&self.settings, &["publish", self.installation.file("next.hcl").to_str().unwrap(), "--json"])
    }

    fn wait_for_front(&self) {
        wait_until("the front has connected", || {
            json(&config(&self.settings, &["status", "--json"]))["connected"] == 1
        });
    }
}

#[test]
fn a_version_reaches_a_front_survives_its_restart_and_is_rolled_back() {
    let rig = Rig::start("streamed");
    let front = rig.front();
    rig.wait_for_front();
    // An invalid version is rejected before it gets a number; the error names file, line, key and expected value.
    for (content, message) in [
        ("log {", "next.hcl:1:6: is not HCL"),
        ("log { level = 7 }\n", "next.hcl:1:15: key 'log.level': expected one of"),
        ("limits { sockets = 3 }\n", "key 'limits.sockets': expected a whole number from 32"),
        (
            "hierarchy { tier = 1 }\nmember \"a\" {\n incarnation = 1\n number = 1\n tier = 2\n}\n",
            "tier 1: expected at least one member",
        ),
        (CYCLE, "it would close a ring: b -> a -> b"),
    ] {
        let rejected = rig.publish(content);
        assert_eq!(rejected.status.code(), Some(1), "{content}");
        assert!(text(&rejected.stderr).contains(message), "{content}: {}", text(&rejected.stderr));
    }
    // A change that needs a restart is rejected by the front, which gives the reason, and the rollout stops.
    let member = "member \"a\" {\n incarnation = 1\n number = 1\n tier = 1\n}\n";
    let stopped = rig.publish(&format!("hierarchy {{ tier = 1 }}\n{member}"));
    assert_eq!(stopped.status.code(), Some(3));
    let reason = json(&stopped)["stopped"].as_str().unwrap().to_owned();
    assert!(
        reason.contains(
            "1 of 1 fronts turned it down: it changes settings that need a restart: hierarchy (off"
        ),
        "{reason}"
    );

    let done = rig.publish("log { level = \"debug\" }\n");
    assert!(done.status.success(), "{done:?}");
    assert_eq!(json(&done)["everywhere"], true);
    let second = json(&done)["version"].as_str().unwrap().to_owned();
    wait_until("the front logs the version", || {
        front.log().iter().any(|l| l.contains(&format!("{second} is in use")))
    });
    // After a kill the front starts with its stored version, before it reaches the service.
    drop(front);
    let front = rig.front();
    assert!(
        front.log().iter().any(|l| l.contains(&format!("this start runs {second}"))),
        "{:?}",
        front.log()
    );
    // With a corrupt store it starts with its own file, logs that, and is sent the version again.
    drop(front);
    std::fs::write(rig.installation.file("n1.redb"), vec![7; 9_000]).unwrap();
    let front = rig.front();
    let log = front.log();
    assert!(log.iter().any(|l| l.contains("the store can't be opened")), "{log:?}");
    assert!(log.iter().any(|l| l.contains("none is kept; this start runs its own file")), "{log:?}");
    wait_until("the front is sent the current version", || {
        front.log().iter().any(|l| l.contains(&format!("{second} is in use")))
    });

    let done = rig.publish("log { level = \"warn\" }\n");
    assert!(done.status.success(), "{done:?}");
    let diff = config(&rig.settings, &["diff", "2", "3"]);
    assert_eq!(diff.status.code(), Some(4));
    assert!(text(&diff.stdout).contains("-log { level = \"debug\" }\n+log { level = \"warn\" }"));
    let outdated = config(&rig.settings, &["rollback", "2", "--expect", "2"]);
    assert_eq!(outdated.status.code(), Some(1));
    assert!(text(&outdated.stderr).contains("somebody has published since: the last version is 3"));
    assert!(config(&rig.settings, &["rollback", "2"]).status.success());
    let status = json(&config(&rig.settings, &["status", "--fronts", "--json"]));
    assert_eq!((&status["current"], &status["last"]), (&1.into(), &4.into()));
    let row = &status["list"][0];
    assert!(row["version"].as_str().unwrap().ends_with(second.rsplit('-').next().unwrap()), "{row}");
    let history = json(&config(&rig.settings, &["history", "--json"]));
    let notes: Vec<_> = history["versions"].as_array().unwrap().iter().map(|v| v["note"].clone()).collect();
    assert_eq!(notes, ["back to 2", "", "", ""]);
    assert_eq!(text(&config(&rig.settings, &["show", "4"]).stdout), "log { level = \"debug\" }\n");
}

#[test]
fn versions_arrive_during_accesses_a_drain_a_reload_and_a_shutdown() {
    let mut rig = Rig::start("meets");
    let mut front = rig.front();
    rig.wait_for_front();
    // Writes in flight at the origin.
    rig.origin.gate().set_closed(true);
    let mut clients: Vec<Client> = (0..6).map(|_| Client::connect(front.address).unwrap()).collect();
    for client in &mut clients {
        let key = "7f3a9c21e0b4d655";
        client
            .send_access(&AccessRequest {
                class: "orders",
                key,
                bucket: 17,
                timeout_ms: 15_000,
                body: b"a write",
            })
            .unwrap();
    }
    wait_until("the writes wait at the origin", || rig.origin.gate().waiting() == 6);
    // All at once: a cache starts to drain, a version with another feed and lower limits arrives, and SIGHUP is sent.
    let new_feed = Feed::start("127.0.0.1:0").unwrap();
    wait_until("the front subscribes to the feed", || !rig.feed.resume_numbers().is_empty());
    rig.feed.publish(2, 2, &member_record("s-00000002", rig.origin.address, 1, 0, 0, 0));
    let content =
        format!("feed = \"{}\"\nlimits {{\n  memory_mb = 64\n  sockets = 128\n}}\n", new_feed.address);
    rig.installation.write("next.hcl", &content).unwrap();
    let mut command = Command::new(env!("CARGO_BIN_EXE_doorgrade"));
    command
        .arg("config")
        .arg("publish")
        .arg(rig.installation.file("next.hcl"))
        .arg("--settings")
        .arg(&rig.settings);
    let mut publisher = command.stdout(Stdio::null()).spawn().unwrap();
    (0..20).for_each(|_| front.signal("-HUP"));
    assert!(publisher.wait().unwrap().success());
    wait_until("the front subscribes to the version's feed", || !new_feed.resume_numbers().is_empty());
    // After a later reload the version still takes precedence over the file.
    let before = front.log().len();
    front.signal("-HUP");
    wait_until("the front has reloaded", || {
        front.log()[before..].iter().any(|l| l.contains(&format!("feed at {}", new_feed.address)))
    });
    // SIGTERM while one more version arrives: each access gets one response, and the front exits by itself.
    rig.installation.write("last.hcl", "log { level = \"warn\" }\n").unwrap();
    let mut command = Command::new(env!("CARGO_BIN_EXE_doorgrade"));
    command.arg("config").arg("publish").arg(rig.installation.file("last.hcl")).arg("--no-wait");
    let publisher = command.arg("--settings").arg(&rig.settings).stdout(Stdio::null()).spawn();
    signal(front.process.id(), "-TERM");
    assert!(publisher.unwrap().wait().unwrap().success());
    rig.origin.gate().set_closed(false);
    for client in &mut clients {
        assert!(client.receive().unwrap().0.starts_with("Status: 200"));
        assert!(!client.has_unread_bytes());
    }
    assert!(front.process.wait().unwrap().success());
    // The service is killed and restarted with its store; a restarted front runs its stored version and reconnects.
    let at = rig.control.fronts_address.to_string();
    let _ = rig.control.process.kill();
    let _ = rig.control.process.wait();
    let front = rig.front();
    assert!(front.log().iter().any(|l| l.contains("versions: this start runs ")), "{:?}", front.log());
    rig.control = start_control(&rig.installation, &at, QUICK_ROLLOUT);
    rig.settings = settings(&rig.installation, &rig.control);
    rig.wait_for_front();
    assert_eq!(json(&config(&rig.settings, &["status", "--json"]))["last"], 2);
}

/// A rollout is stopped while the service's disk fails. The stop used to be acknowledged but was not stored, so that the
/// service continued the rollout after its next restart.
#[test]
fn a_stop_that_can_not_be_stored_is_reported_and_stored_once_the_disk_recovers() {
    let shim = Shim::new(1).unwrap();
    let soaking = "  soak_ms = 60000\n  answer_within_ms = 5000";
    let mut rig = Rig::with("disk-fails", soaking, shim.environment().unwrap());
    let _front = rig.front();
    rig.wait_for_front();
    rig.installation.write("next.hcl", "log { level = \"debug\" }\n").unwrap();
    let file = rig.installation.file("next.hcl");
    let published = config(&rig.settings, &["publish", file.to_str().unwrap(), "--no-wait", "--json"]);
    assert!(published.status.success(), "{published:?}");
    let rollout = || json(&config(&rig.settings, &["status", "--json"]))["publication"].clone();
    wait_until("the rollout has started", || rollout().is_object());
    let version = rollout()["version"].as_str().unwrap().to_owned();
    let number = version.split(['.', '-']).nth(1).unwrap();

    shim.set(Fault::DiskErrno, nix::errno::Errno::EIO as i64).unwrap();
    let stop = config(&rig.settings, &["stop", number]);
    assert!(!stop.status.success(), "it is not stored yet: {stop:?}");
    assert_ne!(rollout()["stopped"], serde_json::Value::Null, "it has stopped nevertheless");
    shim.set(Fault::DiskErrno, 0).unwrap();
    wait_until("the stop is stored", || {
        rig.control.log_lines().iter().any(|line| line.contains("is stored now"))
    });

    let at = rig.control.fronts_address.to_string();
    rig.control.process.kill().unwrap();
    rig.control.process.wait().unwrap();
    rig.control = start_control(&rig.installation, &at, soaking);
    rig.settings = settings(&rig.installation, &rig.control);
    let rollout = json(&config(&rig.settings, &["status", "--json"]))["publication"].clone();
    assert_ne!(rollout["stopped"], serde_json::Value::Null, "{rollout}");
}
