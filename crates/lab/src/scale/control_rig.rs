//! A configuration service as a process, with fronts of both kinds behind faulty links: the rig of what it costs.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::Command;
use std::time::{Duration, Instant};

use doorgrade_control::operator_client::OperatorClient;
use doorgrade_standins::links::{LinkConditions, Links};
use doorgrade_standins::process::Process;
use doorgrade_standins::versions::{Installation, SERVICE};
use doorgrade_versions::VersionId;
use doorgrade_versions::service::{Request, Response, Totals};
use serde_json::json;
use tokio::runtime::Runtime;

use super::hollow::Files;
use crate::rig::Front;

/// The service's name on the links.
pub const CONTROL: &str = "control";
/// Waves that wait for nothing but answers, so that a change each two seconds is not refused: what a change costs the
/// service is measured here, not how carefully it is tried.
const PUBLICATION: &str = "  soak_ms = 1\n  answer_within_ms = 60000\n  canaries = 2\n  shares = [1.0]\n  \
                           missing = 0.9\n  drop = 1.0\n  listen_ms = 1000";
/// For what is to come to be; more on a busy machine.
const WITHIN: Duration = Duration::from_secs(60);
/// How soon it is looked again.
const LOOK: Duration = Duration::from_millis(20);

type Fault = String;

fn fault(e: impl std::fmt::Display) -> Fault {
    e.to_string()
}

/// A version's content: so many caches below an archive, those of `draining` on their way out.
pub fn content(members: usize, draining: impl Fn(usize) -> bool) -> String {
    let mut text = "log { level = \"info\" }\nhierarchy { tier = 1 }\n".to_owned();
    text += "member \"s-000000ff\" {\n  incarnation = 1\n  number = 1\n  tier = 2\n  fills_from = []\n}\n";
    for n in 0..members {
        let standing = if draining(n) { "draining" } else { "in_service" };
        text += &format!(
            "member \"s-0001{n:04x}\" {{\n  incarnation = 1\n  number = 1\n  tier = 1\n  standing = \"{standing}\"\n  \
             fills_from = [\"s-000000ff\"]\n}}\n"
        );
    }
    text
}

/// The platform's configuration of a front that nobody asks anything.
fn config(name: &str, seed: u64, feed: SocketAddr) -> String {
    let row = |id: &str, place: &str, flavor: &str| {
        json!({"id": id, "host_port": "127.0.0.1:9", "locality": place, "flavor": flavor, "cell": 0,
            "phase": "in_service", "size": 1, "up_since_ms": 0})
    };
    let members = json!({"revision": 1, "complete": true,
        "members": [row("s-00000001", "here", "cache"), row("s-000000ff", "hub", "archive")]});
    let settings = json!({
        "zone": 0, "fleetSize": 20, "quantum": 2.0, "localities": ["here", "hub"],
        "machineTypes": ["cache", "trunk", "archive"], "registryMode": "automatic", "weightKind": "nominal",
        "limits": {"cancel": true, "connIdle": 15000.0, "connectTimeout": 400.0, "maxAttempts": 6, "secondCopies": true},
        "profiles": [{"name": "files", "aim": 500.0, "deadline": 1500.0, "worth": 1.0, "semantics": "free"}],
        "rules": {"cold": 1000.0, "fall": 500.0, "fallMultiple": 4.0, "startCapacity": 0.5},
        "specifics": {"crewByZone": [20, 20], "maxAge": [0.0], "notesGiven": "all", "passOn": [false],
            "purgeDone": 6000.0, "upperKind": 1, "rootKind": 2, "parentCold": 1000.0, "parentColdFrom": 0.5,
            "parentLimitFactor": 4.0, "sharesFills": true, "straight": true}
    });
    json!({"name": name, "listen": "127.0.0.1:0", "feed": feed.to_string(), "seed": format!("{seed:x}"),
        "known": {"n": 1, "events": [{"n": 1, "members": members}]}, "settings": settings,
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 256}})
    .to_string()
}

