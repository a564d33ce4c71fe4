//! Test rig: a configuration service as a process, and links with delays and partitions between it and its fronts, real ones
//! and control-only ones.

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

use super::control_only::FrontFiles;
use crate::rig::Front;

/// The service's name on the links.
pub const CONTROL: &str = "control";
/// Waves that wait only for the fronts' responses, so that a change every two seconds is not rejected because another one is
/// under way. The cost of a change is measured, not how carefully it is rolled out.
const PUBLICATION: &str = "  soak_ms = 1\n  answer_within_ms = 60000\n  canaries = 2\n  shares = [1.0]\n  \
                           missing = 0.9\n  drop = 1.0\n  listen_ms = 1000";
/// Timeout of each wait, long enough for a busy machine.
const TIMEOUT: Duration = Duration::from_secs(60);
const POLL_INTERVAL: Duration = Duration::from_millis(20);

type RigError = String;

fn to_error(e: impl std::fmt::Display) -> RigError {
    e.to_string()
}

/// A version's content: a number of caches below an archive. Those selected by `draining` are draining.
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

/// The platform's configuration of a front without clients.
fn config(name: &str, seed: u64, feed: SocketAddr) -> String {
    let row = |id: &str, locality: &str, flavor: &str| {
        json!({"id": id, "host_port": "127.0.0.1:9", "locality": locality, "flavor": flavor, "cell": 0,
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

/// Writes the files of the `n`th front, at a station, which follows `service` and reads `feed`. `more_settings` is appended
/// to its settings.
pub fn write_front_files(
    installation: &Installation,
    n: usize,
    station: &str,
    [service, feed]: [SocketAddr; 2],
    more_settings: &str,
) -> Result<FrontFiles, RigError> {
    let settings = format!(
        "hierarchy {{\n  enabled = true\n  shape = \"shape.hcl\"\n}}\nversions {{\n  enabled = true\n  \
         service = [\"{service}\"]\n  server_name = \"{SERVICE}\"\n  station = \"{station}\"\n  \
         certificate = \"{station}.pem\"\n  key = \"{station}.key\"\n  authority = \"fronts-ca.pem\"\n  \
         seal_keys = \"seal-keys.hcl\"\n  store = \"front-{n}.redb\"\n}}\n{more_settings}"
    );
    let name = format!("f{n}.{station}");
    let (settings_file, config_file) = (format!("front-{n}.hcl"), format!("front-{n}.json"));
    installation.write(&settings_file, &settings).map_err(to_error)?;
    installation.write(&config_file, &config(&name, n as u64 + 1, feed)).map_err(to_error)?;
    Ok(FrontFiles { config: installation.file(&config_file), settings: installation.file(&settings_file) })
}

/// The conditions of one direction of a link: half of the round trip as its delay.
pub fn one_way_conditions(round_trip_ms: u64) -> LinkConditions {
    LinkConditions { delay_ms: round_trip_ms / 2, ..LinkConditions::default() }
}

/// The service and the links to its fronts.
pub struct ControlRig {
    pub installation: Installation,
    pub links: Links,
    program: PathBuf,
    /// Runs the proxies of the links, apart from the threads whose processor time is measured.
    proxies: Runtime,
    service: Option<Process>,
    fronts_address: SocketAddr,
    operators_address: SocketAddr,
    /// Names of the regions, with the addresses at which their fronts reach the service.
    regions: Vec<(String, SocketAddr)>,
}

impl ControlRig {
    /// Starts the service. `name` is that of the rig's folder.
    pub fn start(name: &str, program: &Path, seed: u64) -> Result<ControlRig, RigError> {
        let installation = Installation::new(name).map_err(to_error)?;
        installation.write("shape.hcl", "").map_err(to_error)?;
        let proxies = tokio::runtime::Builder::new_multi_thread()
            .worker_threads(1)
            .thread_name("relay")
            .enable_all()
            .build()
            .map_err(to_error)?;
        let none = SocketAddr::from(([127, 0, 0, 1], 0));
        let mut rig = ControlRig {
            installation,
            links: Links::new(seed),
            program: program.to_owned(),
            proxies,
            service: None,
            fronts_address: none,
            operators_address: none,
            regions: Vec::new(),
        };
        rig.restart()?;
        Ok(rig)
    }

    /// Kills the service if it runs, and starts it again with the same address and store.
    pub fn restart(&mut self) -> Result<(), RigError> {
        drop(self.service.take());
        let file = self
            .installation
            .write_control_settings(&self.fronts_address.to_string(), "127.0.0.1:0", PUBLICATION)
            .map_err(to_error)?;
        let process = Process::start(Command::new(&self.program).arg("control").arg("--file").arg(file));
        let process = process.map_err(to_error)?;
        let line = process
            .wait_for_log("fronts at ", TIMEOUT)
            .ok_or_else(|| format!("the service does not start; its log: {:?}", process.log_lines()))?;
        let address = |after: &str| {
            let rest = line.split_once(after).map_or("", |l| l.1);
            rest.split([',', ' ']).next().unwrap_or_default().parse::<SocketAddr>()
        };
        self.fronts_address = address("fronts at ").map_err(to_error)?;
        self.operators_address = address("operators at ").map_err(to_error)?;
        self.service = Some(process);
        Ok(())
    }

    /// The id of the service's process.
    pub fn process_id(&self) -> u32 {
        self.service.as_ref().map_or(0, Process::id)
    }

    /// Adds a region: a station with its certificate, and a link to the service with this round trip.
    pub fn add_region(&mut self, name: &str, round_trip_ms: u64) -> Result<(), RigError> {
        self.installation
            .issue(name, &self.installation.fronts, &[&format!("*.{name}")], 30)
            .map_err(to_error)?;
        let address = self
            .links
            .tcp_proxy_on(self.proxies.handle(), name, CONTROL, self.fronts_address)
            .map_err(to_error)?;
        self.heal(name, round_trip_ms);
        self.regions.push((name.to_owned(), address));
        Ok(())
    }

    /// Drops everything between a region and the service.
    pub fn partition(&self, region: &str) {
        self.links.partition(&[region], &[CONTROL]);
    }

    /// Sets the link of a region to this round trip, without a partition.
    pub fn heal(&self, region: &str, round_trip_ms: u64) {
        self.links.set(region, CONTROL, one_way_conditions(round_trip_ms));
        self.links.set(CONTROL, region, one_way_conditions(round_trip_ms));
    }

    /// Bytes between a region and the service in both directions, as counted by the links.
    pub fn region_bytes(&self, region: &str) -> usize {
        self.links.traffic(region, CONTROL).bytes + self.links.traffic(CONTROL, region).bytes
    }

    /// Bytes between all regions and the service.
    pub fn total_bytes(&self) -> usize {
        self.regions.iter().map(|(name, _)| self.region_bytes(name)).sum()
    }

    /// Writes the files of the `n`th front, in a region. `more_settings` is appended to its settings.
    pub fn write_front_files(
        &self,
        n: usize,
        region: &str,
        feed: SocketAddr,
        more_settings: &str,
    ) -> Result<FrontFiles, RigError> {
        let entry = self.regions.iter().find(|r| r.0 == region);
        let service = entry.ok_or_else(|| format!("region {region} is not in the rig"))?.1;
        write_front_files(&self.installation, n, region, [service, feed], more_settings)
    }

    /// Starts a real front with these files.
    pub fn start_front(&self, files: &FrontFiles) -> Result<Front, RigError> {
        Front::start(&self.program, &files.config, Some(&files.settings))
    }

    /// Connects to the service as an operator.
    pub fn connect_operator(&self) -> Result<Operator, RigError> {
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().map_err(to_error)?;
        let client = runtime.block_on(OperatorClient::connect_to(
            self.operators_address,
            SERVICE,
            &self.installation.identity("person"),
        ))?;
        Ok(Operator { runtime, client })
    }
}

/// An operator's connection.
pub struct Operator {
    runtime: Runtime,
    client: OperatorClient,
}

impl Operator {
    pub fn totals(&mut self) -> Result<Totals, RigError> {
        match self.runtime.block_on(self.client.request(&Request::Status))? {
            Response::Status(totals) => Ok(*totals),
            other => Err(format!("the service: unexpected response to a status request: {other:?}")),
        }
    }

    /// Publishes, and tries again while the service rejects it because another publication is under way. Returns the
    /// version, and how often it was rejected.
    pub fn publish(&mut self, content: &str) -> Result<(VersionId, usize), RigError> {
        let (began_at, mut rejected) = (Instant::now(), 0);
        loop {
            let expected_last = self.totals()?.last;
            let request =
                Request::Publish { content: content.as_bytes().into(), note: "".into(), expected_last };
            match self.runtime.block_on(self.client.request(&request))? {
                Response::Published(id) => return Ok((id, rejected)),
                Response::NotPublished(_) if began_at.elapsed() < TIMEOUT => rejected += 1,
                other => return Err(format!("not published: {other:?}")),
            }
            std::thread::sleep(POLL_INTERVAL);
        }
    }

    /// Waits until the service's status fulfils a condition, and returns how long that took.
    pub fn wait_until(
        &mut self,
        awaited: &str,
        timeout: Duration,
        condition: impl Fn(&Totals) -> bool,
    ) -> Result<Duration, RigError> {
        let began_at = Instant::now();
        loop {
            let totals = self.totals()?;
            if condition(&totals) {
                return Ok(began_at.elapsed());
            }
            if began_at.elapsed() > timeout {
                return Err(format!(
                    "timeout of {} s while waiting for {awaited}: {totals:?}",
                    timeout.as_secs()
                ));
            }
            std::thread::sleep(POLL_INTERVAL);
        }
    }
}

/// Processor time of the current threads of a process, in milliseconds with fractions.
pub fn cpu_ms(process: u32) -> f64 {
    let tasks = std::fs::read_dir(format!("/proc/{process}/task")).into_iter().flatten().flatten();
    let thread_ns = |task: std::fs::DirEntry| {
        let text = std::fs::read_to_string(task.path().join("schedstat")).ok()?;
        text.split(' ').next()?.parse::<f64>().ok()
    };
    tasks.filter_map(thread_ns).sum::<f64>() / 1e6
}
