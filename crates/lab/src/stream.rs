//! Measures the distribution of configuration versions over TLS on loopback, to real fronts as processes and to many more
//! stubs that only implement the client side of the service. In turn:
//!
//! 1. A first version with a hundred members, then one with a single changed line: how long until the last front has
//!    reported that it runs the version, and the bytes of the delta. The baseline is the size of the whole file.
//! 2. Faults: real fronts are killed at random moments of the next publications, under load, and started again. Measured
//!    are the versions that they start with.
//! 3. Fault: a version that every front accepts and that does harm, with fewer descriptors than the load needs. Measured is
//!    how many fronts it reached before the rollout stopped.
//!
//! The waves of the rollout are short here, so that a run ends soon. Fronts report their service every 5 s.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::time::{Duration, Instant};

use doorgrade_control::operator_client::OperatorClient;
use doorgrade_control::serve::Running;
use doorgrade_control::settings::Settings;
use doorgrade_standins::versions::{Installation, SERVICE, StubConfig, StubFront, keys};
use doorgrade_standins::{Client, Directory, Feed, Member, MemberConfig, Role};
use doorgrade_versions::VersionId;
use doorgrade_versions::service::{Filter, Request, Response, Totals};
use fastrand::Rng;
use serde_json::json;

use crate::rig::{self, Front};
use crate::{Figures, RunArgs};

const FRONTS: usize = 20;
const STATIONS: usize = 5;

/// The content of a version: a hierarchy of trunk caches below an archive. `standing` is that of the first trunk cache,
/// `extra` is added after the log and hierarchy settings.
fn content(members: usize, level: &str, standing: &str, extra: &str) -> String {
    let mut text = format!("log {{ level = \"{level}\" }}\nhierarchy {{ tier = 1 }}\n{extra}");
    text += "member \"s-000000ff\" {\n  incarnation = 1\n  number = 1\n  tier = 2\n  fills_from = []\n}\n";
    for n in 0..members {
        let standing = if n == 0 { standing } else { "in_service" };
        text += &format!(
            "member \"s-0001{n:04x}\" {{\n  incarnation = 1\n  number = 1\n  tier = 1\n  standing = \"{standing}\"\n  \
             fills_from = [\"s-000000ff\"]\n}}\n"
        );
    }
    text
}

/// The members behind the fronts, and the feed.
struct Site {
    cache: Member,
    archive: Member,
    feed: Feed,
}

impl Site {
    fn start() -> Result<Site, String> {
        let directory = Directory::default();
        let member = |id, role| {
            Member::start(MemberConfig::new(id, "127.0.0.1:0", role), &directory).map_err(|e| e.to_string())
        };
        let (cache, archive) = (member("s-00000001", Role::Cache)?, member("s-000000ff", Role::Archive)?);
        Ok(Site { cache, archive, feed: Feed::start("127.0.0.1:0").map_err(|e| e.to_string())? })
    }

    fn config(&self, name: &str, seed: u64) -> String {
        let member_json = |m: &Member, locality: &str, flavor: &str| {
            json!({"id": m.id, "host_port": m.address.to_string(), "locality": locality, "flavor": flavor, "cell": 0,
                "phase": "in_service", "size": 1, "up_since_ms": 0})
        };
        let members = json!({"revision": 1, "complete": true,
            "members": [member_json(&self.cache, "here", "cache"), member_json(&self.archive, "hub", "archive")]});
        let settings = json!({
            "zone": 0, "fleetSize": FRONTS, "quantum": 2.0, "localities": ["here", "hub"],
            "machineTypes": ["cache", "trunk", "archive"], "registryMode": "automatic", "weightKind": "nominal",
            "limits": {"cancel": true, "connIdle": 15000.0, "connectTimeout": 400.0, "maxAttempts": 6, "secondCopies": true},
            "profiles": [{"name": "files", "aim": 500.0, "deadline": 1500.0, "worth": 1.0, "semantics": "free"}],
            "rules": {"cold": 1000.0, "fall": 500.0, "fallMultiple": 4.0, "startCapacity": 0.5},
            "specifics": {"crewByZone": [FRONTS, FRONTS], "maxAge": [0.0], "notesGiven": "all", "passOn": [false],
                "purgeDone": 6000.0, "upperKind": 1, "rootKind": 2, "parentCold": 1000.0, "parentColdFrom": 0.5,
                "parentLimitFactor": 4.0, "sharesFills": true, "straight": true}
        });
        json!({"name": name, "listen": "127.0.0.1:0", "feed": self.feed.address.to_string(), "seed": format!("{seed:x}"),
            "known": {"n": 1, "events": [{"n": 1, "members": members}]}, "settings": settings,
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 256}})
        .to_string()
    }
}

