//! Checks the platform's requirements for `run` without its bench: the command from the deploy file is started as the
//! platform starts it, serves, is reloaded and stopped, while every system call is traced. Other modes of the program (agent,
//! service, other protocols) must not show here.
#![cfg(all(target_os = "linux", target_arch = "x86_64"))]

mod helper;
mod watch;

use std::os::unix::fs::symlink;
use std::path::{Path, PathBuf};
use std::process::Command;
use std::time::{Duration, Instant};

use doorgrade_standins::client::AccessRequest;
use doorgrade_standins::{Client, Directory, Feed, Member, MemberConfig, Role};
use helper::{signal, wait_until};
use watch::{Traced, trace};

/// Threads of a serving front, as docs/architecture.md states.
const THREADS: usize = 5;
/// Maximum processor time of an idle front, in hundredths of a second per second. An idle front takes one in 2 s; a thread
/// that spins takes 100, or its share of a busy machine.
const MAX_IDLE_HUNDREDTHS: u64 = 5;
/// Maximum system calls per second of an idle front. An idle front makes 94 (a sweep every quarter of a second, a feed
/// message every second); a thread that polls in a loop made 41,000 while traced.
const MAX_IDLE_CALLS: u64 = 1_000;
/// How long the front is left idle for that measurement.
const IDLE_PERIOD: Duration = Duration::from_secs(2);

fn repository() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../..").canonicalize().unwrap()
}

/// The command `run` in the deploy file.
fn run_line() -> String {
    let deploy = std::fs::read_to_string(repository().join("deploy/balancer.toml")).unwrap();
    let line =
        deploy.lines().find_map(|line| line.strip_prefix("run = \"")).expect("`run` in the deploy file");
    line.split('"').next().unwrap().to_owned()
}

/// A directory like the one that `build` leaves, with the program under test in it.
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

/// Violations of the limits on processor time and system calls of an idle process.
fn idle_violations(traced: &Traced) -> Vec<String> {
    let (ticks, calls) = traced.usage();
    let started_at = Instant::now();
    std::thread::sleep(IDLE_PERIOD);
    let seconds = started_at.elapsed().as_secs_f64();
    let (ticks, calls) = (traced.usage().0 - ticks, traced.usage().1 - calls);
    let mut violations = Vec::new();
    if ticks as f64 > MAX_IDLE_HUNDREDTHS as f64 * seconds {
        violations.push(format!("it takes processor time while idle: {ticks} hundredths in {seconds:.1} s"));
    }
    if calls as f64 > MAX_IDLE_CALLS as f64 * seconds {
        violations.push(format!("it makes {calls} system calls while idle, in {seconds:.1} s"));
    }
    violations
}

fn too_many_threads(traced: &Traced) -> Option<String> {
    let count = traced.observed.lock().unwrap().threads.max(traced.threads_now());
    (count > THREADS).then(|| format!("it has {count} threads, not {THREADS}"))
}

#[test]
fn run_is_one_process_with_one_listener_that_uses_no_forbidden_system_call() {
    let directory = Directory::default();
    let member = |id, role| Member::start(MemberConfig::new(id, "127.0.0.1:0", role), &directory).unwrap();
    let (one, two) = (member("s-00000001", Role::Cache), member("s-00000002", Role::Cache));
    let origin = member("s-00000020", Role::Archive);
    let (feed, new_feed) = (Feed::start("127.0.0.1:0").unwrap(), Feed::start("127.0.0.1:0").unwrap());
    let mut config = include_str!("../../../examples/config.json").to_owned();
    for (from, to) in
        [("9101", one.address), ("9102", two.address), ("9120", origin.address), ("9092", feed.address)]
    {
        config = config.replace(&format!("127.0.0.1:{from}"), &to.to_string());
    }
    let root = Root::new("standing", Path::new(env!("CARGO_BIN_EXE_doorgrade")));
    let path = root.0.join("config.json");
    std::fs::write(&path, &config).unwrap();
    let (traced, log) = trace(&run_line(), |command| {
        command.current_dir(&root.0).env_clear().env("PATH", std::env::var_os("PATH").unwrap_or_default());
        command.env("PROXY_CONFIG", &path).env("PROXY_NAME", "n3").env("PROXY_LISTEN", "127.0.0.1:0");
        command.env("TMPDIR", &root.0);
    });
    let (_lines, at) = helper::read_log(log);
    let mut client = Client::connect(at).unwrap();
    assert!(client.is_ready().unwrap());
    // Fills, hits, a write, an unknown class, a cache that is killed.
    for key in ["7f3a9c21e0b4d655", "7f3a9c21e0b4d656", "7f3a9c21e0b4d655"] {
        assert!(client.request("images", key, 2_000).unwrap().0.starts_with("Status: 200"));
    }
    let write = AccessRequest { class: "orders", key: "7f", bucket: 17, timeout_ms: 2_500, body: b"a write" };
    client.send_access(&AccessRequest { key: "7f3a9c21e0b4d655", ..write.clone() }).unwrap();
    assert!(client.receive().unwrap().0.starts_with("Status: 200"));
    assert!(client.request("unheard-of", "7f3a9c21e0b4d655", 2_000).unwrap().0.starts_with("Status: 404"));
    one.kill();
    wait_until("served by the other cache", || {
        client.request("images", "7f3a9c21e0b4d655", 2_000).unwrap().0.starts_with("Status: 200")
    });
    // A new configuration, loaded on SIGHUP.
    std::fs::write(&path, config.replace(&feed.address.to_string(), &new_feed.address.to_string())).unwrap();
    wait_until("the front subscribes to the new feed", || {
        signal(traced.pid, "-HUP");
        !new_feed.resume_numbers().is_empty()
    });
    assert!(client.request("images", "7f3a9c21e0b4d655", 2_000).unwrap().0.starts_with("Status: 200"));
    let mut violations = idle_violations(&traced);
    violations.extend(too_many_threads(&traced));
    let listens = traced.observed.lock().unwrap().listens;
    assert_eq!(listens, 1, "it listens on one address");
    // SIGTERM with an access in flight: it gets its response, and the program exits by itself.
    origin.gate().set_closed(true);
    client.send_access(&AccessRequest { key: "7f3a9c21e0b4d655", ..write }).unwrap();
    wait_until("the write waits at the origin", || origin.gate().waiting() == 1);
    signal(traced.pid, "-TERM");
    wait_until("it reports not ready", || {
        !Client::connect(at).and_then(|mut c| c.is_ready()).unwrap_or(false)
    });
    origin.gate().set_closed(false);
    assert!(client.receive().unwrap().0.starts_with("Status: 200"));
    assert_eq!(traced.wait_for_exit(), Some(0));
    violations.extend(traced.violations());
    assert_eq!(violations, [""; 0]);
}

