//! Measures how long an agent takes to start and to restore twenty real fronts under traffic, and whether accesses are lost.
//! Faults: the agent is killed and replaced while it drains an instance; nine instances are killed at once and restored with
//! one command. Baselines for the restore: all starts at once, and one after the other. Then the agent's state machine alone,
//! in virtual time, with more instances than a machine can run as processes.

use std::collections::{BTreeMap, BinaryHeap};
use std::net::{SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering::SeqCst};
use std::time::{Duration, Instant};

use doorgrade_agent::process::{find, signal};
use doorgrade_fleet::instance::Check;
use doorgrade_fleet::{Effect, Fleet, Operation, Order, PaceRules, Phase, Process, TICKS_PER_SECOND};
use doorgrade_standins::{Client, Directory, Feed, Member, MemberConfig, Role};
use fastrand::Rng;
use rustix::process::Signal;
use serde_json::{Value, json};

use crate::rig::{self, Folder};
use crate::{Figures, RunArgs};

const FRONTS: usize = 20;
const STATIONS: usize = 4;
const KILLED: usize = 9;

/// An agent and its instances.
struct Site {
    program: PathBuf,
    folder: Folder,
    name: String,
    /// Where the instances listen.
    fronts: Vec<SocketAddr>,
    agent: Option<Child>,
}

impl Drop for Site {
    fn drop(&mut self) {
        self.kill_agent();
        find(&self.name).into_iter().for_each(|f| drop(signal(f.2, Signal::KILL)));
    }
}

impl Site {
    /// `max_cold`: how many instances may be cold at the same time.
    fn start(program: &Path, name: &str, config: &str, max_cold: usize) -> Result<Site, String> {
        let io = |e: std::io::Error| e.to_string();
        let folder = Folder::new(&format!("fleet-{name}"))?;
        folder.put("config.json", config)?;
        // All are bound at the same time, so that their ports differ.
        let bound = (0..FRONTS)
            .map(|_| TcpListener::bind("127.0.0.1:0"))
            .collect::<Result<Vec<_>, _>>()
            .map_err(io)?;
        let fronts = bound.iter().map(TcpListener::local_addr).collect::<Result<Vec<_>, _>>().map_err(io)?;
        drop(bound);
        let name = format!("lab-{name}-{}", std::process::id());
        let mut text = format!(
            "agent {{\n  name = \"{name}\"\n  program = \"{}\"\n  journal = \"agent.redb\"\n  socket = \"agent.sock\"\n  logs = \"logs\"\n}}\n\
             pace {{\n  cold = {max_cold}\n  cold_for_ms = 500\n  drain_for_ms = 1000\n}}\n",
            program.display()
        );
        for (n, address) in fronts.iter().enumerate() {
            let station = n % STATIONS;
            text += &format!(
                "instance \"n{n}\" {{\n  station = \"s{station}\"\n  listen = \"{address}\"\n  config = \"config.json\"\n}}\n"
            );
        }
        folder.put("agent.hcl", &text)?;
        let mut site = Site { program: program.into(), folder, name, fronts, agent: None };
        site.start_agent()?;
        Ok(site)
    }

    fn command(&self, args: &[&str]) -> Command {
        let mut command = Command::new(&self.program);
        command.args(args).arg("--file").arg(self.folder.path("agent.hcl"));
        command
    }

    fn start_agent(&mut self) -> Result<(), String> {
        let agent = self.command(&["agent"]).stderr(Stdio::null()).spawn().map_err(|e| e.to_string())?;
        self.agent = Some(agent);
        let started_at = Instant::now();
        while self.instances().is_err() {
            if started_at.elapsed() > Duration::from_secs(10) {
                return Err("the agent did not respond within 10 s".into());
            }
            std::thread::sleep(Duration::from_millis(10));
        }
        Ok(())
    }

    fn kill_agent(&mut self) {
        if let Some(mut agent) = self.agent.take() {
            let _ = agent.kill();
            let _ = agent.wait();
        }
    }

    /// Runs a `fleet` command and returns its JSON.
    fn fleet(&self, args: &[&str]) -> Result<Value, String> {
        let out =
            self.command(&[&["fleet"], args].concat()).arg("--json").output().map_err(|e| e.to_string())?;
        if !out.status.success() {
            return Err(format!("fleet {args:?}: {}", String::from_utf8_lossy(&out.stderr)));
        }
        serde_json::from_slice(&out.stdout).map_err(|e| e.to_string())
    }

    fn instances(&self) -> Result<Vec<Value>, String> {
        let status = self.fleet(&["status"])?;
        Ok(status["instances"].as_array().cloned().unwrap_or_default())
    }

