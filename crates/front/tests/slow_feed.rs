//! Guards against a front that never hears of a drain because discovery is slow, without sockets.
//!
//! In the failure, each byte of the feed came 3 s late. A connection to the feed was given up when it had brought no frame
//! for 2.5 s, and the next began anew, without end.

mod helper;

use doorgrade::Ticks;
use doorgrade_front::conn::ConnId;
use helper::*;

const FEED: u16 = 9092;
const DRAINING: u16 = 9101;
/// Connections to the feed at the same time: three established, and two being established.
const MAX_CONNS: usize = 5;

/// A feed whose bytes reach the front late.
struct SlowFeed {
    delay: Ticks,
    /// Each connection, and when it was established.
    established: Vec<(ConnId, Ticks)>,
    /// The most connections at the same time.
    max_conns: usize,
}

impl SlowFeed {
    fn new(delay: Ticks) -> SlowFeed {
        SlowFeed { delay, established: Vec::new(), max_conns: 0 }
    }

    /// Passes on what is due on each connection: a frame as soon as it was established, then one each second.
    fn step(&mut self, w: &mut World, frame: &[u8]) {
        let dialled: Vec<_> = w.connecting().into_iter().filter(|&c| w.port_of(c) == FEED).collect();
        dialled.into_iter().for_each(|conn| w.finish_connect(conn));
        let open = w.conns_to(FEED);
        self.max_conns = self.max_conns.max(open.len());
        self.established.retain(|(conn, _)| open.contains(conn));
        for conn in open {
            if !self.established.iter().any(|c| c.0 == conn) {
                self.established.push((conn, w.now));
            }
        }
        for (conn, since) in self.established.clone() {
            let age = w.now - since;
            if age >= self.delay && (age - self.delay).is_multiple_of(1_000 * MS) {
                w.send(conn, frame);
            }
        }
    }
}

#[test]
fn a_drain_is_heard_however_late_the_bytes_of_the_feed_come() {
    for delay_ms in [0, 1_000, 2_600, 3_000, 6_500, 12_000, 25_000] {
        let mut w = World::new(1, 128);
        let mut feed = SlowFeed::new(delay_ms * MS);
        let drains = frame(2, 2, &member_record(1, DRAINING, 1, 0, 0));
        let asked = |w: &World| w.request_counts.get(&DRAINING).copied().unwrap_or(0);
        let (steps_before, mut asked_before) = (delay_ms / 100 + 2, 0);
        for step in 0..steps_before + 50 {
            feed.step(&mut w, &drains);
            if step == steps_before {
                asked_before = asked(&w);
            }
            let client = w.client();
            w.send_request(client, 1, 100 + step, 1, step, 90);
            w.serve();
            w.advance(100 * MS);
            w.close(client);
        }
        assert_eq!(asked(&w), asked_before, "{delay_ms} ms late: the draining cache is left alone");
        assert!(delay_ms < 1_000 || asked_before > 0, "{delay_ms} ms late: it was asked before");
        assert!(feed.max_conns <= MAX_CONNS, "{} connections", feed.max_conns);
        assert_eq!(w.conns_to(FEED).len(), 1, "{delay_ms} ms: only one is kept once a frame has come");
    }
}

/// Each attempt to connect was given the settings' time of 400 ms.
#[test]
fn a_feed_that_takes_longer_to_connect_to_than_the_settings_allow_is_reached() {
    let mut w = World::new(1, 128);
    let started_at = w.now;
    let mut dialled: Vec<(ConnId, Ticks)> = Vec::new();
    while w.conns_to(FEED).is_empty() && w.now < started_at + 10_000 * MS {
        for conn in w.connecting() {
            if w.port_of(conn) == FEED && !dialled.iter().any(|d| d.0 == conn) {
                dialled.push((conn, w.now));
            }
        }
        let waiting = w.connecting();
        dialled.retain(|(conn, _)| waiting.contains(conn));
        assert!(dialled.len() <= 2, "{dialled:?}");
        for (conn, since) in dialled.clone() {
            // Connecting takes 3 s, and an attempt ends when the time that it was given is over.
            let timeout = w.connect_timeouts[&conn];
            match w.now - since {
                age if age >= 3_000 * MS => w.finish_connect(conn),
                age if age >= timeout => w.time_out_connect(conn),
                _ => {}
            }
        }
        w.advance(50 * MS);
    }
    assert_eq!(w.conns_to(FEED).len(), 1);
    assert!(w.now < started_at + 4_500 * MS, "{} ms", (w.now - started_at) / MS);
}
