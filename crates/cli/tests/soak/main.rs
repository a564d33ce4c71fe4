//! A real front through a whole life under seeded faults: its caches answer badly, clients do what they like on the
//! connections that they have, the system's calls fail, threads stall, the wall clock is stepped, discovery goes and comes
//! back, signals come in series; then it is told to end, and killed at the earliest moment that the terms allow, while clients
//! go on sending. What became of each request is judged by what clients and caches saw.
//!
//! `DOORGRADE_SOAK=FROM..TO` plays other seeds than the few that stand here, one line for each.

#[path = "../helper/mod.rs"]
mod helper;

mod cache;
mod client;
mod judge;
mod plan;

use std::net::TcpStream;
use std::os::unix::process::ExitStatusExt;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use doorgrade_standins::Feed;
use doorgrade_standins::feed::member_record;
use doorgrade_standins::ports::free_address;
use doorgrade_standins::shim::{Counter, Fault, Shim};
use fastrand::Rng;

use cache::{Cache, Record};
use client::{Client, KEYS, Request};
use helper::forced::config;
use helper::{Front, Launch, signal, until};
use judge::{Run, Told, Verdict, What};
use plan::Plan;

/// The terms: SIGKILL may come as early as this after the longest time of a request.
const KILL: Duration = Duration::from_millis(700);
/// New connections go on coming for so long after the word to stop.
const COMING: Duration = Duration::from_millis(400);
/// After discovery is back, the front follows it within so long; what is told just before it goes may not arrive.
const FOLLOWED_AGAIN: Duration = Duration::from_millis(1_300);
const SOON_DOWN: Duration = Duration::from_millis(100);
/// Seeds that are played where no others are asked for.
const SEEDS: std::ops::Range<u64> = 1..9;

/// What runs beside the front.
struct Rig {
    plan: Plan,
    front: Front,
    shim: Shim,
    caches: [Cache; 3],
    /// Both tell the same.
    feeds: [Feed; 2],
    /// When the front was told to follow the other feed.
    moves: Mutex<Vec<Instant>>,
    record: Record,
    told: Mutex<Vec<Told>>,
}

impl Rig {
    fn start(plan: Plan) -> Rig {
        let record: Record = Arc::default();
        let cache = |id: &str, n: u64| Cache::start(id, plan.spoilt, plan.seed ^ n << 40, &record).unwrap();
        let caches = [cache("s-00000001", 1), cache("s-00000002", 2), cache("s-00000020", 3)];
        let feeds = [(); 2].map(|()| Feed::start(&free_address().to_string()).unwrap());
        let shim = Shim::new(plan.seed).unwrap();
        let deadline = format!("\"deadline\": {}.0", plan.deadline.as_millis());
        let aim = format!("\"aim\": {}.0", plan.deadline.as_millis() / 3);
        let sockets = format!("\"sockets\": {}", plan.sockets);
        let changes = [
            ("\"deadline\": 2000.0", &*deadline),
            ("\"aim\": 400.0", &*aim),
            ("\"sockets\": 1024", &*sockets),
            ("\"connIdle\": 15000.0", "\"connIdle\": 2000.0"),
            ("\"log\": \"info\"", "\"log\": \"debug\""),
        ];
        let config = config([&caches[0].at, &caches[1].at, &caches[2].at, &feeds[0].address], &changes);
        let front = Launch { environment: shim.environment().unwrap(), ..Launch::default() }.start(&config);
        until("the feed is followed", || !feeds[0].resume_numbers().is_empty());
        Rig { plan, front, shim, caches, feeds, moves: Mutex::default(), record, told: Mutex::default() }
    }

    fn faults(&self) {
        let Plan { fails, interrupted, cut_short, lost, stalled, stall_us, .. } = self.plan;
        for (fault, value) in [
            (Fault::FailPerMille, fails),
            (Fault::InterruptPerMille, interrupted),
            (Fault::ShortPerMille, cut_short),
            (Fault::LosePerMille, lost),
            (Fault::StallPerMille, stalled),
            (Fault::StallUs, stall_us),
        ] {
            self.shim.set(fault, value).unwrap();
        }
    }

