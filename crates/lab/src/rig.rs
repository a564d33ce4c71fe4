//! Real fronts as processes, and the load on them.

use std::collections::HashMap;
use std::io::Write;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::Command;
use std::sync::Mutex;
use std::time::{Duration, Instant};

use doorgrade_standins::client::AccessRequest;
use doorgrade_standins::process::Process;
use doorgrade_standins::{Client, Member, object_bytes};
use hdrhistogram::Histogram;
use serde_json::{Value, json};

/// The program that is measured: built beside this one, unless another is named.
pub fn program(named: Option<PathBuf>) -> Result<PathBuf, String> {
    let beside = || Some(std::env::current_exe().ok()?.parent()?.join("doorgrade"));
    let path = named.or_else(beside).ok_or("no program to measure: name one with --front")?;
    if path.is_file() {
        Ok(path)
    } else {
        Err(format!("{}: no such program; build it first", path.display()))
    }
}

/// A folder of this run's own, gone with it.
pub struct Folder(PathBuf);

impl Folder {
    pub fn new(name: &str) -> Result<Folder, String> {
        let path = std::env::temp_dir().join(format!("doorgrade-lab-{}-{name}", std::process::id()));
        std::fs::create_dir_all(&path).map_err(|e| format!("{}: {e}", path.display()))?;
        Ok(Folder(path))
    }

    pub fn path(&self, name: &str) -> PathBuf {
        self.0.join(name)
    }

