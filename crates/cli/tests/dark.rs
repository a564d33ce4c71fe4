//! Everything goes dark at once: the service of versions with its store, the agent with its journal, most fronts, one of
//! them with its own stores. What starts without what; that nobody runs anything older than it ran; that nothing runs twice.

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
use helper::control::{Control, control};
use helper::until;
use rustix::process::Signal;
use serde_json::Value;

const FRONTS: usize = 4;
const LISTEN_MS: u64 = 4_000;

struct Rig {
    place: Installation,
    name: String,
    at: Vec<SocketAddr>,
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

fn free(count: usize) -> Vec<SocketAddr> {
    // All at once, so that none is given twice.
    let held: Vec<TcpListener> = (0..count).map(|_| TcpListener::bind("127.0.0.1:0").unwrap()).collect();
    held.iter().map(|l| l.local_addr().unwrap()).collect()
}

impl Rig {
    /// The service, the agent, and fronts that all run the second of two versions. Beside the service's store lies a copy
    /// of it with the first one alone.
    fn new(name: &str) -> (Rig, String) {
        let place = Installation::new(name).unwrap();
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
        place.write("config.json", &config).unwrap();
        let at = free(FRONTS);
        let name = format!("{name}-{}", std::process::id());
        let mut rig =
            Rig { place, name, at, control: None, agent: None, _members: [cache, origin], _feed: feed };
        rig.start_service("127.0.0.1:0");
        rig.settings();
        rig.start_agent();
        rig.fleet(&["start", "--all"]);
        rig.connected(FRONTS);
        rig.publish("log { level = \"info\" }\n");
        rig.stop_service();
        Disk::new(&rig.place.file("control.redb")).back_up().unwrap();
        rig.start_service_again();
        let second = rig.publish("log { level = \"debug\" }\n");
        (rig, second)
    }

    fn start_service(&mut self, at: &str) {
        let publication = format!("  soak_ms = 50\n  answer_within_ms = 5000\n  listen_ms = {LISTEN_MS}");
        self.control = Some(control(&self.place, at, &publication));
    }

    fn start_service_again(&mut self) {
        let at = std::fs::read_to_string(self.place.file("at")).unwrap();
        self.start_service(&at);
        // People come to another port.
        self.settings();
    }

    fn stop_service(&mut self) {
        self.control = None;
    }

    fn settings(&self) {
        let (fronts, operators) = self.control.as_ref().map(|c| (c.fronts, c.operators)).unwrap();
        self.place.write("at", &fronts.to_string()).unwrap();
        let person = format!(
            "manage {{\n  service = \"{operators}\"\n  server_name = \"{SERVICE}\"\n  certificate = \"person.pem\"\n  \
             key = \"person.key\"\n  authority = \"fronts-ca.pem\"\n}}\n"
        );
        self.place.write("person.hcl", &person).unwrap();
        let mut agent = format!(
            "agent {{\n  name = \"{}\"\n  program = \"{}\"\n  journal = \"agent.redb\"\n  socket = \"agent.sock\"\n  \
             logs = \"logs\"\n}}\npace {{\n  cold = 4\n  cold_for_ms = 100\n  drain_for_ms = 300\n  down = 1.0\n}}\n",
            self.name,
            env!("CARGO_BIN_EXE_doorgrade")
        );
        for (n, at) in self.at.iter().enumerate() {
            let name = format!("n{n}");
            if !self.place.file(&format!("{name}.pem")).exists() {
                self.place.issue(&name, &self.place.fronts, &[&name], 30).unwrap();
            }
            let own = format!(
                "versions {{\n  enabled = true\n  service = [\"{fronts}\"]\n  server_name = \"{SERVICE}\"\n  station = \"hill\"\n  \
                 certificate = \"{name}.pem\"\n  key = \"{name}.key\"\n  authority = \"fronts-ca.pem\"\n  \
                 seal_keys = \"seal-keys.hcl\"\n  store = \"{name}.redb\"\n}}\n\
                 recall {{\n  enabled = true\n  store = \"{name}-recall.redb\"\n  write_ms = 200\n}}\n"
            );
            self.place.write(&format!("{name}.hcl"), &own).unwrap();
            agent += &format!(
                "instance \"{name}\" {{\n  station = \"hill\"\n  listen = \"{at}\"\n  config = \"config.json\"\n  \
                 settings = \"{name}.hcl\"\n}}\n"
            );
        }
        self.place.write("agent.hcl", &agent).unwrap();
    }