    /// Kills the first `KILLED` instances, and waits until the agent reports it or for 5 s.
    fn kill_instances(&self) -> Result<(), String> {
        let all = find(&self.name);
        let victims = all.iter().filter(|f| (0..KILLED).any(|n| *f.0 == *format!("n{n}")));
        victims.for_each(|v| drop(signal(v.2, Signal::KILL)));
        let killed_at = Instant::now();
        // The agent notices by itself; the next command is given once it has.
        while self.instances()?.iter().filter(|r| r["state"] == "ready").count() > FRONTS - KILLED {
            if killed_at.elapsed() > Duration::from_secs(5) {
                break;
            }
        }
        Ok(())
    }
}

#[derive(Default)]
struct Counts {
    accesses: AtomicU64,
    /// Responses with another status than 200.
    not_handled: AtomicU64,
    /// Accesses without a response.
    lost: AtomicU64,
    /// Responses after which more bytes came.
    answered_twice: AtomicU64,
}

/// A client like those of the platform: it only uses fronts whose `/check` says ready. While `killing` is set, accesses
/// without a response are not counted as lost, since a killed front cannot answer.
fn run_client(fronts: &[SocketAddr], seed: u64, stop: &AtomicBool, killing: &AtomicBool, counts: &Counts) {
    let mut rng = Rng::with_seed(seed);
    while !stop.load(SeqCst) {
        let front = fronts[rng.usize(0..fronts.len())];
        let ready = Client::connect(front).and_then(|mut c| c.is_ready()).unwrap_or(false);
        let Some(mut client) = Client::connect(front).ok().filter(|_| ready) else { continue };
        for _ in 0..10 {
            counts.accesses.fetch_add(1, SeqCst);
            match client.request("files", &format!("{:016x}", rng.u64(0..500)), 2_000) {
                Ok((head, _)) if head.starts_with("Status: 200") => {}
                Ok(_) => drop(counts.not_handled.fetch_add(1, SeqCst)),
                Err(_) => {
                    counts.lost.fetch_add(u64::from(!killing.load(SeqCst)), SeqCst);
                    break;
                }
            }
            counts.answered_twice.fetch_add(u64::from(client.has_unread_bytes()), SeqCst);
            std::thread::sleep(Duration::from_millis(2));
        }
    }
}

fn config(cache: &Member, archive: &Member, feed: &Feed) -> String {
    let member_json = |m: &Member, flavor: &str| {
        json!({"id": m.id, "host_port": m.address.to_string(), "locality": "here", "flavor": flavor, "cell": 0,
            "phase": "in_service", "size": 4, "up_since_ms": 0})
    };
    let members = json!({"revision": 1, "complete": true, "members": [member_json(cache, "cache"), member_json(archive, "archive")]});
    let settings = json!({
        "zone": 0, "fleetSize": FRONTS, "quantum": 2.0, "localities": ["here"], "machineTypes": ["cache", "archive"],
        "registryMode": "automatic", "weightKind": "nominal",
        "limits": {"cancel": true, "connIdle": 15000.0, "connectTimeout": 400.0, "maxAttempts": 6, "secondCopies": true},
        "profiles": [{"name": "files", "aim": 500.0, "deadline": 2000.0, "worth": 1.0, "semantics": "free"}],
        "rules": {"cold": 1000.0, "fall": 500.0, "fallMultiple": 4.0, "startCapacity": 0.5},
        "specifics": {"crewByZone": [FRONTS], "maxAge": [0.0], "notesGiven": "all", "passOn": [false], "purgeDone": 6000.0,
            "upperKind": -1, "rootKind": 1, "sharesFills": true, "straight": true}
    });
    json!({"name": "lab", "listen": "127.0.0.1:0", "feed": feed.address.to_string(), "limits": {"memory_mb": 64, "sockets": 256},
        "known": {"n": 1, "events": [{"n": 1, "members": members}]}, "settings": settings})
    .to_string()
}

