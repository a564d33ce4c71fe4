//! One real front process with its feed and its caches on loopback: what an access and a purge cost the whole program,
//! and what a front does whose feed is cut.

use std::net::SocketAddr;
use std::path::Path;
use std::thread::sleep;
use std::time::{Duration, Instant};

use doorgrade_standins::links::{LinkConditions, Links};
use doorgrade_standins::{Client, Directory, Feed, Member, MemberConfig, Role, unix_ms};
use serde_json::{Value, json};

use crate::rig::{self, Class, Folder, Front, Got, Planned};

/// A site's caches; those of other sites are listed only.
const NEAR: usize = 6;
const FAR: usize = 244;
/// The target's: purges are done everywhere within it, and a front remembers them for it.
pub const PURGE_DONE_MS: f64 = 4_600.0;
/// Objects asked for: each cache holds its part after some seconds.
const OBJECTS: u64 = 2_000;
const CLASS: Class = Class { name: "files", wait_ms: 1_500, soft_ms: 400.0, benefit: 1.0, write: false };
/// How often the purged object is asked for while a front's feed is cut.
const ASK_EACH: Duration = Duration::from_millis(50);

pub struct Rig {
    links: Links,
    feed: Feed,
    pub front: Front,
    caches: Vec<Member>,
    _archive: Member,
    _folder: Folder,
    number: u64,
}

fn row(id: &str, at: SocketAddr, place: &str, flavor: &str) -> Value {
    json!({"id": id, "host_port": at.to_string(), "locality": place, "flavor": flavor, "cell": 0,
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
            "purgeDone": PURGE_DONE_MS, "upperKind": -1, "rootKind": 1, "sharesFills": true, "straight": true}
    });
    let members = json!({"revision": 1, "complete": true, "members": members});
    json!({"name": "state", "listen": "127.0.0.1:0", "feed": feed.to_string(), "seed": format!("{seed:x}"), "log": "info",
        "limits": {"cores": 1.0, "memory_mb": 64, "sockets": 608},
        "known": {"n": 1, "events": [{"n": 1, "members": members}]}, "settings": settings})
    .to_string()
}

/// Processor time and memory over some seconds of the same load.
#[derive(Clone, Copy, Debug, Default)]
pub struct Load {
    pub asked: usize,
    pub handled: usize,
    pub seconds: f64,
    pub core_share: f64,
    pub memory_mb: f64,
    /// From the feed to the front.
    pub feed_bytes_per_s: f64,
}

/// What a front did whose feed was cut in the moment before a purge.
#[derive(Clone, Copy, Debug, Default)]
pub struct Cut {
    /// From the cut to the log's word that the feed is silent; none where it said nothing.
    pub noticed_s: Option<f64>,
    /// From the purge to the first access that asked for a younger copy; none where no access did.
    pub heeded_s: Option<f64>,
    /// Accesses answered from the copy that was purged.
    pub old_answers: usize,
    /// Whether it said all the while that it is ready.
    pub ready: bool,
}

impl Rig {
    pub fn start(program: &Path, seed: u64) -> Result<Rig, String> {
        let io = |e: std::io::Error| e.to_string();
        let (folder, directory, links) =
            (Folder::new("front-state")?, Directory::default(), Links::new(seed));
        let member = |n: usize, role| {
            let id = format!("s-{n:08x}");
            Member::start(MemberConfig::new(&id, "127.0.0.1:0", role), &directory).map_err(io)
        };
        let caches: Vec<Member> = (0..NEAR).map(|n| member(n, Role::Cache)).collect::<Result<_, _>>()?;
        let archive = member(NEAR + FAR, Role::Archive)?;
        let mut rows: Vec<Value> = caches.iter().map(|m| row(&m.id, m.address, "here", "cache")).collect();
        // Nobody of this zone asks them.
        rows.extend(
            (NEAR..NEAR + FAR).map(|n| row(&format!("s-{n:08x}"), archive.address, "there", "cache")),
        );
        rows.push(row(&archive.id, archive.address, "here", "archive"));
        let feed = Feed::start("127.0.0.1:0").map_err(io)?;
        let through = links.tcp_proxy("front", "feed", feed.address).map_err(io)?;
        let path = folder.put("config.json", &config(&rows, through, seed))?;
        let front = Front::start(program, &path, None)?;
        Ok(Rig { links, feed, front, caches, _archive: archive, _folder: folder, number: 1 })
    }

