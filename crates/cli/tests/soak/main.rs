//! Runs a real front from start to exit under seeded faults: caches respond wrongly, clients use connections in every
//! legal way, system calls fail, threads stall, the wall clock is stepped, discovery goes down and comes back, signals
//! come in bursts. Then the front gets SIGTERM, and SIGKILL at the earliest time that the acceptance rules allow, while
//! clients keep sending. The outcome of each request is checked against what clients and caches observed.
//!
//! `DOORGRADE_SOAK=FROM..TO` runs other seeds than `SEEDS`, and prints one line for each.

#[path = "../helper/mod.rs"]
mod helper;

mod cache;
mod client;
mod judge;
mod plan;
mod start_times;

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
use helper::standins::example_config;
use helper::{Front, Launch, signal, wait_until};
use judge::{FeedEvent, FeedMessage, Run, Verdict};
use plan::Plan;

/// By the acceptance rules, SIGKILL may follow SIGTERM by the longest time of a request plus this.
const KILL_DELAY: Duration = Duration::from_millis(700);
/// Clients keep opening new connections for this long after SIGTERM.
const CONNECTING_AFTER_STOP: Duration = Duration::from_millis(400);
/// Maximum time in which the front subscribes again once discovery is back.
const RESUBSCRIBE_TIME: Duration = Duration::from_millis(1_300);
/// Feed messages sent less than this before discovery goes down may not arrive.
const LOST_BEFORE_DOWN: Duration = Duration::from_millis(100);
/// The seeds to run by default.
const SEEDS: std::ops::Range<u64> = 1..9;

/// The front and what runs beside it.
struct Rig {
    plan: Plan,
    front: Front,
    shim: Shim,
    caches: [Cache; 3],
    /// Both send the same messages.
    feeds: [Feed; 2],
    /// When the front's configuration was switched to the other feed.
    feed_switches: Mutex<Vec<Instant>>,
    record: Record,
    messages: Mutex<Vec<FeedMessage>>,
}

impl Rig {
    fn start(plan: Plan) -> Rig {
        let record: Record = Arc::default();
        let cache =
            |id: &str, n: u64| Cache::start(id, plan.fault_percent, plan.seed ^ n << 40, &record).unwrap();
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
        let config = example_config(
            [&caches[0].address, &caches[1].address, &caches[2].address, &feeds[0].address],
            &changes,
        );
        let front = Launch { environment: shim.environment().unwrap(), ..Launch::default() }.start(&config);
        wait_until("the front subscribes to the feed", || !feeds[0].resume_numbers().is_empty());
        Rig {
            plan,
            front,
            shim,
            caches,
            feeds,
            feed_switches: Mutex::default(),
            record,
            messages: Mutex::default(),
        }
    }

    fn inject_faults(&self) {
        let Plan { failed, interrupted, shortened, lost, stalled, stall_us, .. } = self.plan;
        for (fault, value) in [
            (Fault::FailPerMille, failed),
            (Fault::InterruptPerMille, interrupted),
            (Fault::ShortPerMille, shortened),
            (Fault::LosePerMille, lost),
            (Fault::StallPerMille, stalled),
            (Fault::StallUs, stall_us),
        ] {
            self.shim.set(fault, value).unwrap();
        }
    }

    /// Plays signals, clock steps and feed outages in order of time, to the end of the plan; when SIGTERM was sent.
    fn play(&self, started_at: Instant, no_new_connections: &AtomicBool) -> Instant {
        let plan = &self.plan;
        let mut actions: Vec<(Duration, Action)> =
            plan.signals.iter().map(|s| (s.0, Action::Signal(s.1))).collect();
        actions.extend(plan.steps.iter().map(|s| (s.0, Action::Step(s.1))));
        if let Some((from, to)) = plan.feed_down {
            actions.extend([(from, Action::Feed { down: true }), (to, Action::Feed { down: false })]);
        }
        actions.push((plan.stop_at + CONNECTING_AFTER_STOP, Action::NoMoreConnections));
        actions.sort_by_key(|(at, _)| *at);
        let mut stopped_at = None;
        for (at, action) in actions {
            std::thread::sleep((started_at + at).saturating_duration_since(Instant::now()));
            if matches!(action, Action::Signal("-TERM")) {
                stopped_at.get_or_insert_with(Instant::now);
            }
            self.perform(&action, no_new_connections);
        }
        stopped_at.expect("the plan contains SIGTERM")
    }

