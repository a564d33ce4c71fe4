//! What each class, each tenant, each effect and the largest objects get of one real front's answers, in each third of a run:
//! a quiet one, and one in whose middle third a cache is slow and another refuses. Answered is counted at the clients.

use std::path::{Path, PathBuf};
use std::sync::Mutex;
use std::time::{Duration, Instant};

use doorgrade_standins::client::AccessRequest;
use doorgrade_standins::{Client, Directory, Feed, Member, MemberConfig, Role, object_kb};
use fastrand::Rng;
use serde_json::json;

use crate::rig::{self, Folder, Front};
use crate::{Figures, RunArgs};

const WORKERS: usize = 60;
/// Of one worker, in a second: together some more than half of what the caches can do.
const RATE: f64 = 4.0;
/// Name, effect, whether it runs at the archive, its deadline in milliseconds.
const CLASSES: [(&str, &str, bool, u64); 4] = [
    ("films", "free", false, 2_500),
    ("pages", "free", false, 1_500),
    ("votes", "guarded", true, 2_000),
    ("orders", "single_shot", true, 2_000),
];
/// Of all accesses, by class.
const SHARES: [f64; 4] = [0.45, 0.35, 0.1, 0.1];
const TENANTS: u8 = 3;

/// One access, and whether it was answered as asked.
#[derive(Clone, Copy)]
struct Row {
    class: usize,
    tenant: u8,
    third: usize,
    kb: f64,
    answered: bool,
}

fn config(caches: &[Member], archive: &Member, feed: &Feed, seed: u64) -> String {
    let row = |m: &Member, flavor: &str| {
        json!({"id": m.id, "host_port": m.address.to_string(), "locality": "here", "flavor": flavor, "cell": 0,
            "phase": "in_service", "size": 1, "up_since_ms": 0})
    };
    let mut members: Vec<_> = caches.iter().map(|m| row(m, "cache")).collect();
    members.push(row(archive, "archive"));
    let profiles: Vec<_> = CLASSES
        .iter()
        .map(|(name, effect, _, deadline)| {
            json!({"name": name, "aim": 400.0, "aimStretch": 1.6, "deadline": deadline, "worth": 1.0,
                "semantics": effect, "group": "all", "repeatWindow": 1000.0})
        })
        .collect();
    let settings = json!({
        "zone": 0, "fleetSize": 1, "quantum": 2.0, "localities": ["here"], "machineTypes": ["cache", "archive"],
        "registryMode": "automatic", "weightKind": "nominal",
        "limits": {"cancel": true, "connIdle": 5000.0, "connectTimeout": 400.0, "maxAttempts": 6, "secondCopies": true},
        "profiles": profiles,
        "rules": {"cold": 8000.0, "fall": 1500.0, "fallMultiple": 3.0, "startCapacity": 0.2},
        "specifics": {"crewByZone": [1], "maxAge": [0.0, 8000.0, 0.0, 0.0], "notesGiven": "all",
            "passOn": CLASSES.map(|c| c.2), "purgeDone": 6000.0, "upperKind": -1, "rootKind": 1, "sharesFills": true,
            "straight": true, "streamKbPerS": 1000.0}
    });
    let members = json!({"revision": 1, "complete": true, "members": members});
    json!({"name": "shares", "listen": "127.0.0.1:0", "feed": feed.address.to_string(), "seed": format!("{seed:x}"),
        "limits": {"cores": 1.0, "memory_mb": 48, "sockets": 608},
        "known": {"n": 1, "events": [{"n": 1, "members": members}]}, "settings": settings})
    .to_string()
}

/// One client: it asks, waits as long as it said, and comes again some time later.
fn client(front: &Front, seed: u64, begun: Instant, lasts: Duration, rows: &Mutex<Vec<Row>>) {
    let mut rng = Rng::with_seed(seed);
    let mut client = Client::connect(front.at).ok();
    loop {
        std::thread::sleep(Duration::from_secs_f64((-(1.0 - rng.f64()).ln() / RATE).min(2.0)));
        let passed = begun.elapsed();
        if passed >= lasts {
            return;
        }
        let mut draw = rng.f64();
        let class = SHARES.iter().position(|share| {
            draw -= share;
            draw < 0.0
        });
        let class = class.unwrap_or(0);
        let (name, _, _, wait_ms) = CLASSES[class];
        // Some are asked for often, most now and then.
        let key = format!("{:016x}", (3_000.0 * rng.f64().powi(3)) as u64 + 10_000 * class as u64);
        let tenant = rng.u8(..TENANTS);
        let asked = AccessRequest { class: name, key: &key, bucket: tenant, timeout_ms: wait_ms, body: b"" };
        let answer = client
            .as_mut()
            .map(|c| c.send_access_with_size(&asked, object_kb(&key)).and_then(|_| c.receive()));
        let answered = matches!(&answer, Some(Ok((head, _))) if head.starts_with("Status: 200"));
        if !matches!(answer, Some(Ok(_))) {
            client = Client::connect(front.at).ok();
        }
        let third = (3.0 * passed.as_secs_f64() / lasts.as_secs_f64()) as usize;
        let row = Row { class, tenant, third, kb: object_kb(&key), answered };
        rows.lock().unwrap_or_else(std::sync::PoisonError::into_inner).push(row);
    }
}