    /// Signals, steps of the clock and the feed's coming and going, in their order, until the word to stop and all that
    /// follows it have come.
    fn play(&self, begun: Instant, stays: &AtomicBool) -> Instant {
        let plan = &self.plan;
        let mut todo: Vec<(Duration, Act)> = plan.signals.iter().map(|s| (s.0, Act::Signal(s.1))).collect();
        todo.extend(plan.steps.iter().map(|s| (s.0, Act::Step(s.1))));
        if let Some((from, to)) = plan.feed_down {
            todo.extend([(from, Act::Feed { down: true }), (to, Act::Feed { down: false })]);
        }
        todo.push((plan.stop_at + COMING, Act::NoMoreConnections));
        todo.sort_by_key(|(at, _)| *at);
        let mut stopped = None;
        for (at, act) in todo {
            std::thread::sleep((begun + at).saturating_duration_since(Instant::now()));
            if matches!(act, Act::Signal("-TERM")) {
                stopped.get_or_insert_with(Instant::now);
            }
            self.act(&act, stays);
        }
        stopped.expect("the word to stop")
    }

    fn act(&self, act: &Act, stays: &AtomicBool) {
        let hour = 3_600_000_000_000;
        match act {
            // It may have ended in good order already.
            Act::Signal(name) => {
                if *name == "-HUP" && self.plan.feed_moves {
                    self.move_feed();
                }
                signal_if_there(&self.front, name);
            }
            Act::Step(ms) => {
                self.shim.set(Fault::ClockOffsetNs, (ms * 1_000_000).clamp(-hour, hour)).unwrap()
            }
            Act::Feed { down } => self.feeds.iter().for_each(|feed| feed.set_down(*down)),
            Act::NoMoreConnections => stays.store(true, Ordering::SeqCst),
        }
    }

    /// Purges now and then, and one cache that drains.
    fn tell(&self, begun: Instant, over: &AtomicBool) {
        let mut rng = Rng::with_seed(self.plan.seed ^ 7);
        let drains = begun + Duration::from_millis(rng.u64(500..2_000));
        let (mut number, mut drained) = (1, false);
        while !over.load(Ordering::SeqCst) {
            std::thread::sleep(Duration::from_millis(rng.u64(20..200)));
            number += 1;
            let at = Instant::now();
            let what = if !drained && at > drains {
                drained = true;
                let draining = member_record("s-00000002", self.caches[1].at, 1, 0, 0, 0);
                self.feeds
                    .iter()
                    .for_each(|feed| feed.publish_members(number, std::slice::from_ref(&draining)));
                What::Drains("s-00000002".into())
            } else {
                let key = 1 + rng.u64(0..KEYS);
                let purged_ms = doorgrade_standins::unix_ms();
                self.feeds.iter().for_each(|feed| feed.publish_purge(number, key, purged_ms));
                What::Purged(format!("{key:016x}"))
            };
            let heard = self.heard(begun, Instant::now());
            self.told.lock().unwrap().push(Told { what, at, heard });
        }
    }

    /// A new configuration, which names the feed that the one before did not.
    fn move_feed(&self) {
        let config = std::fs::read_to_string(&self.front.config).unwrap();
        let [one, other] = self.feeds.each_ref().map(|feed| feed.address.to_string());
        let moved = match config.contains(&one) {
            true => config.replace(&one, &other),
            false => config.replace(&other, &one),
        };
        let whole = self.front.config.with_extension("next");
        std::fs::write(&whole, moved).unwrap();
        std::fs::rename(&whole, &self.front.config).unwrap();
        self.moves.lock().unwrap().push(Instant::now());
    }

    /// What was told. The front may have heard it only after it had moved to another feed.
    fn all_told(&self) -> Vec<Told> {
        let moves = self.moves.lock().unwrap();
        let mut told = self.told.lock().unwrap().clone();
        for Told { at, heard, .. } in &mut told {
            for moved in moves.iter().filter(|&&moved| *at + SOON_DOWN > moved) {
                let again = *moved + FOLLOWED_AGAIN;
                if *at < again {
                    *heard = again.max(*heard);
                }
            }
        }
        told
    }

    /// When the front can have heard what was told at this time: discovery is asked anew after a second at the most.
    fn heard(&self, begun: Instant, at: Instant) -> Instant {
        let Some((down, up)) = self.plan.feed_down else { return at };
        let again = begun + up + FOLLOWED_AGAIN;
        if at + SOON_DOWN > begun + down && at < again { again } else { at }
    }
}

