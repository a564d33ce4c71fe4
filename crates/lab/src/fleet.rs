//! Twenty real instances under an agent, with traffic: started, one drained while the agent is killed and replaced, nine of
//! them killed at once and brought back by one command. Beside it, from the same start, two baselines: all starts at once,
//! and one after the other. Then the decisions alone in virtual time, at a size that processes don't reach.

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

struct Site {
    program: PathBuf,
    folder: Folder,
    name: String,
    at: Vec<SocketAddr>,
    agent: Option<Child>,
}

impl Drop for Site {
    fn drop(&mut self) {
        self.end_agent();
        find(&self.name).into_iter().for_each(|f| drop(signal(f.2, Signal::KILL)));
    }
}

impl Site {
    fn start(program: &Path, name: &str, config: &str, cold: usize) -> Result<Site, String> {
        let io = |e: std::io::Error| e.to_string();
        let folder = Folder::new(&format!("fleet-{name}"))?;
        folder.put("config.json", config)?;
        let held = (0..FRONTS)
            .map(|_| TcpListener::bind("127.0.0.1:0"))
            .collect::<Result<Vec<_>, _>>()
            .map_err(io)?;
        let at = held.iter().map(TcpListener::local_addr).collect::<Result<Vec<_>, _>>().map_err(io)?;
        drop(held);
        let name = format!("lab-{name}-{}", std::process::id());
        let mut text = format!(
            "agent {{\n  name = \"{name}\"\n  program = \"{}\"\n  journal = \"agent.redb\"\n  socket = \"agent.sock\"\n  logs = \"logs\"\n}}\n\
             pace {{\n  cold = {cold}\n  cold_for_ms = 500\n  drain_for_ms = 1000\n}}\n",
            program.display()
        );
        for (n, at) in at.iter().enumerate() {
            let station = n % STATIONS;
            text += &format!(
                "instance \"n{n}\" {{\n  station = \"s{station}\"\n  listen = \"{at}\"\n  config = \"config.json\"\n}}\n"
            );
        }
        folder.put("agent.hcl", &text)?;
        let mut site = Site { program: program.into(), folder, name, at, agent: None };
        site.begin_agent()?;
        Ok(site)
    }

    fn command(&self, args: &[&str]) -> Command {
        let mut command = Command::new(&self.program);
        command.args(args).arg("--file").arg(self.folder.path("agent.hcl"));
        command
    }

    fn begin_agent(&mut self) -> Result<(), String> {
        let agent = self.command(&["agent"]).stderr(Stdio::null()).spawn().map_err(|e| e.to_string())?;
        self.agent = Some(agent);
        let begun = Instant::now();
        while self.rows().is_err() {
            if begun.elapsed() > Duration::from_secs(10) {
                return Err("the agent does not answer".into());
            }
            std::thread::sleep(Duration::from_millis(10));
        }
        Ok(())
    }

    fn end_agent(&mut self) {
        if let Some(mut agent) = self.agent.take() {
            let _ = agent.kill();
            let _ = agent.wait();
        }
    }

    fn fleet(&self, args: &[&str]) -> Result<Value, String> {
        let out =
            self.command(&[&["fleet"], args].concat()).arg("--json").output().map_err(|e| e.to_string())?;
        if !out.status.success() {
            return Err(format!("fleet {args:?}: {}", String::from_utf8_lossy(&out.stderr)));
        }
        serde_json::from_slice(&out.stdout).map_err(|e| e.to_string())
    }

    fn rows(&self) -> Result<Vec<Value>, String> {
        let told = self.fleet(&["status"])?;
        Ok(told["instances"].as_array().cloned().unwrap_or_default())
    }

    fn kill_some(&self) -> Result<(), String> {
        let all = find(&self.name);
        let victims = all.iter().filter(|f| (0..KILLED).any(|n| *f.0 == *format!("n{n}")));
        victims.for_each(|v| drop(signal(v.2, Signal::KILL)));
        let begun = Instant::now();
        // The agent hears of it by itself; the command is given once it is seen.
        while self.rows()?.iter().filter(|r| r["state"] == "ready").count() > FRONTS - KILLED {
            if begun.elapsed() > Duration::from_secs(5) {
                break;
            }
        }
        Ok(())
    }
}

#[derive(Default)]
struct Counts {
    asked: AtomicU64,
    wrong: AtomicU64,
    lost: AtomicU64,
    twice: AtomicU64,
}

