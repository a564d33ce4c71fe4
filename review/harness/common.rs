//! What the cases share: time, the record, free ports, the front as a process, and the control feed.

use std::collections::VecDeque;
use std::fs::File;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// The exit codes of a case.
pub const HELD: i32 = 0;
pub const BROKEN: i32 = 1;
pub const NOT_RUN: i32 = 2;

pub fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |d| d.as_millis() as u64)
}

/// The processes that this case has started and that may still run.
static STARTED: Mutex<Vec<u32>> = Mutex::new(Vec::new());

/// Ends all processes that the case has started, then the case itself.
pub fn finish(code: i32) -> ! {
    for id in STARTED.lock().map_or(Vec::new(), |started| started.clone()) {
        send_signal(id, "KILL");
    }
    std::process::exit(code)
}

/// Ends the case at once because it could not run.
pub fn cannot_run(reason: &str) -> ! {
    eprintln!("the case could not run: {reason}");
    finish(NOT_RUN)
}

fn send_signal(id: u32, signal: &str) {
    let _ = Command::new("/bin/sh").args(["-c", &format!("kill -{signal} {id} 2>/dev/null")]).status();
}

/// Ends the case if it takes longer than a case may.
pub fn limit_duration(limit: Duration) {
    thread::spawn(move || {
        thread::sleep(limit);
        cannot_run("it took too long");
    });
}

/// The record of a run. Each line begins with the milliseconds since the start of the case.
#[derive(Clone)]
pub struct Record {
    start: Instant,
    file: Arc<Mutex<File>>,
}

impl Record {
    pub fn create(path: &Path) -> Record {
        let file = File::create(path).unwrap_or_else(|e| cannot_run(&format!("{}: {e}", path.display())));
        Record { start: Instant::now(), file: Arc::new(Mutex::new(file)) }
    }

    pub fn ms(&self) -> u64 {
        self.start.elapsed().as_millis() as u64
    }

    pub fn line(&self, text: &str) {
        let line = format!("{:>7} {text}\n", self.ms());
        let _ = self.file.lock().expect("record").write_all(line.as_bytes());
    }

    /// Writes a line to the record and to standard output.
    pub fn say(&self, text: &str) {
        println!("{text}");
        self.line(text);
    }
}

/// A small generator of random numbers, so that a run is the same each time but for its timing.
pub struct Random(u64);

impl Random {
    pub fn new(seed: u64) -> Random {
        Random(seed.wrapping_mul(0x9e37_79b9_7f4a_7c15) | 1)
    }

    pub fn next(&mut self) -> u64 {
        self.0 ^= self.0 << 13;
        self.0 ^= self.0 >> 7;
        self.0 ^= self.0 << 17;
        self.0.wrapping_mul(0x2545_f491_4f6c_dd1d)
    }

    /// Seconds until the next of so many events a second.
    pub fn pause(&mut self, per_second: f64) -> f64 {
        -(1.0 - self.unit()).ln() / per_second
    }

    /// From 0 up to 1.
    pub fn unit(&mut self) -> f64 {
        (self.next() >> 11) as f64 / (1u64 << 53) as f64
    }
}

/// The ports of [`free_address`]: below those that the system hands out by itself, so that a port that is free now is not
/// given to anybody else before it is used.
const FIRST_PORT: u32 = 12_000;
const PORTS: u32 = 18_000;

/// The ports that were handed out so far.
static PORTS_USED: AtomicU32 = AtomicU32::new(0);

/// An address on loopback that is free now. Cases that run side by side begin at different ports.
pub fn free_address() -> SocketAddr {
    for _ in 0..PORTS {
        let number =
            std::process::id().wrapping_mul(211).wrapping_add(PORTS_USED.fetch_add(1, Ordering::SeqCst));
        let port = (FIRST_PORT + number % PORTS) as u16;
        if TcpListener::bind(("127.0.0.1", port)).is_ok() {
            return SocketAddr::from(([127, 0, 0, 1], port));
        }
    }
    cannot_run("no port is free")
}

/// A temporary folder that is removed at the end.
pub struct TempFolder(pub PathBuf);

impl TempFolder {
    pub fn create() -> TempFolder {
        let path = std::env::temp_dir().join(format!("review-{}-{}", std::process::id(), unix_ms()));
        std::fs::create_dir_all(&path).unwrap_or_else(|e| cannot_run(&e.to_string()));
        TempFolder(path)
    }
}

