//! Starts real fronts as processes, generates load on them and reads what they use from `/proc`.

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

/// The path of the front to measure: the named one, or else `doorgrade` in the folder of this program.
pub fn program(named: Option<PathBuf>) -> Result<PathBuf, String> {
    let next_to_this_program = || Some(std::env::current_exe().ok()?.parent()?.join("doorgrade"));
    let path = named.or_else(next_to_this_program).ok_or("no program to measure: name one with --front")?;
    if path.is_file() {
        Ok(path)
    } else {
        Err(format!("{}: no such program; build it first", path.display()))
    }
}

/// A temporary folder of this run, removed on drop.
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

    /// Writes a file and returns its path.
    pub fn put(&self, name: &str, text: &str) -> Result<PathBuf, String> {
        let path = self.0.join(name);
        // Written to another file and renamed, since a front may read the file at any moment.
        let temporary = self.0.join(format!("{name}.part"));
        let written = std::fs::write(&temporary, text).and_then(|()| std::fs::rename(&temporary, &path));
        written.map(|()| path.clone()).map_err(|e| format!("{}: {e}", path.display()))
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

/// A front that runs as a process; killed on drop.
pub struct Front {
    process: Process,
    pub address: SocketAddr,
}

impl Front {
    /// Starts a front and waits until it listens.
    pub fn start(program: &Path, config: &Path, settings: Option<&Path>) -> Result<Front, String> {
        let mut command = Command::new(program);
        command.env("PROXY_CONFIG", config).env_remove("PROXY_NAME").env_remove("PROXY_LISTEN");
        match settings {
            Some(path) => command.env("DOORGRADE_SETTINGS", path),
            None => command.env_remove("DOORGRADE_SETTINGS").current_dir(std::env::temp_dir()),
        };
        let process = Process::start(&mut command).map_err(|e| e.to_string())?;
        let line = process.wait_for_log(" listens on ", Duration::from_secs(10));
        let address = line.as_deref().and_then(|l| l.split_once(" listens on ")).map(|l| l.1.trim().parse());
        match address {
            Some(Ok(address)) => Ok(Front { process, address }),
            _ => Err(format!("a front did not start listening; its log: {:?}", process.log_lines())),
        }
    }

    pub fn process_id(&self) -> u32 {
        self.process.id()
    }

    pub fn log_lines(&self) -> Vec<String> {
        self.process.log_lines()
    }

    /// The number of log lines that contain the text.
    pub fn count_log_lines(&self, text: &str) -> usize {
        self.log_lines().iter().filter(|l| l.contains(text)).count()
    }

    /// Makes the front read its settings again, with SIGHUP.
    pub fn reload(&self) {
        self.process.hang_up();
    }

    pub fn is_running(&mut self) -> bool {
        self.process.is_running()
    }

    pub fn save_log(&self, folder: &Path, name: &str) -> std::io::Result<()> {
        std::fs::create_dir_all(folder)?;
        let mut file = std::fs::File::create(folder.join(name))?;
        self.log_lines().iter().try_for_each(|line| writeln!(file, "{line}"))
    }
}

/// The CPU time that a process has used, in milliseconds; `/proc` counts it in hundredths of a second.
pub fn cpu_ms(process: u32) -> f64 {
    let stat = std::fs::read_to_string(format!("/proc/{process}/stat")).unwrap_or_default();
    // The process name in parentheses may contain spaces and parentheses, so fields are counted after the last
    // closing one. User and system time are fields 14 and 15 of the line.
    let fields = stat.rsplit_once(')').map_or("", |s| s.1);
    let times = fields.split_whitespace().skip(11).take(2);
    10.0 * times.filter_map(|t| t.parse::<f64>().ok()).sum::<f64>()
}

/// The CPU time of those threads of a process that have this name, in milliseconds, to the microsecond.
pub fn thread_cpu_ms(process: u32, name: &str) -> f64 {
    let tasks = std::fs::read_dir(format!("/proc/{process}/task")).into_iter().flatten().flatten();
    let thread_ms = |task: std::fs::DirEntry| {
        let text = |file| std::fs::read_to_string(task.path().join(file)).unwrap_or_default();
        let has_name = text("comm").trim() == name;
        let ns: f64 = text("schedstat").split(' ').next()?.parse().ok()?;
        has_name.then_some(ns / 1e6)
    };
    tasks.filter_map(thread_ms).sum()
}

/// The resident memory of a process, in MB.
pub fn memory_mb(process: u32) -> Result<f64, String> {
    let status = std::fs::read_to_string(format!("/proc/{process}/status")).map_err(|e| e.to_string())?;
    let rss = status.lines().find_map(|l| l.strip_prefix("VmRSS:")).unwrap_or_default();
    let kb: f64 = rss.trim().trim_end_matches(" kB").parse().map_err(|_| "no VmRSS in /proc")?;
    Ok(kb / 1_024.0)
}

/// An access that the load generator is to make.
#[derive(Clone, Copy, Debug)]
pub struct PlannedAccess {
    /// Milliseconds since the start of the load.
    pub at_ms: f64,
    /// Index into the classes.
    pub class: usize,
    pub key: u64,
}

/// How an access ended for the client.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AccessResult {
    /// Status 200 with the body of the object; for a write, any body.
    Handled,
    /// Status 503 or 429.
    Declined,
    /// Any other status.
    Failed,
    /// No response within the client's timeout, or one that could not be read.
    Lost,
    /// Status 200 with a body that is not the object's.
    WrongBody,
}

