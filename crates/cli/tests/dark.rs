//! Everything fails at once: the control service with its store, the agent with its journal, most fronts, one of them with
//! its own stores. Each part must start without the others, no front may run an older version than before, and no instance
//! may run twice.

mod helper;

use std::net::{SocketAddr, TcpListener};
use std::process::{Command, Output, Stdio};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering::SeqCst};
use std::time::Duration;

use doorgrade_agent::process::{find, signal};
use doorgrade_standins::process::Process;
use doorgrade_standins::timeline::Disk;
use doorgrade_standins::versions::{Installation, SERVICE};
use doorgrade_standins::{Client, Directory, Feed, Member, MemberConfig, Role};
use helper::control::{Control, start_control};
use helper::wait_until;
use rustix::process::Signal;
use serde_json::Value;

const FRONTS: usize = 4;
const LISTEN_MS: u64 = 4_000;

struct Rig {
    installation: Installation,
    name: String,
    addresses: Vec<SocketAddr>,
    control: Option<Control>,
    agent: Option<Process>,
    _members: [Member; 2],
    _feed: Feed,
}

impl Drop for Rig {
    fn drop(&mut self) {
        self.agent = None;
        find(&self.name).into_iter().for_each(|f| drop(signal(f.2, Signal::KILL)));
    }
}

fn free_addresses(count: usize) -> Vec<SocketAddr> {
    // All are bound at the same time, so that no address is returned twice.
    let listeners: Vec<TcpListener> = (0..count).map(|_| TcpListener::bind("127.0.0.1:0").unwrap()).collect();
    listeners.iter().map(|l| l.local_addr().unwrap()).collect()
}

impl Rig {
    /// The service, the agent, and fronts that all run the second of two versions. A backup of the service's store
    /// contains only the first version.
    fn new(name: &str) -> (Rig, String) {
        let installation = Installation::new(name).unwrap();
        let directory = Directory::default();
        let member =
            |id, role| Member::start(MemberConfig::new(id, "127.0.0.1:0", role), &directory).unwrap();
        let (cache, origin) = (member("s-00000001", Role::Cache), member("s-00000020", Role::Archive));
        let feed = Feed::start("127.0.0.1:0").unwrap();
        let mut config = include_str!("../../../examples/config.json").to_owned();
        for (from, to) in [
            ("9101", cache.address),
            ("9102", cache.address),
            ("9120", origin.address),
            ("9092", feed.address),
        ] {
            config = config.replace(&format!("127.0.0.1:{from}"), &to.to_string());
        }
        installation.write("config.json", &config).unwrap();
        let addresses = free_addresses(FRONTS);
        let name = format!("{name}-{}", std::process::id());
        let mut rig = Rig {
            installation,
            name,
            addresses,
            control: None,
            agent: None,
            _members: [cache, origin],
            _feed: feed,
        };
        rig.start_service("127.0.0.1:0");
        rig.write_settings();
        rig.start_agent();
        rig.fleet(&["start", "--all"]);
        rig.wait_for_fronts(FRONTS);
        rig.publish("log { level = \"info\" }\n");
        rig.stop_service();
        Disk::new(&rig.installation.file("control.redb")).back_up().unwrap();
        rig.restart_service();
        let second = rig.publish("log { level = \"debug\" }\n");
        (rig, second)
    }

    fn start_service(&mut self, listen: &str) {
        let publication = format!("  soak_ms = 50\n  answer_within_ms = 5000\n  listen_ms = {LISTEN_MS}");
        self.control = Some(start_control(&self.installation, listen, &publication));
    }

    fn restart_service(&mut self) {
        let at = std::fs::read_to_string(self.installation.file("at")).unwrap();
        self.start_service(&at);
        // The port for operators has changed.
        self.write_settings();
    }

    fn stop_service(&mut self) {
        self.control = None;
    }