enum Act {
    Signal(&'static str),
    Step(i64),
    Feed { down: bool },
    NoMoreConnections,
}

fn signal_if_there(front: &Front, name: &str) {
    let id = front.process.id();
    let alive = std::fs::read_to_string(format!("/proc/{id}/stat")).is_ok_and(|stat| !stat.contains(") Z "));
    if alive {
        signal(id, name);
    }
}

/// Connections that say nothing, made again as they are ended.
fn crowd(front: std::net::SocketAddr, count: usize, stays: &AtomicBool) {
    let mut idle: Vec<TcpStream> = Vec::new();
    while !stays.load(Ordering::SeqCst) {
        idle.retain(|stream| {
            let _ = stream.set_nonblocking(true);
            !matches!(stream.peek(&mut [0; 1]), Ok(0))
                && !matches!(stream.peek(&mut [0; 1]), Err(e) if e.kind() != std::io::ErrorKind::WouldBlock)
        });
        if idle.len() < count {
            idle.extend(TcpStream::connect(front));
        }
        std::thread::sleep(Duration::from_millis(2));
    }
}

/// How late the rig's own threads come: the worst that a short sleep took too long.
fn lateness(over: &AtomicBool) -> Duration {
    let mut worst = Duration::ZERO;
    while !over.load(Ordering::SeqCst) {
        let asleep = Instant::now();
        std::thread::sleep(Duration::from_millis(1));
        worst = worst.max(asleep.elapsed().saturating_sub(Duration::from_millis(1)));
    }
    worst
}

fn play(seed: u64) -> (Plan, Verdict, String) {
    let plan = Plan::drawn(seed);
    let mut rig = Rig::start(plan.clone());
    let (stays, over) = (AtomicBool::new(false), AtomicBool::new(false));
    rig.faults();
    let begun = Instant::now();
    let (requests, killed, late) = std::thread::scope(|scope| {
        let (rig, stays, over) = (&rig, &stays, &over);
        let clients: Vec<_> = (0..plan.clients)
            .map(|n| {
                let rng = Rng::with_seed(seed ^ (n as u64 + 1) << 32);
                let (front, deadline) = (rig.front.at, plan.deadline);
                let client = Client { front, rng, deadline, stays, over, done: Vec::new() };
                scope.spawn(|| client.run())
            })
            .collect();
        scope.spawn(|| crowd(rig.front.at, plan.crowd, stays));
        scope.spawn(|| rig.tell(begun, over));
        let late = scope.spawn(|| lateness(over));
        let stopped = rig.play(begun, stays);
        let kill = stopped + plan.deadline + KILL;
        std::thread::sleep(kill.saturating_duration_since(Instant::now()));
        let killed = Instant::now();
        signal_if_there(&rig.front, "-KILL");
        over.store(true, Ordering::SeqCst);
        let requests: Vec<Request> = clients.into_iter().flat_map(|c| c.join().unwrap()).collect();
        (requests, killed, late.join().unwrap())
    });
    let status = rig.front.process.wait().unwrap();
    let asked = rig.record.lock().unwrap().clone();
    let told = rig.all_told();
    let run =
        Run { requests: &requests, asked: &asked, told: &told, killed, crowd: plan.crowd > 0, rig: late };
    let mut verdict = judge::judge(&run);
    let by_kill = status.signal() == Some(9);
    if !status.success() && !by_kill {
        verdict.broken.push(format!("it crashed: {status}"));
    }
    let seen = |what| rig.shim.read(what).unwrap();
    let faults = [Counter::Failed, Counter::Interrupted, Counter::Shortened, Counter::Lost, Counter::Stalled]
        .map(seen);
    let line = format!(
        "seed {seed}: a crowd of {}; {} requests, {} answered ({} served, {} late), {} left, {} crossed an end; {} attempts; faults \
         {faults:?}; rig late by {late:?}; ended {}; broken: {}",
        plan.crowd,
        requests.len(),
        verdict.answered,
        verdict.served,
        verdict.late,
        verdict.left,
        verdict.crossed,
        asked.len(),
        if by_kill { "by the kill" } else { "by itself" },
        verdict.broken.len()
    );
    if !verdict.broken.is_empty() {
        let path = std::env::temp_dir().join(format!("doorgrade-soak-{seed}.log"));
        std::fs::write(&path, rig.front.log().join("\n")).unwrap();
    }
    (plan, verdict, line)
}

fn seeds() -> std::ops::Range<u64> {
    let Ok(asked) = std::env::var("DOORGRADE_SOAK") else { return SEEDS };
    let (from, to) = asked.split_once("..").expect("DOORGRADE_SOAK=FROM..TO");
    from.parse().unwrap()..to.parse().unwrap()
}

#[test]
fn every_request_is_answered_once_whatever_happens_until_the_kill() {
    let mut failed = Vec::new();
    for seed in seeds() {
        let (plan, verdict, line) = play(seed);
        println!("{line}");
        assert!(verdict.answered > 100, "{line}");
        if !verdict.broken.is_empty() {
            let first = verdict.broken.iter().take(5).cloned().collect::<Vec<_>>().join("\n  ");
            failed.push(format!("{line}\n  {plan:?}\n  {first}"));
        }
    }
    assert!(failed.is_empty(), "{}", failed.join("\n"));
}
