//! One real front process with its feed and its caches on loopback: what an access and a purge cost in the whole program,
//! and how a front behaves while its feed is cut.

use std::net::SocketAddr;
use std::path::Path;
use std::thread::sleep;
use std::time::{Duration, Instant};

use doorgrade_standins::links::{LinkConditions, Links};
use doorgrade_standins::{Client, Directory, Feed, Member, MemberConfig, Role, unix_ms};
use serde_json::{Value, json};

use crate::rig::{self, AccessResult, Class, Folder, Front, PlannedAccess};

/// Caches of the front's own site.
const OWN_CACHES: usize = 6;
/// Caches of other sites, which are only listed.
const OTHER_CACHES: usize = 244;
/// The time within which a purge has to be done everywhere, by the target; a front remembers purges for as long.
pub const PURGE_PROPAGATION_MS: f64 = 4_600.0;
/// Objects that are accessed; each cache holds its part of them after some seconds.
const OBJECTS: u64 = 2_000;
const CLASS: Class =
    Class { name: "files", timeout_ms: 1_500, soft_limit_ms: 400.0, benefit: 1.0, write: false };
/// The interval of accesses of the purged object while the front's feed is cut.
const ACCESS_INTERVAL: Duration = Duration::from_millis(50);

pub struct FrontRig {
    links: Links,
    feed: Feed,
    pub front: Front,
    caches: Vec<Member>,
    _archive: Member,
    _folder: Folder,
    /// Number of the last event of the feed.
    last_event: u64,
}

fn member_json(id: &str, address: SocketAddr, locality: &str, machine_type: &str) -> Value {
    json!({"id": id, "host_port": address.to_string(), "locality": locality, "flavor": machine_type, "cell": 0,
        "phase": "in_service", "size": 1, "up_since_ms": 0})
}

fn config(members: &[Value], feed: SocketAddr, seed: u64) -> String {
    let settings = json!({
        "zone": 0, "fleetSize": 1, "quantum": 2.0, "localities": ["here", "there"], "machineTypes": ["cache", "archive"],
        "registryMode": "automatic", "weightKind": "nominal",
        "limits": {"cancel": true, "connIdle": 5000.0, "connectTimeout": 400.0, "maxAttempts": 6, "secondCopies": true},
        "profiles": [CLASS.profile()],
        "rules": {"cold": 200.0, "fall": 500.0, "fallMultiple": 100.0, "startCapacity": 0.5},
        "specifics": {"crewByZone": [1, 1], "maxAge": [3_600_000.0], "notesGiven": "all", "passOn": [false],
            "purgeDone": PURGE_PROPAGATION_MS, "upperKind": -1, "rootKind": 1, "sharesFills": true, "straight": true}
    });
    let members = json!({"revision": 1, "complete": true, "members": members});
    json!({"name": "state", "listen": "127.0.0.1:0", "feed": feed.to_string(), "seed": format!("{seed:x}"), "log": "info",
        "limits": {"cores": 1.0, "memory_mb": 64, "sockets": 608},
        "known": {"n": 1, "events": [{"n": 1, "members": members}]}, "settings": settings})
    .to_string()
}

/// The processor time and memory of the front over some seconds of a constant load.
#[derive(Clone, Copy, Debug, Default)]
pub struct LoadResult {
    pub accesses: usize,
    pub handled: usize,
    pub seconds: f64,
    pub core_share: f64,
    pub memory_mb: f64,
    /// Traffic from the feed to the front.
    pub feed_bytes_per_s: f64,
}

/// How a front behaved whose feed was cut just before a purge.
#[derive(Clone, Copy, Debug, Default)]
pub struct CutResult {
    /// From the cut to the front's log event that the feed is silent; none if there was no event.
    pub noticed_s: Option<f64>,
    /// From the purge to the first access that was filled again; none if no access was.
    pub purge_applied_s: Option<f64>,
    /// Accesses that were served the purged copy.
    pub stale_responses: usize,
    /// Whether all checks reported it as ready.
    pub ready: bool,
}

impl FrontRig {
    pub fn start(program: &Path, seed: u64) -> Result<FrontRig, String> {
        let io = |e: std::io::Error| e.to_string();
        let (folder, directory, links) =
            (Folder::new("front-state")?, Directory::default(), Links::new(seed));
        let member = |n: usize, role| {
            let id = format!("s-{n:08x}");
            Member::start(MemberConfig::new(&id, "127.0.0.1:0", role), &directory).map_err(io)
        };
        let caches: Vec<Member> =
            (0..OWN_CACHES).map(|n| member(n, Role::Cache)).collect::<Result<_, _>>()?;
        let archive = member(OWN_CACHES + OTHER_CACHES, Role::Archive)?;
        let mut members: Vec<Value> =
            caches.iter().map(|m| member_json(&m.id, m.address, "here", "cache")).collect();
        // Caches of another zone, which this front does not use.
        members.extend(
            (OWN_CACHES..OWN_CACHES + OTHER_CACHES)
                .map(|n| member_json(&format!("s-{n:08x}"), archive.address, "there", "cache")),
        );
        members.push(member_json(&archive.id, archive.address, "here", "archive"));
        let feed = Feed::start("127.0.0.1:0").map_err(io)?;
        let feed_address = links.tcp_proxy("front", "feed", feed.address).map_err(io)?;
        let path = folder.put("config.json", &config(&members, feed_address, seed))?;
        let front = Front::start(program, &path, None)?;
        Ok(FrontRig { links, feed, front, caches, _archive: archive, _folder: folder, last_event: 1 })
    }

