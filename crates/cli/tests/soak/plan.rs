//! What one run is made of, drawn from its seed.

use std::time::Duration;

use fastrand::Rng;

/// A signal, and when it comes.
pub type Timed = (Duration, &'static str);

#[derive(Clone, Debug)]
pub struct Plan {
    pub seed: u64,
    /// The longest time that a request may take; the front is killed 0.7 s later than that after SIGTERM.
    pub deadline: Duration,
    /// Descriptors that the front is told of.
    pub sockets: usize,
    pub clients: usize,
    /// Connections that say nothing, and are made again when they are ended.
    pub crowd: usize,
    /// Before the word to stop.
    pub signals: Vec<Timed>,
    pub stop_at: Duration,
    /// Steps of the wall clock, in milliseconds, and when they come.
    pub steps: Vec<(Duration, i64)>,
    /// Between these the feed refuses connections.
    pub feed_down: Option<(Duration, Duration)>,
    /// Each new configuration names the other one of two feeds.
    pub feed_moves: bool,
    /// Of a cache's answers, so many in a hundred go wrong.
    pub spoilt: u8,
    /// In a thousand, as the preloaded library takes them.
    pub fails: i64,
    pub interrupted: i64,
    pub cut_short: i64,
    pub lost: i64,
    pub stalled: i64,
    pub stall_us: i64,
}

impl Plan {
    pub fn drawn(seed: u64) -> Plan {
        let mut rng = Rng::with_seed(seed);
        let stop_at = Duration::from_millis(rng.u64(2_500..4_000));
        let before = |rng: &mut Rng| Duration::from_millis(rng.u64(300..stop_at.as_millis() as u64));
        let mut signals: Vec<Timed> = (0..rng.usize(0..6))
            .map(|_| {
                let at = before(&mut rng);
                (at, *rng.choice(&["-HUP", "-USR1", "-USR2", "-HUP"]).unwrap_or(&"-HUP"))
            })
            .collect();
        // In series: some within the same moment, and the word to stop among them.
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
        let crowd = if rng.u8(0..3) == 0 { rng.usize(60..200) } else { 0 };
        let down = before(&mut rng);
        let [calls, bytes, threads] = [(); 3].map(|()| rng.u8(0..5) < 2);
        let if_drawn = |drawn: bool, value: i64| if drawn { value } else { 0 };
        Plan {
            seed,
            deadline: Duration::from_millis(*rng.choice(&[300, 800, 2_000]).unwrap_or(&800)),
            sockets: if crowd > 0 { 128 } else { *rng.choice(&[160, 512]).unwrap_or(&512) },
            clients: rng.usize(10..24),
            crowd,
            signals,
            stop_at,
            steps,
            feed_down: rng.bool().then(|| (down, down + Duration::from_millis(rng.u64(300..1_500)))),
            spoilt: *rng.choice(&[0, 5, 15]).unwrap_or(&5),
            fails: if_drawn(calls, 20),
            interrupted: if_drawn(calls, 50),
            cut_short: if_drawn(bytes, 200),
            lost: if_drawn(bytes, 5),
            stalled: if_drawn(threads, 20),
            stall_us: 15_000,
            feed_moves: rng.bool(),
        }
    }
}