#[test]
fn the_architecture_page_states_the_number_of_threads() {
    let page = std::fs::read_to_string(repository().join("docs/architecture.md")).unwrap();
    assert!(page.contains("There are five threads"), "THREADS in this test must match that page");
}

/// Not a test of its own: the process that `violations_of` starts, which commits the violation named in the environment.
#[test]
fn planted() {
    use std::net::{TcpListener, UdpSocket};
    let idle = || std::thread::sleep(Duration::from_secs(3));
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
            (0..5).for_each(|_| drop(std::thread::spawn(idle)));
            idle();
        }
        "spin" => {
            let started_at = Instant::now();
            while started_at.elapsed() < Duration::from_secs(4) {
                std::hint::spin_loop();
            }
        }
        "ask" => {
            let started_at = Instant::now();
            while started_at.elapsed() < Duration::from_secs(4) {
                std::thread::yield_now();
            }
        }
        "nothing" => idle(),
        _ => {}
    }
}

/// Runs this test program so that it commits one violation; the violations that the tracer reports.
fn violations_of(fault: &str) -> Vec<String> {
    let program = std::env::current_exe().unwrap();
    let root = Root::new(&fault.replace(' ', "-"), &program);
    let run = format!("{} planted --exact --test-threads=1", run_line());
    let (traced, _log) = trace(&run, |command| {
        command.current_dir(&root.0).env("DOORGRADE_PLANT", fault);
    });
    let mut violations = match fault {
        "spin" | "ask" | "nothing" | "threads" => {
            wait_until("the process runs", || traced.usage().1 > 20);
            // By then its start is over, and it waits or spins.
            std::thread::sleep(Duration::from_millis(300));
            let mut violations = idle_violations(&traced);
            violations.extend(too_many_threads(&traced));
            violations
        }
        _ => {
            traced.wait_for_exit();
            Vec::new()
        }
    };
    violations.extend(traced.violations());
    violations
}

#[test]
fn the_tracer_reports_each_violation() {
    assert_eq!(violations_of("nothing"), [""; 0]);
    for (fault, text) in [
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
        ("ask", "system calls"),
    ] {
        let violations = violations_of(fault);
        assert!(violations.iter().any(|violation| violation.contains(text)), "{fault}: {violations:?}");
    }
}

#[test]
fn the_tracer_reports_a_run_line_without_exec_and_a_statically_linked_program() {
    let root = Root::new("shell", Path::new("/bin/true"));
    let (traced, _log) = trace("target/release/doorgrade; :", |command| {
        command.current_dir(&root.0);
    });
    traced.wait_for_exit();
    assert!(
        traced.violations().contains(&"it starts another process".to_owned()),
        "{:?}",
        traced.violations()
    );

    let source = root.0.join("static.rs");
    std::fs::write(&source, "fn main() {}").unwrap();
    let program = root.0.join("static");
    let rustc = std::env::var_os("RUSTC").unwrap_or("rustc".into());
    let built = Command::new(rustc)
        .args(["-C", "target-feature=+crt-static", "-o"])
        .arg(&program)
        .arg(&source)
        .status();
    assert!(built.unwrap().success());
    let (traced, _log) = trace("exec ./static", |command| {
        command.current_dir(&root.0);
    });
    traced.wait_for_exit();
    assert_eq!(traced.violations(), ["it is not linked dynamically"]);
}