    fn write_settings(&self) {
        let (fronts, operators) =
            self.control.as_ref().map(|c| (c.fronts_address, c.operators_address)).unwrap();
        self.installation.write("at", &fronts.to_string()).unwrap();
        let person = format!(
            "manage {{\n  service = \"{operators}\"\n  server_name = \"{SERVICE}\"\n  certificate = \"person.pem\"\n  \
             key = \"person.key\"\n  authority = \"fronts-ca.pem\"\n}}\n"
        );
        self.installation.write("person.hcl", &person).unwrap();
        let mut agent = format!(
            "agent {{\n  name = \"{}\"\n  program = \"{}\"\n  journal = \"agent.redb\"\n  socket = \"agent.sock\"\n  \
             logs = \"logs\"\n}}\npace {{\n  cold = 4\n  cold_for_ms = 100\n  drain_for_ms = 300\n  down = 1.0\n}}\n",
            self.name,
            env!("CARGO_BIN_EXE_doorgrade")
        );
        for (n, address) in self.addresses.iter().enumerate() {
            let name = format!("n{n}");
            if !self.installation.file(&format!("{name}.pem")).exists() {
                self.installation.issue(&name, &self.installation.fronts, &[&name], 30).unwrap();
            }
            let own = format!(
                "versions {{\n  enabled = true\n  service = [\"{fronts}\"]\n  server_name = \"{SERVICE}\"\n  station = \"hill\"\n  \
                 certificate = \"{name}.pem\"\n  key = \"{name}.key\"\n  authority = \"fronts-ca.pem\"\n  \
                 seal_keys = \"seal-keys.hcl\"\n  store = \"{name}.redb\"\n}}\n\
                 recall {{\n  enabled = true\n  store = \"{name}-recall.redb\"\n  write_ms = 200\n}}\n"
            );
            self.installation.write(&format!("{name}.hcl"), &own).unwrap();
            agent += &format!(
                "instance \"{name}\" {{\n  station = \"hill\"\n  listen = \"{address}\"\n  config = \"config.json\"\n  \
                 settings = \"{name}.hcl\"\n}}\n"
            );
        }
        self.installation.write("agent.hcl", &agent).unwrap();
    }

    fn start_agent(&mut self) {
        let mut command = Command::new(env!("CARGO_BIN_EXE_doorgrade"));
        command.arg("agent").arg("--file").arg(self.installation.file("agent.hcl"));
        self.agent = Some(Process::start(command.stdout(Stdio::null())).unwrap());
        wait_until("the agent responds", || self.fleet_output(&["status", "--json"]).status.success());
    }

    /// Runs a `fleet` command.
    fn fleet_output(&self, args: &[&str]) -> Output {
        let mut command = Command::new(env!("CARGO_BIN_EXE_doorgrade"));
        command
            .arg("fleet")
            .args(args)
            .arg("--file")
            .arg(self.installation.file("agent.hcl"))
            .output()
            .unwrap()
    }

    /// Runs a `fleet` command, which must succeed.
    fn fleet(&self, args: &[&str]) {
        let output = self.fleet_output(args);
        assert!(output.status.success(), "{args:?}: {output:?}");
    }

    fn config(&self, args: &[&str]) -> Value {
        let mut command = Command::new(env!("CARGO_BIN_EXE_doorgrade"));
        command
            .arg("config")
            .args(args)
            .arg("--json")
            .arg("--settings")
            .arg(self.installation.file("person.hcl"));
        let output = command.output().unwrap();
        serde_json::from_slice(&output.stdout).unwrap_or_else(|e| panic!("{args:?}: {e}: {output:?}"))
    }

    fn wait_for_fronts(&self, count: usize) {
        wait_until(&format!("{count} fronts have connected"), || {
            self.config(&["status"])["connected"] == count
        });
    }

    fn publish(&self, content: &str) -> String {
        self.installation.write("next.hcl", content).unwrap();
        let result = self.config(&["publish", self.installation.file("next.hcl").to_str().unwrap()]);
        assert_eq!(result["everywhere"], true, "{result}");
        result["version"].as_str().unwrap().to_owned()
    }

    fn log(&self, n: usize) -> String {
        std::fs::read_to_string(self.installation.file(&format!("logs/n{n}.log"))).unwrap_or_default()
    }

    fn kill(&self, n: usize) {
        let found = find(&self.name);
        let instance = found.iter().find(|f| *f.0 == *format!("n{n}")).unwrap();
        signal(instance.2, Signal::KILL).unwrap();
        wait_until("the process is gone", || !find(&self.name).iter().any(|f| f.2 == instance.2));
        std::fs::rename(
            self.installation.file(&format!("logs/n{n}.log")),
            self.installation.file(&format!("logs/n{n}.before")),
        )
        .unwrap();
    }

    /// Deletes a front's stores.
    fn delete_stores(&self, n: usize) {
        for store in [format!("n{n}.redb"), format!("n{n}-recall.redb")] {
            Disk::new(&self.installation.file(&store)).delete().unwrap();
        }
    }

    fn wait_for_version(&self, n: usize, version: &str) {
        wait_until(&format!("n{n} runs {version}"), || self.log(n).contains(&format!("{version} is in use")));
    }
}