    /// The front's limits, as it logs them at its start.
    pub fn logged_bounds(&self) -> String {
        let event = self.front.log_lines().into_iter().find(|l| l.contains("bounds: "));
        event.and_then(|l| Some(l.split_once("bounds: ")?.1.to_owned())).unwrap_or_default()
    }

    fn purge(&mut self, object: u64) {
        self.last_event += 1;
        self.feed.publish_purge(self.last_event, object, unix_ms());
    }

    /// Runs a load of `rate` accesses and `purges_per_s` purges a second, for `seconds`.
    pub fn load(
        &mut self,
        rate: f64,
        purges_per_s: f64,
        seconds: f64,
        seed: u64,
    ) -> Result<LoadResult, String> {
        let mut rng = fastrand::Rng::with_seed(seed);
        let (mut plan, mut at_ms) = (Vec::new(), 0.0);
        while rate > 0.0 && at_ms < seconds * 1e3 {
            plan.push(PlannedAccess { at_ms, class: 0, key: rng.u64(0..OBJECTS) });
            at_ms += -(1.0 - rng.f64()).ln() * 1e3 / rate;
        }
        let process = self.front.process_id();
        let feed_bytes = |rig: &FrontRig| rig.links.traffic("feed", "front").bytes;
        let (cpu_ms_before, bytes_before, start) = (rig::cpu_ms(process), feed_bytes(self), Instant::now());
        let address = self.front.address;
        let report = std::thread::scope(|scope| {
            let load = scope.spawn(|| rig::run_load(address, &plan, &[CLASS], start, 16));
            let mut purges = 0.0;
            while start.elapsed().as_secs_f64() < seconds {
                while purges < start.elapsed().as_secs_f64() * purges_per_s {
                    purges += 1.0;
                    // Objects that are not accessed, so that only the purges themselves cost anything.
                    let object = rng.u64(OBJECTS..);
                    self.purge(object);
                }
                sleep(Duration::from_millis(10));
            }
            load.join().map_err(|_| "the load's thread panicked".to_owned())
        })?;
        let elapsed_s = start.elapsed().as_secs_f64();
        Ok(LoadResult {
            accesses: plan.len(),
            handled: report.samples.iter().filter(|s| s.result == AccessResult::Handled).count(),
            seconds: elapsed_s,
            core_share: (rig::cpu_ms(process) - cpu_ms_before) / 1e3 / elapsed_s,
            memory_mb: rig::memory_mb(process)?,
            feed_bytes_per_s: (feed_bytes(self) - bytes_before) as f64 / elapsed_s,
        })
    }

    /// Cuts the feed for `seconds`, and right after the cut purges an object that the caches hold.
    pub fn cut(&mut self, seconds: f64, object: u64) -> Result<CutResult, String> {
        let io = |e: std::io::Error| e.to_string();
        let key = format!("{object:016x}");
        let path = format!("/data/{}/{key}/0", CLASS.name);
        self.caches.iter().for_each(|c| c.preload(&path, 60_000));
        let fills = |rig: &FrontRig| -> usize {
            let fills_of = |c: &Member| c.counts().fills.load(std::sync::atomic::Ordering::SeqCst);
            rig.caches.iter().map(fills_of).sum()
        };
        let mut client = Client::connect(self.front.address).map_err(io)?;
        client.request(CLASS.name, &key, CLASS.timeout_ms).map_err(io)?;
        let (silent_before, fills_before) = (self.front.count_log_lines("feed: silent"), fills(self));
        let cut = LinkConditions { cut: true, ..LinkConditions::default() };
        self.links.set("feed", "front", cut.clone());
        self.links.set("front", "feed", cut);
        sleep(Duration::from_millis(50));
        let began_at = Instant::now();
        self.purge(object);
        let mut result = CutResult { ready: true, ..CutResult::default() };
        let mut healed = false;
        // 8 s after the end of the cut leave time for several attempts to reconnect.
        while result.purge_applied_s.is_none() && began_at.elapsed().as_secs_f64() < seconds + 8.0 {
            if !healed && began_at.elapsed().as_secs_f64() >= seconds {
                self.links.heal();
                healed = true;
            }
            if result.noticed_s.is_none() && self.front.count_log_lines("feed: silent") > silent_before {
                result.noticed_s = Some(began_at.elapsed().as_secs_f64());
            }
            client.request(CLASS.name, &key, CLASS.timeout_ms).map_err(io)?;
            if fills(self) > fills_before {
                result.purge_applied_s = Some(began_at.elapsed().as_secs_f64());
            } else {
                result.stale_responses += 1;
            }
            result.ready &= client.is_ready().map_err(io)?;
            sleep(ACCESS_INTERVAL);
        }
        self.links.heal();
        Ok(result)
    }
}
