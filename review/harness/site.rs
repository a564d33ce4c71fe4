//! A small deployment with the figures of `southern-clinics`: its settings as a front is told them, and its list.

use std::net::SocketAddr;
use std::path::Path;
use std::sync::Arc;
use std::time::Duration;

use crate::cache::{Arrivals, Member};
use crate::client::wait_until_ready;
use crate::common::{
    DelayProxy, Feed, FrontProcess, Listed, Record, TempFolder, cannot_run, free_address, known_json,
};

const ZONES: [&str; 9] = [
    "east-hub",
    "gulf-hub",
    "upland-hub",
    "clinic-1",
    "clinic-2",
    "clinic-3",
    "clinic-4",
    "clinic-5",
    "clinic-6",
];
const KINDS: [&str; 3] = ["standard-box", "parent", "origin"];
/// The zone of the front: the first clinic.
const OWN_ZONE: u8 = 3;
const CLINICS: u8 = 6;
const CACHES_PER_CLINIC: u32 = 5;
/// What the deployment carries, 470 accesses a second, over its eight fronts.
pub const REQUESTS_PER_S: f64 = 59.0;

/// The limits that a front is told.
pub struct Limits {
    pub memory_mb: u32,
    pub sockets: u32,
}

fn settings() -> String {
    let zones: Vec<String> = ZONES.iter().map(|z| format!("\"{z}\"")).collect();
    format!(
        r#"{{"clients":{{"marksRetry":true}},"family":"edge","fleetSize":8,"ordinal":0,"quantum":2.0,"zone":{OWN_ZONE},
"limits":{{"cancel":true,"connIdle":30000.0,"connectTimeout":400.0,"cpuUsPerRequest":0.0,"cpuUsPerS":500000,
  "maxAttempts":8,"maxOpen":20000,"maxRetryAfter":2000.0,"peers":false,"probing":false,"retryAfter":true,
  "secondCopies":true,"streamsPerConn":1}},
"localities":[{}],"machineTypes":["standard-box","parent","origin"],"overShareWorth":0.1,
"profiles":[
  {{"aim":500.0,"aimStretch":2.0,"deadline":5000.0,"group":"all","lateShare":0.15,"name":"media","repeatWindow":5000.0,
    "semantics":"free","streamed":false,"worth":2.0}},
  {{"aim":400.0,"aimStretch":2.0,"deadline":2500.0,"group":"all","lateShare":0.2,"name":"pages","repeatWindow":5000.0,
    "semantics":"free","streamed":false,"worth":1.0}}],
"projects":[],"registryMode":"automatic","report":{{"fields":[],"how":"silent"}},
"rules":{{"answerSlack":8.0,"askEvery":10000.0,"cold":17000.0,"drainGrace":1000.0,"fall":1500.0,"fallMultiple":2.0,
  "startCapacity":0.28}},
"specifics":{{"classStaleWorth":[0.7,0.5],"crewByZone":[0,0,0,1,1,1,1,2,2],"feedKbPerS":[0,0,0,90000,90000,90000,90000,90000,90000],
  "heedWithin":500.0,"hubOf":[0,1,2,0,0,1,1,2,2],"inPieces":[true,false],"lateral":"location","maxAge":[0.0,5000.0],
  "notesGiven":"all","originFall":0.0,"parentCold":20000.0,"parentColdFrom":0.079,"parentLimitFactor":2.0,
  "passOn":[false,false],"purgeDone":6000.0,"rootFallMultiple":0.0,"rootKind":2,"sharesFills":true,
  "staleFor":[0.0,10000.0],"straight":false,"streamKbPerS":8000.0,"transitPrice":0.04,"upperKind":1}},
"tier":0,"tiers":["clinic-cache"],"weightKind":"rough","worthBy":"request"}}"#,
        zones.join(",")
    )
}

/// The caches of all clinics, `own` of them in the front's zone, two parents and the origin. Caches of other zones get
/// loopback addresses at which nobody listens; a front has no business with them.
fn members(own: &[SocketAddr], parents: [SocketAddr; 2], origin: SocketAddr) -> Vec<Listed> {
    let member =
        |id, address, zone, kind, weight| Listed { id, address, state: 0, zone, kind, weight, started_ms: 0 };
    let mut members: Vec<Listed> =
        own.iter().enumerate().map(|(n, &a)| member(0x100 + n as u32, a, OWN_ZONE, 0, 30_000)).collect();
    for clinic in 1..CLINICS {
        for n in 0..own.len() as u32 {
            let id = 0x100 * (u32::from(clinic) + 1) + n;
            members.push(member(id, free_address(), OWN_ZONE + clinic, 0, 30_000));
        }
    }
    members.push(member(0xa00, parents[0], 0, 1, 120_000));
    members.push(member(0xa01, parents[1], 1, 1, 120_000));
    members.push(member(0xb00, origin, 0, 2, 200_000));
    members
}

fn config(name: &str, listen: SocketAddr, feed: SocketAddr, limits: &Limits, members: &[Listed]) -> String {
    format!(
        r#"{{"name":"{name}","listen":"{listen}","seed":"8c1f30d27a5be964",
"limits":{{"cores":1.0,"memory_mb":{},"sockets":{}}},"feed":"{feed}","flow_bytes_per_s":800000,"link_bytes_per_s":9000000,
"known":{},"settings":{}}}"#,
        limits.memory_mb,
        limits.sockets,
        known_json(members, &ZONES, &KINDS),
        settings()
    )
}

/// The caches of the front's zone, the parents, the origin, the control feed and one front.
pub struct Deployment {
    pub front: FrontProcess,
    pub caches: Vec<Member>,
    pub members: Vec<Listed>,
    pub feed: Feed,
    /// The front reaches the feed through it.
    pub discovery: DelayProxy,
    pub arrivals: Arrivals,
    _upstream: [Member; 3],
    _folder: TempFolder,
}

impl Deployment {
    /// Starts everything, and waits until the front is ready. `feed_delay` is that of [`DelayProxy`] once it is
    /// turned on.
    pub fn start(root: &Path, record: &Record, limits: &Limits, feed_delay: Duration) -> Deployment {
        let folder = TempFolder::create();
        let arrivals: Arrivals = Arc::default();
        let member = |id, is_origin, work_ms, fill_ms| {
            let [work, fill] = [work_ms, fill_ms].map(Duration::from_millis);
            Member::start(id, is_origin, work, fill, arrivals.clone(), record.clone())
        };
        let caches: Vec<Member> = (0..CACHES_PER_CLINIC).map(|n| member(0x100 + n, false, 60, 60)).collect();
        let upstream =
            [member(0xa00, false, 40, 40), member(0xa01, false, 40, 40), member(0xb00, true, 40, 0)];
        let own: Vec<SocketAddr> = caches.iter().map(|c| c.address).collect();
        let [first, second, origin] = [0, 1, 2].map(|n: usize| upstream[n].address);
        let members = members(&own, [first, second], origin);
        let feed = Feed::start(record.clone());
        let discovery = DelayProxy::start(feed.address, feed_delay);
        let listen = free_address();
        let config = config("n0", listen, discovery.address, limits, &members);
        let front = FrontProcess::start(root, &folder.0, "n0", listen, &config);
        if !wait_until_ready(listen, Duration::from_secs(20)) {
            let log = std::fs::read_to_string(folder.0.join("n0.log")).unwrap_or_default();
            cannot_run(&format!("the front does not get ready; its log:\n{log}"));
        }
        Deployment { front, caches, members, feed, discovery, arrivals, _upstream: upstream, _folder: folder }
    }
}
