//! Real fronts that speak with each other over links between them.

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

pub const WORDS: usize = 40;
/// So that a death is missed within some seconds.
const PROBE_MS: u64 = 200;
/// For what is to come to be; a busy machine takes longer than an idle one.
pub const LONG: Duration = Duration::from_secs(30);

pub struct Fleet {
    pub folder: PathBuf,
    pub links: Arc<Links>,
    /// Where each listens itself, and where others reach it.
    pub own: Vec<SocketAddr>,
    pub at: Vec<SocketAddrV4>,
    pub fronts: Vec<Option<Process>>,
    begun: Instant,
    /// They remember what they knew.
    pub recall: bool,
}

pub fn names(of: std::ops::Range<usize>) -> Vec<String> {
    of.map(|n| format!("n{n}")).collect()
}

impl Fleet {
    /// All of them started.
    pub fn new(name: &str, size: usize) -> Fleet {
        let mut fleet = Fleet::with(name, size, include_str!("../../../../examples/config.json"), false);
        (0..size).for_each(|n| fleet.start(n));
        fleet
    }

    /// None of them started yet.
    pub fn with(name: &str, size: usize, config: &str, recall: bool) -> Fleet {
        let folder = std::env::temp_dir().join(format!("doorgrade-{}-{name}", std::process::id()));
        let _ = std::fs::remove_dir_all(&folder);
        std::fs::create_dir_all(&folder).unwrap();
        let secret = "5e".repeat(32);
        std::fs::write(folder.join("seal-keys.hcl"), format!("key \"1\" {{ secret = \"{secret}\" }}\n"))
            .unwrap();
        std::fs::write(folder.join("config.json"), config).unwrap();
        let links = Arc::new(Links::new(1));
        let own: Vec<_> = (0..size).map(|_| free_address()).collect();
        let reached =
            names(0..size).into_iter().zip(&own).map(|(name, &at)| links.udp_proxy(&name, at).unwrap());
        let at: Vec<SocketAddrV4> = reached.map(|at| at.to_string().parse().unwrap()).collect();
        let (fronts, begun) = ((0..size).map(|_| None).collect(), Instant::now());
        Fleet { folder, links, own, at, fronts, begun, recall }
    }

    pub fn settings(&self, n: usize) -> PathBuf {
        let (listen, address, seeds) = (self.own[n], self.at[n], [self.at[0], self.at[1]]);
        let text = format!(
            "neighbours {{\n  enabled = true\n  listen = \"{listen}\"\n  address = \"{address}\"\n  \
             seeds = [\"{}\", \"{}\"]\n  station = \"hillside\"\n  seal_keys = \"seal-keys.hcl\"\n  about = 10\n  \
             probe_ms = {PROBE_MS}\n  words = {WORDS}\n}}\n",
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

    fn clock(&self, n: usize) -> PathBuf {
        self.folder.join(format!("n{n}.clock"))
    }

    /// By how much a front takes the clock for off: from its next start, or from now where it runs.
    pub fn set_clock(&mut self, n: usize, ms: i64) {
        std::fs::write(self.clock(n), ms.to_string()).unwrap();
        if let Some(front) = self.fronts[n].as_mut().and_then(|f| f.is_running().then_some(f)) {
            let told = format!("the clock is taken to be {ms} ms off");
            front.hang_up();
            assert!(front.wait_for_log(&told, LONG).is_some(), "{:?}", front.log_lines());
        }
    }

    pub fn start(&mut self, n: usize) {
        let mut command = Command::new(env!("CARGO_BIN_EXE_doorgrade"));
        command.env("PROXY_CONFIG", self.folder.join("config.json")).env("PROXY_NAME", format!("n{n}"));
        command.env("PROXY_LISTEN", "127.0.0.1:0").env("DOORGRADE_SETTINGS", self.settings(n));
        command.env("DOORGRADE_CLOCK_OFF", self.clock(n));
        let process = Process::start(&mut command).unwrap();
        assert!(process.wait_for_log(" listens on ", LONG).is_some(), "{:?}", process.log_lines());
        self.fronts[n] = Some(process);
    }

    pub fn front(&mut self, n: usize) -> &mut Process {
        self.fronts[n].as_mut().unwrap()
    }

    pub fn ask(&self, n: usize) -> Option<Status> {
        let keys = Keys::new(&read_keys(&self.folder.join("seal-keys.hcl")).unwrap());
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
        // The front seals for the address that it is told of, so it is asked there, past the links.
        let own: SocketAddrV4 = self.own[n].to_string().parse().unwrap();
        runtime.block_on(status(&keys, self.at[n], own)).ok()
    }

    /// Those that it takes for up, itself included.
    pub fn picture(&self, n: usize) -> Vec<String> {
        let Some(told) = self.ask(n) else { return Vec::new() };
        let up =
            told.neighbours.iter().filter(|r| r.state == MemberState::Alive).map(|r| r.id.name.to_string());
        let mut up: Vec<String> = up.chain([format!("n{n}")]).collect();
        up.sort();
        up
    }

    pub fn all_see(&self, who: std::ops::Range<usize>, whom: std::ops::Range<usize>) {
        let whom = names(whom);
        let sees = |n| {
            self.picture(n) == whom && self.ask(n).is_some_and(|s| s.connectivity == Connectivity::Connected)
        };
        let begun = Instant::now();
        while !who.clone().all(sees) {
            assert!(begun.elapsed() < LONG, "n{who:?} see {whom:?}\n{}", self.account(who.clone()));
            std::thread::sleep(Duration::from_millis(20));
        }
    }

    /// What each of these sees, and its log, for a test that fails.
    fn account(&self, who: std::ops::Range<usize>) -> String {
        let log = |n: usize| self.fronts[n].as_ref().map_or_else(Vec::new, Process::log_lines).join("\n");
        let one = |n| format!("n{n} sees {:?}, status {:?}\n{}\n", self.picture(n), self.ask(n), log(n));
        who.map(one).collect()
    }

    pub fn words_hold(&self) {
        let seconds = self.begun.elapsed().as_secs_f64();
        for name in names(0..self.at.len()) {
            let said = self.links.sent_by(&name).datagrams;
            // A name's lives each have a second's worth at once.
            let most = WORDS as f64 * (seconds + 4.0);
            assert!((said as f64) < most, "{name} said {said} datagrams in {seconds:.1} s");
        }
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        self.fronts.clear();
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

pub fn until(what: &str, holds: impl Fn() -> bool) {
    let begun = Instant::now();
    while !holds() {
        assert!(begun.elapsed() < LONG, "{what}");
        std::thread::sleep(Duration::from_millis(20));
    }
}
