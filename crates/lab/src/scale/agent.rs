//! An agent with more and more instances, real processes at rest: processor time, memory, journal and answers.

use std::net::{SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

use doorgrade_agent::process::{find, signal};
use doorgrade_standins::{Directory, Feed, Member, MemberConfig, Role};
use rustix::process::Signal;
use serde_json::{Value, json};

use super::{Context, Needs, Part, Point, Quantity, ScaleError};
use crate::rig::{self, Folder, member_json};

/// The instances, the agent, and a command that asks it.
const PROCESSES_BESIDE: usize = 2;
/// A front at rest takes some 12 MB.
const BYTES_AN_INSTANCE: u64 = 20 << 20;
const STATIONS: usize = 4;
/// Long enough for an agent's looks at each instance, one a second, to be counted in tens.
const REST: Duration = Duration::from_secs(8);
const REST_QUICK: Duration = Duration::from_secs(4);
/// Answers, of which the median counts.
const ANSWERS: usize = 5;
const ROLE: &str = "agent";

pub(super) const PART: Part = Part {
    name: "agent",
    full_sizes: &[4, 8, 16, 32],
    quick_sizes: &[2, 4, 6, 8],
    needs: |size, _| Needs {
        processes: size + PROCESSES_BESIDE,
        resident_bytes: BYTES_AN_INSTANCE * (size + PROCESSES_BESIDE) as u64,
    },
    run,
};

/// What the instances are told of; none of it is asked anything here.
struct Around {
    cache: Member,
    archive: Member,
    feed: Feed,
}

impl Around {
    fn start() -> Result<Around, String> {
        let directory = Directory::default();
        let member = |id, role| {
            Member::start(MemberConfig::new(id, "127.0.0.1:0", role), &directory).map_err(|e| e.to_string())
        };
        Ok(Around {
            cache: member("s-00000001", Role::Cache)?,
            archive: member("s-000000ff", Role::Archive)?,
            feed: Feed::start("127.0.0.1:0").map_err(|e| e.to_string())?,
        })
    }

    fn config(&self, size: usize) -> String {
        let rows = [member_json(&self.cache, "here", "cache"), member_json(&self.archive, "here", "archive")];
        let settings = json!({
            "zone": 0, "fleetSize": size, "quantum": 2.0, "localities": ["here"], "machineTypes": ["cache", "archive"],
            "registryMode": "automatic", "weightKind": "nominal",
            "limits": {"cancel": true, "connIdle": 15000.0, "connectTimeout": 400.0, "maxAttempts": 6, "secondCopies": true},
            "profiles": [{"name": "files", "aim": 500.0, "deadline": 2000.0, "worth": 1.0, "semantics": "free"}],
            "rules": {"cold": 1000.0, "fall": 500.0, "fallMultiple": 4.0, "startCapacity": 0.5},
            "specifics": {"crewByZone": [size], "maxAge": [0.0], "notesGiven": "all", "passOn": [false],
                "purgeDone": 6000.0, "upperKind": -1, "rootKind": 1, "sharesFills": true, "straight": true}
        });
        json!({"name": "lab", "listen": "127.0.0.1:0", "feed": self.feed.address.to_string(),
            "limits": {"memory_mb": 64, "sockets": 256}, "settings": settings,
            "known": {"n": 1, "events": [{"n": 1, "members": {"revision": 1, "complete": true, "members": rows}}]}})
        .to_string()
    }
}

struct Site {
    program: PathBuf,
    folder: Folder,
    name: String,
    agent: Option<Child>,
}

impl Drop for Site {
    /// The agent first: it would start its instances again.
    fn drop(&mut self) {
        if let Some(mut agent) = self.agent.take() {
            let _ = agent.kill();
            let _ = agent.wait();
        }
        find(&self.name).into_iter().for_each(|f| drop(signal(f.2, Signal::KILL)));
    }
}

/// Ports that were free a moment ago.
fn free(count: usize) -> std::io::Result<Vec<SocketAddr>> {
    let held = (0..count).map(|_| TcpListener::bind("127.0.0.1:0")).collect::<Result<Vec<_>, _>>()?;
    held.iter().map(TcpListener::local_addr).collect()
}

impl Site {
    fn start(program: &Path, around: &Around, size: usize, seed: u64) -> Result<Site, String> {
        let folder = Folder::new(&format!("agent-{size}-{seed}"))?;
        folder.put("config.json", &around.config(size))?;
        let name = format!("lab-scale-{}-{size}-{seed}", std::process::id());
        let mut text = format!(
            "agent {{\n  name = \"{name}\"\n  program = \"{}\"\n  journal = \"agent.redb\"\n  socket = \"agent.sock\"\n  \
             logs = \"logs\"\n}}\npace {{\n  cold = {size}\n  cold_for_ms = 500\n}}\n",
            program.display()
        );
        for (n, at) in free(size).map_err(|e| e.to_string())?.iter().enumerate() {
            let station = n % STATIONS;
            text += &format!(
                "instance \"n{n}\" {{\n  station = \"s{station}\"\n  listen = \"{at}\"\n  config = \"config.json\"\n}}\n"
            );
        }
        folder.put("agent.hcl", &text)?;
        let mut site = Site { program: program.into(), folder, name, agent: None };
        let agent = site.command(&["agent"]).stderr(Stdio::null()).spawn().map_err(|e| e.to_string())?;
        site.agent = Some(agent);
        let begun = Instant::now();
        while site.fleet(&["status"]).is_err() {
            if begun.elapsed() > Duration::from_secs(20) {
                return Err("the agent does not answer".into());
            }
            std::thread::sleep(Duration::from_millis(20));
        }
        Ok(site)
    }

    fn command(&self, args: &[&str]) -> Command {
        let mut command = Command::new(&self.program);
        command.args(args).arg("--file").arg(self.folder.path("agent.hcl"));
        command
    }

    /// What a command printed.
    fn fleet(&self, args: &[&str]) -> Result<Vec<u8>, String> {
        let out =
            self.command(&[&["fleet"], args].concat()).arg("--json").output().map_err(|e| e.to_string())?;
        match out.status.success() {
            true => Ok(out.stdout),
            false => {
                let said = |bytes: &[u8]| String::from_utf8_lossy(bytes).trim().to_owned();
                Err(format!("fleet {args:?}: {} {}", said(&out.stdout), said(&out.stderr)))
            }
        }
    }

    fn agent(&self) -> Result<u32, String> {
        Ok(self.agent.as_ref().ok_or("the agent is gone")?.id())
    }
}

/// Processor time of all threads that are there, in seconds, to the nanosecond.
fn processor_s(process: u32) -> f64 {
    let tasks = std::fs::read_dir(format!("/proc/{process}/task")).into_iter().flatten().flatten();
    let of = |task: std::fs::DirEntry| -> Option<f64> {
        let text = std::fs::read_to_string(task.path().join("schedstat")).ok()?;
        text.split(' ').next()?.parse().ok()
    };
    tasks.filter_map(of).sum::<f64>() / 1e9
}

struct Costs {
    core: f64,
    bytes: f64,
    journal: f64,
    status_bytes: f64,
    status_s: f64,
    start_s: f64,
}

fn measure(site: &Site, size: usize, rest: Duration) -> Result<Costs, String> {
    let begun = Instant::now();
    site.fleet(&["start", "--all"])?;
    let start_s = begun.elapsed().as_secs_f64();
    let status: Value = serde_json::from_slice(&site.fleet(&["status"])?).map_err(|e| e.to_string())?;
    let ready = status["instances"].as_array().map_or(0, Vec::len);
    if ready != size {
        return Err(format!("{ready} of {size} instances are told of"));
    }
    let agent = site.agent()?;
    // Threads that ended between the two looks would take their time with them; the agent's stay.
    let (before, begun) = (processor_s(agent), Instant::now());
    std::thread::sleep(rest);
    let core = (processor_s(agent) - before) / begun.elapsed().as_secs_f64();
    let bytes = rig::memory_mb(agent)? * 1_048_576.0;
    let journal = std::fs::metadata(site.folder.path("agent.redb")).map_err(|e| e.to_string())?.len() as f64;
    let (mut status_s, mut status_bytes) = (Vec::new(), 0.0);
    for _ in 0..ANSWERS {
        let begun = Instant::now();
        status_bytes = site.fleet(&["status"])?.len() as f64;
        status_s.push(begun.elapsed().as_secs_f64());
    }
    status_s.sort_by(f64::total_cmp);
    Ok(Costs { core, bytes, journal, status_bytes, status_s: status_s[ANSWERS / 2], start_s })
}

pub fn run(context: &mut Context) -> Result<(), ScaleError> {
    let program = rig::program(context.options.front.clone()).map_err(|why| context.fault(why))?;
    // The agent looks for it beside its own file.
    let program = std::path::absolute(program).map_err(|why| context.fault(why))?;
    let around = Around::start().map_err(|why| context.fault(why))?;
    let rest = if context.options.quick { REST_QUICK } else { REST };
    let mut came: Vec<(usize, u64, Costs)> = Vec::new();
    for size in context.sizes() {
        for seed in context.seeds() {
            context.check()?;
            context.budget.check_start("an agent and its instances", (PART.needs)(size, false))?;
            let site = Site::start(&program, &around, size, seed).map_err(|why| context.fault(why))?;
            let costs = measure(&site, size, rest).map_err(|why| context.fault(why))?;
            came.push((size, seed, costs));
        }
    }
    type Read = fn(&Costs) -> f64;
    let slopes: [(&str, &str, &str, Read); 6] = [
        ("agent.core", "processor time of an agent, instances at rest", "cores", |c| c.core),
        ("agent.bytes", "resident memory of an agent", "bytes", |c| c.bytes),
        ("agent.journal.bytes", "an agent's journal", "bytes", |c| c.journal),
        ("agent.status.bytes", "`fleet status --json`", "bytes", |c| c.status_bytes),
        ("agent.status.s", "`fleet status`, the command from start to end", "s", |c| c.status_s),
        ("agent.start.s", "`fleet start --all`, all at once, until ready", "s", |c| c.start_s),
    ];
    for (id, what, unit, read) in slopes {
        let points: Vec<Point> =
            came.iter().map(|(size, seed, c)| Point { size: *size, seed: *seed, value: read(c) }).collect();
        context.slope(&Quantity { id, role: ROLE, what, unit }, &points)?;
    }
    Ok(())
}
