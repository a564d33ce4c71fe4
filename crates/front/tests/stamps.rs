//! Times that others tell, read beside a wall clock that is stepped, rightly or wrongly, or stood wrong at the start.

use doorgrade::Ticks;
use doorgrade_front::stamps::{Stamps, Told};

const S: Ticks = 10_000;
const HOUR: Ticks = 3_600 * S;
/// A time of the process.
const NOW: Ticks = 17_000_000_000_000;

/// The wall clock shows `ahead` more than this process counts.
fn stamps(ahead: i64) -> Stamps {
    let mut stamps = Stamps::default();
    stamps.set_wall(NOW, NOW.saturating_add_signed(ahead));
    stamps
}

#[test]
fn a_time_is_read_by_the_clock_that_was_right() {
    for ago in [0, S / 10, 2 * S] {
        // It was right at the start and was stepped wrongly since: what others tell is as it was.
        for step in [0, HOUR as i64, -(HOUR as i64), 5 * S as i64, -5 * (S as i64)] {
            let read = stamps(step).local(NOW, NOW - ago);
            assert!(read >= NOW - ago && read <= NOW, "{ago} ago, stepped by {step}: {read}");
        }
        // It stood wrong at the start and was put right since: others tell what it shows now.
        for wrong in [HOUR as i64, -(HOUR as i64), 5 * S as i64] {
            let told = (NOW - ago).saturating_add_signed(-wrong);
            assert_eq!(stamps(-wrong).local(NOW, told), NOW - ago, "{ago} ago, off by {wrong} at the start");
        }
    }
    assert_eq!(stamps(0).local(NOW, NOW + HOUR), NOW, "nothing is told that lies in the future");
}

#[test]
fn a_purge_that_is_told_as_it_happens_or_after_an_outage_binds_whatever_the_clocks_say() {
    for wrong in [0, HOUR as i64, -(HOUR as i64), 5 * S as i64, -5 * (S as i64)] {
        let told = (NOW - S / 5).saturating_add_signed(-wrong);
        assert_eq!(stamps(0).purged(NOW, told, Told::AsItHappens), NOW, "off by {wrong}");
        let since = NOW - 8 * S;
        let read = stamps(0).purged(NOW, told, Told::Behind { since });
        assert!(read >= since && read <= NOW, "off by {wrong}: {read}");
    }
    // Where the clocks agree, what was missed is no younger than it is.
    let read = stamps(0).purged(NOW, NOW - 3 * S, Told::Behind { since: NOW - 8 * S });
    assert_eq!(read, NOW - 3 * S);
}

#[test]
fn purges_known_at_the_start_are_as_old_as_the_latest_word_says() {
    for wrong in [HOUR as i64, -(HOUR as i64), 5 * S as i64] {
        let told = |ago: Ticks| (NOW - ago).saturating_add_signed(-wrong);
        let latest = told(S / 2);
        let read = |ago| stamps(0).purged(NOW, told(ago), Told::AtStart { latest });
        assert_eq!([read(S / 2), read(4 * S)], [NOW, NOW - 7 * S / 2], "off by {wrong}");
    }
}

#[test]
fn a_start_is_read_once_and_is_no_older_than_lists_run_behind() {
    let mut stamps = stamps(0);
    // Told as it happens by a clock that is an hour behind this one: it has just started.
    let told = NOW - HOUR - S;
    assert_eq!(stamps.started(NOW, 1, told, Told::AsItHappens), NOW);
    assert_eq!(
        stamps.started(NOW + 5 * S, 1, told, Told::AsItHappens),
        NOW,
        "told again, it is the same start"
    );
    // By a clock that is ahead: not in the future, and again the same.
    assert_eq!(stamps.started(NOW, 2, NOW + HOUR, Told::AsItHappens), NOW);
    assert_eq!(stamps.started(NOW + 5 * S, 2, NOW + HOUR, Told::AsItHappens), NOW);
    // A list that runs some seconds behind.
    assert_eq!(stamps.started(NOW, 3, NOW - 8 * S, Told::AsItHappens), NOW - 8 * S);
    // One that is met first after a time without word may have started long ago.
    assert_eq!(stamps.started(NOW, 4, NOW - HOUR, Told::Behind { since: NOW - 8 * S }), NOW - HOUR);
    stamps.forget(|member| member != 3);
    assert_eq!(stamps.started(NOW + 20 * S, 3, NOW - 8 * S, Told::AsItHappens), NOW + 20 * S);
}