/// Writes the files of the `n`th front of a station, which follows `service` and hears `feed`; `more` of its settings.
pub fn files(
    place: &Installation,
    n: usize,
    station: &str,
    [service, feed]: [SocketAddr; 2],
    more: &str,
) -> Result<Files, Fault> {
    let settings = format!(
        "hierarchy {{\n  enabled = true\n  shape = \"shape.hcl\"\n}}\nversions {{\n  enabled = true\n  \
         service = [\"{service}\"]\n  server_name = \"{SERVICE}\"\n  station = \"{station}\"\n  \
         certificate = \"{station}.pem\"\n  key = \"{station}.key\"\n  authority = \"fronts-ca.pem\"\n  \
         seal_keys = \"seal-keys.hcl\"\n  store = \"front-{n}.redb\"\n}}\n{more}"
    );
    let name = format!("f{n}.{station}");
    let (settings_file, config_file) = (format!("front-{n}.hcl"), format!("front-{n}.json"));
    place.write(&settings_file, &settings).map_err(fault)?;
    place.write(&config_file, &config(&name, n as u64 + 1, feed)).map_err(fault)?;
    Ok(Files { config: place.file(&config_file), settings: place.file(&settings_file) })
}

/// A way there, whose way back takes as long.
pub fn one_way(round_trip_ms: u64) -> LinkConditions {
    LinkConditions { delay_ms: round_trip_ms / 2, ..LinkConditions::default() }
}

/// The service, and what stands between it and its fronts.
pub struct ControlRig {
    pub place: Installation,
    pub links: Links,
    program: PathBuf,
    /// Carries the streams; its threads are nobody's whose time is measured.
    relays: Runtime,
    service: Option<Process>,
    at: SocketAddr,
    operators: SocketAddr,
    regions: Vec<(String, SocketAddr)>,
}

impl ControlRig {
    /// Starts the service; `name` is of this rig's folder.
    pub fn start(name: &str, program: &Path, seed: u64) -> Result<ControlRig, Fault> {
        let place = Installation::new(name).map_err(fault)?;
        place.write("shape.hcl", "").map_err(fault)?;
        let relays = tokio::runtime::Builder::new_multi_thread()
            .worker_threads(1)
            .thread_name("relay")
            .enable_all()
            .build()
            .map_err(fault)?;
        let none = SocketAddr::from(([127, 0, 0, 1], 0));
        let mut rig = ControlRig {
            place,
            links: Links::new(seed),
            program: program.to_owned(),
            relays,
            service: None,
            at: none,
            operators: none,
            regions: Vec::new(),
        };
        rig.restart()?;
        Ok(rig)
    }

    /// Kills the service if it runs, and starts it at the same address, with what its store has.
    pub fn restart(&mut self) -> Result<(), Fault> {
        drop(self.service.take());
        let file = self
            .place
            .write_control_settings(&self.at.to_string(), "127.0.0.1:0", PUBLICATION)
            .map_err(fault)?;
        let process = Process::start(Command::new(&self.program).arg("control").arg("--file").arg(file));
        let process = process.map_err(fault)?;
        let line = process
            .wait_for_log("fronts at ", WITHIN)
            .ok_or_else(|| format!("the service does not start: {:?}", process.log_lines()))?;
        let address = |after: &str| {
            let rest = line.split_once(after).map_or("", |l| l.1);
            rest.split([',', ' ']).next().unwrap_or_default().parse::<SocketAddr>()
        };
        self.at = address("fronts at ").map_err(fault)?;
        self.operators = address("operators at ").map_err(fault)?;
        self.service = Some(process);
        Ok(())
    }

    /// The service's process.
    pub fn process(&self) -> u32 {
        self.service.as_ref().map_or(0, Process::id)
    }

    /// A region, with its station's certificate, from which fronts reach the service in this round trip.
    pub fn region(&mut self, name: &str, round_trip_ms: u64) -> Result<(), Fault> {
        self.place.issue(name, &self.place.fronts, &[&format!("*.{name}")], 30).map_err(fault)?;
        let at = self.links.tcp_proxy_on(self.relays.handle(), name, CONTROL, self.at).map_err(fault)?;
        self.heal(name, round_trip_ms);
        self.regions.push((name.to_owned(), at));
        Ok(())
    }

