//! The service as a process of its own, real fronts with load, hollow ones, and a relay for each region between them.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::Command;
use std::sync::atomic::Ordering;
use std::sync::{Arc, PoisonError};
use std::time::{Duration, Instant};

use doorgrade_control::ask::Asker;
use doorgrade_keys::client;
use doorgrade_standins::process::Process;
use doorgrade_standins::versions::{Installation, SERVICE};
use doorgrade_standins::{Directory, Feed, Member, MemberConfig, Role};
use doorgrade_stream::FRONTS;
use doorgrade_versions::service::{Request, Response, Totals};
use serde_json::json;

use super::content::Facts;
use super::hollow::{Hollow, Ran, Shared, Who};
use super::region::{Meters, REGIONS, one_way, relay};
use crate::rig::{self, Class, Front};

/// What clients ask of real fronts.
pub const CLASSES: [Class; 1] =
    [Class { name: "files", timeout_ms: 1_500, soft_limit_ms: 500.0, benefit: 1.0, write: false }];

/// What stands behind the real fronts.
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

pub struct Rig {
    pub runtime: tokio::runtime::Runtime,
    place: Installation,
    service: Process,
    operators: SocketAddr,
    site: Site,
    /// Where each region finds the service.
    relays: Vec<SocketAddr>,
    /// Of the connections of real fronts, and of hollow ones.
    pub real_meters: Meters,
    pub hollow_meters: Meters,
    pub shared: Arc<Shared>,
    pub fronts: Vec<Front>,
    pub hollow: Vec<Hollow>,
    seed: u64,
}

fn station(n: usize) -> String {
    format!("region{}", n % REGIONS)
}

impl Rig {
    /// `publication`: the service's settings of that block.
    pub fn start(name: &str, program: &Path, publication: &str, seed: u64) -> Result<Rig, String> {
        let io = |e: std::io::Error| e.to_string();
        let place = Installation::new(&format!("scale-{name}")).map_err(io)?;
        place.write("shape.hcl", "").map_err(io)?;
        for region in 0..REGIONS {
            let station = station(region);
            place.issue(&station, &place.fronts, &[&format!("*.{station}")], 30).map_err(io)?;
        }
        let file = place.write_control_settings("127.0.0.1:0", "127.0.0.1:0", publication).map_err(io)?;
        let service = Process::start(Command::new(program).arg("control").arg("--file").arg(file));
        let service = service.map_err(io)?;
        let line = service.wait_for_log("fronts at ", Duration::from_secs(20));
        let address = |after: &str| -> Option<SocketAddr> {
            line.as_deref()?.split_once(after)?.1.split([',', ' ']).next()?.parse().ok()
        };
        let (Some(fronts_at), Some(operators)) = (address("fronts at "), address("operators at ")) else {
            return Err(format!("the service does not start: {:?}", service.log_lines()));
        };
        let threads = std::thread::available_parallelism().map_or(4, |n| n.get()).min(4);
        let runtime =
            tokio::runtime::Builder::new_multi_thread().worker_threads(threads).enable_all().build();
        let runtime = runtime.map_err(io)?;
        let (real_meters, hollow_meters) = (Meters::default(), Meters::default());
        let mut relays = Vec::new();
        for meters in [&real_meters, &hollow_meters] {
            for region in 0..REGIONS {
                let made = runtime.block_on(relay(fronts_at, one_way(region), meters.clone()));
                relays.push(made.map_err(io)?);
            }
        }
        let (site, shared) = (Site::start()?, Arc::new(Shared::default()));
        let (fronts, hollow) = (Vec::new(), Vec::new());
        Ok(Rig {
            runtime,
            place,
            service,
            operators,
            site,
            relays,
            real_meters,
            hollow_meters,
            shared,
            fronts,
            hollow,
            seed,
        })
    }

    pub fn start_real(&mut self, program: &Path, of: usize) -> Result<(), String> {
        let n = self.fronts.len();
        let (station, service) = (station(n), self.relays[n % REGIONS]);
        let name = format!("n{n}.{station}");
        let config = self.site.config(&name, self.seed + n as u64, of);
        let text = format!(
            "hierarchy {{\n  enabled = true\n  shape = \"shape.hcl\"\n}}\nversions {{\n  enabled = true\n  \
             service = [\"{service}\"]\n  server_name = \"{SERVICE}\"\n  station = \"{station}\"\n  \
             certificate = \"{station}.pem\"\n  key = \"{station}.key\"\n  authority = \"fronts-ca.pem\"\n  \
             seal_keys = \"seal-keys.hcl\"\n  store = \"front-{n}.redb\"\n}}\n"
        );
        let put = |name: &str, text: &str| -> Result<PathBuf, String> {
            self.place.write(name, text).map_err(|e| e.to_string())?;
            Ok(self.place.file(name))
        };
        let (config, settings) =
            (put(&format!("front-{n}.json"), &config)?, put(&format!("front-{n}.hcl"), &text)?);
        self.fronts.push(Front::start(program, &config, Some(&settings))?);
        Ok(())
    }

