//! Conversion of times of other machines, with a wall clock that was stepped, to a right or a wrong time, or
//! was wrong at the start.

use doorgrade::Ticks;
use doorgrade_front::remote_times::{Arrival, RemoteTimes};

const S: Ticks = 10_000;
const HOUR: Ticks = 3_600 * S;
/// A time of this process.
const NOW: Ticks = 17_000_000_000_000;

/// The wall clock shows `ahead` more than this process's time.
fn times(ahead: i64) -> RemoteTimes {
    let mut times = RemoteTimes::default();
    times.set_wall(NOW, NOW.saturating_add_signed(ahead));
    times
}

#[test]
fn a_time_is_converted_by_the_clock_that_was_right() {
    for ago in [0, S / 10, 2 * S] {
        // The clock was right at the start and was stepped to a wrong time since: reported times need no
        // conversion.
        for step in [0, HOUR as i64, -(HOUR as i64), 5 * S as i64, -5 * (S as i64)] {
            let read = times(step).to_local(NOW, NOW - ago);
            assert!(read >= NOW - ago && read <= NOW, "{ago} ago, stepped by {step}: {read}");
        }
        // The clock was wrong at the start and was corrected since: reported times follow the corrected
        // clock.
        for wrong in [HOUR as i64, -(HOUR as i64), 5 * S as i64] {
            let reported = (NOW - ago).saturating_add_signed(-wrong);
            assert_eq!(
                times(-wrong).to_local(NOW, reported),
                NOW - ago,
                "{ago} ago, off by {wrong} at the start"
            );
        }
    }
    assert_eq!(times(0).to_local(NOW, NOW + HOUR), NOW, "no report lies in the future");
}

#[test]
fn a_purge_reported_live_or_after_an_outage_applies_whatever_the_clocks_show() {
    for wrong in [0, HOUR as i64, -(HOUR as i64), 5 * S as i64, -5 * (S as i64)] {
        let reported = (NOW - S / 5).saturating_add_signed(-wrong);
        assert_eq!(times(0).purged_at(NOW, reported, Arrival::Live), NOW, "off by {wrong}");
        let since = NOW - 8 * S;
        let read = times(0).purged_at(NOW, reported, Arrival::CatchUp { since });
        assert!(read >= since && read <= NOW, "off by {wrong}: {read}");
    }
    // If the clocks agree, a missed purge is taken as old as it is.
    let read = times(0).purged_at(NOW, NOW - 3 * S, Arrival::CatchUp { since: NOW - 8 * S });
    assert_eq!(read, NOW - 3 * S);
}

#[test]
fn purges_known_at_the_start_are_dated_from_the_latest_event() {
    for wrong in [HOUR as i64, -(HOUR as i64), 5 * S as i64] {
        let reported = |ago: Ticks| (NOW - ago).saturating_add_signed(-wrong);
        let latest = reported(S / 2);
        let read = |ago| times(0).purged_at(NOW, reported(ago), Arrival::Startup { latest });
        assert_eq!([read(S / 2), read(4 * S)], [NOW, NOW - 7 * S / 2], "off by {wrong}");
    }
}

#[test]
fn a_start_is_converted_once_and_is_no_older_than_the_list_delay() {
    let mut times = times(0);
    // Reported live, by a clock that is an hour behind this one: it has just started.
    let reported = NOW - HOUR - S;
    assert_eq!(times.started_at(NOW, 1, reported, Arrival::Live), NOW);
    assert_eq!(
        times.started_at(NOW + 5 * S, 1, reported, Arrival::Live),
        NOW,
        "reported again, it is the same start"
    );
    // By a clock that is ahead: not in the future, and the same if reported again.
    assert_eq!(times.started_at(NOW, 2, NOW + HOUR, Arrival::Live), NOW);
    assert_eq!(times.started_at(NOW + 5 * S, 2, NOW + HOUR, Arrival::Live), NOW);
    // A list that is some seconds late.
    assert_eq!(times.started_at(NOW, 3, NOW - 8 * S, Arrival::Live), NOW - 8 * S);
    // A start first reported after a gap in the connection may be long ago.
    assert_eq!(times.started_at(NOW, 4, NOW - HOUR, Arrival::CatchUp { since: NOW - 8 * S }), NOW - HOUR);
    times.retain(|member| member != 3);
    assert_eq!(times.started_at(NOW + 20 * S, 3, NOW - 8 * S, Arrival::Live), NOW + 20 * S);
}
