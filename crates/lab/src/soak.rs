//! Memory and descriptors of one real front over as many accesses as 45 minutes bring, in minutes: it is played by
//! count, not by the clock, so what only time lets go of has less time here. All the while caches are replaced by new
//! ones under new ids, objects and clients' ids are always new in part, purges come, connections are made and dropped in the
//! middle of requests, and some clients hold theirs for good. The front is a process on loopback, all else stand-ins.
//!
//! It is read in quarters: memory that keeps growing shows as a last quarter above the second.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering::SeqCst};
use std::time::{Duration, Instant};

use doorgrade_standins::feed::record;
use doorgrade_standins::{Client, Directory, Feed, Member, Role, Spec, unix_ms};
use fastrand::Rng;
use serde_json::json;

use crate::rig::{self, Folder, Front};
use crate::{Figures, RunArgs};

/// Some tens of accesses a second at most come to one front of a large fleet: 60 of them, for 45 minutes.
const ACCESSES: u64 = 60 * 45 * 60;
const CACHES: usize = 6;
const WORKERS: usize = 24;

fn config(caches: &[Member], archive: &Member, feed: &Feed, seed: u64) -> String {
    let row = |m: &Member, place: &str, flavor: &str| {
        json!({"id": m.id, "host_port": m.at.to_string(), "locality": place, "flavor": flavor, "cell": 0,
            "phase": "in_service", "size": 1, "up_since_ms": 0})
    };
    let mut members: Vec<_> = caches.iter().map(|m| row(m, "here", "cache")).collect();
    members.push(row(archive, "here", "archive"));
    let profile = |name: &str, kind: &str| json!({"name": name, "aim": 400.0, "deadline": 1500.0, "worth": 1.0, "semantics": kind});
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
    json!({"name": "soak", "listen": "127.0.0.1:0", "feed": feed.at.to_string(), "seed": format!("{seed:x}"), "log": "info",
        "limits": {"cores": 1.0, "memory_mb": 48, "sockets": 608},
        "known": {"n": 1, "events": [{"n": 1, "members": members}]}, "settings": settings})
    .to_string()
}

/// Memory in use in MB, and descriptors.
fn holds(process: u32) -> Result<(f64, usize), String> {
    let open = std::fs::read_dir(format!("/proc/{process}/fd")).map_or(0, Iterator::count);
    Ok((rig::memory_mb(process)?, open))
}

struct Shared {
    done: AtomicU64,
    lost: AtomicU64,
    stop: AtomicBool,
}

/// One client after the other: some accesses on a connection, then another connection.
fn clients(at: std::net::SocketAddr, seed: u64, most: u64, shared: &Shared) {
    let mut rng = Rng::with_seed(seed);
    let mut held = Vec::new();
    while shared.done.load(SeqCst) < most && !shared.stop.load(SeqCst) {
        let Ok(mut client) = Client::connect(at) else { continue };
        for _ in 0..rng.u32(1..20) {
            // A third are of objects that nobody asks for twice.
            let key = if rng.u8(0..3) == 0 { rng.u64(..) } else { rng.u64(0..500) };
            let class = if rng.u8(0..20) == 0 { "license" } else { "files" };
            let answer = client.ask(class, &format!("{key:016x}"), 1_500);
            shared.done.fetch_add(1, SeqCst);
            if answer.is_err() {
                shared.lost.fetch_add(1, SeqCst);
                break;
            }
        }
        match rng.u8(0..40) {
            // Gone in the middle of a request.
            0 => drop(client.send(&[("SCRIPT_NAME", "/do/files"), ("HTTP_REQ_KEY", "00")], b"")),
            // Held for good: the front has to close it.
            1 if held.len() < 8 => held.push(client),
            _ => {}
        }
    }
}