pub fn run(run_args: &RunArgs, front: Option<PathBuf>) -> Result<Figures, String> {
    let program = rig::program(front)?;
    let directory = Directory::default();
    let member = |id, role| {
        Member::start(MemberConfig::new(id, "127.0.0.1:0", role), &directory).map_err(|e| e.to_string())
    };
    let (cache, archive) = (member("s-00000001", Role::Cache)?, member("s-000000ff", Role::Archive)?);
    let feed = Feed::start("127.0.0.1:0").map_err(|e| e.to_string())?;
    let config = config(&cache, &archive, &feed);
    let mut figures = Figures::default();
    figures.put("instances", FRONTS);

    let mut site = Site::start(&program, "paced", &config, 2)?;
    let started_at = Instant::now();
    site.fleet(&["start", "--all"])?;
    figures.put_rounded("start_all_s", started_at.elapsed().as_secs_f64());
    let (stop, killing, counts) = (AtomicBool::new(false), AtomicBool::new(false), Counts::default());
    let script_result: Result<(), String> = std::thread::scope(|scope| {
        for n in 0..6 {
            let (fronts, stop, killing, counts) = (&site.fronts.clone(), &stop, &killing, &counts);
            let fronts = fronts.clone();
            scope.spawn(move || run_client(&fronts, run_args.seed + n, stop, killing, counts));
        }
        let mut run_script = || -> Result<(), String> {
            let rounds = if run_args.quick { 2 } else { 8 };
            for round in 0..rounds {
                let name = format!("n{}", 10 + round);
                site.fleet(&["drain", &name, "--no-wait"])?;
                std::thread::sleep(Duration::from_millis(Rng::with_seed(run_args.seed + round).u64(0..300)));
                site.kill_agent();
                site.start_agent()?;
                site.fleet(&["stop", &name])?;
                site.fleet(&["start", &name])?;
            }
            killing.store(true, SeqCst);
            site.kill_instances()?;
            let restore_started_at = Instant::now();
            site.fleet(&["restore", "--all"])?;
            figures.put_rounded("restore_s", restore_started_at.elapsed().as_secs_f64());
            figures.put("agents_killed_in_a_drain", rounds);
            Ok(())
        };
        let result = run_script();
        stop.store(true, SeqCst);
        result
    });
    script_result?;
    for (name, count) in [
        ("accesses", &counts.accesses),
        ("lost", &counts.lost),
        ("not_handled", &counts.not_handled),
        ("answered_twice", &counts.answered_twice),
    ] {
        figures.put(name, count.load(SeqCst));
    }
    let runs: u64 = site.instances()?.iter().filter_map(|i| i["run"].as_u64()).sum();
    // For each first start, each instance stopped after a drain, and each killed one. More: an instance started twice.
    let expected_runs = FRONTS as u64 + if run_args.quick { 2 } else { 8 } + KILLED as u64;
    figures.put("starts_beyond_those_due", runs as i64 - expected_runs as i64);
    drop(site);

    // Baseline: the same instances killed, and all started at once.
    let site = Site::start(&program, "at-once", &config, FRONTS)?;
    site.fleet(&["start", "--all"])?;
    site.kill_instances()?;
    let started_at = Instant::now();
    site.fleet(&["restore", "--all"])?;
    figures.put_rounded("baseline_all_at_once_s", started_at.elapsed().as_secs_f64());
    drop(site);
    // Baseline: started one after the other, with a command for each.
    let site = Site::start(&program, "by-hand", &config, 1)?;
    site.fleet(&["start", "--all"])?;
    site.kill_instances()?;
    let started_at = Instant::now();
    for n in 0..KILLED {
        site.fleet(&["start", &format!("n{n}")])?;
    }
    figures.put_rounded("baseline_one_by_one_s", started_at.elapsed().as_secs_f64());
    drop(site);
    run_virtual(run_args, &mut figures)?;
    Ok(figures)
}