/// Writes the settings of a front that gets its versions from the service at this address.
fn write_settings(files: &Installation, n: usize, service: &str) -> Result<PathBuf, String> {
    let station = format!("station{}", n % STATIONS);
    let text = format!(
        "hierarchy {{\n  enabled = true\n  shape = \"shape.hcl\"\n}}\nversions {{\n  enabled = true\n  \
         service = [\"{service}\"]\n  server_name = \"{SERVICE}\"\n  station = \"{station}\"\n  certificate = \"{station}.pem\"\n  \
         key = \"{station}.key\"\n  authority = \"fronts-ca.pem\"\n  seal_keys = \"seal-keys.hcl\"\n  store = \"front-{n}.redb\"\n}}\n"
    );
    let name = format!("front-{n}.hcl");
    files.write(&name, &text).map_err(|e| e.to_string())?;
    Ok(files.file(&name))
}

/// The configuration service.
struct ControlService {
    files: Installation,
    runtime: tokio::runtime::Runtime,
    running: Option<Running>,
    /// Where the service listens for fronts and for operators.
    fronts_address: SocketAddr,
    operators_address: SocketAddr,
}

impl ControlService {
    fn operator(&self) -> Result<OperatorClient, String> {
        self.runtime.block_on(OperatorClient::connect_to(
            self.operators_address,
            SERVICE,
            &self.files.identity("person"),
        ))
    }

    fn totals(&self, operator: &mut OperatorClient) -> Result<Totals, String> {
        match self.runtime.block_on(operator.request(&Request::Status))? {
            Response::Status(totals) => Ok(*totals),
            other => Err(format!("{other:?}")),
        }
    }

    fn wait_until(
        &self,
        operator: &mut OperatorClient,
        awaited: &str,
        condition: impl Fn(&Totals) -> bool,
    ) -> Result<Totals, String> {
        let started_at = Instant::now();
        loop {
            let totals = self.totals(operator)?;
            if condition(&totals) {
                return Ok(totals);
            }
            if started_at.elapsed() > Duration::from_secs(120) {
                return Err(format!("timed out after two minutes waiting for {awaited}: {totals:?}"));
            }
            std::thread::sleep(Duration::from_millis(10));
        }
    }

    fn publish(&self, operator: &mut OperatorClient, content: &str) -> Result<VersionId, String> {
        let expected_last = self.totals(operator)?.last;
        let request = Request::Publish { content: content.as_bytes().into(), note: "".into(), expected_last };
        match self.runtime.block_on(operator.request(&request))? {
            Response::Published(id) => Ok(id),
            other => Err(format!("{other:?}")),
        }
    }

    /// Restarts the service with other rollout settings. The old one ends first, since the store can only be open once.
    fn restart(&mut self, publication: &str) -> Result<(), String> {
        if let Some(running) = self.running.take() {
            self.runtime.block_on(running.stop());
        }
        let address = self.fronts_address.to_string();
        let file = self
            .files
            .write_control_settings(&address, "127.0.0.1:0", publication)
            .map_err(|e| e.to_string())?;
        let running = self.runtime.block_on(Running::start(Settings::load(&file)?))?;
        (self.fronts_address, self.operators_address) = (running.fronts, running.operators);
        self.running = Some(running);
        Ok(())
    }
}