/// The measurement of one access.
#[derive(Clone, Copy, Debug)]
pub struct Sample {
    pub planned: PlannedAccess,
    pub result: AccessResult,
    /// From the planned time to the response.
    pub latency_ms: f64,
    /// The index that `run_load_with` got for the front.
    pub front: usize,
}

/// The measurements of the load generator.
#[derive(Default)]
pub struct LoadResult {
    pub samples: Vec<Sample>,
    /// Connections that carried more bytes after a complete response.
    pub answered_twice: usize,
}

/// A class of accesses.
#[derive(Clone, Copy)]
pub struct Class {
    pub name: &'static str,
    /// The timeout of clients.
    pub timeout_ms: u64,
    pub soft_limit_ms: f64,
    pub benefit: f64,
    pub write: bool,
}

impl Class {
    /// The entry under `profiles` in the settings of a front.
    pub fn profile(&self) -> Value {
        json!({"name": self.name, "aim": self.soft_limit_ms, "deadline": self.timeout_ms as f64, "worth": self.benefit,
            "semantics": if self.write { "single_shot" } else { "free" }})
    }
}

/// A member in the JSON of the member list that a front's configuration starts with.
pub fn member_json(m: &Member, locality: &str, flavor: &str) -> Value {
    json!({"id": m.id, "host_port": m.address.to_string(), "locality": locality, "flavor": flavor, "cell": 0,
        "phase": "in_service", "size": 1, "up_since_ms": 0})
}

/// Clients of the protocol close connections that have been idle for 4 s. The load generator does so somewhat earlier, so
/// that no request crosses a close by the front.
const CLIENT_IDLE_TIMEOUT: Duration = Duration::from_millis(3_500);

/// Sends the planned accesses to one front, each at its time whether or not earlier ones have been answered (open loop).
pub fn run_load(
    front: SocketAddr,
    plan: &[PlannedAccess],
    classes: &[Class],
    start: Instant,
    workers: usize,
) -> LoadResult {
    run_load_with(&|_| Some((0, front)), plan, classes, start, workers)
}