/// The state machine of the agent alone, in virtual time: 5000 instances in 200 stations (1000 in 40 with `--quick`), of
/// which 45% are killed at once.
fn run_virtual(run_args: &RunArgs, figures: &mut Figures) -> Result<(), String> {
    let (stations, per_station) = if run_args.quick { (40, 25) } else { (200, 25) };
    let instances: Vec<(Box<str>, Box<str>)> = (0..stations * per_station)
        .map(|n| (format!("i{n}").into(), format!("s{}", n % stations).into()))
        .collect();
    let mut now = 17_000_000_000_000u64;
    let mut effects = Vec::new();
    let mut fleet =
        Fleet::new(now, PaceRules::default(), run_args.seed, &instances, BTreeMap::new(), &mut effects);
    let mut rng = Rng::with_seed(run_args.seed);
    // Time and number of each scheduled event.
    let mut queue: BinaryHeap<std::cmp::Reverse<(u64, u64)>> = BinaryHeap::new();
    // By number: whether processes are looked for (0) or checked (1), the name of the instance and its run.
    let mut events: BTreeMap<u64, (u32, Box<str>, u64)> = BTreeMap::new();
    let (mut event_count, mut inputs, mut pid, mut starts) = (0u64, 0u64, 1u32, Vec::new());
    let mut started: BTreeMap<Box<str>, u64> = BTreeMap::new();
    let mut timer = None;
    let started_at = Instant::now();
    let mut ordered = false;
    let (mut killed_at, end) = (None, now + 1_200 * TICKS_PER_SECOND);
    loop {
        let mut new_effects = Vec::new();
        for effect in effects.drain(..) {
            let mut schedule = |delay: u64, kind: u32, name: Box<str>, run: u64| {
                event_count += 1;
                queue.push(std::cmp::Reverse((now + delay, event_count)));
                events.insert(event_count, (kind, name, run));
            };
            match effect {
                Effect::Start { name, run } => {
                    pid += 1;
                    starts.push(now);
                    started.insert(name.clone(), now);
                    inputs += 1;
                    fleet.on_started(
                        now,
                        &name,
                        run,
                        Ok(Process { id: pid, start_time: now }),
                        &mut new_effects,
                    );
                }
                Effect::FindProcesses { name } => schedule(10, 0, name, 0),
                Effect::Check { name, run } => schedule(20 + rng.u64(0..50), 1, name, run),
                Effect::SetTimer(at) => timer = Some(at),
                _ => {}
            }
        }
        if !new_effects.is_empty() {
            effects = new_effects;
            continue;
        }
        let ready = || fleet.instances().filter(|i| i.1.phase == Phase::Ready).count();
        if !ordered {
            ordered = true;
            let targets = instances.iter().map(|i| (i.0.clone(), None)).collect();
            let order =
                Order { by: "lab".into(), operation: Operation::Start, targets, force: Default::default() };
            // The agent looks for running processes first; there are none.
            for (name, _) in &instances {
                fleet.on_processes_found(now, name, &[], &mut effects);
            }
            fleet.order(now, &order, &mut effects).map_err(|e| e.to_string())?;
            continue;
        }
        let next = queue.peek().map(|r| r.0.0);
        let at = next.into_iter().chain(timer).min().unwrap_or(end);
        if at >= end {
            break;
        }
        now = now.max(at);
        if event_count.is_multiple_of(512) && killed_at.is_none() && ready() == instances.len() {
            killed_at = Some(now);
            starts.clear();
            for (name, _) in instances.iter().filter(|_| rng.u8(0..100) < 45) {
                let process = fleet.instance(name).and_then(|i| i.persisted.process);
                if let Some(process) = process {
                    fleet.on_exited(
                        now,
                        name,
                        process,
                        doorgrade_fleet::instance::Exit::Signal(9),
                        &mut effects,
                    );
                }
            }
        } else if event_count.is_multiple_of(512) && killed_at.is_some() && ready() == instances.len() {
            break;
        }
        inputs += 1;
        if next == Some(at) {
            let Some(std::cmp::Reverse((_, number))) = queue.pop() else { break };
            let Some((kind, name, run)) = events.remove(&number) else { continue };
            if kind == 0 {
                fleet.on_processes_found(now, &name, &[], &mut effects);
            } else {
                // An instance is ready 2 s after its start.
                let up = started.get(&name).is_some_and(|at| now >= at + 2 * TICKS_PER_SECOND);
                fleet.on_checked(
                    now,
                    &name,
                    run,
                    if up { Check::Ready } else { Check::Unresponsive },
                    &mut effects,
                );
            }
        } else {
            timer = None;
            fleet.on_timer(now, &mut effects);
        }
    }
    let elapsed_s = started_at.elapsed().as_secs_f64();
    figures.put("virtual_instances", instances.len());
    figures.put_rounded("virtual_decisions_per_s", inputs as f64 / elapsed_s);
    if let Some(at) = killed_at {
        let recovery_s = (now - at) as f64 / TICKS_PER_SECOND as f64;
        let mut starts_by_second: BTreeMap<u64, u64> = BTreeMap::new();
        starts.iter().for_each(|s| *starts_by_second.entry((s - at) / TICKS_PER_SECOND).or_default() += 1);
        let peak = starts_by_second.values().copied().max().unwrap_or(0) as f64;
        figures.put("virtual_restored", starts.len());
        figures.put_rounded("virtual_restore_s", recovery_s);
        figures.put_rounded("restore_peak_ratio", peak / (starts.len() as f64 / recovery_s.max(1.0)));
        // Computed: all of them in one second, relative to the same mean.
        figures.put_rounded("reckoned_baseline_restore_peak_ratio", recovery_s.max(1.0));
    }
    Ok(())
}
