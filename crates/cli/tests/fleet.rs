//! The agent, real instances and the commands, as processes on loopback.

mod helper;

use std::net::{SocketAddr, TcpListener};
use std::path::PathBuf;
use std::process::{Child, Command, Output, Stdio};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering::SeqCst};
use std::time::Duration;

use doorgrade_agent::process::{find, signal};
use doorgrade_standins::client::AccessRequest;
use doorgrade_standins::ports::free_address;
use doorgrade_standins::shim::{Counter, Fault, Shim};
use doorgrade_standins::{Client, Directory, Feed, Member, MemberConfig, Role};
use helper::wait_until;
use rustix::process::Signal;
use serde_json::Value;

const FRONTS: usize = 6;
const NO_SPACE: i64 = nix::errno::Errno::ENOSPC as i64;
const INPUT_OUTPUT: i64 = nix::errno::Errno::EIO as i64;

struct Rig {
    folder: PathBuf,
    name: String,
    addresses: Vec<SocketAddr>,
    agent: Option<Child>,
    /// Injects system faults into the agent and all that it starts.
    shim: Shim,
    members: [Member; 2],
    _feed: Feed,
}

impl Drop for Rig {
    fn drop(&mut self) {
        self.kill_agent();
        // Instances outlive their agent: those that this test leaves are killed.
        find(&self.name).into_iter().for_each(|f| drop(signal(f.2, Signal::KILL)));
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

impl Rig {
    fn new(name: &str) -> Rig {
        let name = format!("{name}-{}", std::process::id());
        let folder = std::env::temp_dir().join(format!("doorgrade-{name}"));
        let _ = std::fs::remove_dir_all(&folder);
        std::fs::create_dir_all(&folder).unwrap();
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
        std::fs::write(folder.join("config.json"), config).unwrap();
        let addresses: Vec<SocketAddr> = (0..FRONTS).map(|_| free_address()).collect();
        let mut text = format!(
            "agent {{\n  name = \"{name}\"\n  program = \"{}\"\n  journal = \"agent.redb\"\n  socket = \"agent.sock\"\n  \
             logs = \"logs\"\n}}\npace {{\n  cold = 2\n  cold_for_ms = 100\n  drain_for_ms = 300\n  down = 0.34\n}}\n",
            env!("CARGO_BIN_EXE_doorgrade")
        );
        for (n, address) in addresses.iter().enumerate() {
            let station = ["hill", "harbour"][n % 2];
            text += &format!(
                "instance \"n{n}\" {{\n  station = \"{station}\"\n  listen = \"{address}\"\n  config = \"config.json\"\n}}\n"
            );
        }
        std::fs::write(folder.join("agent.hcl"), text).unwrap();
        let (shim, members) = (Shim::new(1).unwrap(), [cache, origin]);
        let mut rig = Rig { folder, name, addresses, agent: None, shim, members, _feed: feed };
        rig.start_agent();
        rig
    }

    fn agent_command(&self) -> Command {
        let mut command = Command::new(env!("CARGO_BIN_EXE_doorgrade"));
        command.arg("agent").arg("--file").arg(self.folder.join("agent.hcl")).stderr(Stdio::null());
        command.envs(self.shim.environment().unwrap());
        command
    }

    fn start_agent(&mut self) {
        self.agent = Some(self.agent_command().spawn().unwrap());
        wait_until("the agent responds", || self.fleet(&["status", "--json"]).status.success());
    }

    fn kill_agent(&mut self) {
        if let Some(mut agent) = self.agent.take() {
            let _ = agent.kill();
            let _ = agent.wait();
        }
    }

    fn fleet(&self, args: &[&str]) -> Output {
        let mut command = Command::new(env!("CARGO_BIN_EXE_doorgrade"));
        command.arg("fleet").args(args).arg("--file").arg(self.folder.join("agent.hcl")).output().unwrap()
    }

    /// Runs a `fleet` command, which must succeed.
    fn run(&self, args: &[&str]) {
        let output = self.fleet(args);
        assert!(output.status.success(), "{args:?}: {output:?}");
    }

    fn rows(&self) -> Vec<Value> {
        let output = self.fleet(&["status", "--json"]);
        let status: Value = serde_json::from_slice(&output.stdout).unwrap();
        status["instances"].as_array().unwrap().clone()
    }

    fn states(&self) -> Vec<String> {
        self.rows().iter().map(|r| r["state"].as_str().unwrap().to_owned()).collect()
    }
}

/// Clients like the platform's: they use only fronts whose `/check` says ready, and notice within 50 ms if one is not.
fn traffic(
    addresses: Vec<SocketAddr>,
    stop: Arc<AtomicBool>,
    counts: Arc<[AtomicU64; 3]>,
) -> std::thread::JoinHandle<()> {
    std::thread::spawn(move || {
        let mut n = 0;
        while !stop.load(SeqCst) {
            n += 1;
            let ready = |address: &SocketAddr| {
                Client::connect(*address).and_then(|mut c| c.is_ready()).unwrap_or(false)
            };
            let Some(mut client) = Some(addresses[n % addresses.len()])
                .filter(ready)
                .and_then(|address| Client::connect(address).ok())
            else {
                continue;
            };
            for key in 0..5 {
                counts[0].fetch_add(1, SeqCst);
                match client.request("images", &format!("{key:016x}"), 2_000) {
                    Ok((head, _)) if head.starts_with("Status: 200") => {}
                    Ok(_) => drop(counts[1].fetch_add(1, SeqCst)),
                    Err(_) => {
                        counts[2].fetch_add(1, SeqCst);
                        break;
                    }
                }
                if client.has_unread_bytes() {
                    counts[1].fetch_add(1, SeqCst);
                }
            }
        }
    })
}

#[test]
fn an_agent_killed_during_a_drain_is_replaced_and_no_request_is_lost_or_run_twice() {
    let mut rig = Rig::new("drain");
    rig.run(&["start", "--all"]);
    assert_eq!(rig.states(), ["ready"; FRONTS]);
    let before: Vec<Value> = rig.rows().iter().map(|r| r["process"].clone()).collect();
    let (stop, counts) = (Arc::new(AtomicBool::new(false)), Arc::new([const { AtomicU64::new(0) }; 3]));
    let clients: Vec<_> =
        (0..3).map(|_| traffic(rig.addresses.clone(), stop.clone(), counts.clone())).collect();
    // Only one agent at a time: a second one does not start.
    assert!(!rig.agent_command().status().unwrap().success());

    // The agent is killed as soon as it has accepted the order; the next one takes over all six instances and continues.
    rig.run(&["drain", "n1", "--no-wait"]);
    rig.kill_agent();
    rig.start_agent();
    wait_until("the drain continues", || rig.states()[1] == "draining");
    wait_until("the other instances are taken over", || {
        rig.states().iter().filter(|s| *s == "ready").count() == FRONTS - 1
    });
    assert_eq!(
        rig.rows().iter().map(|r| r["process"].clone()).collect::<Vec<_>>(),
        before,
        "no instance was restarted"
    );
    rig.run(&["stop", "n1"]);
    rig.kill_agent();
    rig.start_agent();
    wait_until("the instance stays stopped", || rig.states()[1] == "stopped");
    // A rolling restart under the same traffic.
    rig.run(&["restart", "--station", "hill"]);
    rig.run(&["start", "n1"]);
    stop.store(true, SeqCst);
    clients.into_iter().for_each(|c| c.join().unwrap());
    let [requests, wrong, lost] = [0, 1, 2].map(|n| counts[n].load(SeqCst));
    assert!(requests > 100, "{requests}");
    assert_eq!((wrong, lost), (0, 0), "of {requests}");
    // The last serving instance of a station is only stopped if the station is named with --force.
    let rejected = rig.fleet(&["stop", "--station", "hill"]);
    assert_eq!(rejected.status.code(), Some(1));
    assert!(
        String::from_utf8_lossy(&rejected.stderr).contains("station 'hill' would be left without"),
        "{rejected:?}"
    );
    rig.run(&["stop", "--all", "--force", "hill", "--force", "harbour"]);
    assert_eq!(find(&rig.name), []);
}

#[test]
fn one_command_restores_all_after_half_of_the_instances_were_killed() {
    let rig = Rig::new("restore");
    rig.run(&["start", "--all"]);
    // An instance whose port is taken by another process fails to start, and is set aside without delaying the others.
    let victims: Vec<_> =
        find(&rig.name).into_iter().filter(|f| ["n0", "n1", "n2"].contains(&&*f.0)).collect();
    assert_eq!(victims.len(), 3);
    victims.iter().for_each(|v| signal(v.2, Signal::KILL).unwrap());
    let port_holder = loop {
        if let Ok(listener) = TcpListener::bind(rig.addresses[2]) {
            break listener;
        }
    };
    let plan = rig.fleet(&["restore", "--all", "--dry-run", "--json"]);
    assert!(plan.status.success(), "{plan:?}");
    let failed = rig.fleet(&["restore", "--all", "--json", "--within", "60"]);
    assert_eq!(failed.status.code(), Some(3), "{failed:?}");
    let result: Value = serde_json::from_slice(&failed.stdout).unwrap();
    assert_eq!((&result["done"], &result["failed"][0]), (&5.into(), &"n2".into()), "{result}");
    assert_eq!(rig.fleet(&["check", "--all"]).status.code(), Some(3));
    let log = std::fs::read_to_string(rig.folder.join("logs/n2.log")).unwrap();
    assert!(log.contains("key 'listen'") || log.contains("listen"), "{log}");
    drop(port_holder);
    rig.run(&["start", "n2"]);
    assert_eq!(rig.fleet(&["check", "--all"]).status.code(), Some(0));
    let runs: Vec<u64> = rig.rows().iter().map(|r| r["run"].as_u64().unwrap()).collect();
    assert_eq!((runs[0], runs[3]), (2, 1));
    let history = rig.fleet(&["history", "--json"]);
    let orders: Value = serde_json::from_slice(&history.stdout).unwrap();
    assert_eq!(orders["orders"].as_array().unwrap().len(), 3);
    rig.run(&["stop", "--all", "--force", "hill", "--force", "harbour"]);
}

/// The wall clock is stepped forward an hour while a stopping instance has a request in flight. The agent used to take the
/// hour as elapsed, and killed the instance before it could respond.
#[test]
fn a_clock_step_does_not_cut_short_the_time_that_a_stopping_instance_has() {
    let rig = Rig::new("clock");
    rig.run(&["start", "--all"]);
    let origin = &rig.members[1];
    origin.gate().set_closed(true);
    let mut client = Client::connect(rig.addresses[0]).unwrap();
    let key = "7f3a9c21e0b4d655";
    let access = AccessRequest { class: "orders", key, bucket: 17, timeout_ms: 1_500, body: b"a write" };
    client.send_access(&access).unwrap();
    wait_until("the origin has received it", || origin.gate().waiting() == 1);
    rig.run(&["stop", "n0", "--no-wait"]);
    wait_until("the instance is stopping", || rig.states()[0] == "stopping");
    let hour_ns = 3_600_000_000_000;
    rig.shim.set(Fault::ClockOffsetNs, hour_ns).unwrap();
    let (head, _) = client.receive().expect("a response, though it is unknown whether the access ran");
    assert!(head.starts_with("Status: 500"), "{head}");
    origin.gate().set_closed(false);
    wait_until("the instance has stopped", || rig.states()[0] == "stopped");
}

/// Writes and syncs fail for a while, first in a running agent, then in one that starts.
#[test]
fn an_agent_keeps_its_journal_through_temporary_disk_failures() {
    let mut rig = Rig::new("disk");
    rig.run(&["start", "--all"]);
    rig.shim.set(Fault::DiskErrno, NO_SPACE).unwrap();
    let rejected = rig.fleet(&["stop", "n1", "--no-wait"]);
    assert!(!rejected.status.success(), "an order that can't be stored is not accepted: {rejected:?}");
    assert_eq!(rig.states()[1], "ready");
    rig.shim.set(Fault::DiskErrno, 0).unwrap();
    rig.run(&["stop", "n1"]);

    rig.kill_agent();
    rig.shim.set(Fault::DiskErrno, INPUT_OUTPUT).unwrap();
    let failed = rig.shim.read(Counter::DiskFailed).unwrap();
    rig.agent = Some(rig.agent_command().spawn().unwrap());
    rig.shim.wait_for(Counter::DiskFailed, failed + 1, Duration::from_secs(20)).unwrap();
    std::thread::sleep(Duration::from_millis(500));
    rig.shim.set(Fault::DiskErrno, 0).unwrap();
    wait_until("the agent responds", || rig.fleet(&["status", "--json"]).status.success());
    let set_aside: Vec<_> = std::fs::read_dir(&rig.folder)
        .unwrap()
        .flatten()
        .map(|file| file.file_name().to_string_lossy().into_owned())
        .filter(|name| name.contains("damaged"))
        .collect();
    assert_eq!(
        set_aside, [""; 0],
        "a journal that could not be opened for a moment is not treated as damaged"
    );
    wait_until("the agent knows all instances again", || {
        let states = rig.states();
        states[1] == "stopped" && states.iter().filter(|s| *s == "ready").count() == FRONTS - 1
    });
}