#[test]
fn service_and_agent_lose_their_stores_while_most_fronts_are_killed() {
    let (mut rig, second) = Rig::new("dark-lost");
    let survivor = find(&rig.name).into_iter().find(|f| &*f.0 == "n3").unwrap();
    // A client keeps sending requests to the front that is not killed, until the end.
    let (stop, requests, wrong) = (Arc::new(AtomicBool::new(false)), Arc::default(), Arc::default());
    let client = {
        let (address, stop) = (rig.addresses[3], stop.clone());
        let (requests, wrong): (Arc<AtomicUsize>, Arc<AtomicUsize>) =
            (Arc::clone(&requests), Arc::clone(&wrong));
        std::thread::spawn(move || {
            let mut client = Client::connect(address).unwrap();
            while !stop.load(SeqCst) {
                let key = format!("{:016x}", requests.fetch_add(1, SeqCst) % 50);
                let correct =
                    client.request("images", &key, 2_000).is_ok_and(|a| a.0.starts_with("Status: 200"));
                wrong.fetch_add(usize::from(!correct || client.has_unread_bytes()), SeqCst);
                std::thread::sleep(Duration::from_millis(5));
            }
        })
    };
    rig.agent = None;
    (0..3).for_each(|n| rig.kill(n));
    rig.stop_service();
    rig.delete_stores(1);
    Disk::new(&rig.installation.file("control.redb")).delete().unwrap();
    Disk::new(&rig.installation.file("agent.redb")).delete().unwrap();

    // The agent starts without the service and its journal; it recognises the running front by its environment.
    rig.start_agent();
    rig.fleet(&["start", "--all"]);
    let instances = find(&rig.name);
    assert_eq!(instances.len(), FRONTS, "{instances:?}");
    assert!(
        instances.iter().any(|f| f.2 == survivor.2),
        "the surviving instance still runs, and was not started a second time"
    );
    // Fronts start without the service, with their stored version, or without a store with their own file.
    for n in [0, 2] {
        assert!(rig.log(n).contains(&format!("this start runs {second}")), "{}", rig.log(n));
    }
    assert!(rig.log(1).contains("none is kept; this start runs its own file"), "{}", rig.log(1));
    // The service starts with an empty store. It learns that versions existed before, and offers nothing.
    rig.restart_service();
    rig.wait_for_fronts(FRONTS);
    let status = rig.config(&["status", "--fronts"]);
    let hash = |version: &str| version.rsplit_once('-').map(|p| p.1.to_owned());
    let runs: Vec<_> = status["list"].as_array().unwrap().iter().map(|r| r["version"].clone()).collect();
    let is_second = |version: &Value| version.as_str().and_then(hash) == hash(&second);
    assert_eq!(runs.iter().filter(|v| is_second(v)).count(), 3, "{status}");
    std::thread::sleep(Duration::from_millis(LISTEN_MS));
    for n in 0..3 {
        assert!(!rig.log(n).contains(" is in use"), "n{n} was sent a version: {}", rig.log(n));
    }
    // An operator publishes a version for all fronts.
    let third = rig.publish("log { level = \"warn\" }\n");
    rig.wait_for_fronts(FRONTS);
    let all = rig.config(&["status", "--fronts"]);
    let list = all["list"].as_array().unwrap();
    assert!(list.iter().all(|r| r["version"].as_str().and_then(hash) == hash(&third)), "{all}");
    stop.store(true, SeqCst);
    client.join().unwrap();
    let (requests, wrong) = (requests.load(SeqCst), wrong.load(SeqCst));
    assert!(requests > 500 && wrong == 0, "{wrong} of {requests} at the surviving front");
    rig.fleet(&["stop", "--all", "--force", "hill"]);
    assert_eq!(find(&rig.name), []);
}

#[test]
fn a_service_restored_from_an_older_backup_sends_old_versions_to_nobody() {
    let (mut rig, second) = Rig::new("dark-older");
    // Without the agent, no instance is restarted before the test does so.
    rig.agent = None;
    (0..4).for_each(|n| rig.kill(n));
    rig.stop_service();
    Disk::new(&rig.installation.file("agent.redb")).delete().unwrap();
    rig.delete_stores(1);
    Disk::new(&rig.installation.file("control.redb")).restore().unwrap();
    rig.restart_service();
    rig.start_agent();
    // The first front to connect has no store, and can't report what it ran.
    rig.fleet(&["start", "n1"]);
    rig.wait_for_fronts(1);
    std::thread::sleep(Duration::from_millis(LISTEN_MS / 4));
    assert!(!rig.log(1).contains(" is in use"), "it was sent an older version than it ran: {}", rig.log(1));
    rig.fleet(&["start", "--all"]);
    rig.wait_for_fronts(FRONTS);
    std::thread::sleep(Duration::from_millis(LISTEN_MS));
    for n in [0, 2, 3] {
        let log = rig.log(n);
        assert!(log.contains(&format!("this start runs {second}")), "{log}");
        assert!(!log.contains(" is in use"), "n{n} was sent a version: {log}");
    }
    assert!(!rig.log(1).contains(" is in use"), "{}", rig.log(1));
    let third = rig.publish("log { level = \"debug\" }\n");
    (0..4).for_each(|n| rig.wait_for_version(n, &third));
    rig.fleet(&["stop", "--all", "--force", "hill"]);
}
