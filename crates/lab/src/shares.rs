//! Measures how fairly one real front serves: the share of accesses that is answered, by class, by tenant, by kind of
//! effect (idempotent, deduplicated, unrepeatable), for the largest objects, and by thirds of the run. The baseline is a run
//! without faults; in the other one, one cache of four is slow and another refuses everything during the middle third.
//! Answers are counted at the clients.

use std::path::{Path, PathBuf};
use std::sync::Mutex;
use std::time::{Duration, Instant};

use doorgrade_standins::client::AccessRequest;
use doorgrade_standins::{Client, Directory, Feed, Member, MemberConfig, Role, object_kb};
use fastrand::Rng;
use serde_json::json;

use crate::rig::{self, Folder, Front};
use crate::{Figures, RunArgs};

const CLIENTS: usize = 60;
/// Mean accesses per second of one client. All together offer somewhat more than half of what the caches can serve.
const RATE_PER_CLIENT: f64 = 4.0;
/// Name, semantics, whether accesses are passed on to the archive, and the timeout of clients in milliseconds.
const CLASSES: [(&str, &str, bool, u64); 4] = [
    ("films", "free", false, 2_500),
    ("pages", "free", false, 1_500),
    ("votes", "guarded", true, 2_000),
    ("orders", "single_shot", true, 2_000),
];
/// The share of each class in all accesses.
const CLASS_SHARES: [f64; 4] = [0.45, 0.35, 0.1, 0.1];
const TENANTS: u8 = 3;

/// The record of one access.
#[derive(Clone, Copy)]
struct AccessRecord {
    class: usize,
    tenant: u8,
    /// The third of the run in which it was made.
    third: usize,
    kb: f64,
    /// Answered with status 200.
    answered: bool,
}

