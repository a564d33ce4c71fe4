//! What the platform asks of `run`, held without its bench: the very command of the deploy file is started as the
//! platform starts it, serves, is reloaded and ended, and each system call meanwhile is looked at. Whatever else the
//! program learns to do (agents, services, other protocols) is not to show here.
#![cfg(all(target_os = "linux", target_arch = "x86_64"))]

mod helper;
mod watch;

use std::os::unix::fs::symlink;
use std::path::{Path, PathBuf};
use std::process::Command;
use std::time::{Duration, Instant};

use doorgrade_standins::client::AccessRequest;
use doorgrade_standins::{Client, Directory, Feed, Member, MemberConfig, Role};
use helper::{signal, until};
use watch::{Watched, watch};

/// Threads of a front that serves, as docs/architecture.md says.
const THREADS: usize = 5;
/// Idle processor time that passes, in hundredths of a second for each second: a front with nothing to do took one
/// in 2 s when this was written, a thread that spins takes 100, or its share of a busy machine.
const IDLE_HUNDREDTHS: u64 = 5;
/// Idle system calls a second that pass: 94 when this was written (the sweep each quarter of a second, the feed's word
/// each second); a thread that asks again and again made 41,000, each of them stopped by the watch.
const IDLE_CALLS: u64 = 1_000;
/// How long nothing comes while that is measured.
const QUIET: Duration = Duration::from_secs(2);

fn repository() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../..").canonicalize().unwrap()
}

/// The command of `run` as it stands in the deploy file.
fn run_line() -> String {
    let deploy = std::fs::read_to_string(repository().join("deploy/balancer.toml")).unwrap();
    let line =
        deploy.lines().find_map(|line| line.strip_prefix("run = \"")).expect("`run` in the deploy file");
    line.split('"').next().unwrap().to_owned()
}

/// A root as `build` leaves it, with the program of this test run in its place.
struct Root(PathBuf);

impl Root {
    fn new(name: &str, program: &Path) -> Root {
        let root = std::env::temp_dir().join(format!("doorgrade-{}-{name}", std::process::id()));
        let _ = std::fs::remove_dir_all(&root);
        std::fs::create_dir_all(root.join("target/release")).unwrap();
        symlink(program, root.join("target/release/doorgrade")).unwrap();
        symlink(repository().join("deploy"), root.join("deploy")).unwrap();
        Root(root)
    }
}

