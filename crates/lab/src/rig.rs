//! Real fronts as processes, and the load on them.

use std::io::{BufRead, BufReader, Write};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::mpsc::channel;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use doorgrade_standins::client::Asked;
use doorgrade_standins::{Client, object};
use hdrhistogram::Histogram;

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
    process: Child,
    pub at: SocketAddr,
    log: Arc<Mutex<Vec<String>>>,
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
        let mut process = command.stderr(Stdio::piped()).spawn().map_err(|e| e.to_string())?;
        let log = Arc::new(Mutex::new(Vec::new()));
        let (found, listens) = channel();
        if let Some(stderr) = process.stderr.take() {
            let log = log.clone();
            std::thread::spawn(move || {
                for line in BufReader::new(stderr).lines().map_while(Result::ok) {
                    if let Some((_, at)) = line.split_once(" listens on ") {
                        let _ = found.send(at.trim().parse::<SocketAddr>());
                    }
                    log.lock().unwrap_or_else(|e| e.into_inner()).push(line);
                }
            });
        }
        let at = listens.recv_timeout(Duration::from_secs(10));
        let mut front = Front { process, at: SocketAddr::from(([0, 0, 0, 0], 0)), log };
        match at {
            Ok(Ok(at)) => front.at = at,
            _ => return Err(format!("a front does not start: {:?}", front.lines())),
        }
        Ok(front)
    }

    pub fn process(&self) -> u32 {
        self.process.id()
    }

    pub fn lines(&self) -> Vec<String> {
        self.log.lock().unwrap_or_else(|e| e.into_inner()).clone()
    }

    pub fn count(&self, text: &str) -> usize {
        self.lines().iter().filter(|l| l.contains(text)).count()
    }

    pub fn reload(&self) {
        let _ = Command::new("kill").args(["-HUP", &self.process.id().to_string()]).status();
    }

    pub fn alive(&mut self) -> bool {
        matches!(self.process.try_wait(), Ok(None))
    }

    pub fn keep_log(&self, folder: &Path, name: &str) -> std::io::Result<()> {
        std::fs::create_dir_all(folder)?;
        let mut file = std::fs::File::create(folder.join(name))?;
        self.lines().iter().try_for_each(|line| writeln!(file, "{line}"))
    }
}

impl Drop for Front {
    fn drop(&mut self) {
        let _ = self.process.kill();
        let _ = self.process.wait();
    }
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

/// Plays a plan against one front: each access at its time, whatever became of those before it.
pub fn play(
    front: SocketAddr,
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
                let (mut own, mut client) = (Played::default(), None);
                loop {
                    let at = next.fetch_add(1, std::sync::atomic::Ordering::SeqCst);
                    let Some(&planned) = plan.get(at) else { break };
                    let due = start + Duration::from_secs_f64(planned.at_ms / 1e3);
                    std::thread::sleep(due.saturating_duration_since(Instant::now()));
                    let got = ask(front, &mut client, &classes[planned.class], planned.key, &mut own);
                    own.samples.push(Sample { planned, got, took_ms: due.elapsed().as_secs_f64() * 1e3 });
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
        if client.as_mut().is_some_and(Client::spoke_unasked) {
            own.answered_twice += 1;
            *client = None;
        }
        if client.is_none() {
            *client = Client::connect(front).ok();
        }
        let Some(open) = client.as_mut() else { return Got::Lost };
        let body: &[u8] = if class.write { b"a write" } else { b"" };
        let asked = Asked { class: class.name, key: &key, bucket: 17, wait_ms: class.wait_ms, body };
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
            Some("200") if class.write || body == object(&format!("/data/{}/{key}/0", class.name)) => {
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