impl Drop for TempFolder {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

/// The command of the deploy file under this key.
pub fn deploy_command(root: &Path, key: &str) -> String {
    let path = root.join("deploy/balancer.toml");
    let text = std::fs::read_to_string(&path).unwrap_or_else(|e| cannot_run(&e.to_string()));
    let prefix = format!("{key} = \"");
    let value = text.lines().find_map(|l| l.strip_prefix(&prefix)).and_then(|rest| rest.split('"').next());
    value.unwrap_or_else(|| cannot_run("the deploy file has no such command")).to_owned()
}

/// A front, started by the `run` command of the deploy file.
pub struct FrontProcess {
    child: Child,
    pub listen: SocketAddr,
}

impl FrontProcess {
    pub fn start(root: &Path, folder: &Path, name: &str, listen: SocketAddr, config: &str) -> FrontProcess {
        let config_path = folder.join(format!("{name}.json"));
        std::fs::write(&config_path, config).unwrap_or_else(|e| cannot_run(&e.to_string()));
        let log =
            File::create(folder.join(format!("{name}.log"))).unwrap_or_else(|e| cannot_run(&e.to_string()));
        let child = Command::new("/bin/sh")
            .args(["-c", &deploy_command(root, "run")])
            .current_dir(root)
            .env("PROXY_NAME", name)
            .env("PROXY_LISTEN", listen.to_string())
            .env("PROXY_CONFIG", &config_path)
            .env("TMPDIR", folder)
            .env_remove("DOORGRADE_SETTINGS")
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(log)
            .spawn()
            .unwrap_or_else(|e| cannot_run(&e.to_string()));
        STARTED.lock().expect("started").push(child.id());
        FrontProcess { child, listen }
    }

    /// Whether it has exited by itself, which is recorded.
    pub fn report_exit(&mut self, record: &Record) -> bool {
        let status = self.child.try_wait().ok().flatten();
        if let Some(status) = status {
            record.say(&format!("the front has exited: {status}"));
        }
        status.is_some()
    }
}

impl Drop for FrontProcess {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        STARTED.lock().expect("started").retain(|id| *id != self.child.id());
    }
}

/// A member as the control feed lists it.
#[derive(Clone, Debug)]
pub struct Listed {
    pub id: u32,
    pub address: SocketAddr,
    /// 0 ready, 1 draining, 2 gone.
    pub state: u8,
    pub zone: u8,
    pub kind: u8,
    pub weight: u32,
    pub started_ms: u64,
}

impl Listed {
    pub fn name(&self) -> String {
        format!("s-{:08x}", self.id)
    }

    fn record(&self) -> Vec<u8> {
        let SocketAddr::V4(address) = self.address else { cannot_run("an address is not IPv4") };
        let mut bytes = self.id.to_be_bytes().to_vec();
        bytes.extend(address.ip().octets());
        bytes.extend(address.port().to_be_bytes());
        bytes.extend([self.state, self.zone, self.kind, 0, 0]);
        bytes.extend(self.weight.to_be_bytes());
        bytes.extend(self.started_ms.to_be_bytes());
        bytes
    }

    fn json(&self, zones: &[&str], kinds: &[&str]) -> String {
        let phase = ["in_service", "terminating", "terminated"][usize::from(self.state)];
        format!(
            r#"{{"id":"{}","host_port":"{}","locality":"{}","flavor":"{}","cell":0,"phase":"{phase}","size":{},"up_since_ms":{}}}"#,
            self.name(),
            self.address,
            zones[usize::from(self.zone)],
            kinds[usize::from(self.kind)],
            f64::from(self.weight) / 1000.0,
            self.started_ms
        )
    }
}

/// `known` of a configuration: one event with the whole list.
pub fn known_json(members: &[Listed], zones: &[&str], kinds: &[&str]) -> String {
    let members: Vec<String> = members.iter().map(|m| m.json(zones, kinds)).collect();
    format!(
        r#"{{"n":1,"events":[{{"n":1,"members":{{"revision":1,"complete":true,"members":[{}]}}}}]}}"#,
        members.join(",")
    )
}

/// The control feed: sends each connection the events after the number that it names, and an empty frame each
/// second.
pub struct Feed {
    pub address: SocketAddr,
    events: Arc<Mutex<Vec<(u64, Vec<u8>)>>>,
}

fn frame(number: u64, kind: u8, payload: &[u8]) -> Vec<u8> {
    let mut bytes = (payload.len() as u32 + 9).to_be_bytes().to_vec();
    bytes.extend(number.to_be_bytes());
    bytes.push(kind);
    bytes.extend(payload);
    bytes
}