impl Drop for Root {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

/// What it takes while nothing comes; a fault where that is more than waiting takes.
fn quiet(watched: &Watched) -> Vec<String> {
    let (ticks, calls) = watched.spent();
    let begun = Instant::now();
    std::thread::sleep(QUIET);
    let seconds = begun.elapsed().as_secs_f64();
    let (ticks, calls) = (watched.spent().0 - ticks, watched.spent().1 - calls);
    let mut faults = Vec::new();
    if ticks as f64 > IDLE_HUNDREDTHS as f64 * seconds {
        faults.push(format!(
            "it takes processor time while nothing comes: {ticks} hundredths in {seconds:.1} s"
        ));
    }
    if calls as f64 > IDLE_CALLS as f64 * seconds {
        faults.push(format!("it asks the system {calls} times while nothing comes, in {seconds:.1} s"));
    }
    faults
}

fn too_many_threads(watched: &Watched) -> Option<String> {
    let count = watched.seen.lock().unwrap().threads.max(watched.threads_now());
    (count > THREADS).then(|| format!("it has {count} threads, not {THREADS}"))
}

#[test]
fn run_is_one_process_that_only_listens_serves_and_waits() {
    let directory = Directory::default();
    let member = |id, role| Member::start(MemberConfig::new(id, "127.0.0.1:0", role), &directory).unwrap();
    let (one, two) = (member("s-00000001", Role::Cache), member("s-00000002", Role::Cache));
    let origin = member("s-00000020", Role::Archive);
    let (feed, later) = (Feed::start("127.0.0.1:0").unwrap(), Feed::start("127.0.0.1:0").unwrap());
    let mut config = include_str!("../../../examples/config.json").to_owned();
    for (from, to) in
        [("9101", one.address), ("9102", two.address), ("9120", origin.address), ("9092", feed.address)]
    {
        config = config.replace(&format!("127.0.0.1:{from}"), &to.to_string());
    }
    let root = Root::new("standing", Path::new(env!("CARGO_BIN_EXE_doorgrade")));
    let path = root.0.join("config.json");
    std::fs::write(&path, &config).unwrap();
    let (watched, log) = watch(&run_line(), |command| {
        command.current_dir(&root.0).env_clear().env("PATH", std::env::var_os("PATH").unwrap_or_default());
        command.env("PROXY_CONFIG", &path).env("PROXY_NAME", "n3").env("PROXY_LISTEN", "127.0.0.1:0");
        command.env("TMPDIR", &root.0);
    });
    let (_lines, at) = helper::follow(log);
    let mut client = Client::connect(at).unwrap();
    assert!(client.is_ready().unwrap());
    // Fills, hits, a write, a class that does not exist, a cache that dies.
    for key in ["7f3a9c21e0b4d655", "7f3a9c21e0b4d656", "7f3a9c21e0b4d655"] {
        assert!(client.request("images", key, 2_000).unwrap().0.starts_with("Status: 200"));
    }
    let write = AccessRequest { class: "orders", key: "7f", bucket: 17, timeout_ms: 2_500, body: b"a write" };
    client.send_access(&AccessRequest { key: "7f3a9c21e0b4d655", ..write.clone() }).unwrap();
    assert!(client.receive().unwrap().0.starts_with("Status: 200"));
    assert!(client.request("unheard-of", "7f3a9c21e0b4d655", 2_000).unwrap().0.starts_with("Status: 404"));
    one.kill();
    until("served by the other cache", || {
        client.request("images", "7f3a9c21e0b4d655", 2_000).unwrap().0.starts_with("Status: 200")
    });
    // A new configuration under SIGHUP.
    std::fs::write(&path, config.replace(&feed.address.to_string(), &later.address.to_string())).unwrap();
    until("the new feed is followed", || {
        signal(watched.pid, "-HUP");
        !later.resume_numbers().is_empty()
    });
    assert!(client.request("images", "7f3a9c21e0b4d655", 2_000).unwrap().0.starts_with("Status: 200"));
    let mut faults = quiet(&watched);
    faults.extend(too_many_threads(&watched));
    let listens = watched.seen.lock().unwrap().listens;
    assert_eq!(listens, 1, "it listens on its one address");
    // SIGTERM with an access in hand: it is answered, and the program ends by itself.
    origin.gate().set_closed(true);
    client.send_access(&AccessRequest { key: "7f3a9c21e0b4d655", ..write }).unwrap();
    until("the write waits at the origin", || origin.gate().waiting() == 1);
    signal(watched.pid, "-TERM");
    until("it says that it is leaving", || {
        !Client::connect(at).and_then(|mut late| late.is_ready()).unwrap_or(false)
    });
    origin.gate().set_closed(false);
    assert!(client.receive().unwrap().0.starts_with("Status: 200"));
    assert_eq!(watched.end(), Some(0));
    faults.extend(watched.faults());
    assert_eq!(faults, [""; 0]);
}

#[test]
fn the_architecture_page_says_how_many_threads_there_are() {
    let page = std::fs::read_to_string(repository().join("docs/architecture.md")).unwrap();
    assert!(page.contains("There are five threads"), "THREADS of this test follows that page");
}

/// Not a test but what the planted faults below run: this file's own program, told what to do wrong.
#[test]
fn planted() {
    use std::net::{TcpListener, UdpSocket};
    let wait = || std::thread::sleep(Duration::from_secs(3));
    match std::env::var("DOORGRADE_PLANT").unwrap_or_default().as_str() {
        "child" => drop(Command::new("true").status()),
        "second listener" => drop((TcpListener::bind("127.0.0.1:0"), TcpListener::bind("127.0.0.1:0"))),
        "datagrams" => drop(UdpSocket::bind("127.0.0.1:0")),
        "ipv6" => drop(TcpListener::bind("[::1]:0")),
        "unix" => drop(std::os::unix::net::UnixStream::pair()),
        "io_uring" => drop(io_uring::IoUring::new(2)),
        "sendfile" => {
            let file = std::fs::File::open("/dev/zero").unwrap();
            let _ = nix::sys::sendfile::sendfile(&file, &file, None, 1);
        }
        "splice" => {
            let (from, to) = std::io::pipe().unwrap();
            let flags = nix::fcntl::SpliceFFlags::SPLICE_F_NONBLOCK;
            let _ = nix::fcntl::splice(from, None, to, None, 1, flags);
        }
        "threads" => {
            (0..5).for_each(|_| drop(std::thread::spawn(wait)));
            wait();
        }
        "spin" => {
            let begun = Instant::now();
            while begun.elapsed() < Duration::from_secs(4) {
                std::hint::spin_loop();
            }
        }
        "ask" => {
            let begun = Instant::now();
            while begun.elapsed() < Duration::from_secs(4) {
                std::thread::yield_now();
            }
        }
        "nothing" => wait(),
        _ => {}
    }
}

/// The faults found in this file's own program, told to do one thing wrong.
fn plant(what: &str) -> Vec<String> {
    let program = std::env::current_exe().unwrap();
    let root = Root::new(&what.replace(' ', "-"), &program);
    let run = format!("{} planted --exact --test-threads=1", run_line());
    let (watched, _log) = watch(&run, |command| {
        command.current_dir(&root.0).env("DOORGRADE_PLANT", what);
    });
    let mut faults = match what {
        "spin" | "ask" | "nothing" | "threads" => {
            until("it runs", || watched.spent().1 > 20);
            // Its own start is over once it waits or spins.
            std::thread::sleep(Duration::from_millis(300));
            let mut faults = quiet(&watched);
            faults.extend(too_many_threads(&watched));
            faults
        }
        _ => {
            watched.end();
            Vec::new()
        }
    };
    faults.extend(watched.faults());
    faults
}

#[test]
fn the_guard_finds_each_fault_that_is_planted() {
    assert_eq!(plant("nothing"), [""; 0]);
    for (what, word) in [
        ("child", "another process"),
        ("child", "another program"),
        ("second listener", "more than once"),
        ("datagrams", "datagram"),
        ("ipv6", "family 10"),
        ("unix", "Unix socket"),
        ("io_uring", "io_uring"),
        ("sendfile", "sendfile"),
        ("splice", "splice"),
        ("threads", "threads"),
        ("spin", "processor time"),
        ("ask", "asks the system"),
    ] {
        let faults = plant(what);
        assert!(faults.iter().any(|fault| fault.contains(word)), "{what}: {faults:?}");
    }
}

#[test]
fn the_guard_finds_a_run_line_without_exec_and_a_program_linked_statically() {
    let root = Root::new("shell", Path::new("/bin/true"));
    let (watched, _log) = watch("target/release/doorgrade; :", |command| {
        command.current_dir(&root.0);
    });
    watched.end();
    assert!(watched.faults().contains(&"it starts another process".to_owned()), "{:?}", watched.faults());

    let source = root.0.join("alone.rs");
    std::fs::write(&source, "fn main() {}").unwrap();
    let alone = root.0.join("alone");
    let rustc = std::env::var_os("RUSTC").unwrap_or("rustc".into());
    let built = Command::new(rustc)
        .args(["-C", "target-feature=+crt-static", "-o"])
        .arg(&alone)
        .arg(&source)
        .status();
    assert!(built.unwrap().success());
    let (watched, _log) = watch("exec ./alone", |command| {
        command.current_dir(&root.0);
    });
    watched.end();
    assert_eq!(watched.faults(), ["it is not linked dynamically"]);
}
