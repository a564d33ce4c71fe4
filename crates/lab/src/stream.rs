//! Versions streamed over TLS on loopback: real fronts as processes, each with a load of its own, and many more that
//! are only the side that follows the service. In turn:
//!
//! 1. A first version of a hundred members, then one of a single changed line: how long until the last front has said
//!    that it runs it, and what it cost on the wire beside the whole file.
//! 2. Real fronts killed at chosen moments of the next publication, and started again: what they start on.
//! 3. A version that every real front takes and that hurts: fewer descriptors than the load needs. How many fronts it
//!    came to before it stopped.
//!
//! The publication's own waves are short here, so that a run ends; what they say of harm is said in reports 5 s apart.

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

/// A hierarchy of so many trunk caches below an archive; `standing`: of the first of them.
fn content(members: usize, level: &str, standing: &str, rest: &str) -> String {
    let mut text = format!("log {{ level = \"{level}\" }}\nhierarchy {{ tier = 1 }}\n{rest}");
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
        let row = |m: &Member, place: &str, flavor: &str| {
            json!({"id": m.id, "host_port": m.address.to_string(), "locality": place, "flavor": flavor, "cell": 0,
                "phase": "in_service", "size": 1, "up_since_ms": 0})
        };
        let members = json!({"revision": 1, "complete": true,
            "members": [row(&self.cache, "here", "cache"), row(&self.archive, "hub", "archive")]});
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

/// A front's own settings: it follows the service at this address.
fn settings(place: &Installation, n: usize, service: &str) -> Result<PathBuf, String> {
    let station = format!("station{}", n % STATIONS);
    let text = format!(
        "hierarchy {{\n  enabled = true\n  shape = \"shape.hcl\"\n}}\nversions {{\n  enabled = true\n  \
         service = [\"{service}\"]\n  server_name = \"{SERVICE}\"\n  station = \"{station}\"\n  certificate = \"{station}.pem\"\n  \
         key = \"{station}.key\"\n  authority = \"fronts-ca.pem\"\n  seal_keys = \"seal-keys.hcl\"\n  store = \"front-{n}.redb\"\n}}\n"
    );
    let name = format!("front-{n}.hcl");
    place.write(&name, &text).map_err(|e| e.to_string())?;
    Ok(place.file(&name))
}

struct Lab {
    place: Installation,
    runtime: tokio::runtime::Runtime,
    running: Option<Running>,
    fronts_at: SocketAddr,
    operators_at: SocketAddr,
}

impl Lab {
    fn asker(&self) -> Result<OperatorClient, String> {
        self.runtime.block_on(OperatorClient::connect_to(
            self.operators_at,
            SERVICE,
            &self.place.identity("person"),
        ))
    }

    fn totals(&self, asker: &mut OperatorClient) -> Result<Totals, String> {
        match self.runtime.block_on(asker.request(&Request::Status))? {
            Response::Status(totals) => Ok(*totals),
            other => Err(format!("{other:?}")),
        }
    }

    fn until(
        &self,
        asker: &mut OperatorClient,
        what: &str,
        holds: impl Fn(&Totals) -> bool,
    ) -> Result<Totals, String> {
        let begun = Instant::now();
        loop {
            let totals = self.totals(asker)?;
            if holds(&totals) {
                return Ok(totals);
            }
            if begun.elapsed() > Duration::from_secs(120) {
                return Err(format!("{what} has not come in two minutes: {totals:?}"));
            }
            std::thread::sleep(Duration::from_millis(10));
        }
    }

    fn publish(&self, asker: &mut OperatorClient, content: &str) -> Result<VersionId, String> {
        let expects = self.totals(asker)?.last;
        let ask =
            Request::Publish { content: content.as_bytes().into(), note: "".into(), expected_last: expects };
        match self.runtime.block_on(asker.request(&ask))? {
            Response::Published(id) => Ok(id),
            other => Err(format!("{other:?}")),
        }
    }

    /// The service as it is, with other rules; the old one ends first: one process has the store at a time.
    fn restart(&mut self, publication: &str) -> Result<(), String> {
        if let Some(running) = self.running.take() {
            self.runtime.block_on(running.stop());
        }
        let at = self.fronts_at.to_string();
        let file =
            self.place.write_control_settings(&at, "127.0.0.1:0", publication).map_err(|e| e.to_string())?;
        let running = self.runtime.block_on(Running::start(Settings::load(&file)?))?;
        (self.fronts_at, self.operators_at) = (running.fronts, running.operators);
        self.running = Some(running);
        Ok(())
    }
}

fn quantile(sorted: &[f64], q: f64) -> f64 {
    sorted.get(((sorted.len() as f64 - 1.0) * q).round() as usize).copied().unwrap_or(f64::NAN)
}

/// Accesses asked of one front until told to stop; those lost.
fn load(
    at: SocketAddr,
    seed: u64,
    clients: usize,
    stop: Arc<std::sync::atomic::AtomicBool>,
) -> std::thread::JoinHandle<(u64, u64)> {
    use std::sync::atomic::Ordering::SeqCst;
    std::thread::spawn(move || {
        let (mut rng, mut asked, mut lost) = (Rng::with_seed(seed), 0, 0);
        let mut open: Vec<Option<Client>> = (0..clients).map(|_| None).collect();
        while !stop.load(SeqCst) {
            for client in &mut open {
                // A front that was killed is not asked; one that takes a connection owes an answer.
                let Some(own) = client.take().or_else(|| Client::connect(at).ok()) else { continue };
                let mut own = own;
                let key = format!("{:016x}", rng.u64(1..200));
                asked += 1;
                match own.request("files", &key, 1_500) {
                    Ok(_) => *client = Some(own),
                    Err(_) => lost += 1,
                }
            }
            std::thread::sleep(Duration::from_millis(20));
        }
        (asked, lost)
    })
}

pub fn run(how: &RunArgs, named: Option<PathBuf>, followers: Option<usize>) -> Result<Figures, String> {
    let program = rig::program(named)?;
    let puppets = followers.unwrap_or(if how.quick { 100 } else { 300 });
    let io = |e: std::io::Error| e.to_string();
    let place = Installation::new("lab-config").map_err(io)?;
    place.write("shape.hcl", "").map_err(io)?;
    for n in 0..STATIONS {
        let station = format!("station{n}");
        place.issue(&station, &place.fronts, &[&format!("*.{station}")], 30).map_err(io)?;
    }
    let runtime = tokio::runtime::Builder::new_multi_thread().enable_all().build().map_err(io)?;
    let quick = "  soak_ms = 100\n  answer_within_ms = 10000\n  canaries = 2\n  missing = 0.5\n  drop = 1.0";
    let file = place.write_control_settings("127.0.0.1:0", "127.0.0.1:0", quick).map_err(io)?;
    let running = runtime.block_on(Running::start(Settings::load(&file)?))?;
    let (fronts_at, operators_at) = (running.fronts, running.operators);
    let mut lab = Lab { place, runtime, running: Some(running), fronts_at, operators_at };
    let service = fronts_at.to_string();

    let site = Site::start()?;
    let mut fronts: Vec<Option<Front>> = Vec::new();
    let start = |n: usize, lab: &Lab| -> Result<Front, String> {
        let name = format!("n{n}.station{}", n % STATIONS);
        let config = lab.place.file(&format!("front-{n}.json"));
        std::fs::write(&config, site.config(&name, how.seed + n as u64)).map_err(io)?;
        Front::start(&program, &config, Some(&settings(&lab.place, n, &service)?))
    };
    for n in 0..FRONTS {
        fronts.push(Some(start(n, &lab)?));
    }
    let (begun, mut figures) = (Instant::now(), Figures::default());
    let mut others: Vec<StubFront> = Vec::new();
    for n in 0..puppets {
        let _here = lab.runtime.enter();
        let station = format!("station{}", n % STATIONS);
        let (name, papers) = (format!("p{n}.{station}"), lab.place.identity(&station));
        let (service, keys, seed) = (fronts_at, keys(&[1]), how.seed.wrapping_add(1_000 + n as u64));
        let who = StubConfig { name: &name, station: &station, service, identity: &papers, keys, seed };
        others.push(StubFront::start(&who, Arc::new(|_: &VersionId, _: &[u8]| Ok(())))?);
    }
    let all = FRONTS + puppets;
    let mut asker = lab.asker()?;
    lab.until(&mut asker, "each front", |t| t.connected as usize == all)?;
    figures.put_rounded("all_connected_s", begun.elapsed().as_secs_f64());
    figures.put_rounded("mb_of_service_and_followers", rig::memory_mb(std::process::id())?);

    // 1. The whole, and one line of it.
    let begun = Instant::now();
    let first_text = content(100, "info", "in_service", "");
    let first = lab.publish(&mut asker, &first_text)?;
    lab.until(&mut asker, "the first version", |t| t.current as usize == all && t.base == Some(first))?;
    figures.put("real_fronts", FRONTS);
    figures.put("followers", puppets);
    figures.put("whole_bytes", first_text.len());
    figures.put_rounded("whole_everywhere_s", begun.elapsed().as_secs_f64());
    let second_text = content(100, "info", "draining", "");
    let (at, begun) = (doorgrade_stream::clock::now(), Instant::now());
    let second = lab.publish(&mut asker, &second_text)?;
    lab.until(&mut asker, "the second version", |t| t.current as usize == all && t.base == Some(second))?;
    figures.put_rounded("line_everywhere_s", begun.elapsed().as_secs_f64());
    let mut took: Vec<f64> = others
        .iter()
        .filter_map(|p| {
            p.record.lock().ok()?.applied.iter().find(|r| r.0 == second).map(|r| (r.1 - at) as f64 / 1e4)
        })
        .collect();
    took.sort_by(f64::total_cmp);
    figures.put_rounded("line_in_use_median_s", quantile(&took, 0.5));
    figures.put_rounded("line_in_use_p99_s", quantile(&took, 0.99));
    let delta = doorgrade_versions::delta::between(first_text.as_bytes(), second_text.as_bytes());
    let body = doorgrade_versions::message::Body::Delta(delta);
    let seal = doorgrade_versions::seal::Seal { key: 1, mac: [0; 32] };
    let whole = doorgrade_versions::message::Body::Full(second_text.as_bytes().into());
    let bytes = |body| {
        let message = doorgrade_versions::message::ToFront::Content { id: second, seal, body };
        doorgrade_stream::frame::encode_frame(&message).map_or(0, |f| f.len())
    };
    figures.put("line_bytes_sent", bytes(body));
    figures.put("line_bytes_whole", bytes(whole));

    // 2. Deaths at chosen moments of a publication, under load.
    let stop = Arc::new(std::sync::atomic::AtomicBool::new(false));
    let calm: Vec<_> = fronts
        .iter()
        .enumerate()
        .skip(FRONTS / 2)
        .filter_map(|(n, f)| Some(load(f.as_ref()?.at, how.seed + n as u64, 4, stop.clone())))
        .collect();
    let (rounds, mut starts, mut bad_starts) = (if how.quick { 3 } else { 10 }, 0, 0);
    let mut rng = Rng::with_seed(how.seed);
    let mut last = second;
    for round in 0..rounds {
        let text = content(100, if round % 2 == 0 { "debug" } else { "info" }, "in_service", "");
        let next = lab.publish(&mut asker, &text)?;
        std::thread::sleep(Duration::from_millis(rng.u64(0..150)));
        for (n, front) in fronts.iter_mut().enumerate().take(FRONTS / 2) {
            // Killed, and started from what its store has; the line that says what this start runs is looked for.
            drop(front.take());
            let again = start_again(&program, &lab, n)?;
            starts += 1;
            let known = [first, second, last, next].map(|id| format!("this start runs {id}"));
            let good = |line: &String| known.iter().any(|known| line.contains(known.as_str()));
            bad_starts += usize::from(!again.lines().iter().any(good));
            *front = Some(again);
        }
        lab.until(&mut asker, "a version after deaths", |t| {
            t.current as usize == all && t.base == Some(next)
        })?;
        last = next;
    }
    stop.store(true, std::sync::atomic::Ordering::SeqCst);
    let (asked, lost) =
        calm.into_iter().filter_map(|t| t.join().ok()).fold((0, 0), |s, l| (s.0 + l.0, s.1 + l.1));
    figures.put("deaths", starts);
    figures.put("bad_starts", bad_starts);
    figures.put("accesses_meanwhile", asked);
    figures.put("lost", lost);

    // What each front says it runs, against what its own log says.
    let rows = lab.runtime.block_on(asker.fronts(Filter::All))?;
    let untrue = rows.iter().filter(|r| r.running != Some(last) || r.false_claim).count();
    figures.put("untrue_states", untrue);
    let bad: usize = others.iter().filter_map(|p| Some(p.record.lock().ok()?.bad_in_use)).sum();
    figures.put_rounded("on_good_version", if bad == 0 && bad_starts == 0 { 1.0 } else { 0.0 });

    // 3. One that hurts.
    lab.restart("  soak_ms = 30000\n  answer_within_ms = 10000\n  canaries = 2\n  drop = 0.03")?;
    let mut asker = lab.asker()?;
    lab.until(&mut asker, "each front again", |t| t.connected as usize == all)?;
    let stop = Arc::new(std::sync::atomic::AtomicBool::new(false));
    let loads: Vec<_> = fronts
        .iter()
        .enumerate()
        .filter_map(|(n, f)| Some(load(f.as_ref()?.at, how.seed + n as u64, 24, stop.clone())))
        .collect();
    for puppet in &others {
        puppet.record.lock().map_err(|e| e.to_string())?.serves = Some(1.0);
    }
    lab.until(&mut asker, "word of how they serve", |_| true)?;
    std::thread::sleep(Duration::from_secs(11));
    let harmful = content(100, "info", "in_service", "limits { sockets = 32 }\n");
    let begun = Instant::now();
    let bad = lab.publish(&mut asker, &harmful)?;
    // Followers have no accesses of their own: those that run it say what a front without descriptors would.
    let stopped = loop {
        for puppet in &others {
            let mut record = puppet.record.lock().map_err(|e| e.to_string())?;
            if record.applied.last().is_some_and(|r| r.0 == bad) {
                record.serves = Some(0.5);
            }
        }
        let totals = lab.totals(&mut asker)?;
        let own = totals.publication.filter(|p| p.id == bad);
        match own {
            Some(p) if p.stopped.is_some() => break Some(p),
            None => break None,
            Some(_) if begun.elapsed() > Duration::from_secs(120) => break None,
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
    figures.put("fronts_touched", stopped.as_ref().map_or(all, |p| p.offered));
    figures.put("first_wave", 2);
    figures.put_rounded("harmful_stopped_s", begun.elapsed().as_secs_f64());
    Ok(figures)
}

fn start_again(program: &Path, lab: &Lab, n: usize) -> Result<Front, String> {
    Front::start(
        program,
        &lab.place.file(&format!("front-{n}.json")),
        Some(&lab.place.file(&format!("front-{n}.hcl"))),
    )
}