    fn start_agent(&mut self) {
        let mut command = Command::new(env!("CARGO_BIN_EXE_doorgrade"));
        command.arg("agent").arg("--file").arg(self.place.file("agent.hcl"));
        self.agent = Some(Process::start(command.stdout(Stdio::null())).unwrap());
        until("the agent answers", || self.order(&["status", "--json"]).status.success());
    }

    fn order(&self, args: &[&str]) -> Output {
        let mut command = Command::new(env!("CARGO_BIN_EXE_doorgrade"));
        command.arg("fleet").args(args).arg("--file").arg(self.place.file("agent.hcl")).output().unwrap()
    }

    fn fleet(&self, args: &[&str]) {
        let done = self.order(args);
        assert!(done.status.success(), "{args:?}: {done:?}");
    }

    fn config(&self, args: &[&str]) -> Value {
        let mut command = Command::new(env!("CARGO_BIN_EXE_doorgrade"));
        command.arg("config").args(args).arg("--json").arg("--settings").arg(self.place.file("person.hcl"));
        let output = command.output().unwrap();
        serde_json::from_slice(&output.stdout).unwrap_or_else(|e| panic!("{args:?}: {e}: {output:?}"))
    }

    fn connected(&self, count: usize) {
        until(&format!("{count} fronts have come"), || self.config(&["status"])["connected"] == count);
    }

    fn publish(&self, content: &str) -> String {
        self.place.write("next.hcl", content).unwrap();
        let told = self.config(&["publish", self.place.file("next.hcl").to_str().unwrap()]);
        assert_eq!(told["everywhere"], true, "{told}");
        told["version"].as_str().unwrap().to_owned()
    }

    fn log(&self, n: usize) -> String {
        std::fs::read_to_string(self.place.file(&format!("logs/n{n}.log"))).unwrap_or_default()
    }

    fn kill(&self, n: usize) {
        let found = find(&self.name);
        let one = found.iter().find(|f| *f.0 == *format!("n{n}")).unwrap();
        signal(one.2, Signal::KILL).unwrap();
        until("it is gone", || !find(&self.name).iter().any(|f| f.2 == one.2));
        std::fs::rename(
            self.place.file(&format!("logs/n{n}.log")),
            self.place.file(&format!("logs/n{n}.before")),
        )
        .unwrap();
    }

    /// A front loses all that it has on disk.
    fn lose(&self, n: usize) {
        for store in [format!("n{n}.redb"), format!("n{n}-recall.redb")] {
            Disk::new(&self.place.file(&store)).delete().unwrap();
        }
    }