    fn perform(&self, action: &Action, no_new_connections: &AtomicBool) {
        let hour_ns = 3_600_000_000_000;
        match action {
            // The front may have exited normally already.
            Action::Signal(name) => {
                if *name == "-HUP" && self.plan.switches_feed {
                    self.switch_feed();
                }
                signal_if_running(&self.front, name);
            }
            Action::Step(ms) => {
                self.shim.set(Fault::ClockOffsetNs, (ms * 1_000_000).clamp(-hour_ns, hour_ns)).unwrap()
            }
            Action::Feed { down } => self.feeds.iter().for_each(|feed| feed.set_down(*down)),
            Action::NoMoreConnections => no_new_connections.store(true, Ordering::SeqCst),
        }
    }

    /// Sends purges at random times, and the drain of one cache.
    fn send_feed_messages(&self, started_at: Instant, over: &AtomicBool) {
        let mut rng = Rng::with_seed(self.plan.seed ^ 7);
        let drain_at = started_at + Duration::from_millis(rng.u64(500..2_000));
        let (mut number, mut drained) = (1, false);
        while !over.load(Ordering::SeqCst) {
            std::thread::sleep(Duration::from_millis(rng.u64(20..200)));
            number += 1;
            let at = Instant::now();
            let event = if !drained && at > drain_at {
                drained = true;
                let draining = member_record("s-00000002", self.caches[1].address, 1, 0, 0, 0);
                self.feeds
                    .iter()
                    .for_each(|feed| feed.publish_members(number, std::slice::from_ref(&draining)));
                FeedEvent::Drains("s-00000002".into())
            } else {
                let key = 1 + rng.u64(0..KEYS);
                let purged_ms = doorgrade_standins::unix_ms();
                self.feeds.iter().for_each(|feed| feed.publish_purge(number, key, purged_ms));
                FeedEvent::Purged(format!("{key:016x}"))
            };
            let received_by = self.received_by(started_at, Instant::now());
            self.messages.lock().unwrap().push(FeedMessage { event, at, received_by });
        }
    }

    /// Writes a configuration that names the other feed.
    fn switch_feed(&self) {
        let config = std::fs::read_to_string(&self.front.config).unwrap();
        let [one, other] = self.feeds.each_ref().map(|feed| feed.address.to_string());
        let switched = match config.contains(&one) {
            true => config.replace(&one, &other),
            false => config.replace(&other, &one),
        };
        let new_file = self.front.config.with_extension("next");
        std::fs::write(&new_file, switched).unwrap();
        std::fs::rename(&new_file, &self.front.config).unwrap();
        self.feed_switches.lock().unwrap().push(Instant::now());
    }

    /// The messages that were sent, with `received_by` extended where the front may have received one only after it had
    /// switched to the other feed.
    fn all_messages(&self) -> Vec<FeedMessage> {
        let switches = self.feed_switches.lock().unwrap();
        let mut messages = self.messages.lock().unwrap().clone();
        for FeedMessage { at, received_by, .. } in &mut messages {
            for switched_at in switches.iter().filter(|&&switched_at| *at + LOST_BEFORE_DOWN > switched_at) {
                let subscribed_at = *switched_at + RESUBSCRIBE_TIME;
                if *at < subscribed_at {
                    *received_by = subscribed_at.max(*received_by);
                }
            }
        }
        messages
    }

    /// When the front must have received a message sent at this time: it reconnects to discovery at least once a second.
    fn received_by(&self, started_at: Instant, at: Instant) -> Instant {
        let Some((down, up)) = self.plan.feed_down else { return at };
        let subscribed_at = started_at + up + RESUBSCRIBE_TIME;
        if at + LOST_BEFORE_DOWN > started_at + down && at < subscribed_at { subscribed_at } else { at }
    }
}

