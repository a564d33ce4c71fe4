//! Test rig of the rollout experiment: the configuration service as a process, real fronts with load, control-only fronts, and
//! a relay with the round trip of each region between them and the service.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::Command;
use std::sync::atomic::Ordering;
use std::sync::{Arc, PoisonError};
use std::time::{Duration, Instant};

use doorgrade_control::operator_client::OperatorClient;
use doorgrade_keys::client_config;
use doorgrade_standins::process::Process;
use doorgrade_standins::versions::{Installation, SERVICE};
use doorgrade_standins::{Directory, Feed, Member, MemberConfig, Role};
use doorgrade_stream::FRONT_PROTOCOL;
use doorgrade_versions::service::{Request, Response, Totals};
use serde_json::json;

use super::content::ContentSummary;
use super::control_only::{AppliedContents, ControlOnlyFront, FrontConfig, SharedState};
use super::region::{ByteCounters, REGIONS, one_way_delay, relay};
use crate::rig::{self, Class, Front};

/// The class of the accesses at real fronts.
pub const CLASSES: [Class; 1] =
    [Class { name: "files", timeout_ms: 1_500, soft_limit_ms: 500.0, benefit: 1.0, write: false }];

/// A cache, an archive and the control feed of the real fronts.
struct Backends {
    cache: Member,
    archive: Member,
    feed: Feed,
}

impl Backends {
    fn start() -> Result<Backends, String> {
        let directory = Directory::default();
        let member = |id, role| {
            Member::start(MemberConfig::new(id, "127.0.0.1:0", role), &directory).map_err(|e| e.to_string())
        };
        let (cache, archive) = (member("s-00000001", Role::Cache)?, member("s-000000ff", Role::Archive)?);
        Ok(Backends { cache, archive, feed: Feed::start("127.0.0.1:0").map_err(|e| e.to_string())? })
    }

    /// The platform's configuration of a real front.
    fn config(&self, name: &str, seed: u64, fronts: usize) -> String {
        let listed = [
            rig::member_json(&self.cache, "here", "cache"),
            rig::member_json(&self.archive, "hub", "archive"),
        ];
        let members = json!({"revision": 1, "complete": true, "members": listed});
        let settings = json!({
            "zone": 0, "fleetSize": fronts, "quantum": 2.0, "localities": ["here", "hub"],
            "machineTypes": ["cache", "trunk", "archive"], "registryMode": "automatic", "weightKind": "nominal",
            "limits": {"cancel": true, "connIdle": 15000.0, "connectTimeout": 400.0, "maxAttempts": 6, "secondCopies": true},
            "profiles": [CLASSES[0].profile()],
            "rules": {"cold": 1000.0, "fall": 500.0, "fallMultiple": 4.0, "startCapacity": 0.5},
            "specifics": {"crewByZone": [fronts, fronts], "maxAge": [0.0], "notesGiven": "all", "passOn": [false],
                "purgeDone": 6000.0, "upperKind": 1, "rootKind": 2, "parentCold": 1000.0, "parentColdFrom": 0.5,
                "parentLimitFactor": 4.0, "sharesFills": true, "straight": true}
        });
        json!({"name": name, "listen": "127.0.0.1:0", "feed": self.feed.address.to_string(), "seed": format!("{seed:x}"),
            "known": {"n": 1, "events": [{"n": 1, "members": members}]}, "settings": settings,
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 256}})
        .to_string()
    }
}

/// The service, the fronts and the relays.
pub struct Rig {
    pub runtime: tokio::runtime::Runtime,
    installation: Installation,
    service: Process,
    operators_address: SocketAddr,
    backends: Backends,
    /// The addresses at which each region reaches the service: first for real fronts, then for control-only ones.
    relays: Vec<SocketAddr>,
    /// Bytes of the connections of real fronts and of control-only ones.
    pub real_counters: ByteCounters,
    pub control_only_counters: ByteCounters,
    pub shared: Arc<SharedState>,
    pub fronts: Vec<Front>,
    pub control_only: Vec<ControlOnlyFront>,
    seed: u64,
}

