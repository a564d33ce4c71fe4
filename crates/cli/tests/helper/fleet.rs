//! Real fronts that gossip over simulated links.

use std::net::{SocketAddr, SocketAddrV4};
use std::path::PathBuf;
use std::process::Command;
use std::sync::Arc;
use std::time::{Duration, Instant};

use doorgrade_control_client::neighbours::{Connectivity, MemberState, Status, status};
use doorgrade_control_client::seal_keys::read_keys;
use doorgrade_members::seal::Keys;
use doorgrade_standins::links::Links;
use doorgrade_standins::ports::free_address;
use doorgrade_standins::process::Process;

/// Limit of datagrams per second and front (setting `words`).
pub const MAX_DATAGRAMS_PER_S: usize = 40;
/// Short, so that a dead front is detected within seconds.
const PROBE_MS: u64 = 200;
/// Timeout for expected states; generous, since a busy machine takes longer than an idle one.
pub const TIMEOUT: Duration = Duration::from_secs(30);

pub struct Fleet {
    pub folder: PathBuf,
    pub links: Arc<Links>,
    /// Where each front listens, and where others reach it through the links.
    pub listen_addresses: Vec<SocketAddr>,
    pub addresses: Vec<SocketAddrV4>,
    pub fronts: Vec<Option<Process>>,
    started_at: Instant,
    /// Whether the fronts keep what they know across restarts.
    pub recall: bool,
}

pub fn front_names(indices: std::ops::Range<usize>) -> Vec<String> {
    indices.map(|n| format!("n{n}")).collect()
}

impl Fleet {
    /// With all fronts started.
    pub fn new(name: &str, size: usize) -> Fleet {
        let mut fleet = Fleet::with(name, size, include_str!("../../../../examples/config.json"), false);
        (0..size).for_each(|n| fleet.start(n));
        fleet
    }

    /// With no front started yet.
    pub fn with(name: &str, size: usize, config: &str, recall: bool) -> Fleet {
        let folder = std::env::temp_dir().join(format!("doorgrade-{}-{name}", std::process::id()));
        let _ = std::fs::remove_dir_all(&folder);
        std::fs::create_dir_all(&folder).unwrap();
        let secret = "5e".repeat(32);
        std::fs::write(folder.join("seal-keys.hcl"), format!("key \"1\" {{ secret = \"{secret}\" }}\n"))
            .unwrap();
        std::fs::write(folder.join("config.json"), config).unwrap();
        let links = Arc::new(Links::new(1));
        let listen_addresses: Vec<_> = (0..size).map(|_| free_address()).collect();
        let reached_at = front_names(0..size)
            .into_iter()
            .zip(&listen_addresses)
            .map(|(name, &at)| links.udp_proxy(&name, at).unwrap());
        let addresses: Vec<SocketAddrV4> = reached_at.map(|at| at.to_string().parse().unwrap()).collect();
        let (fronts, started_at) = ((0..size).map(|_| None).collect(), Instant::now());
        Fleet { folder, links, listen_addresses, addresses, fronts, started_at, recall }
    }

    pub fn settings(&self, n: usize) -> PathBuf {
        let (listen, address, seeds) =
            (self.listen_addresses[n], self.addresses[n], [self.addresses[0], self.addresses[1]]);
        let text = format!(
            "neighbours {{\n  enabled = true\n  listen = \"{listen}\"\n  address = \"{address}\"\n  \
             seeds = [\"{}\", \"{}\"]\n  station = \"hillside\"\n  seal_keys = \"seal-keys.hcl\"\n  about = 10\n  \
             probe_ms = {PROBE_MS}\n  words = {MAX_DATAGRAMS_PER_S}\n}}\n",
            seeds[0], seeds[1]
        );
        let recall = match self.recall {
            true => format!("recall {{\n  enabled = true\n  store = \"n{n}.redb\"\n  write_ms = 200\n}}\n"),
            false => String::new(),
        };
        let path = self.folder.join(format!("n{n}.hcl"));
        std::fs::write(&path, text + &recall).unwrap();
        path
    }

    fn clock_file(&self, n: usize) -> PathBuf {
        self.folder.join(format!("n{n}.clock"))
    }