    pub fn start_hollow(&mut self, count: usize) -> Result<(), String> {
        let mut tls = Vec::new();
        for region in 0..REGIONS {
            let made = client(&self.place.identity(&station(region)), FRONTS).map_err(|t| t.to_string())?;
            tls.push(made.made);
        }
        let _here = self.runtime.enter();
        for n in 0..count {
            let (region, station) = (n % REGIONS, station(n));
            let (name, service) = (format!("h{n}.{station}"), self.relays[REGIONS + region]);
            let seed = self.seed.wrapping_mul(10_007).wrapping_add(n as u64);
            let who = Who { name: &name, station: &station, service, seed };
            self.hollow.push(Hollow::start(&who, tls[region].clone(), self.shared.clone())?);
        }
        Ok(())
    }

    pub fn asker(&self) -> Result<Asker, String> {
        self.runtime.block_on(Asker::at(self.operators, SERVICE, &self.place.identity("person")))
    }

    pub fn totals(&self, asker: &mut Asker) -> Result<Totals, String> {
        match self.runtime.block_on(asker.ask(&Request::Status))? {
            Response::Status(totals) => Ok(*totals),
            other => Err(format!("{other:?}")),
        }
    }

    /// The content that changes are made to, and its number.
    pub fn head(&self, asker: &mut Asker) -> Result<(u64, String), String> {
        let number = self.totals(asker)?.last;
        match self.runtime.block_on(asker.ask(&Request::Content { number }))? {
            Response::Content { content, .. } => Ok((number, String::from_utf8_lossy(&content).into_owned())),
            other => Err(format!("{other:?}")),
        }
    }

    pub fn publish(&self, asker: &mut Asker, content: &str, expects: u64) -> Result<Response, String> {
        let ask =
            Request::Publish { content: content.as_bytes().into(), note: "".into(), expected_last: expects };
        self.runtime.block_on(asker.ask(&ask))
    }

    /// Waits for as long as it takes, within reason.
    pub fn until(
        &self,
        asker: &mut Asker,
        what: &str,
        within: Duration,
        holds: impl Fn(&Totals) -> bool,
    ) -> Result<Duration, String> {
        let begun = Instant::now();
        loop {
            let totals = self.totals(asker)?;
            if holds(&totals) {
                return Ok(begun.elapsed());
            }
            if begun.elapsed() > within {
                return Err(format!("{what} has not come in {within:?}: {totals:?}"));
            }
            std::thread::sleep(Duration::from_millis(50));
        }
    }

    pub fn service_id(&self) -> u32 {
        self.service.id()
    }

    /// Each front's own record of what it brought into use: hollow ones', and real ones' by their logs.
    pub fn records(&self) -> Vec<Ran> {
        let real = self.fronts.iter().map(|front| {
            let used = |line: &String| {
                let (head, rest) = line.split_once("versions: ")?;
                let version = rest.split_once(" is in use")?.0;
                let at: f64 = head.split_whitespace().next()?.parse().ok()?;
                // What only real ones tried is what they had before, by the changes that are known of it.
                let facts = self.shared.of_log(version).unwrap_or_else(|| Arc::new(Facts::default()));
                Some(((at * 10.0).round() as u64, facts))
            };
            front.log_lines().iter().filter_map(used).collect()
        });
        real.chain(self.hollow.iter().map(Hollow::ran)).collect()
    }

    /// Bytes so far of all connections, each on its own.
    pub fn metered(&self) -> Vec<u64> {
        let of = |meters: &Meters| -> Vec<u64> {
            let meters = meters.lock().unwrap_or_else(PoisonError::into_inner);
            meters.iter().map(|m| m.load(Ordering::Relaxed)).collect()
        };
        [of(&self.real_meters), of(&self.hollow_meters)].concat()
    }

    pub fn end(self) {
        self.runtime.block_on(async {
            for hollow in &self.hollow {
                hollow.stop().await;
            }
        });
    }
}