    /// Nothing passes between a region and the service.
    pub fn cut(&self, region: &str) {
        self.links.partition(&[region], &[CONTROL]);
    }

    pub fn heal(&self, region: &str, round_trip_ms: u64) {
        self.links.set(region, CONTROL, one_way(round_trip_ms));
        self.links.set(CONTROL, region, one_way(round_trip_ms));
    }

    /// Bytes between a region and the service, both ways, as the links counted them.
    pub fn bytes(&self, region: &str) -> usize {
        self.links.traffic(region, CONTROL).bytes + self.links.traffic(CONTROL, region).bytes
    }

    /// Of all regions.
    pub fn all_bytes(&self) -> usize {
        self.regions.iter().map(|(name, _)| self.bytes(name)).sum()
    }

    /// The files of the `n`th front, in a region; `more` of its settings.
    pub fn files(&self, n: usize, region: &str, feed: SocketAddr, more: &str) -> Result<Files, Fault> {
        let known = self.regions.iter().find(|r| r.0 == region);
        let service = known.ok_or_else(|| format!("no region {region}"))?.1;
        files(&self.place, n, region, [service, feed], more)
    }

    /// A real front with these files.
    pub fn front(&self, files: &Files) -> Result<Front, Fault> {
        Front::start(&self.program, &files.config, Some(&files.settings))
    }

    /// Asks the service as an operator.
    pub fn operator(&self) -> Result<Operator, Fault> {
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().map_err(fault)?;
        let asker = runtime.block_on(OperatorClient::connect_to(
            self.operators,
            SERVICE,
            &self.place.identity("person"),
        ))?;
        Ok(Operator { runtime, asker })
    }
}

/// An operator's connection.
pub struct Operator {
    runtime: Runtime,
    asker: OperatorClient,
}

impl Operator {
    pub fn totals(&mut self) -> Result<Totals, Fault> {
        match self.runtime.block_on(self.asker.request(&Request::Status))? {
            Response::Status(totals) => Ok(*totals),
            other => Err(format!("{other:?}")),
        }
    }

    /// Publishes as soon as the service takes it; how often it refused, since another was under way.
    pub fn publish(&mut self, content: &str) -> Result<(VersionId, usize), Fault> {
        let (begun, mut refused) = (Instant::now(), 0);
        loop {
            let expects = self.totals()?.last;
            let ask = Request::Publish {
                content: content.as_bytes().into(),
                note: "".into(),
                expected_last: expects,
            };
            match self.runtime.block_on(self.asker.request(&ask))? {
                Response::Published(id) => return Ok((id, refused)),
                Response::NotPublished(_) if begun.elapsed() < WITHIN => refused += 1,
                other => return Err(format!("not published: {other:?}")),
            }
            std::thread::sleep(LOOK);
        }
    }

    /// Waits until the service says so; how long that took.
    pub fn until(
        &mut self,
        what: &str,
        within: Duration,
        holds: impl Fn(&Totals) -> bool,
    ) -> Result<Duration, Fault> {
        let begun = Instant::now();
        loop {
            let totals = self.totals()?;
            if holds(&totals) {
                return Ok(begun.elapsed());
            }
            if begun.elapsed() > within {
                return Err(format!("{what} has not come in {} s: {totals:?}", within.as_secs()));
            }
            std::thread::sleep(LOOK);
        }
    }
}

/// Processor time of all threads that a process has now, in milliseconds, to the microsecond.
pub fn cpu_ms(process: u32) -> f64 {
    let tasks = std::fs::read_dir(format!("/proc/{process}/task")).into_iter().flatten().flatten();
    let of = |task: std::fs::DirEntry| {
        let text = std::fs::read_to_string(task.path().join("schedstat")).ok()?;
        text.split(' ').next()?.parse::<f64>().ok()
    };
    tasks.filter_map(of).sum::<f64>() / 1e6
}