fn config(caches: &[Member], archive: &Member, feed: &Feed, seed: u64) -> String {
    let member_json = |m: &Member, flavor: &str| {
        json!({"id": m.id, "host_port": m.address.to_string(), "locality": "here", "flavor": flavor, "cell": 0,
            "phase": "in_service", "size": 1, "up_since_ms": 0})
    };
    let mut members: Vec<_> = caches.iter().map(|m| member_json(m, "cache")).collect();
    members.push(member_json(archive, "archive"));
    let profiles: Vec<_> = CLASSES
        .iter()
        .map(|(name, semantics, _, deadline)| {
            json!({"name": name, "aim": 400.0, "aimStretch": 1.6, "deadline": deadline, "worth": 1.0,
                "semantics": semantics, "group": "all", "repeatWindow": 1000.0})
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

/// A client that makes one access after the other, with exponentially distributed pauses between them.
fn run_client(
    front: &Front,
    seed: u64,
    started_at: Instant,
    duration: Duration,
    records: &Mutex<Vec<AccessRecord>>,
) {
    let mut rng = Rng::with_seed(seed);
    let mut client = Client::connect(front.address).ok();
    loop {
        std::thread::sleep(Duration::from_secs_f64((-(1.0 - rng.f64()).ln() / RATE_PER_CLIENT).min(2.0)));
        let elapsed = started_at.elapsed();
        if elapsed >= duration {
            return;
        }
        let mut draw = rng.f64();
        let class = CLASS_SHARES.iter().position(|share| {
            draw -= share;
            draw < 0.0
        });
        let class = class.unwrap_or(0);
        let (name, _, _, timeout_ms) = CLASSES[class];
        // Popularity is skewed: a few objects are requested often, most of them rarely.
        let key = format!("{:016x}", (3_000.0 * rng.f64().powi(3)) as u64 + 10_000 * class as u64);
        let tenant = rng.u8(..TENANTS);
        let request = AccessRequest { class: name, key: &key, bucket: tenant, timeout_ms, body: b"" };
        let response = client
            .as_mut()
            .map(|c| c.send_access_with_size(&request, object_kb(&key)).and_then(|_| c.receive()));
        let answered = matches!(&response, Some(Ok((head, _))) if head.starts_with("Status: 200"));
        if !matches!(response, Some(Ok(_))) {
            client = Client::connect(front.address).ok();
        }
        let third = (3.0 * elapsed.as_secs_f64() / duration.as_secs_f64()) as usize;
        let record = AccessRecord { class, tenant, third, kb: object_kb(&key), answered };
        records.lock().unwrap_or_else(std::sync::PoisonError::into_inner).push(record);
    }
}

fn measure(
    run_args: &RunArgs,
    program: &Path,
    with_faults: bool,
    duration: Duration,
    max_in_flight: usize,
) -> Result<Vec<AccessRecord>, String> {
    let directory = Directory::default();
    let io = |e: std::io::Error| e.to_string();
    let member = |id: &str, role, max_in_flight| {
        let (latency, latency_per_kb) = (Duration::from_millis(3), Duration::from_micros(1_000));
        Member::start(
            MemberConfig {
                latency,
                latency_per_kb,
                max_in_flight,
                ..MemberConfig::new(id, "127.0.0.1:0", role)
            },
            &directory,
        )
    };
    let ids = ["s-00000001", "s-00000002", "s-00000003", "s-00000004"];
    let caches: Vec<_> =
        ids.iter().map(|id| member(id, Role::Cache, max_in_flight).map_err(io)).collect::<Result<_, _>>()?;
    let archive = member("s-00000020", Role::Archive, 30).map_err(io)?;
    let feed = Feed::start("127.0.0.1:0").map_err(io)?;
    let folder = Folder::new("shares")?;
    let config = folder.put("config.json", &config(&caches, &archive, &feed, run_args.seed))?;
    let front = Front::start(program, &config, None)?;
    let (records, started_at) = (Mutex::new(Vec::new()), Instant::now());
    std::thread::scope(|scope| {
        for n in 0..CLIENTS as u64 {
            let (front, records) = (&front, &records);
            scope.spawn(move || run_client(front, run_args.seed << 16 | n, started_at, duration, records));
        }
        for (thirds, on) in [(1u32, true), (2, false)] {
            std::thread::sleep((duration * thirds / 3).saturating_sub(started_at.elapsed()));
            if with_faults {
                caches[0]
                    .update_faults(|f| f.extra_latency = Duration::from_millis(if on { 800 } else { 0 }));
                caches[1].update_faults(|f| f.full = on);
            }
        }
    });
    Ok(records.into_inner().unwrap_or_else(std::sync::PoisonError::into_inner))
}

/// The share of the selected accesses that was answered.
fn answered_share(records: &[AccessRecord], select: impl Fn(&AccessRecord) -> bool) -> f64 {
    let (requested, answered) = records
        .iter()
        .filter(|r| select(r))
        .fold((0, 0), |(all, got), r| (all + 1, got + usize::from(r.answered)));
    f64::from(answered as u32) / f64::from(requested.max(1) as u32)
}

pub fn run(run_args: &RunArgs, front: Option<PathBuf>, max_in_flight: usize) -> Result<Figures, String> {
    let program = rig::program(front)?;
    let duration = Duration::from_secs(if run_args.quick { 12 } else { 45 });
    let mut figures = Figures::default();
    for (run, with_faults) in [("quiet", false), ("faulty", true)] {
        let records = measure(run_args, &program, with_faults, duration, max_in_flight)?;
        figures.put(&format!("{run}_asked"), records.len());
        figures.put_rounded(&format!("{run}_answered"), answered_share(&records, |_| true));
        let mut worst_ratio = f64::MAX;
        for (class, (name, ..)) in CLASSES.iter().enumerate() {
            let mut sizes: Vec<f64> = records.iter().filter(|r| r.class == class).map(|r| r.kb).collect();
            sizes.sort_by(|a, b| b.total_cmp(a));
            // The tenth of the accesses with the largest objects (a quarter if there are few), and the fifth after them.
            let largest = if sizes.len() < 400 { sizes.len() / 4 } else { sizes.len() / 10 };
            let at = |n: usize| sizes.get(n).copied().unwrap_or(0.0);
            let (largest_above, next_above) = (at(largest), at(largest + sizes.len() / 5));
            let all = answered_share(&records, |r| r.class == class);
            let large = answered_share(&records, |r| r.class == class && r.kb > largest_above);
            let next =
                answered_share(&records, |r| r.class == class && r.kb <= largest_above && r.kb > next_above);
            figures.put_rounded(&format!("{run}_{name}"), all);
            figures.put_rounded(&format!("{run}_{name}_largest"), large);
            figures.put_rounded(&format!("{run}_{name}_next_fifth"), next);
            for third in 0..3 {
                let share = answered_share(&records, |r| r.class == class && r.third == third);
                figures.put_rounded(&format!("{run}_{name}_third_{}", third + 1), share);
            }
            worst_ratio = worst_ratio.min(large.min(next) / all.max(1e-6));
        }
        for semantics in ["free", "guarded", "single_shot"] {
            figures.put_rounded(
                &format!("{run}_{semantics}"),
                answered_share(&records, |r| CLASSES[r.class].1 == semantics),
            );
        }
        for tenant in 0..TENANTS {
            figures.put_rounded(
                &format!("{run}_tenant_{tenant}"),
                answered_share(&records, |r| r.tenant == tenant),
            );
        }
        // The goal is at least 2/3 in the run without faults and 1/2 in the other one.
        figures.put_rounded(&format!("{run}_largest_over_class"), worst_ratio);
    }
    Ok(figures)
}
