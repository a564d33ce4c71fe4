//! The plan of one run, generated from its seed.

use std::time::Duration;

use fastrand::Rng;

/// A signal, and when it is sent.
pub type TimedSignal = (Duration, &'static str);

#[derive(Clone, Debug)]
pub struct Plan {
    pub seed: u64,
    /// The longest time that a request may take; the front gets SIGKILL 0.7 s later than that after SIGTERM.
    pub deadline: Duration,
    /// The configured limit of descriptors.
    pub sockets: usize,
    pub clients: usize,
    /// Connections that send nothing and are reopened when the front closes them.
    pub idle_connections: usize,
    /// Signals, including the SIGTERM at `stop_at`.
    pub signals: Vec<TimedSignal>,
    pub stop_at: Duration,
    /// Steps of the wall clock, in milliseconds, and when they happen.
    pub steps: Vec<(Duration, i64)>,
    /// The feed refuses connections between these times.
    pub feed_down: Option<(Duration, Duration)>,
    /// Each reload names the other one of two feeds.
    pub switches_feed: bool,
    /// Faulty responses of a cache, in percent.
    pub fault_percent: u8,
    /// Rates of injected system faults, per thousand calls.
    pub failed: i64,
    pub interrupted: i64,
    pub shortened: i64,
    pub lost: i64,
    pub stalled: i64,
    pub stall_us: i64,
}

impl Plan {
    pub fn from_seed(seed: u64) -> Plan {
        let mut rng = Rng::with_seed(seed);
        let stop_at = Duration::from_millis(rng.u64(2_500..4_000));
        let before = |rng: &mut Rng| Duration::from_millis(rng.u64(300..stop_at.as_millis() as u64));
        let mut signals: Vec<TimedSignal> = (0..rng.usize(0..6))
            .map(|_| {
                let at = before(&mut rng);
                (at, *rng.choice(&["-HUP", "-USR1", "-USR2", "-HUP"]).unwrap_or(&"-HUP"))
            })
            .collect();
        // A burst: several signals at the same time, with SIGTERM among them.
        signals.extend([(stop_at, "-HUP"), (stop_at, "-TERM")]);
        for _ in 0..rng.usize(0..3) {
            let later = stop_at + Duration::from_millis(rng.u64(0..300));
            signals.push((later, *rng.choice(&["-TERM", "-HUP", "-USR1"]).unwrap_or(&"-TERM")));
        }
        signals.sort();
        let steps = match rng.u8(0..3) {
            0 => {
                let ms = *rng.choice(&[3_600_000, -3_600_000, 7_000, -7_000, 700, -700]).unwrap_or(&700);
                vec![(before(&mut rng), ms)]
            }
            _ => Vec::new(),
        };
        let idle_connections = if rng.u8(0..3) == 0 { rng.usize(60..200) } else { 0 };
        let down = before(&mut rng);
        let [calls, bytes, threads] = [(); 3].map(|()| rng.u8(0..5) < 2);
        let if_chosen = |chosen: bool, value: i64| if chosen { value } else { 0 };
        Plan {
            seed,
            deadline: Duration::from_millis(*rng.choice(&[300, 800, 2_000]).unwrap_or(&800)),
            sockets: if idle_connections > 0 { 128 } else { *rng.choice(&[160, 512]).unwrap_or(&512) },
            clients: rng.usize(10..24),
            idle_connections,
            signals,
            stop_at,
            steps,
            feed_down: rng.bool().then(|| (down, down + Duration::from_millis(rng.u64(300..1_500)))),
            fault_percent: *rng.choice(&[0, 5, 15]).unwrap_or(&5),
            failed: if_chosen(calls, 20),
            interrupted: if_chosen(calls, 50),
            shortened: if_chosen(bytes, 200),
            lost: if_chosen(bytes, 5),
            stalled: if_chosen(threads, 20),
            stall_us: 15_000,
            switches_feed: rng.bool(),
        }
    }
}