fn quantile(sorted: &[f64], q: f64) -> f64 {
    sorted.get(((sorted.len() as f64 - 1.0) * q).round() as usize).copied().unwrap_or(f64::NAN)
}

/// Makes accesses at one front until `stop` is set; returns how many, and how many were lost.
fn start_load(
    address: SocketAddr,
    seed: u64,
    clients: usize,
    stop: Arc<std::sync::atomic::AtomicBool>,
) -> std::thread::JoinHandle<(u64, u64)> {
    use std::sync::atomic::Ordering::SeqCst;
    std::thread::spawn(move || {
        let (mut rng, mut accesses, mut lost) = (Rng::with_seed(seed), 0, 0);
        let mut connections: Vec<Option<Client>> = (0..clients).map(|_| None).collect();
        while !stop.load(SeqCst) {
            for connection in &mut connections {
                // A killed front refuses connections, which does not count; an access without a response is lost.
                let Some(open) = connection.take().or_else(|| Client::connect(address).ok()) else {
                    continue;
                };
                let mut client = open;
                let key = format!("{:016x}", rng.u64(1..200));
                accesses += 1;
                match client.request("files", &key, 1_500) {
                    Ok(_) => *connection = Some(client),
                    Err(_) => lost += 1,
                }
            }
            std::thread::sleep(Duration::from_millis(20));
        }
        (accesses, lost)
    })
}