fn play(
    how: &RunArgs,
    front: &Path,
    faulty: bool,
    lasts: Duration,
    places: usize,
) -> Result<Vec<Row>, String> {
    let directory = Directory::default();
    let fail = |e: std::io::Error| e.to_string();
    let member = |id: &str, role, at_once| {
        let (lag, per_kb) = (Duration::from_millis(3), Duration::from_micros(1_000));
        Member::start(
            MemberConfig {
                latency: lag,
                latency_per_kb: per_kb,
                max_in_flight: at_once,
                ..MemberConfig::new(id, "127.0.0.1:0", role)
            },
            &directory,
        )
    };
    let ids = ["s-00000001", "s-00000002", "s-00000003", "s-00000004"];
    let caches: Vec<_> =
        ids.iter().map(|id| member(id, Role::Cache, places).map_err(fail)).collect::<Result<_, _>>()?;
    let archive = member("s-00000020", Role::Archive, 30).map_err(fail)?;
    let feed = Feed::start("127.0.0.1:0").map_err(fail)?;
    let folder = Folder::new("shares")?;
    let config = folder.put("config.json", &config(&caches, &archive, &feed, how.seed))?;
    let front = Front::start(front, &config, None)?;
    let (rows, begun) = (Mutex::new(Vec::new()), Instant::now());
    std::thread::scope(|scope| {
        for worker in 0..WORKERS as u64 {
            let (front, rows) = (&front, &rows);
            scope.spawn(move || client(front, how.seed << 16 | worker, begun, lasts, rows));
        }
        for (part, on) in [(1u32, true), (2, false)] {
            std::thread::sleep((lasts * part / 3).saturating_sub(begun.elapsed()));
            if faulty {
                caches[0]
                    .update_faults(|f| f.extra_latency = Duration::from_millis(if on { 800 } else { 0 }));
                caches[1].update_faults(|f| f.full = on);
            }
        }
    });
    Ok(rows.into_inner().unwrap_or_else(std::sync::PoisonError::into_inner))
}

fn share(rows: &[Row], of: impl Fn(&Row) -> bool) -> f64 {
    let (asked, had) =
        rows.iter().filter(|r| of(r)).fold((0, 0), |(a, h), r| (a + 1, h + usize::from(r.answered)));
    f64::from(had as u32) / f64::from(asked.max(1) as u32)
}

pub fn run(how: &RunArgs, front: Option<PathBuf>, places: usize) -> Result<Figures, String> {
    let front = rig::program(front)?;
    let lasts = Duration::from_secs(if how.quick { 12 } else { 45 });
    let mut figures = Figures::default();
    for (run, faulty) in [("quiet", false), ("faulty", true)] {
        let rows = play(how, &front, faulty, lasts, places)?;
        figures.put(&format!("{run}_asked"), rows.len());
        figures.put_rounded(&format!("{run}_answered"), share(&rows, |_| true));
        let mut least = f64::MAX;
        for (class, (name, ..)) in CLASSES.iter().enumerate() {
            let mut sizes: Vec<f64> = rows.iter().filter(|r| r.class == class).map(|r| r.kb).collect();
            sizes.sort_by(|a, b| b.total_cmp(a));
            // The tenth with the largest objects, of few the quarter, and the next fifth.
            let largest = if sizes.len() < 400 { sizes.len() / 4 } else { sizes.len() / 10 };
            let at = |n: usize| sizes.get(n).copied().unwrap_or(0.0);
            let (tenth, fifth) = (at(largest), at(largest + sizes.len() / 5));
            let all = share(&rows, |r| r.class == class);
            let large = share(&rows, |r| r.class == class && r.kb > tenth);
            let next = share(&rows, |r| r.class == class && r.kb <= tenth && r.kb > fifth);
            figures.put_rounded(&format!("{run}_{name}"), all);
            figures.put_rounded(&format!("{run}_{name}_largest"), large);
            figures.put_rounded(&format!("{run}_{name}_next_fifth"), next);
            for third in 0..3 {
                let of = share(&rows, |r| r.class == class && r.third == third);
                figures.put_rounded(&format!("{run}_{name}_third_{}", third + 1), of);
            }
            least = least.min(large.min(next) / all.max(1e-6));
        }
        for effect in ["free", "guarded", "single_shot"] {
            figures.put_rounded(&format!("{run}_{effect}"), share(&rows, |r| CLASSES[r.class].1 == effect));
        }
        for tenant in 0..TENANTS {
            figures.put_rounded(&format!("{run}_tenant_{tenant}"), share(&rows, |r| r.tenant == tenant));
        }
        // At least 2/3 on a quiet run, 1/2 otherwise.
        figures.put_rounded(&format!("{run}_largest_over_class"), least);
    }
    Ok(figures)
}
