//! The cost of an agent by the number of its instances, which are real front processes without load: processor time, memory,
//! size of the journal, and size and time of the responses to commands. There are no faults.

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

/// Beside the instances: the agent, and a command that calls it.
const OTHER_PROCESSES: usize = 2;
/// A front without load takes about 12 MB.
const BYTES_PER_INSTANCE: u64 = 20 << 20;
const STATIONS: usize = 4;
/// How long the agent's processor time is measured. It checks each instance once a second, so that this covers tens of checks.
const REST: Duration = Duration::from_secs(8);
const REST_QUICK: Duration = Duration::from_secs(4);
/// Status calls, of which the median time is taken.
const STATUS_CALLS: usize = 5;
const ROLE: &str = "agent";

pub(super) const PART: Part = Part {
    name: "agent",
    full_sizes: &[4, 8, 16, 32],
    quick_sizes: &[2, 4, 6, 8],
    needs: |size, _| Needs {
        processes: size + OTHER_PROCESSES,
        resident_bytes: BYTES_PER_INSTANCE * (size + OTHER_PROCESSES) as u64,
    },
    run,
};

/// The cache, archive and feed in the configuration of the instances. Since there is no load, they receive no accesses.
struct Backends {
    cache: Member,
    archive: Member,
    feed: Feed,
}

impl Backends {
    fn start() -> Result<Backends, String> {
        let directory = Directory::default();
        let member = |id, role| {
            Member::start(MemberConfig::new(id, "127.0.0.1:0", role), &directory).map_err(|e| e.to_string())
        };
        Ok(Backends {
            cache: member("s-00000001", Role::Cache)?,
            archive: member("s-000000ff", Role::Archive)?,
            feed: Feed::start("127.0.0.1:0").map_err(|e| e.to_string())?,
        })
    }

    /// The platform's configuration of an instance.
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

/// An agent with its instances, in a folder of their own.
struct Site {
    program: PathBuf,
    folder: Folder,
    name: String,
    agent: Option<Child>,
}

impl Drop for Site {
    /// Kills the agent first, since it would restart its instances.
    fn drop(&mut self) {
        if let Some(mut agent) = self.agent.take() {
            let _ = agent.kill();
            let _ = agent.wait();
        }
        find(&self.name).into_iter().for_each(|f| drop(signal(f.2, Signal::KILL)));
    }
}

/// Addresses with free ports. Another process may take a port before it is used.
fn free_addresses(count: usize) -> std::io::Result<Vec<SocketAddr>> {
    let listeners = (0..count).map(|_| TcpListener::bind("127.0.0.1:0")).collect::<Result<Vec<_>, _>>()?;
    listeners.iter().map(TcpListener::local_addr).collect()
}

impl Site {
    fn start(program: &Path, backends: &Backends, size: usize, seed: u64) -> Result<Site, String> {
        let folder = Folder::new(&format!("agent-{size}-{seed}"))?;
        folder.put("config.json", &backends.config(size))?;
        let name = format!("lab-scale-{}-{size}-{seed}", std::process::id());
        let mut text = format!(
            "agent {{\n  name = \"{name}\"\n  program = \"{}\"\n  journal = \"agent.redb\"\n  socket = \"agent.sock\"\n  \
             logs = \"logs\"\n}}\npace {{\n  cold = {size}\n  cold_for_ms = 500\n}}\n",
            program.display()
        );
        for (n, address) in free_addresses(size).map_err(|e| e.to_string())?.iter().enumerate() {
            let station = n % STATIONS;
            text += &format!(
                "instance \"n{n}\" {{\n  station = \"s{station}\"\n  listen = \"{address}\"\n  config = \"config.json\"\n}}\n"
            );
        }
        folder.put("agent.hcl", &text)?;
        let mut site = Site { program: program.into(), folder, name, agent: None };
        let agent = site.command(&["agent"]).stderr(Stdio::null()).spawn().map_err(|e| e.to_string())?;
        site.agent = Some(agent);
        let began_at = Instant::now();
        while site.fleet(&["status"]).is_err() {
            if began_at.elapsed() > Duration::from_secs(20) {
                return Err("the agent does not respond within 20 s".into());
            }
            std::thread::sleep(Duration::from_millis(20));
        }
        Ok(site)
    }

    /// A command of the program on the agent's settings file.
    fn command(&self, args: &[&str]) -> Command {
        let mut command = Command::new(&self.program);
        command.args(args).arg("--file").arg(self.folder.path("agent.hcl"));
        command
    }

    /// Runs a `doorgrade fleet` command and returns its output.
    fn fleet(&self, args: &[&str]) -> Result<Vec<u8>, String> {
        let out =
            self.command(&[&["fleet"], args].concat()).arg("--json").output().map_err(|e| e.to_string())?;
        match out.status.success() {
            true => Ok(out.stdout),
            false => {
                let to_text = |bytes: &[u8]| String::from_utf8_lossy(bytes).trim().to_owned();
                Err(format!("fleet {args:?} failed: {} {}", to_text(&out.stdout), to_text(&out.stderr)))
            }
        }
    }