    /// What the front says of its bounds.
    pub fn bounds(&self) -> String {
        let line = self.front.lines().into_iter().find(|l| l.contains("bounds: "));
        line.and_then(|l| Some(l.split_once("bounds: ")?.1.to_owned())).unwrap_or_default()
    }

    fn purge(&mut self, object: u64) {
        self.number += 1;
        self.feed.publish_purge(self.number, object, unix_ms());
    }

    /// So many accesses and purges a second, for some seconds.
    pub fn load(&mut self, rate: f64, purges_per_s: f64, seconds: f64, seed: u64) -> Result<Load, String> {
        let mut rng = fastrand::Rng::with_seed(seed);
        let (mut plan, mut at_ms) = (Vec::new(), 0.0);
        while rate > 0.0 && at_ms < seconds * 1e3 {
            plan.push(Planned { at_ms, class: 0, key: rng.u64(0..OBJECTS) });
            at_ms += -(1.0 - rng.f64()).ln() * 1e3 / rate;
        }
        let process = self.front.process();
        let fed = |rig: &Rig| rig.links.traffic("feed", "front").bytes;
        let (cpu, bytes, start) = (rig::cpu_ms(process), fed(self), Instant::now());
        let at = self.front.at;
        let played = std::thread::scope(|scope| {
            let load = scope.spawn(|| rig::play(at, &plan, &[CLASS], start, 16));
            let mut told = 0.0;
            while start.elapsed().as_secs_f64() < seconds {
                while told < start.elapsed().as_secs_f64() * purges_per_s {
                    told += 1.0;
                    // Of objects that nobody asks for: what they cost by themselves.
                    let object = rng.u64(OBJECTS..);
                    self.purge(object);
                }
                sleep(Duration::from_millis(10));
            }
            load.join().map_err(|_| "the load ended in a panic".to_owned())
        })?;
        let took = start.elapsed().as_secs_f64();
        Ok(Load {
            asked: plan.len(),
            handled: played.samples.iter().filter(|s| s.got == Got::Handled).count(),
            seconds: took,
            core_share: (rig::cpu_ms(process) - cpu) / 1e3 / took,
            memory_mb: rig::memory_mb(process)?,
            feed_bytes_per_s: (fed(self) - bytes) as f64 / took,
        })
    }

    /// Purges an object that a cache holds, with the feed cut so long from the moment before.
    pub fn cut(&mut self, seconds: f64, object: u64) -> Result<Cut, String> {
        let io = |e: std::io::Error| e.to_string();
        let key = format!("{object:016x}");
        let path = format!("/data/{}/{key}/0", CLASS.name);
        self.caches.iter().for_each(|c| c.preload(&path, 60_000));
        let fills = |rig: &Rig| -> usize {
            let renewed = |c: &Member| c.counts().fills.load(std::sync::atomic::Ordering::SeqCst);
            rig.caches.iter().map(renewed).sum()
        };
        let mut client = Client::connect(self.front.at).map_err(io)?;
        client.request(CLASS.name, &key, CLASS.wait_ms).map_err(io)?;
        let (silent, before) = (self.front.count("feed: silent"), fills(self));
        let cut = LinkConditions { cut: true, ..LinkConditions::default() };
        self.links.set("feed", "front", cut.clone());
        self.links.set("front", "feed", cut);
        sleep(Duration::from_millis(50));
        let begun = Instant::now();
        self.purge(object);
        let mut found = Cut { ready: true, ..Cut::default() };
        let mut healed = false;
        // Some reconnects after the end of the cut, whatever comes.
        while found.heeded_s.is_none() && begun.elapsed().as_secs_f64() < seconds + 8.0 {
            if !healed && begun.elapsed().as_secs_f64() >= seconds {
                self.links.heal();
                healed = true;
            }
            if found.noticed_s.is_none() && self.front.count("feed: silent") > silent {
                found.noticed_s = Some(begun.elapsed().as_secs_f64());
            }
            client.request(CLASS.name, &key, CLASS.wait_ms).map_err(io)?;
            if fills(self) > before {
                found.heeded_s = Some(begun.elapsed().as_secs_f64());
            } else {
                found.old_answers += 1;
            }
            found.ready &= client.is_ready().map_err(io)?;
            sleep(ASK_EACH);
        }
        self.links.heal();
        Ok(found)
    }
}
