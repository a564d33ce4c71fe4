//! Real fronts that speak with each other, links between them that are cut, and processes that die, stall and begin
//! anew. What they say of each other is asked by the command; what they said is counted at the links.

use std::net::{SocketAddr, SocketAddrV4, UdpSocket};
use std::path::{Path, PathBuf};
use std::process::Command;
use std::time::{Duration, Instant};

use doorgrade_front::neighbours::{Place, Seems, Status, status};
use doorgrade_front::versions::read_keys;
use doorgrade_members::seal::Keys;
use doorgrade_standins::links::{Links, Way};
use doorgrade_standins::process::Process;

const WORDS: usize = 40;
/// So that a death is missed within some seconds.
const PROBE_MS: u64 = 200;
/// For what is to come to be; a busy machine takes longer than an idle one.
const LONG: Duration = Duration::from_secs(30);

struct Fleet {
    folder: PathBuf,
    links: Links,
    /// Where each listens itself, and where others reach it.
    own: Vec<SocketAddr>,
    at: Vec<SocketAddrV4>,
    fronts: Vec<Option<Process>>,
    begun: Instant,
}

fn names(of: std::ops::Range<usize>) -> Vec<String> {
    of.map(|n| format!("n{n}")).collect()
}

impl Fleet {
    fn new(name: &str, size: usize) -> Fleet {
        let folder = std::env::temp_dir().join(format!("doorgrade-{}-{name}", std::process::id()));
        let _ = std::fs::remove_dir_all(&folder);
        std::fs::create_dir_all(&folder).unwrap();
        let secret = "5e".repeat(32);
        std::fs::write(folder.join("seal-keys.hcl"), format!("key \"1\" {{ secret = \"{secret}\" }}\n"))
            .unwrap();
        std::fs::write(folder.join("config.json"), include_str!("../../../examples/config.json")).unwrap();
        let links = Links::new(1);
        // A free port of each is found by taking it for a moment.
        let taken: Vec<_> = (0..size).map(|_| UdpSocket::bind("127.0.0.1:0").unwrap()).collect();
        let own: Vec<_> = taken.iter().map(|s| s.local_addr().unwrap()).collect();
        drop(taken);
        let reached =
            names(0..size).into_iter().zip(&own).map(|(name, &at)| links.mailbox(&name, at).unwrap());
        let at: Vec<SocketAddrV4> = reached.map(|at| at.to_string().parse().unwrap()).collect();
        let mut fleet = Fleet {
            folder,
            links,
            own,
            at,
            fronts: (0..size).map(|_| None).collect(),
            begun: Instant::now(),
        };
        (0..size).for_each(|n| fleet.start(n));
        fleet
    }

    fn settings(&self, n: usize) -> PathBuf {
        let (listen, address, seeds) = (self.own[n], self.at[n], [self.at[0], self.at[1]]);
        let text = format!(
            "neighbours {{\n  enabled = true\n  listen = \"{listen}\"\n  address = \"{address}\"\n  \
             seeds = [\"{}\", \"{}\"]\n  station = \"hillside\"\n  seal_keys = \"seal-keys.hcl\"\n  about = 10\n  \
             probe_ms = {PROBE_MS}\n  words = {WORDS}\n}}\n",
            seeds[0], seeds[1]
        );
        let path = self.folder.join(format!("n{n}.hcl"));
        std::fs::write(&path, text).unwrap();
        path
    }

    fn start(&mut self, n: usize) {
        let mut command = Command::new(env!("CARGO_BIN_EXE_doorgrade"));
        command.env("PROXY_CONFIG", self.folder.join("config.json")).env("PROXY_NAME", format!("n{n}"));
        command.env("PROXY_LISTEN", "127.0.0.1:0").env("DOORGRADE_SETTINGS", self.settings(n));
        let process = Process::start(&mut command).unwrap();
        assert!(process.line(" listens on ", LONG).is_some(), "{:?}", process.lines());
        self.fronts[n] = Some(process);
    }

    fn front(&mut self, n: usize) -> &mut Process {
        self.fronts[n].as_mut().unwrap()
    }

    fn ask(&self, n: usize) -> Option<Status> {
        let keys = Keys::new(&read_keys(&self.folder.join("seal-keys.hcl")).unwrap());
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
        // The front seals for the address that it is told of, so it is asked there, past the links.
        let own: SocketAddrV4 = self.own[n].to_string().parse().unwrap();
        runtime.block_on(status(&keys, self.at[n], own)).ok()
    }

    /// Those that it takes for up, itself included.
    fn picture(&self, n: usize) -> Vec<String> {
        let Some(told) = self.ask(n) else { return Vec::new() };
        let up = told.rows.iter().filter(|r| r.state == Seems::Up).map(|r| r.id.name.to_string());
        let mut up: Vec<String> = up.chain([format!("n{n}")]).collect();
        up.sort();
        up
    }

    fn all_see(&self, who: std::ops::Range<usize>, whom: std::ops::Range<usize>) {
        let whom = names(whom);
        until(&format!("n{who:?} see {whom:?}"), || {
            who.clone()
                .all(|n| self.picture(n) == whom && self.ask(n).is_some_and(|s| s.standing == Place::Among))
        });
    }