    /// The process id of the agent.
    fn agent_id(&self) -> Result<u32, String> {
        Ok(self.agent.as_ref().ok_or("the agent is not running")?.id())
    }
}

/// Processor time of the current threads of a process, in seconds.
fn process_cpu_s(process: u32) -> f64 {
    let tasks = std::fs::read_dir(format!("/proc/{process}/task")).into_iter().flatten().flatten();
    let thread_ns = |task: std::fs::DirEntry| -> Option<f64> {
        let text = std::fs::read_to_string(task.path().join("schedstat")).ok()?;
        text.split(' ').next()?.parse().ok()
    };
    tasks.filter_map(thread_ns).sum::<f64>() / 1e9
}

/// The measurements of one size and seed.
struct Costs {
    core_share: f64,
    resident_bytes: f64,
    journal_bytes: f64,
    status_bytes: f64,
    status_s: f64,
    start_s: f64,
}

/// All measurements of one agent.
fn measure(site: &Site, size: usize, rest: Duration) -> Result<Costs, String> {
    let began_at = Instant::now();
    site.fleet(&["start", "--all"])?;
    let start_s = began_at.elapsed().as_secs_f64();
    let status: Value = serde_json::from_slice(&site.fleet(&["status"])?).map_err(|e| e.to_string())?;
    let listed_count = status["instances"].as_array().map_or(0, Vec::len);
    if listed_count != size {
        return Err(format!("the status lists {listed_count} of {size} instances"));
    }
    let agent = site.agent_id()?;
    // A thread that ended in between would be missing from the second reading, but the agent's threads don't end.
    let (before, began_at) = (process_cpu_s(agent), Instant::now());
    std::thread::sleep(rest);
    let core_share = (process_cpu_s(agent) - before) / began_at.elapsed().as_secs_f64();
    let resident_bytes = rig::memory_mb(agent)? * 1_048_576.0;
    let journal_bytes =
        std::fs::metadata(site.folder.path("agent.redb")).map_err(|e| e.to_string())?.len() as f64;
    let (mut status_s, mut status_bytes) = (Vec::new(), 0.0);
    for _ in 0..STATUS_CALLS {
        let began_at = Instant::now();
        status_bytes = site.fleet(&["status"])?.len() as f64;
        status_s.push(began_at.elapsed().as_secs_f64());
    }
    status_s.sort_by(f64::total_cmp);
    Ok(Costs {
        core_share,
        resident_bytes,
        journal_bytes,
        status_bytes,
        status_s: status_s[STATUS_CALLS / 2],
        start_s,
    })
}

pub fn run(context: &mut Context) -> Result<(), ScaleError> {
    let program = rig::program(context.options.front.clone()).map_err(|e| context.part_error(e))?;
    // The agent resolves a relative path against the folder of its settings file.
    let program = std::path::absolute(program).map_err(|e| context.part_error(e))?;
    let backends = Backends::start().map_err(|e| context.part_error(e))?;
    let rest = if context.options.quick { REST_QUICK } else { REST };
    let mut measurements: Vec<(usize, u64, Costs)> = Vec::new();
    for size in context.sizes() {
        for seed in context.seeds() {
            context.check()?;
            context.budget.check_start("an agent and its instances", (PART.needs)(size, false))?;
            let site = Site::start(&program, &backends, size, seed).map_err(|e| context.part_error(e))?;
            let costs = measure(&site, size, rest).map_err(|e| context.part_error(e))?;
            measurements.push((size, seed, costs));
        }
    }
    type Getter = fn(&Costs) -> f64;
    let slopes: [(&str, &str, &str, Getter); 6] = [
        ("agent.core", "processor time of an agent, instances at rest", "cores", |c| c.core_share),
        ("agent.bytes", "resident memory of an agent", "bytes", |c| c.resident_bytes),
        ("agent.journal.bytes", "an agent's journal", "bytes", |c| c.journal_bytes),
        ("agent.status.bytes", "`fleet status --json`", "bytes", |c| c.status_bytes),
        ("agent.status.s", "`fleet status`, the command from start to end", "s", |c| c.status_s),
        ("agent.start.s", "`fleet start --all`, all at once, until ready", "s", |c| c.start_s),
    ];
    for (id, what, unit, value) in slopes {
        let points: Vec<Point> = measurements
            .iter()
            .map(|(size, seed, c)| Point { size: *size, seed: *seed, value: value(c) })
            .collect();
        context.fit_slope(&Quantity { id, role: ROLE, what, unit }, &points)?;
    }
    Ok(())
}