/// Clients as the platform's: only where `/check` says ready. An access at a front that is killed under it is not counted as
/// lost: nobody can answer it.
fn clients(at: &[SocketAddr], seed: u64, stop: &AtomicBool, killing: &AtomicBool, counts: &Counts) {
    let mut rng = Rng::with_seed(seed);
    while !stop.load(SeqCst) {
        let to = at[rng.usize(0..at.len())];
        let ready = Client::connect(to).and_then(|mut c| c.is_ready()).unwrap_or(false);
        let Some(mut client) = Client::connect(to).ok().filter(|_| ready) else { continue };
        for _ in 0..10 {
            counts.asked.fetch_add(1, SeqCst);
            match client.request("files", &format!("{:016x}", rng.u64(0..500)), 2_000) {
                Ok((head, _)) if head.starts_with("Status: 200") => {}
                Ok(_) => drop(counts.wrong.fetch_add(1, SeqCst)),
                Err(_) => {
                    counts.lost.fetch_add(u64::from(!killing.load(SeqCst)), SeqCst);
                    break;
                }
            }
            counts.twice.fetch_add(u64::from(client.has_unread_bytes()), SeqCst);
            std::thread::sleep(Duration::from_millis(2));
        }
    }
}

fn config(cache: &Member, archive: &Member, feed: &Feed) -> String {
    let row = |m: &Member, flavor: &str| {
        json!({"id": m.id, "host_port": m.address.to_string(), "locality": "here", "flavor": flavor, "cell": 0,
            "phase": "in_service", "size": 4, "up_since_ms": 0})
    };
    let members =
        json!({"revision": 1, "complete": true, "members": [row(cache, "cache"), row(archive, "archive")]});
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

pub fn run(how: &RunArgs, named: Option<PathBuf>) -> Result<Figures, String> {
    let program = rig::program(named)?;
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
    let begun = Instant::now();
    site.fleet(&["start", "--all"])?;
    figures.put_rounded("start_all_s", begun.elapsed().as_secs_f64());
    let (stop, killing, counts) = (AtomicBool::new(false), AtomicBool::new(false), Counts::default());
    let played: Result<(), String> = std::thread::scope(|scope| {
        for n in 0..6 {
            let (at, stop, killing, counts) = (&site.at.clone(), &stop, &killing, &counts);
            let at = at.clone();
            scope.spawn(move || clients(&at, how.seed + n, stop, killing, counts));
        }
        let mut play = || -> Result<(), String> {
            let rounds = if how.quick { 2 } else { 8 };
            for round in 0..rounds {
                let name = format!("n{}", 10 + round);
                site.fleet(&["drain", &name, "--no-wait"])?;
                std::thread::sleep(Duration::from_millis(Rng::with_seed(how.seed + round).u64(0..300)));
                site.end_agent();
                site.begin_agent()?;
                site.fleet(&["stop", &name])?;
                site.fleet(&["start", &name])?;
            }
            killing.store(true, SeqCst);
            site.kill_some()?;
            let begun = Instant::now();
            site.fleet(&["restore", "--all"])?;
            figures.put_rounded("restore_s", begun.elapsed().as_secs_f64());
            figures.put("agents_killed_in_a_drain", rounds);
            Ok(())
        };
        let came = play();
        stop.store(true, SeqCst);
        came
    });
    played?;
    for (name, count) in [
        ("accesses", &counts.asked),
        ("lost", &counts.lost),
        ("not_handled", &counts.wrong),
        ("answered_twice", &counts.twice),
    ] {
        figures.put(name, count.load(SeqCst));
    }
    let runs: u64 = site.rows()?.iter().filter_map(|r| r["run"].as_u64()).sum();
    // One for each first start, one for each drained and stopped, one for each killed: any more was a second start.
    let due = FRONTS as u64 + if how.quick { 2 } else { 8 } + KILLED as u64;
    figures.put("starts_beyond_those_due", runs as i64 - due as i64);
    drop(site);

    // The same death, with all starts at once.
    let site = Site::start(&program, "at-once", &config, FRONTS)?;
    site.fleet(&["start", "--all"])?;
    site.kill_some()?;
    let begun = Instant::now();
    site.fleet(&["restore", "--all"])?;
    figures.put_rounded("baseline_all_at_once_s", begun.elapsed().as_secs_f64());
    drop(site);
    // And with one after the other, by hand.
    let site = Site::start(&program, "by-hand", &config, 1)?;
    site.fleet(&["start", "--all"])?;
    site.kill_some()?;
    let begun = Instant::now();
    for n in 0..KILLED {
        site.fleet(&["start", &format!("n{n}")])?;
    }
    figures.put_rounded("baseline_one_by_one_s", begun.elapsed().as_secs_f64());
    drop(site);
    virtual_time(how, &mut figures)?;
    Ok(figures)
}

/// Five thousand instances in two hundred stations lose 45% at once: the machine alone.
fn virtual_time(how: &RunArgs, figures: &mut Figures) -> Result<(), String> {
    let (stations, each) = if how.quick { (40, 25) } else { (200, 25) };
    let places: Vec<(Box<str>, Box<str>)> =
        (0..stations * each).map(|n| (format!("i{n}").into(), format!("s{}", n % stations).into())).collect();
    let mut now = 17_000_000_000_000u64;
    let mut out = Vec::new();
    let mut fleet = Fleet::new(now, PaceRules::default(), how.seed, &places, BTreeMap::new(), &mut out);
    let mut rng = Rng::with_seed(how.seed);
    // What comes, by its time and a count: instances answer ready two seconds after their start.
    let mut heap: BinaryHeap<std::cmp::Reverse<(u64, u64)>> = BinaryHeap::new();
    let mut what: BTreeMap<u64, (u32, Box<str>, u64)> = BTreeMap::new();
    let (mut count, mut inputs, mut pid, mut starts) = (0u64, 0u64, 1u32, Vec::new());
    let mut born: BTreeMap<Box<str>, u64> = BTreeMap::new();
    let mut wake = None;
    let begun = Instant::now();
    let mut ordered = false;
    let (mut killed_at, end) = (None, now + 1_200 * TICKS_PER_SECOND);
    loop {
        let mut more = Vec::new();
        for each in out.drain(..) {
            let mut at = |after: u64, kind: u32, name: Box<str>, run: u64| {
                count += 1;
                heap.push(std::cmp::Reverse((now + after, count)));
                what.insert(count, (kind, name, run));
            };
            match each {
                Effect::Start { name, run } => {
                    pid += 1;
                    starts.push(now);
                    born.insert(name.clone(), now);
                    inputs += 1;
                    fleet.on_started(now, &name, run, Ok(Process { id: pid, start_time: now }), &mut more);
                }
                Effect::FindProcesses { name } => at(10, 0, name, 0),
                Effect::Check { name, run } => at(20 + rng.u64(0..50), 1, name, run),
                Effect::SetTimer(t) => wake = Some(t),
                _ => {}
            }
        }
        if !more.is_empty() {
            out = more;
            continue;
        }
        let ready = || fleet.instances().filter(|i| i.1.phase == Phase::Ready).count();
        if !ordered {
            ordered = true;
            let targets = places.iter().map(|p| (p.0.clone(), None)).collect();
            let order =
                Order { by: "lab".into(), operation: Operation::Start, targets, force: Default::default() };
            // Looked for first: nothing is there.
            for (name, _) in &places {
                fleet.on_processes_found(now, name, &[], &mut out);
            }
            fleet.order(now, &order, &mut out).map_err(|e| e.to_string())?;
            continue;
        }
        let next = heap.peek().map(|r| r.0.0);
        let at = next.into_iter().chain(wake).min().unwrap_or(end);
        if at >= end {
            break;
        }
        now = now.max(at);
        if count.is_multiple_of(512) && killed_at.is_none() && ready() == places.len() {
            killed_at = Some(now);
            starts.clear();
            for (name, _) in places.iter().filter(|_| rng.u8(0..100) < 45) {
                let process = fleet.instance(name).and_then(|i| i.persisted.process);
                if let Some(process) = process {
                    fleet.on_exited(now, name, process, doorgrade_fleet::instance::Exit::Signal(9), &mut out);
                }
            }
        } else if count.is_multiple_of(512) && killed_at.is_some() && ready() == places.len() {
            break;
        }
        inputs += 1;
        if next == Some(at) {
            let Some(std::cmp::Reverse((_, number))) = heap.pop() else { break };
            let Some((kind, name, run)) = what.remove(&number) else { continue };
            if kind == 0 {
                fleet.on_processes_found(now, &name, &[], &mut out);
            } else {
                let up = born.get(&name).is_some_and(|at| now >= at + 2 * TICKS_PER_SECOND);
                fleet.on_checked(
                    now,
                    &name,
                    run,
                    if up { Check::Ready } else { Check::Unresponsive },
                    &mut out,
                );
            }
        } else {
            wake = None;
            fleet.on_timer(now, &mut out);
        }
    }
    let took = begun.elapsed().as_secs_f64();
    figures.put("virtual_instances", places.len());
    figures.put_rounded("virtual_decisions_per_s", inputs as f64 / took);
    if let Some(at) = killed_at {
        let recovery = (now - at) as f64 / TICKS_PER_SECOND as f64;
        let mut seconds: BTreeMap<u64, u64> = BTreeMap::new();
        starts.iter().for_each(|s| *seconds.entry((s - at) / TICKS_PER_SECOND).or_default() += 1);
        let peak = seconds.values().copied().max().unwrap_or(0) as f64;
        figures.put("virtual_restored", starts.len());
        figures.put_rounded("virtual_restore_s", recovery);
        figures.put_rounded("restore_peak_ratio", peak / (starts.len() as f64 / recovery.max(1.0)));
        // All of them in one second, over the same mean.
        figures.put_rounded("reckoned_baseline_restore_peak_ratio", recovery.max(1.0));
    }
    Ok(())
}