impl Feed {
    pub fn start(record: Record) -> Feed {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap_or_else(|e| cannot_run(&e.to_string()));
        let address = listener.local_addr().expect("address");
        let events: Arc<Mutex<Vec<(u64, Vec<u8>)>>> = Arc::default();
        let shared = events.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (events, record) = (shared.clone(), record.clone());
                thread::spawn(move || {
                    let _ = serve_feed(stream, &events, &record);
                });
            }
        });
        Feed { address, events }
    }

    /// Puts changes of the list into the feed.
    pub fn publish_members(&self, number: u64, changed: &[Listed]) {
        let payload: Vec<u8> = changed.iter().flat_map(Listed::record).collect();
        self.events.lock().expect("events").push((number, frame(number, 2, &payload)));
    }
}

fn serve_feed(
    mut stream: TcpStream,
    events: &Mutex<Vec<(u64, Vec<u8>)>>,
    record: &Record,
) -> std::io::Result<()> {
    stream.set_nodelay(true)?;
    let mut number = [0; 8];
    stream.read_exact(&mut number)?;
    let mut last = u64::from_be_bytes(number);
    record.line(&format!("feed: a connection asks for the events after {last}"));
    let mut next_empty = Instant::now();
    loop {
        let new: Vec<_> = events.lock().expect("events").iter().filter(|e| e.0 > last).cloned().collect();
        for (number, bytes) in new {
            stream.write_all(&bytes)?;
            record.line(&format!("feed: wrote event {number}"));
            last = number;
        }
        if Instant::now() >= next_empty {
            stream.write_all(&frame(last, 0, &[]))?;
            next_empty += Duration::from_secs(1);
        }
        thread::sleep(Duration::from_millis(10));
    }
}

/// A proxy for TCP that hands on what the server sends after a delay, in order. What the client sends goes on at
/// once.
pub struct DelayProxy {
    pub address: SocketAddr,
    delayed: Arc<AtomicBool>,
}

impl DelayProxy {
    pub fn start(server: SocketAddr, delay: Duration) -> DelayProxy {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap_or_else(|e| cannot_run(&e.to_string()));
        let address = listener.local_addr().expect("address");
        let delayed = Arc::new(AtomicBool::new(false));
        let shared = delayed.clone();
        thread::spawn(move || {
            for client in listener.incoming().flatten() {
                let delayed = shared.clone();
                thread::spawn(move || {
                    let Ok(upstream) = TcpStream::connect(server) else { return };
                    let _ = (client.set_nodelay(true), upstream.set_nodelay(true));
                    let (Ok(mut from), Ok(mut to)) = (client.try_clone(), upstream.try_clone()) else {
                        return;
                    };
                    thread::spawn(move || {
                        let _ = std::io::copy(&mut from, &mut to);
                        let _ = to.shutdown(std::net::Shutdown::Both);
                    });
                    pass_on_later(upstream, client, delay, &delayed);
                });
            }
        });
        DelayProxy { address, delayed }
    }

    /// From now on, what the server sends is handed on late.
    pub fn set_delayed(&self, delayed: bool) {
        self.delayed.store(delayed, Ordering::SeqCst);
    }
}

fn pass_on_later(mut from: TcpStream, mut to: TcpStream, delay: Duration, delayed: &AtomicBool) {
    type Pending = Mutex<(VecDeque<(Instant, Vec<u8>)>, bool)>;
    let pending: Arc<Pending> = Arc::default();
    let queue = pending.clone();
    let writer = thread::spawn(move || {
        loop {
            let due = {
                let mut state = queue.lock().expect("queue");
                match state.0.front() {
                    Some((at, _)) if *at <= Instant::now() => state.0.pop_front(),
                    None if state.1 => break,
                    _ => None,
                }
            };
            match due {
                Some((_, bytes)) if to.write_all(&bytes).is_err() => break,
                Some(_) => {}
                None => thread::sleep(Duration::from_millis(2)),
            }
        }
        let _ = to.shutdown(std::net::Shutdown::Both);
    });
    let mut buffer = [0; 4096];
    while let Ok(count) = from.read(&mut buffer) {
        if count == 0 {
            break;
        }
        let wait = if delayed.load(Ordering::SeqCst) { delay } else { Duration::ZERO };
        pending.lock().expect("queue").0.push_back((Instant::now() + wait, buffer[..count].to_vec()));
    }
    pending.lock().expect("queue").1 = true;
    let _ = writer.join();
}