    fn runs(&self, n: usize, version: &str) {
        until(&format!("n{n} runs {version}"), || self.log(n).contains(&format!("{version} is in use")));
    }
}

#[test]
fn the_service_and_the_agent_lose_their_stores_while_most_fronts_die() {
    let (mut rig, second) = Rig::new("dark-lost");
    let lives = find(&rig.name).into_iter().find(|f| &*f.0 == "n3").unwrap();
    // Clients go on asking the one that lives, until all is over.
    let (stop, asked, wrong) = (Arc::new(AtomicBool::new(false)), Arc::default(), Arc::default());
    let client = {
        let (at, stop) = (rig.at[3], stop.clone());
        let (asked, wrong): (Arc<AtomicUsize>, Arc<AtomicUsize>) = (Arc::clone(&asked), Arc::clone(&wrong));
        std::thread::spawn(move || {
            let mut client = Client::connect(at).unwrap();
            while !stop.load(SeqCst) {
                let key = format!("{:016x}", asked.fetch_add(1, SeqCst) % 50);
                let fine =
                    client.request("images", &key, 2_000).is_ok_and(|a| a.0.starts_with("Status: 200"));
                wrong.fetch_add(usize::from(!fine || client.has_unread_bytes()), SeqCst);
                std::thread::sleep(Duration::from_millis(5));
            }
        })
    };
    rig.agent = None;
    (0..3).for_each(|n| rig.kill(n));
    rig.stop_service();
    rig.lose(1);
    Disk::new(&rig.place.file("control.redb")).delete().unwrap();
    Disk::new(&rig.place.file("agent.redb")).delete().unwrap();

    // The agent starts without the service and without its journal: it knows the front that lives by its mark.
    rig.start_agent();
    rig.fleet(&["start", "--all"]);
    let now = find(&rig.name);
    assert_eq!(now.len(), FRONTS, "{now:?}");
    assert!(
        now.iter().any(|f| f.2 == lives.2),
        "the one that lived goes on, and was not started beside itself"
    );
    // Fronts start without the service, on what they ran; without a store, on their own file.
    for n in [0, 2] {
        assert!(rig.log(n).contains(&format!("this start runs {second}")), "{}", rig.log(n));
    }
    assert!(rig.log(1).contains("none is kept; this start runs its own file"), "{}", rig.log(1));
    // The service starts without anything. It finds that it has a past, and gives nobody anything.
    rig.start_service_again();
    rig.connected(FRONTS);
    let status = rig.config(&["status", "--fronts"]);
    let at = |place: &str| place.rsplit_once('-').map(|p| p.1.to_owned());
    let runs: Vec<_> = status["list"].as_array().unwrap().iter().map(|r| r["version"].clone()).collect();
    let of = |version: &Value| version.as_str().and_then(at) == at(&second);
    assert_eq!(runs.iter().filter(|v| of(v)).count(), 3, "{status}");
    std::thread::sleep(Duration::from_millis(LISTEN_MS));
    for n in 0..3 {
        assert!(!rig.log(n).contains(" is in use"), "n{n} was given something: {}", rig.log(n));
    }
    // A person says what is to be everybody's.
    let third = rig.publish("log { level = \"warn\" }\n");
    rig.connected(FRONTS);
    let all = rig.config(&["status", "--fronts"]);
    let list = all["list"].as_array().unwrap();
    assert!(list.iter().all(|r| r["version"].as_str().and_then(at) == at(&third)), "{all}");
    stop.store(true, SeqCst);
    client.join().unwrap();
    let (asked, wrong) = (asked.load(SeqCst), wrong.load(SeqCst));
    assert!(asked > 500 && wrong == 0, "{wrong} of {asked} at the front that lived");
    rig.fleet(&["stop", "--all", "--force", "hill"]);
    assert_eq!(find(&rig.name), []);
}

#[test]
fn an_older_copy_of_the_services_store_is_never_obeyed_not_even_by_a_front_without_one() {
    let (mut rig, second) = Rig::new("dark-older");
    // Nobody brings them back before it is said.
    rig.agent = None;
    (0..4).for_each(|n| rig.kill(n));
    rig.stop_service();
    Disk::new(&rig.place.file("agent.redb")).delete().unwrap();
    rig.lose(1);
    Disk::new(&rig.place.file("control.redb")).restore().unwrap();
    rig.start_service_again();
    rig.start_agent();
    // The first that comes has nothing, and can't say what it ran.
    rig.fleet(&["start", "n1"]);
    rig.connected(1);
    std::thread::sleep(Duration::from_millis(LISTEN_MS / 4));
    assert!(!rig.log(1).contains(" is in use"), "it was given what is older than it ran: {}", rig.log(1));
    rig.fleet(&["start", "--all"]);
    rig.connected(FRONTS);
    std::thread::sleep(Duration::from_millis(LISTEN_MS));
    for n in [0, 2, 3] {
        let log = rig.log(n);
        assert!(log.contains(&format!("this start runs {second}")), "{log}");
        assert!(!log.contains(" is in use"), "n{n} was given something: {log}");
    }
    assert!(!rig.log(1).contains(" is in use"), "{}", rig.log(1));
    let third = rig.publish("log { level = \"debug\" }\n");
    (0..4).for_each(|n| rig.runs(n, &third));
    rig.fleet(&["stop", "--all", "--force", "hill"]);
}
