//! What an access has set goes with it: a front's memory doesn't depend on how many accesses it has answered.

mod helper;

use helper::*;

/// Timers that belong to no access: the sweep, the feed's and the phase's.
const STANDING_TIMERS: usize = 4;
/// A push has a time-out and a check for being overdue.
const TIMERS_OF_PUSH: usize = 2;

fn establish_all(w: &mut World) {
    w.connecting().into_iter().for_each(|conn| w.finish_connect(conn));
}

/// The failure: the time-out of each push stayed set until the hard limit of its access, also when the push had ended or
/// was never sent, and clients at full speed brought a front past its memory limit (review/7).
#[test]
fn timers_of_accesses_that_have_ended_are_taken_out() {
    let mut w = World::new(11, 128);
    let client = w.client();
    for access in 1..2_000 {
        w.send_request(client, 1, access, (access % 4) as usize, access % 50, 2_000);
        establish_all(&mut w);
        match access % 3 {
            0 => w.abort(access),
            _ => w.busy_conns().into_iter().for_each(|conn| w.reply(conn, 200, false, "h")),
        }
        w.advance(MS / 5);
        let open = w.open_accesses().len();
        // Unrepeatable accesses whose client has left are still out at their cache until they time out.
        let limit = STANDING_TIMERS + TIMERS_OF_PUSH * (open + w.busy_conns().len());
        assert!(w.reducer.timer_count() <= limit, "{} timers, {limit} allowed", w.reducer.timer_count());
    }
    w.advance(3_000 * MS);
    assert!(w.reducer.timer_count() <= STANDING_TIMERS, "{} timers", w.reducer.timer_count());
}

/// The same for pushes that end as never sent, because no connection can be made, and for accesses that are declined.
#[test]
fn timers_of_pushes_that_were_never_sent_are_taken_out() {
    let mut w = World::new(12, 128);
    w.refusing_ports.extend([9101, 9102, 9103, 9110, 9120]);
    let client = w.client();
    for access in 1..500 {
        w.send_request(client, 1, access, 0, access % 50, 2_000);
        for _ in 0..8 {
            establish_all(&mut w);
        }
        w.advance(MS / 5);
        let limit = STANDING_TIMERS + TIMERS_OF_PUSH * w.open_accesses().len();
        assert!(w.reducer.timer_count() <= limit, "{} timers, {limit} allowed", w.reducer.timer_count());
    }
}