fn station(n: usize) -> String {
    format!("region{}", n % REGIONS)
}

impl Rig {
    /// Starts the service and the relays. `publication` is the text of that block of the service's settings.
    pub fn start(name: &str, program: &Path, publication: &str, seed: u64) -> Result<Rig, String> {
        let io = |e: std::io::Error| e.to_string();
        let installation = Installation::new(&format!("scale-{name}")).map_err(io)?;
        installation.write("shape.hcl", "").map_err(io)?;
        for region in 0..REGIONS {
            let station = station(region);
            installation.issue(&station, &installation.fronts, &[&format!("*.{station}")], 30).map_err(io)?;
        }
        let file =
            installation.write_control_settings("127.0.0.1:0", "127.0.0.1:0", publication).map_err(io)?;
        let service = Process::start(Command::new(program).arg("control").arg("--file").arg(file));
        let service = service.map_err(io)?;
        let log_line = service.wait_for_log("fronts at ", Duration::from_secs(20));
        let address = |after: &str| -> Option<SocketAddr> {
            log_line.as_deref()?.split_once(after)?.1.split([',', ' ']).next()?.parse().ok()
        };
        let (Some(fronts_address), Some(operators_address)) =
            (address("fronts at "), address("operators at "))
        else {
            return Err(format!("the service does not start; its log: {:?}", service.log_lines()));
        };
        let threads = std::thread::available_parallelism().map_or(4, |n| n.get()).min(4);
        let runtime =
            tokio::runtime::Builder::new_multi_thread().worker_threads(threads).enable_all().build();
        let runtime = runtime.map_err(io)?;
        let (real_counters, control_only_counters) = (ByteCounters::default(), ByteCounters::default());
        let mut relays = Vec::new();
        for counters in [&real_counters, &control_only_counters] {
            for region in 0..REGIONS {
                let address =
                    runtime.block_on(relay(fronts_address, one_way_delay(region), counters.clone()));
                relays.push(address.map_err(io)?);
            }
        }
        let (backends, shared) = (Backends::start()?, Arc::new(SharedState::default()));
        let (fronts, control_only) = (Vec::new(), Vec::new());
        Ok(Rig {
            runtime,
            installation,
            service,
            operators_address,
            backends,
            relays,
            real_counters,
            control_only_counters,
            shared,
            fronts,
            control_only,
            seed,
        })
    }

    /// Starts one more real front. `fleet_size` is the number of fronts that its configuration states.
    pub fn start_real(&mut self, program: &Path, fleet_size: usize) -> Result<(), String> {
        let n = self.fronts.len();
        let (station, service) = (station(n), self.relays[n % REGIONS]);
        let name = format!("n{n}.{station}");
        let config = self.backends.config(&name, self.seed + n as u64, fleet_size);
        let text = format!(
            "hierarchy {{\n  enabled = true\n  shape = \"shape.hcl\"\n}}\nversions {{\n  enabled = true\n  \
             service = [\"{service}\"]\n  server_name = \"{SERVICE}\"\n  station = \"{station}\"\n  \
             certificate = \"{station}.pem\"\n  key = \"{station}.key\"\n  authority = \"fronts-ca.pem\"\n  \
             seal_keys = \"seal-keys.hcl\"\n  store = \"front-{n}.redb\"\n}}\n"
        );
        let write = |name: &str, text: &str| -> Result<PathBuf, String> {
            self.installation.write(name, text).map_err(|e| e.to_string())?;
            Ok(self.installation.file(name))
        };
        let (config, settings) =
            (write(&format!("front-{n}.json"), &config)?, write(&format!("front-{n}.hcl"), &text)?);
        self.fronts.push(Front::start(program, &config, Some(&settings))?);
        Ok(())
    }

