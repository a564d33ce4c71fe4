//! Memory and descriptors of one real front over as many accesses as 45 minutes bring, within minutes: the run ends after a
//! number of accesses, so state that expires by time has less time to do so. All the while, caches are replaced by new ones
//! under new ids, a part of the objects and client ids is always new, purges are sent, clients connect and disconnect in the
//! middle of requests, and some keep idle connections open. The front is a process on loopback, everything else is simulated.
//!
//! Memory is reported by quarters of the run: a leak shows as a last quarter above the second.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering::SeqCst};
use std::time::{Duration, Instant};

use doorgrade_standins::feed::member_record;
use doorgrade_standins::{Client, Directory, Feed, Member, MemberConfig, Role, unix_ms};
use fastrand::Rng;
use serde_json::json;

use crate::rig::{self, Folder, Front};
use crate::{Figures, RunArgs};

/// 60 a second for 45 minutes; a front of a large fleet gets some tens a second at most.
const ACCESSES: u64 = 60 * 45 * 60;
const CACHES: usize = 6;
const CLIENT_THREADS: usize = 24;

fn config(caches: &[Member], archive: &Member, feed: &Feed, seed: u64) -> String {
    let member_json = |m: &Member, locality: &str, machine_type: &str| {
        json!({"id": m.id, "host_port": m.address.to_string(), "locality": locality, "flavor": machine_type, "cell": 0,
            "phase": "in_service", "size": 1, "up_since_ms": 0})
    };
    let mut members: Vec<_> = caches.iter().map(|m| member_json(m, "here", "cache")).collect();
    members.push(member_json(archive, "here", "archive"));
    let profile = |name: &str, semantics: &str| json!({"name": name, "aim": 400.0, "deadline": 1500.0, "worth": 1.0, "semantics": semantics});
    let settings = json!({
        "zone": 0, "fleetSize": 1, "quantum": 2.0, "localities": ["here"], "machineTypes": ["cache", "archive"],
        "registryMode": "automatic", "weightKind": "nominal",
        "limits": {"cancel": true, "connIdle": 5000.0, "connectTimeout": 400.0, "maxAttempts": 6, "secondCopies": true},
        "profiles": [profile("files", "free"), profile("license", "single_shot")],
        "rules": {"cold": 200.0, "fall": 500.0, "fallMultiple": 100.0, "startCapacity": 0.5},
        "specifics": {"crewByZone": [1], "maxAge": [0.0, 0.0], "notesGiven": "all", "passOn": [false, true],
            "purgeDone": 6000.0, "upperKind": -1, "rootKind": 1, "sharesFills": true, "straight": true}
    });
    let members = json!({"revision": 1, "complete": true, "members": members});
    json!({"name": "soak", "listen": "127.0.0.1:0", "feed": feed.address.to_string(), "seed": format!("{seed:x}"), "log": "info",
        "limits": {"cores": 1.0, "memory_mb": 48, "sockets": 608},
        "known": {"n": 1, "events": [{"n": 1, "members": members}]}, "settings": settings})
    .to_string()
}

/// Resident memory in MB, and open descriptors.
fn memory_and_descriptors(process: u32) -> Result<(f64, usize), String> {
    let descriptors = std::fs::read_dir(format!("/proc/{process}/fd")).map_or(0, Iterator::count);
    Ok((rig::memory_mb(process)?, descriptors))
}

struct Shared {
    accesses: AtomicU64,
    not_answered: AtomicU64,
    stop: AtomicBool,
}

/// One client after the other, each with some accesses on a connection of its own.
fn run_clients(address: std::net::SocketAddr, seed: u64, max_accesses: u64, shared: &Shared) {
    let mut rng = Rng::with_seed(seed);
    let mut idle = Vec::new();
    while shared.accesses.load(SeqCst) < max_accesses && !shared.stop.load(SeqCst) {
        let Ok(mut client) = Client::connect(address) else { continue };
        for _ in 0..rng.u32(1..20) {
            // A third are of objects that are accessed only once.
            let key = if rng.u8(0..3) == 0 { rng.u64(..) } else { rng.u64(0..500) };
            let class = if rng.u8(0..20) == 0 { "license" } else { "files" };
            let response = client.request(class, &format!("{key:016x}"), 1_500);
            shared.accesses.fetch_add(1, SeqCst);
            if response.is_err() {
                shared.not_answered.fetch_add(1, SeqCst);
                break;
            }
        }
        match rng.u8(0..40) {
            // Disconnects in the middle of a request.
            0 => drop(client.send(&[("SCRIPT_NAME", "/do/files"), ("HTTP_REQ_KEY", "00")], b"")),
            // Keeps the connection open until the front closes it.
            1 if idle.len() < 8 => idle.push(client),
            _ => {}
        }
    }
}