    /// Sets how far off a front's clock is: at once if it runs, else from its next start.
    pub fn set_clock(&mut self, n: usize, ms: i64) {
        std::fs::write(self.clock_file(n), ms.to_string()).unwrap();
        if let Some(front) = self.fronts[n].as_mut().and_then(|f| f.is_running().then_some(f)) {
            let confirmation = format!("the clock is taken to be {ms} ms off");
            front.hang_up();
            assert!(front.wait_for_log(&confirmation, TIMEOUT).is_some(), "{:?}", front.log_lines());
        }
    }

    pub fn start(&mut self, n: usize) {
        let mut command = Command::new(env!("CARGO_BIN_EXE_doorgrade"));
        command.env("PROXY_CONFIG", self.folder.join("config.json")).env("PROXY_NAME", format!("n{n}"));
        command.env("PROXY_LISTEN", "127.0.0.1:0").env("DOORGRADE_SETTINGS", self.settings(n));
        command.env("DOORGRADE_CLOCK_OFF", self.clock_file(n));
        let process = Process::start(&mut command).unwrap();
        assert!(process.wait_for_log(" listens on ", TIMEOUT).is_some(), "{:?}", process.log_lines());
        self.fronts[n] = Some(process);
    }

    pub fn front(&mut self, n: usize) -> &mut Process {
        self.fronts[n].as_mut().unwrap()
    }

    /// The status that a front reports, if it answers.
    pub fn status(&self, n: usize) -> Option<Status> {
        let keys = Keys::new(&read_keys(&self.folder.join("seal-keys.hcl")).unwrap());
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
        // The message is sealed for the front's public address, but sent to its listener, past the links.
        let listener: SocketAddrV4 = self.listen_addresses[n].to_string().parse().unwrap();
        runtime.block_on(status(&keys, self.addresses[n], listener)).ok()
    }

    /// The fronts that front `n` considers up, itself included.
    pub fn alive_members(&self, n: usize) -> Vec<String> {
        let Some(status) = self.status(n) else { return Vec::new() };
        let up =
            status.neighbours.iter().filter(|r| r.state == MemberState::Alive).map(|r| r.id.name.to_string());
        let mut up: Vec<String> = up.chain([format!("n{n}")]).collect();
        up.sort();
        up
    }

    /// Waits until each of `observers` considers exactly `members` up.
    pub fn wait_for_membership(&self, observers: std::ops::Range<usize>, members: std::ops::Range<usize>) {
        let members = front_names(members);
        let agrees = |n| {
            self.alive_members(n) == members
                && self.status(n).is_some_and(|s| s.connectivity == Connectivity::Connected)
        };
        let started_at = Instant::now();
        while !observers.clone().all(agrees) {
            assert!(
                started_at.elapsed() < TIMEOUT,
                "n{observers:?} see {members:?}\n{}",
                self.diagnostics(observers.clone())
            );
            std::thread::sleep(Duration::from_millis(20));
        }
    }

    /// The view, status and log of each observer, for a failing test.
    fn diagnostics(&self, observers: std::ops::Range<usize>) -> String {
        let log = |n: usize| self.fronts[n].as_ref().map_or_else(Vec::new, Process::log_lines).join("\n");
        let report =
            |n| format!("n{n} sees {:?}, status {:?}\n{}\n", self.alive_members(n), self.status(n), log(n));
        observers.map(report).collect()
    }

    /// Asserts that no front sent more datagrams than its rate limit allows.
    pub fn assert_datagram_rates(&self) {
        let seconds = self.started_at.elapsed().as_secs_f64();
        for name in front_names(0..self.addresses.len()) {
            let sent = self.links.sent_by(&name).datagrams;
            // Each incarnation of a front may send a burst of one second's worth.
            let max = MAX_DATAGRAMS_PER_S as f64 * (seconds + 4.0);
            assert!((sent as f64) < max, "{name} sent {sent} datagrams in {seconds:.1} s");
        }
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        self.fronts.clear();
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

pub fn wait_until(description: &str, condition: impl Fn() -> bool) {
    let started_at = Instant::now();
    while !condition() {
        assert!(started_at.elapsed() < TIMEOUT, "{description}");
        std::thread::sleep(Duration::from_millis(20));
    }
}