pub fn run(run_args: &RunArgs, front: Option<PathBuf>, followers: Option<usize>) -> Result<Figures, String> {
    let program = rig::program(front)?;
    let stub_count = followers.unwrap_or(if run_args.quick { 100 } else { 300 });
    let io = |e: std::io::Error| e.to_string();
    let files = Installation::new("lab-config").map_err(io)?;
    files.write("shape.hcl", "").map_err(io)?;
    for n in 0..STATIONS {
        let station = format!("station{n}");
        files.issue(&station, &files.fronts, &[&format!("*.{station}")], 30).map_err(io)?;
    }
    let runtime = tokio::runtime::Builder::new_multi_thread().enable_all().build().map_err(io)?;
    let waves = "  soak_ms = 100\n  answer_within_ms = 10000\n  canaries = 2\n  missing = 0.5\n  drop = 1.0";
    let file = files.write_control_settings("127.0.0.1:0", "127.0.0.1:0", waves).map_err(io)?;
    let running = runtime.block_on(Running::start(Settings::load(&file)?))?;
    let (fronts_address, operators_address) = (running.fronts, running.operators);
    let mut control =
        ControlService { files, runtime, running: Some(running), fronts_address, operators_address };
    let service = fronts_address.to_string();

    let site = Site::start()?;
    let mut fronts: Vec<Option<Front>> = Vec::new();
    let start_front = |n: usize, control: &ControlService| -> Result<Front, String> {
        let name = format!("n{n}.station{}", n % STATIONS);
        let config = control.files.file(&format!("front-{n}.json"));
        std::fs::write(&config, site.config(&name, run_args.seed + n as u64)).map_err(io)?;
        Front::start(&program, &config, Some(&write_settings(&control.files, n, &service)?))
    };
    for n in 0..FRONTS {
        fronts.push(Some(start_front(n, &control)?));
    }
    let (started_at, mut figures) = (Instant::now(), Figures::default());
    let mut stubs: Vec<StubFront> = Vec::new();
    for n in 0..stub_count {
        let _entered = control.runtime.enter();
        let station = format!("station{}", n % STATIONS);
        let (name, identity) = (format!("p{n}.{station}"), control.files.identity(&station));
        let (service, keys, seed) =
            (fronts_address, keys(&[1]), run_args.seed.wrapping_add(1_000 + n as u64));
        let config = StubConfig { name: &name, station: &station, service, identity: &identity, keys, seed };
        stubs.push(StubFront::start(&config, Arc::new(|_: &VersionId, _: &[u8]| Ok(())))?);
    }
    let front_count = FRONTS + stub_count;
    let mut operator = control.operator()?;
    control.wait_until(&mut operator, "each front to connect", |t| t.connected as usize == front_count)?;
    figures.put_rounded("all_connected_s", started_at.elapsed().as_secs_f64());
    figures.put_rounded("mb_of_service_and_followers", rig::memory_mb(std::process::id())?);

    // 1. A whole file, and one changed line of it.
    let published_at = Instant::now();
    let first_text = content(100, "info", "in_service", "");
    let first = control.publish(&mut operator, &first_text)?;
    control.wait_until(&mut operator, "the first version everywhere", |t| {
        t.current as usize == front_count && t.base == Some(first)
    })?;
    figures.put("real_fronts", FRONTS);
    figures.put("followers", stub_count);
    figures.put("whole_bytes", first_text.len());
    figures.put_rounded("whole_everywhere_s", published_at.elapsed().as_secs_f64());
    let second_text = content(100, "info", "draining", "");
    let (published_ticks, published_at) = (doorgrade_stream::clock::now(), Instant::now());
    let second = control.publish(&mut operator, &second_text)?;
    control.wait_until(&mut operator, "the second version everywhere", |t| {
        t.current as usize == front_count && t.base == Some(second)
    })?;
    figures.put_rounded("line_everywhere_s", published_at.elapsed().as_secs_f64());
    let mut delays_s: Vec<f64> = stubs
        .iter()
        .filter_map(|p| {
            p.record
                .lock()
                .ok()?
                .applied
                .iter()
                .find(|r| r.0 == second)
                .map(|r| (r.1 - published_ticks) as f64 / 1e4)
        })
        .collect();
    delays_s.sort_by(f64::total_cmp);
    figures.put_rounded("line_in_use_median_s", quantile(&delays_s, 0.5));
    figures.put_rounded("line_in_use_p99_s", quantile(&delays_s, 0.99));
    let delta = doorgrade_versions::delta::between(first_text.as_bytes(), second_text.as_bytes());
    let delta = doorgrade_versions::message::Body::Delta(delta);
    let seal = doorgrade_versions::seal::Seal { key: 1, mac: [0; 32] };
    let whole = doorgrade_versions::message::Body::Full(second_text.as_bytes().into());
    let message_bytes = |body| {
        let message = doorgrade_versions::message::ToFront::Content { id: second, seal, body };
        doorgrade_stream::frame::encode_frame(&message).map_or(0, |f| f.len())
    };
    figures.put("line_bytes_sent", message_bytes(delta));
    figures.put("line_bytes_whole", message_bytes(whole));

    // 2. Half of the real fronts are killed at random moments of publications; the others are under load.
    let stop = Arc::new(std::sync::atomic::AtomicBool::new(false));
    let loads: Vec<_> = fronts
        .iter()
        .enumerate()
        .skip(FRONTS / 2)
        .filter_map(|(n, f)| Some(start_load(f.as_ref()?.address, run_args.seed + n as u64, 4, stop.clone())))
        .collect();
    let (rounds, mut starts, mut bad_starts) = (if run_args.quick { 3 } else { 10 }, 0, 0);
    let mut rng = Rng::with_seed(run_args.seed);
    let mut last = second;
    for round in 0..rounds {
        let text = content(100, if round % 2 == 0 { "debug" } else { "info" }, "in_service", "");
        let next = control.publish(&mut operator, &text)?;
        std::thread::sleep(Duration::from_millis(rng.u64(0..150)));
        for (n, front) in fronts.iter_mut().enumerate().take(FRONTS / 2) {
            // Killed, and started from its store. Its log must say that it starts with a published version.
            drop(front.take());
            let restarted = restart_front(&program, &control, n)?;
            starts += 1;
            let good_starts = [first, second, last, next].map(|id| format!("this start runs {id}"));
            let is_good = |line: &String| good_starts.iter().any(|text| line.contains(text.as_str()));
            bad_starts += usize::from(!restarted.log_lines().iter().any(is_good));
            *front = Some(restarted);
        }
        control.wait_until(&mut operator, "a version everywhere after the restarts", |t| {
            t.current as usize == front_count && t.base == Some(next)
        })?;
        last = next;
    }
    stop.store(true, std::sync::atomic::Ordering::SeqCst);
    let (accesses, lost) = loads
        .into_iter()
        .filter_map(|t| t.join().ok())
        .fold((0, 0), |sum, load| (sum.0 + load.0, sum.1 + load.1));
    figures.put("deaths", starts);
    figures.put("bad_starts", bad_starts);
    figures.put("accesses_meanwhile", accesses);
    figures.put("lost", lost);

    // Fronts that report another version than the last one, or that the service found to report falsely.
    let rows = control.runtime.block_on(operator.fronts(Filter::All))?;
    let false_reports = rows.iter().filter(|r| r.running != Some(last) || r.false_claim).count();
    figures.put("untrue_states", false_reports);
    let unaccepted: usize = stubs.iter().filter_map(|s| Some(s.record.lock().ok()?.unaccepted_applied)).sum();
    figures.put_rounded("on_good_version", if unaccepted == 0 && bad_starts == 0 { 1.0 } else { 0.0 });

    // 3. A harmful version.
    control.restart("  soak_ms = 30000\n  answer_within_ms = 10000\n  canaries = 2\n  drop = 0.03")?;
    let mut operator = control.operator()?;
    control.wait_until(&mut operator, "each front to reconnect", |t| t.connected as usize == front_count)?;
    let stop = Arc::new(std::sync::atomic::AtomicBool::new(false));
    let loads: Vec<_> = fronts
        .iter()
        .enumerate()
        .filter_map(|(n, f)| {
            Some(start_load(f.as_ref()?.address, run_args.seed + n as u64, 24, stop.clone()))
        })
        .collect();
    for stub in &stubs {
        stub.record.lock().map_err(|e| e.to_string())?.service_level = Some(1.0);
    }
    control.wait_until(&mut operator, "the totals", |_| true)?;
    std::thread::sleep(Duration::from_secs(11));
    let harmful = content(100, "info", "in_service", "limits { sockets = 32 }\n");
    let published_at = Instant::now();
    let bad = control.publish(&mut operator, &harmful)?;
    // Stubs serve no accesses: those that apply the harmful version report what a front without descriptors would.
    let stopped = loop {
        for stub in &stubs {
            let mut record = stub.record.lock().map_err(|e| e.to_string())?;
            if record.applied.last().is_some_and(|r| r.0 == bad) {
                record.service_level = Some(0.5);
            }
        }
        let totals = control.totals(&mut operator)?;
        let rollout = totals.publication.filter(|p| p.id == bad);
        match rollout {
            Some(p) if p.stopped.is_some() => break Some(p),
            None => break None,
            Some(_) if published_at.elapsed() > Duration::from_secs(120) => break None,
            Some(_) => std::thread::sleep(Duration::from_millis(100)),
        }
    };
    stop.store(true, std::sync::atomic::Ordering::SeqCst);
    loads.into_iter().for_each(|l| drop(l.join()));
    figures.put("harmful_stopped", stopped.is_some());
    figures.put(
        "harmful_why",
        stopped.as_ref().and_then(|p| p.stopped.as_ref()).map_or(String::new(), ToString::to_string),
    );
    figures.put("fronts_touched", stopped.as_ref().map_or(front_count, |p| p.offered));
    figures.put("first_wave", 2);
    figures.put_rounded("harmful_stopped_s", published_at.elapsed().as_secs_f64());
    Ok(figures)
}

fn restart_front(program: &Path, control: &ControlService, n: usize) -> Result<Front, String> {
    Front::start(
        program,
        &control.files.file(&format!("front-{n}.json")),
        Some(&control.files.file(&format!("front-{n}.hcl"))),
    )
}