/// Like `run_load`, with a front for each access that is chosen at the planned time by the index in the plan. Accesses
/// without a front are skipped.
pub fn run_load_with(
    choose_front: &(dyn Fn(usize) -> Option<(usize, SocketAddr)> + Sync),
    plan: &[PlannedAccess],
    classes: &[Class],
    start: Instant,
    workers: usize,
) -> LoadResult {
    let next = std::sync::atomic::AtomicUsize::new(0);
    let total = Mutex::new(LoadResult::default());
    std::thread::scope(|scope| {
        for _ in 0..workers {
            scope.spawn(|| {
                let (mut worker_result, mut clients) = (LoadResult::default(), HashMap::new());
                let reusable = |used: &Instant| used.elapsed() < CLIENT_IDLE_TIMEOUT;
                loop {
                    let index = next.fetch_add(1, std::sync::atomic::Ordering::SeqCst);
                    let Some(&planned) = plan.get(index) else { break };
                    let planned_at = start + Duration::from_secs_f64(planned.at_ms / 1e3);
                    std::thread::sleep(planned_at.saturating_duration_since(Instant::now()));
                    let Some((front, address)) = choose_front(index) else { continue };
                    // Includes connections to fronts that have ended, which would otherwise keep their descriptors open.
                    clients.retain(|_, (_, used)| reusable(used));
                    let (mut client, _) = clients.remove(&address).unwrap_or((None, planned_at));
                    let result = make_access(
                        address,
                        &mut client,
                        &classes[planned.class],
                        planned.key,
                        &mut worker_result,
                    );
                    clients.insert(address, (client, Instant::now()));
                    let latency_ms = planned_at.elapsed().as_secs_f64() * 1e3;
                    worker_result.samples.push(Sample { planned, result, latency_ms, front });
                }
                let mut merged = total.lock().unwrap_or_else(|e| e.into_inner());
                merged.samples.append(&mut worker_result.samples);
                merged.answered_twice += worker_result.answered_twice;
            });
        }
    });
    total.into_inner().unwrap_or_else(|e| e.into_inner())
}

fn make_access(
    front: SocketAddr,
    client: &mut Option<Client>,
    class: &Class,
    key: u64,
    worker_result: &mut LoadResult,
) -> AccessResult {
    let key = format!("{key:016x}");
    let started_at = Instant::now();
    // The front may close an idle connection while a request is on its way; that request is sent once more.
    for _ in 0..2 {
        if client.as_mut().is_some_and(Client::has_unread_bytes) {
            worker_result.answered_twice += 1;
            *client = None;
        }
        if client.is_none() {
            *client = Client::connect(front).ok();
        }
        let Some(connected) = client.as_mut() else { return AccessResult::Lost };
        let body: &[u8] = if class.write { b"a write" } else { b"" };
        let request =
            AccessRequest { class: class.name, key: &key, bucket: 17, timeout_ms: class.timeout_ms, body };
        let response = connected.send_access(&request).and_then(|_| connected.receive());
        if started_at.elapsed() > Duration::from_millis(class.timeout_ms + 50) {
            *client = None;
            return AccessResult::Lost;
        }
        let Ok((head, body)) = response else {
            let crossed_close = started_at.elapsed() < Duration::from_millis(50) && !class.write;
            *client = None;
            if crossed_close {
                continue;
            }
            return AccessResult::Lost;
        };
        return match head.get(8..11) {
            Some("200") if class.write || body == object_bytes(&format!("/data/{}/{key}/0", class.name)) => {
                AccessResult::Handled
            }
            Some("200") => AccessResult::WrongBody,
            Some("503" | "429") => AccessResult::Declined,
            _ => AccessResult::Failed,
        };
    }
    AccessResult::Lost
}

/// The benefit of the accesses that were handled within their soft limit, as a share of the benefit of all that were
/// planned between two times.
pub fn service(samples: &[Sample], classes: &[Class], from_ms: f64, to_ms: f64) -> f64 {
    let (mut served, mut offered) = (0.0, 0.0);
    for s in samples.iter().filter(|s| (from_ms..to_ms).contains(&s.planned.at_ms)) {
        let class = &classes[s.planned.class];
        offered += class.benefit;
        if s.result == AccessResult::Handled && s.latency_ms <= class.soft_limit_ms {
            served += class.benefit;
        }
    }
    served / f64::max(offered, 1e-9)
}

/// A quantile of the latency of handled accesses, in milliseconds.
pub fn latency_quantile_ms(samples: &[Sample], from_ms: f64, to_ms: f64, quantile: f64) -> f64 {
    let Ok(mut latencies_us) = Histogram::<u64>::new_with_bounds(1, 60_000_000, 3) else { return 0.0 };
    let between =
        |s: &&Sample| s.result == AccessResult::Handled && (from_ms..to_ms).contains(&s.planned.at_ms);
    samples.iter().filter(between).for_each(|s| latencies_us.saturating_record((s.latency_ms * 1e3) as u64));
    latencies_us.value_at_quantile(quantile) as f64 / 1e3
}