enum Action {
    Signal(&'static str),
    Step(i64),
    Feed { down: bool },
    NoMoreConnections,
}

fn signal_if_running(front: &Front, name: &str) {
    let id = front.process.id();
    let alive = std::fs::read_to_string(format!("/proc/{id}/stat")).is_ok_and(|stat| !stat.contains(") Z "));
    if alive {
        signal(id, name);
    }
}

/// Keeps `count` idle connections open, and replaces those that the front closes.
fn keep_idle_connections(front: std::net::SocketAddr, count: usize, no_new_connections: &AtomicBool) {
    let mut idle: Vec<TcpStream> = Vec::new();
    while !no_new_connections.load(Ordering::SeqCst) {
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

/// How late the test's own threads run: the maximum delay of a short sleep.
fn max_scheduling_delay(over: &AtomicBool) -> Duration {
    let mut max = Duration::ZERO;
    while !over.load(Ordering::SeqCst) {
        let slept_from = Instant::now();
        std::thread::sleep(Duration::from_millis(1));
        max = max.max(slept_from.elapsed().saturating_sub(Duration::from_millis(1)));
    }
    max
}

fn run_seed(seed: u64) -> (Plan, Verdict, String) {
    let plan = Plan::from_seed(seed);
    let mut rig = Rig::start(plan.clone());
    let (no_new_connections, over) = (AtomicBool::new(false), AtomicBool::new(false));
    rig.inject_faults();
    let started_at = Instant::now();
    let (requests, killed_at, scheduling_delay) = std::thread::scope(|scope| {
        let (rig, no_new_connections, over) = (&rig, &no_new_connections, &over);
        let clients: Vec<_> = (0..plan.clients)
            .map(|n| {
                let rng = Rng::with_seed(seed ^ (n as u64 + 1) << 32);
                let (front, deadline) = (rig.front.address, plan.deadline);
                let client = Client { front, rng, deadline, no_new_connections, over, done: Vec::new() };
                scope.spawn(|| client.run())
            })
            .collect();
        scope.spawn(|| keep_idle_connections(rig.front.address, plan.idle_connections, no_new_connections));
        scope.spawn(|| rig.send_feed_messages(started_at, over));
        let late = scope.spawn(|| max_scheduling_delay(over));
        let stopped_at = rig.play(started_at, no_new_connections);
        let kill_at = stopped_at + plan.deadline + KILL_DELAY;
        std::thread::sleep(kill_at.saturating_duration_since(Instant::now()));
        let killed_at = Instant::now();
        signal_if_running(&rig.front, "-KILL");
        over.store(true, Ordering::SeqCst);
        let requests: Vec<Request> = clients.into_iter().flat_map(|c| c.join().unwrap()).collect();
        (requests, killed_at, late.join().unwrap())
    });
    let status = rig.front.process.wait().unwrap();
    let mut received = rig.record.lock().unwrap().clone();
    start_times::apply(&rig.shim.sent_requests().unwrap(), &mut received);
    let messages = rig.all_messages();
    let run = Run {
        requests: &requests,
        received: &received,
        messages: &messages,
        killed_at,
        descriptors_exhausted: plan.idle_connections > 0,
        scheduling_delay,
    };
    let mut verdict = judge::judge(&run);
    let killed = status.signal() == Some(9);
    if !status.success() && !killed {
        verdict.violations.push(format!("it crashed: {status}"));
    }
    let count = |counter| rig.shim.read(counter).unwrap();
    let faults = [Counter::Failed, Counter::Interrupted, Counter::Shortened, Counter::Lost, Counter::Stalled]
        .map(count);
    let summary = format!(
        "seed {seed}: {} idle connections; {} requests, {} with a response ({} served, {} late), {} left by clients, {} crossed \
         a close; {} attempts; faults {faults:?}; test late by {scheduling_delay:?}; exited {}; violations: {}",
        plan.idle_connections,
        requests.len(),
        verdict.answered,
        verdict.served,
        verdict.late,
        verdict.left,
        verdict.crossed,
        received.len(),
        if killed { "by SIGKILL" } else { "by itself" },
        verdict.violations.len()
    );
    if !verdict.violations.is_empty() {
        let path = std::env::temp_dir().join(format!("doorgrade-soak-{seed}.log"));
        std::fs::write(&path, rig.front.log().join("\n")).unwrap();
    }
    (plan, verdict, summary)
}

fn seeds() -> std::ops::Range<u64> {
    let Ok(range) = std::env::var("DOORGRADE_SOAK") else { return SEEDS };
    let (from, to) = range.split_once("..").expect("DOORGRADE_SOAK=FROM..TO");
    from.parse().unwrap()..to.parse().unwrap()
}

#[test]
fn every_request_gets_one_response_under_random_faults_until_the_kill() {
    let mut failed = Vec::new();
    for seed in seeds() {
        let (plan, verdict, line) = run_seed(seed);
        println!("{line}");
        assert!(verdict.answered > 100, "{line}");
        if !verdict.violations.is_empty() {
            let first = verdict.violations.iter().take(5).cloned().collect::<Vec<_>>().join("\n  ");
            failed.push(format!("{line}\n  {plan:?}\n  {first}"));
        }
    }
    assert!(failed.is_empty(), "{}", failed.join("\n"));
}