pub fn run(how: &RunArgs, named: Option<std::path::PathBuf>) -> Result<Figures, String> {
    let program = rig::program(named)?;
    let most = if how.quick { ACCESSES / 10 } else { ACCESSES };
    let io = |e: std::io::Error| e.to_string();
    let folder = Folder::new("soak")?;
    let directory = Directory::default();
    let mut ids = 1u32;
    let mut next = || {
        ids += 1;
        format!("s-{ids:08x}")
    };
    let spec =
        |id: &str, role| Spec { keeps: 200, lag: Duration::ZERO, ..Spec::new(id, "127.0.0.1:0", role) };
    let mut caches = Vec::new();
    for _ in 0..CACHES {
        caches.push(Member::start(spec(&next(), Role::Cache), &directory).map_err(io)?);
    }
    let archive = Member::start(spec(&next(), Role::Archive), &directory).map_err(io)?;
    let feed = Feed::start("127.0.0.1:0").map_err(io)?;
    let path = folder.put("config.json", &config(&caches, &archive, &feed, how.seed))?;
    let front = Front::start(&program, &path, None)?;
    let shared =
        Arc::new(Shared { done: AtomicU64::new(0), lost: AtomicU64::new(0), stop: AtomicBool::new(false) });
    let begun = Instant::now();
    let workers: Vec<_> = (0..WORKERS as u64)
        .map(|n| {
            let (shared, at, seed) = (shared.clone(), front.at, how.seed.wrapping_mul(1_000).wrapping_add(n));
            std::thread::spawn(move || clients(at, seed, most, &shared))
        })
        .collect();

    // The largest of each eighth, so that a moment's low does not hide growth.
    let (mut eighths, mut open, mut replaced, mut purges, mut number) =
        (vec![0f64; 8], vec![0; 8], 0u64, 0u64, 1u64);
    let mut rng = Rng::with_seed(how.seed);
    // As often as 45 minutes would see with one cache replaced in 3 s, and as many purges.
    let changes = most / 180;
    let mut changed = 0;
    loop {
        let done = shared.done.load(SeqCst);
        if done >= most || begun.elapsed() > Duration::from_secs(1_200) {
            break;
        }
        let at = (8 * done / most).min(7) as usize;
        let (mb, fds) = holds(front.process())?;
        (eighths[at], open[at]) = (eighths[at].max(mb), open[at].max(fds));
        while changed < done * changes / most {
            changed += 1;
            let (old, new) =
                (rng.usize(0..CACHES), Member::start(spec(&next(), Role::Cache), &directory).map_err(io)?);
            let gone = std::mem::replace(&mut caches[old], new);
            let listed = record(&caches[old].id, caches[old].at, 0, 0, 0, unix_ms());
            let left = record(&gone.id, gone.at, 2, 0, 0, 0);
            number += 1;
            feed.list(number, &[listed, left]);
            gone.kill();
            replaced += 1;
            number += 1;
            feed.purge(number, rng.u64(0..500), unix_ms());
            purges += 1;
        }
        std::thread::sleep(Duration::from_millis(20));
    }
    shared.stop.store(true, SeqCst);
    workers.into_iter().for_each(|w| drop(w.join()));
    let half = |from: usize, of: &[f64]| of[from..from + 2].iter().copied().fold(0.0, f64::max);
    let mut figures = Figures::default();
    figures.put("accesses", shared.done.load(SeqCst));
    figures.put("not_answered", shared.lost.load(SeqCst));
    figures.put_rounded("seconds", begun.elapsed().as_secs_f64());
    figures.put("caches_replaced", replaced);
    figures.put("purges", purges);
    for (quarter, from) in [("first", 0), ("second", 2), ("third", 4), ("last", 6)] {
        figures.put_rounded(&format!("memory_mb_{quarter}_quarter"), half(from, &eighths));
    }
    figures.put_rounded("growth_mb_second_half", half(6, &eighths) - half(2, &eighths));
    figures.put("descriptors_most", open.into_iter().max().unwrap_or(0));
    figures.put("limit_mb", 48);
    Ok(figures)
}