pub fn run(run_args: &RunArgs, front_path: Option<std::path::PathBuf>) -> Result<Figures, String> {
    let program = rig::program(front_path)?;
    let max_accesses = if run_args.quick { ACCESSES / 10 } else { ACCESSES };
    let io = |e: std::io::Error| e.to_string();
    let folder = Folder::new("soak")?;
    let directory = Directory::default();
    let mut last_id = 1u32;
    let mut next_id = || {
        last_id += 1;
        format!("s-{last_id:08x}")
    };
    let spec = |id: &str, role| MemberConfig {
        max_copies: 200,
        latency: Duration::ZERO,
        ..MemberConfig::new(id, "127.0.0.1:0", role)
    };
    let mut caches = Vec::new();
    for _ in 0..CACHES {
        caches.push(Member::start(spec(&next_id(), Role::Cache), &directory).map_err(io)?);
    }
    let archive = Member::start(spec(&next_id(), Role::Archive), &directory).map_err(io)?;
    let feed = Feed::start("127.0.0.1:0").map_err(io)?;
    let path = folder.put("config.json", &config(&caches, &archive, &feed, run_args.seed))?;
    let front = Front::start(&program, &path, None)?;
    let shared = Arc::new(Shared {
        accesses: AtomicU64::new(0),
        not_answered: AtomicU64::new(0),
        stop: AtomicBool::new(false),
    });
    let began_at = Instant::now();
    let threads: Vec<_> = (0..CLIENT_THREADS as u64)
        .map(|n| {
            let (shared, address, seed) =
                (shared.clone(), front.address, run_args.seed.wrapping_mul(1_000).wrapping_add(n));
            std::thread::spawn(move || run_clients(address, seed, max_accesses, &shared))
        })
        .collect();

    // The maximum in each eighth of the run, since a single low sample could hide growth.
    let (mut memory_mb, mut descriptors, mut replaced, mut purges, mut last_event) =
        (vec![0f64; 8], vec![0; 8], 0u64, 0u64, 1u64);
    let mut rng = Rng::with_seed(run_args.seed);
    // One cache is replaced and one object purged for each 180 accesses, which 60 a second would bring in 3 s.
    let replacements = max_accesses / 180;
    let mut started_replacements = 0;
    loop {
        let accesses = shared.accesses.load(SeqCst);
        if accesses >= max_accesses || began_at.elapsed() > Duration::from_secs(1_200) {
            break;
        }
        let eighth = (8 * accesses / max_accesses).min(7) as usize;
        let (mb, open) = memory_and_descriptors(front.process_id())?;
        (memory_mb[eighth], descriptors[eighth]) = (memory_mb[eighth].max(mb), descriptors[eighth].max(open));
        while started_replacements < accesses * replacements / max_accesses {
            started_replacements += 1;
            let (index, new) =
                (rng.usize(0..CACHES), Member::start(spec(&next_id(), Role::Cache), &directory).map_err(io)?);
            let old = std::mem::replace(&mut caches[index], new);
            let listed = member_record(&caches[index].id, caches[index].address, 0, 0, 0, unix_ms());
            let removed = member_record(&old.id, old.address, 2, 0, 0, 0);
            last_event += 1;
            feed.publish_members(last_event, &[listed, removed]);
            old.kill();
            replaced += 1;
            last_event += 1;
            feed.publish_purge(last_event, rng.u64(0..500), unix_ms());
            purges += 1;
        }
        std::thread::sleep(Duration::from_millis(20));
    }
    shared.stop.store(true, SeqCst);
    threads.into_iter().for_each(|t| drop(t.join()));
    let quarter_max =
        |from: usize, values: &[f64]| values[from..from + 2].iter().copied().fold(0.0, f64::max);
    let mut figures = Figures::default();
    figures.put("accesses", shared.accesses.load(SeqCst));
    figures.put("not_answered", shared.not_answered.load(SeqCst));
    figures.put_rounded("seconds", began_at.elapsed().as_secs_f64());
    figures.put("caches_replaced", replaced);
    figures.put("purges", purges);
    for (quarter, from) in [("first", 0), ("second", 2), ("third", 4), ("last", 6)] {
        figures.put_rounded(&format!("memory_mb_{quarter}_quarter"), quarter_max(from, &memory_mb));
    }
    figures.put_rounded("growth_mb_second_half", quarter_max(6, &memory_mb) - quarter_max(2, &memory_mb));
    figures.put("descriptors_most", descriptors.into_iter().max().unwrap_or(0));
    figures.put("limit_mb", 48);
    Ok(figures)
}