    /// Starts this number of control-only fronts.
    pub fn start_control_only(&mut self, count: usize) -> Result<(), String> {
        let mut tls = Vec::new();
        for region in 0..REGIONS {
            let credentials = client_config(&self.installation.identity(&station(region)), FRONT_PROTOCOL)
                .map_err(|e| e.to_string())?;
            tls.push(credentials.config);
        }
        let _entered = self.runtime.enter();
        for n in 0..count {
            let (region, station) = (n % REGIONS, station(n));
            let (name, service) = (format!("h{n}.{station}"), self.relays[REGIONS + region]);
            let seed = self.seed.wrapping_mul(10_007).wrapping_add(n as u64);
            let config = FrontConfig { name: &name, station: &station, service, seed };
            self.control_only.push(ControlOnlyFront::start(
                &config,
                tls[region].clone(),
                self.shared.clone(),
            )?);
        }
        Ok(())
    }

    /// Connects to the service as an operator.
    pub fn client(&self) -> Result<OperatorClient, String> {
        self.runtime.block_on(OperatorClient::connect_to(
            self.operators_address,
            SERVICE,
            &self.installation.identity("person"),
        ))
    }

    pub fn totals(&self, client: &mut OperatorClient) -> Result<Totals, String> {
        match self.runtime.block_on(client.request(&Request::Status))? {
            Response::Status(totals) => Ok(*totals),
            other => Err(format!("the service: unexpected response to a status request: {other:?}")),
        }
    }

    /// The latest published content, which changes are applied to, and its number.
    pub fn latest_content(&self, client: &mut OperatorClient) -> Result<(u64, String), String> {
        let number = self.totals(client)?.last;
        match self.runtime.block_on(client.request(&Request::Content { number }))? {
            Response::Content { content, .. } => Ok((number, String::from_utf8_lossy(&content).into_owned())),
            other => Err(format!("the service: unexpected response to a content request: {other:?}")),
        }
    }

    pub fn publish(
        &self,
        client: &mut OperatorClient,
        content: &str,
        expected_last: u64,
    ) -> Result<Response, String> {
        let request = Request::Publish { content: content.as_bytes().into(), note: "".into(), expected_last };
        self.runtime.block_on(client.request(&request))
    }

    /// Waits until the service's status fulfils a condition, and returns how long that took.
    pub fn wait_until(
        &self,
        client: &mut OperatorClient,
        awaited: &str,
        timeout: Duration,
        condition: impl Fn(&Totals) -> bool,
    ) -> Result<Duration, String> {
        let began_at = Instant::now();
        loop {
            let totals = self.totals(client)?;
            if condition(&totals) {
                return Ok(began_at.elapsed());
            }
            if began_at.elapsed() > timeout {
                return Err(format!("timeout of {timeout:?} while waiting for {awaited}: {totals:?}"));
            }
            std::thread::sleep(Duration::from_millis(50));
        }
    }

    /// The id of the service's process.
    pub fn service_id(&self) -> u32 {
        self.service.id()
    }

    /// The contents that each front applied: by the logs of real ones, and by the records of control-only ones.
    pub fn records(&self) -> Vec<AppliedContents> {
        let real = self.fronts.iter().map(|front| {
            let applied = |line: &String| {
                let (prefix, rest) = line.split_once("versions: ")?;
                let version = rest.split_once(" is in use")?.0;
                let at: f64 = prefix.split_whitespace().next()?.parse().ok()?;
                // A content that only real fronts tried has no summary, and counts as one without changes.
                let summary =
                    self.shared.by_log_name(version).unwrap_or_else(|| Arc::new(ContentSummary::default()));
                Some(((at * 10.0).round() as u64, summary))
            };
            front.log_lines().iter().filter_map(applied).collect()
        });
        real.chain(self.control_only.iter().map(ControlOnlyFront::applied)).collect()
    }

    /// Bytes of each connection so far.
    pub fn connection_bytes(&self) -> Vec<u64> {
        let values = |counters: &ByteCounters| -> Vec<u64> {
            let counters = counters.lock().unwrap_or_else(PoisonError::into_inner);
            counters.iter().map(|m| m.load(Ordering::Relaxed)).collect()
        };
        [values(&self.real_counters), values(&self.control_only_counters)].concat()
    }

    /// Stops the control-only fronts, and with them the rig.
    pub fn stop(self) {
        self.runtime.block_on(async {
            for front in &self.control_only {
                front.stop().await;
            }
        });
    }
}