    pub fn put(&self, name: &str, text: &str) -> Result<PathBuf, String> {
        let path = self.0.join(name);
        // In one step: a front may read it at any moment.
        let part = self.0.join(format!("{name}.part"));
        let write = std::fs::write(&part, text).and_then(|()| std::fs::rename(&part, &path));
        write.map(|()| path.clone()).map_err(|e| format!("{}: {e}", path.display()))
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

pub struct Front {
    process: Process,
    pub at: SocketAddr,
}

impl Front {
    /// Starts one and waits until it listens.
    pub fn start(program: &Path, config: &Path, settings: Option<&Path>) -> Result<Front, String> {
        let mut command = Command::new(program);
        command.env("PROXY_CONFIG", config).env_remove("PROXY_NAME").env_remove("PROXY_LISTEN");
        match settings {
            Some(path) => command.env("DOORGRADE_SETTINGS", path),
            None => command.env_remove("DOORGRADE_SETTINGS").current_dir(std::env::temp_dir()),
        };
        let process = Process::start(&mut command).map_err(|e| e.to_string())?;
        let listens = process.wait_for_log(" listens on ", Duration::from_secs(10));
        let at = listens.as_deref().and_then(|l| l.split_once(" listens on ")).map(|l| l.1.trim().parse());
        match at {
            Some(Ok(at)) => Ok(Front { process, at }),
            _ => Err(format!("a front does not start: {:?}", process.log_lines())),
        }
    }

    pub fn process(&self) -> u32 {
        self.process.id()
    }

    pub fn lines(&self) -> Vec<String> {
        self.process.log_lines()
    }

    pub fn count(&self, text: &str) -> usize {
        self.lines().iter().filter(|l| l.contains(text)).count()
    }

    pub fn reload(&self) {
        self.process.hang_up();
    }

    pub fn alive(&mut self) -> bool {
        self.process.is_running()
    }

    pub fn keep_log(&self, folder: &Path, name: &str) -> std::io::Result<()> {
        std::fs::create_dir_all(folder)?;
        let mut file = std::fs::File::create(folder.join(name))?;
        self.lines().iter().try_for_each(|line| writeln!(file, "{line}"))
    }
}

/// The processor time that a process has used, in milliseconds; the system counts in hundredths of a second.
pub fn cpu_ms(process: u32) -> f64 {
    let stat = std::fs::read_to_string(format!("/proc/{process}/stat")).unwrap_or_default();
    // The name in parentheses may hold anything; user and system time are the 14th and 15th of all fields.
    let after = stat.rsplit_once(')').map_or("", |s| s.1);
    let times = after.split_whitespace().skip(11).take(2);
    10.0 * times.filter_map(|t| t.parse::<f64>().ok()).sum::<f64>()
}

/// The processor time of a process's threads of a name, in milliseconds, to the microsecond.
pub fn thread_cpu_ms(process: u32, name: &str) -> f64 {
    let tasks = std::fs::read_dir(format!("/proc/{process}/task")).into_iter().flatten().flatten();
    let of = |task: std::fs::DirEntry| {
        let text = |file| std::fs::read_to_string(task.path().join(file)).unwrap_or_default();
        let named = text("comm").trim() == name;
        let ns: f64 = text("schedstat").split(' ').next()?.parse().ok()?;
        named.then_some(ns / 1e6)
    };
    tasks.filter_map(of).sum()
}

/// What a process holds in memory, in MB.
pub fn memory_mb(process: u32) -> Result<f64, String> {
    let status = std::fs::read_to_string(format!("/proc/{process}/status")).map_err(|e| e.to_string())?;
    let rss = status.lines().find_map(|l| l.strip_prefix("VmRSS:")).unwrap_or_default();
    let kb: f64 = rss.trim().trim_end_matches(" kB").parse().map_err(|_| "no VmRSS in /proc")?;
    Ok(kb / 1_024.0)
}

/// One access to be made: when, by milliseconds from the start, and of what.
#[derive(Clone, Copy, Debug)]
pub struct Planned {
    pub at_ms: f64,
    pub class: usize,
    pub key: u64,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Got {
    Handled,
    Declined,
    GivenUp,
    /// No answer in the client's time, or one that can't be read.
    Lost,
    /// Bytes that are not the object's.
    Wrong,
}

#[derive(Clone, Copy, Debug)]
pub struct Sample {
    pub planned: Planned,
    pub got: Got,
    pub took_ms: f64,
    /// As it was chosen.
    pub front: usize,
}

#[derive(Default)]
pub struct Played {
    pub samples: Vec<Sample>,
    pub answered_twice: usize,
}

/// Of a class: its name, how long a client waits, its soft limit and its benefit.
#[derive(Clone, Copy)]
pub struct Class {
    pub name: &'static str,
    pub wait_ms: u64,
    pub soft_ms: f64,
    pub benefit: f64,
    pub write: bool,
}

impl Class {
    /// As a front's settings have it.
    pub fn profile(&self) -> Value {
        json!({"name": self.name, "aim": self.soft_ms, "deadline": self.wait_ms as f64, "worth": self.benefit,
            "semantics": if self.write { "single_shot" } else { "free" }})
    }
}

/// A member as a front's first list has it.
pub fn listed(m: &Member, place: &str, flavor: &str) -> Value {
    json!({"id": m.id, "host_port": m.address.to_string(), "locality": place, "flavor": flavor, "cell": 0,
        "phase": "in_service", "size": 1, "up_since_ms": 0})
}

/// Protocol fact: clients close connections that have been idle for 4 s; some less, so that none crosses a close.
const CLIENT_IDLE: Duration = Duration::from_millis(3_500);

/// Plays a plan against one front: each access at its time, whatever became of those before it.
pub fn play(
    front: SocketAddr,
    plan: &[Planned],
    classes: &[Class],
    start: Instant,
    workers: usize,
) -> Played {
    play_at(&|_| Some((0, front)), plan, classes, start, workers)
}

/// As `play`, against the front that is chosen for each access when it is due, by its place in the plan.
pub fn play_at(
    choose: &(dyn Fn(usize) -> Option<(usize, SocketAddr)> + Sync),
    plan: &[Planned],
    classes: &[Class],
    start: Instant,
    workers: usize,
) -> Played {
    let next = std::sync::atomic::AtomicUsize::new(0);
    let played = Mutex::new(Played::default());
    std::thread::scope(|scope| {
        for _ in 0..workers {
            scope.spawn(|| {
                let (mut own, mut clients) = (Played::default(), HashMap::new());
                let fresh = |used: &Instant| used.elapsed() < CLIENT_IDLE;
                loop {
                    let at = next.fetch_add(1, std::sync::atomic::Ordering::SeqCst);
                    let Some(&planned) = plan.get(at) else { break };
                    let due = start + Duration::from_secs_f64(planned.at_ms / 1e3);
                    std::thread::sleep(due.saturating_duration_since(Instant::now()));
                    let Some((front, address)) = choose(at) else { continue };
                    // Also those to fronts that are no more, or each death would leave descriptors behind.
                    clients.retain(|_, (_, used)| fresh(used));
                    let (mut client, _) = clients.remove(&address).unwrap_or((None, due));
                    let got = ask(address, &mut client, &classes[planned.class], planned.key, &mut own);
                    clients.insert(address, (client, Instant::now()));
                    let took_ms = due.elapsed().as_secs_f64() * 1e3;
                    own.samples.push(Sample { planned, got, took_ms, front });
                }
                let mut all = played.lock().unwrap_or_else(|e| e.into_inner());
                all.samples.append(&mut own.samples);
                all.answered_twice += own.answered_twice;
            });
        }
    });
    played.into_inner().unwrap_or_else(|e| e.into_inner())
}

fn ask(front: SocketAddr, client: &mut Option<Client>, class: &Class, key: u64, own: &mut Played) -> Got {
    let key = format!("{key:016x}");
    let begun = Instant::now();
    // A front may close what is idle, and then a request that crosses it is sent once more.
    for _ in 0..2 {
        if client.as_mut().is_some_and(Client::has_unread_bytes) {
            own.answered_twice += 1;
            *client = None;
        }
        if client.is_none() {
            *client = Client::connect(front).ok();
        }
        let Some(open) = client.as_mut() else { return Got::Lost };
        let body: &[u8] = if class.write { b"a write" } else { b"" };
        let asked =
            AccessRequest { class: class.name, key: &key, bucket: 17, timeout_ms: class.wait_ms, body };
        let answer = open.send_access(&asked).and_then(|_| open.receive());
        if begun.elapsed() > Duration::from_millis(class.wait_ms + 50) {
            *client = None;
            return Got::Lost;
        }
        let Ok((head, body)) = answer else {
            let crossed = begun.elapsed() < Duration::from_millis(50) && !class.write;
            *client = None;
            if crossed {
                continue;
            }
            return Got::Lost;
        };
        return match head.get(8..11) {
            Some("200") if class.write || body == object_bytes(&format!("/data/{}/{key}/0", class.name)) => {
                Got::Handled
            }
            Some("200") => Got::Wrong,
            Some("503" | "429") => Got::Declined,
            _ => Got::GivenUp,
        };
    }
    Got::Lost
}

/// The benefit of what was answered within its soft limit over that of all, between two times.
pub fn service(samples: &[Sample], classes: &[Class], from_ms: f64, to_ms: f64) -> f64 {
    let (mut had, mut asked) = (0.0, 0.0);
    for s in samples.iter().filter(|s| (from_ms..to_ms).contains(&s.planned.at_ms)) {
        let class = &classes[s.planned.class];
        asked += class.benefit;
        if s.got == Got::Handled && s.took_ms <= class.soft_ms {
            had += class.benefit;
        }
    }
    had / f64::max(asked, 1e-9)
}

/// How long handled accesses took, at a quantile, in milliseconds.
pub fn took(samples: &[Sample], from_ms: f64, to_ms: f64, quantile: f64) -> f64 {
    let Ok(mut all) = Histogram::<u64>::new_with_bounds(1, 60_000_000, 3) else { return 0.0 };
    let between = |s: &&Sample| s.got == Got::Handled && (from_ms..to_ms).contains(&s.planned.at_ms);
    samples.iter().filter(between).for_each(|s| all.saturating_record((s.took_ms * 1e3) as u64));
    all.value_at_quantile(quantile) as f64 / 1e3
}