    fn words_hold(&self) {
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

fn until(what: &str, holds: impl Fn() -> bool) {
    let begun = Instant::now();
    while !holds() {
        assert!(begun.elapsed() < LONG, "{what}");
        std::thread::sleep(Duration::from_millis(20));
    }
}

fn command(settings: &Path, args: &[&str]) -> (i32, String, String) {
    let run = Command::new(env!("CARGO_BIN_EXE_doorgrade"))
        .args(args)
        .env("DOORGRADE_SETTINGS", settings)
        .env_remove("PROXY_CONFIG")
        .output()
        .unwrap();
    let text = |bytes: &[u8]| String::from_utf8_lossy(bytes).into_owned();
    (run.status.code().unwrap_or(-1), text(&run.stdout), text(&run.stderr))
}

#[test]
fn seven_in_ten_die_begin_anew_and_are_known_in_their_later_lives() {
    let mut fleet = Fleet::new("neighbours-die", 10);
    fleet.all_see(0..10, 0..10);
    let lives = |fleet: &Fleet| -> Vec<u64> {
        let told = fleet.ask(9).unwrap();
        let life =
            |n: usize| told.rows.iter().find(|r| *r.id.name == *format!("n{n}")).map(|r| r.id.incarnation());
        (0..7).filter_map(life).collect()
    };
    let before = lives(&fleet);
    // Both seeds are among them.
    (0..7).for_each(|n| fleet.front(n).kill());
    fleet.all_see(7..10, 7..10);
    (0..7).for_each(|n| fleet.start(n));
    fleet.all_see(0..10, 0..10);
    let after = lives(&fleet);
    assert_eq!((before.len(), after.len()), (7, 7));
    assert!(before.iter().zip(&after).all(|(b, a)| b < a), "{before:?} {after:?}");
    fleet.words_hold();
}

#[test]
fn one_that_is_stopped_and_woken_says_so_before_it_says_anything_of_others() {
    let mut fleet = Fleet::new("neighbours-stall", 5);
    fleet.all_see(0..5, 0..5);
    fleet.front(3).stop();
    // Longer than any pause of its own, and until the others miss it.
    let missed = |fleet: &Fleet| (0..5).filter(|&n| n != 3).all(|n| !fleet.picture(n).contains(&"n3".into()));
    until("n3 is missed", || missed(&fleet));
    std::thread::sleep(Duration::from_secs(3));
    let before = fleet.front(3).lines().len();
    fleet.front(3).wake();
    fleet.all_see(0..5, 0..5);
    let lines = fleet.front(3).lines();
    let told: Vec<_> = lines[before..].iter().filter(|l| l.contains("neighbours: ")).collect();
    assert!(told.first().is_some_and(|l| l.contains("neighbours: slept for ")), "{told:?}");
    for n in 0..5 {
        let wrong: Vec<_> = fleet.front(n).lines().into_iter().filter(|l| l.contains("is missing")).collect();
        assert!(wrong.iter().all(|l| l.contains("n3 (")), "n{n}: only one that sleeps is missed: {wrong:?}");
    }
    fleet.words_hold();
}

#[test]
fn halves_cut_apart_meet_again_though_one_has_begun_anew() {
    let mut fleet = Fleet::new("neighbours-halves", 6);
    fleet.all_see(0..6, 0..6);
    fleet.links.part(&names(0..3), &names(3..6));
    fleet.all_see(0..3, 0..3);
    fleet.all_see(3..6, 3..6);
    // The half without a seed: it knows nobody now, and can reach none of those that it is told of.
    for n in 3..6 {
        fleet.front(n).kill();
        fleet.start(n);
    }
    until("cut off from all seeds, it is alone", || {
        (3..6).all(|n| fleet.ask(n).is_some_and(|s| s.standing == Place::Alone))
    });
    fleet.links.heal();
    fleet.all_see(0..6, 0..6);
    fleet.words_hold();
}

#[test]
fn a_link_that_loses_one_way_makes_no_death_and_the_command_shows_it_all() {
    let fleet = Fleet::new("neighbours-command", 4);
    fleet.all_see(0..4, 0..4);
    fleet.links.set("n2", "n3", Way { cut: true, ..Way::default() });
    let settings = fleet.folder.join("n1.hcl");
    let (own, at) = (fleet.own[1].to_string(), fleet.at[1].to_string());
    let (code, out, err) = command(&settings, &["neighbours", "--json", "--through", &own]);
    assert_eq!((code, &*err), (0, ""));
    let told: serde_json::Value = serde_json::from_str(&out).unwrap();
    assert_eq!((&told["front"], &told["standing"]), (&"n1".into(), &"among".into()));
    assert_eq!(told["neighbours"].as_array().map(Vec::len), Some(3));
    let (code, out, _) = command(&settings, &["neighbours", "--through", &own]);
    assert!(code == 0 && out.contains("n1 (hillside, ") && out.contains("NAME"), "{out}");
    // Some dozens of probes of each.
    std::thread::sleep(Duration::from_secs(6));
    for n in 0..4 {
        let lines = fleet.fronts[n].as_ref().unwrap().lines();
        assert!(!lines.iter().any(|l| l.contains("is missing")), "n{n}: {lines:?}");
    }
    // Other keys, and nobody there.
    let secret = "7f".repeat(32);
    std::fs::write(fleet.folder.join("other.hcl"), format!("key \"1\" {{ secret = \"{secret}\" }}\n"))
        .unwrap();
    let text = std::fs::read_to_string(&settings).unwrap().replace("seal-keys.hcl", "other.hcl");
    let other = fleet.folder.join("stranger.hcl");
    std::fs::write(&other, text).unwrap();
    let (code, _, err) = command(&other, &["neighbours", "--through", &own]);
    assert!(code == 1 && err.contains(&format!("{at}: no answer")), "{code} {err}");
    let (code, _, err) = command(Path::new("/dev/null"), &["neighbours"]);
    assert!(code == 1 && err.contains("block 'neighbours' is off"), "{code} {err}");
}
