//! Expiry, rotation of seal keys, names of peers, and slow peers.

use std::collections::BTreeMap;

use doorgrade_trust::expiry::{STEPS, Span, Watched, Word};
use doorgrade_trust::pace::{FIRST_WORD, HANDSHAKE, LEAST_RATE, MESSAGE, Pace};
use doorgrade_trust::peer::covers;
use doorgrade_trust::rotation::{LEAST_BYTES, Objection, check, replaces, spare};
use doorgrade_trust::{TICKS_PER_DAY, TICKS_PER_SECOND};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

const START: u64 = 17_000_000_000_000;

#[test]
fn what_expires_is_announced_weeks_ahead_once_a_step_and_daily_at_the_end() {
    let span = Span { from: START, to: START + 60 * TICKS_PER_DAY };
    let mut watched = Watched::new(span);
    let mut said = Vec::new();
    // Looked at each hour, from a day before it is good to three days after its end.
    for hour in 0..64 * 24 {
        let now = START - TICKS_PER_DAY + hour * 3_600 * TICKS_PER_SECOND;
        if let Some(word) = watched.due(now) {
            said.push((now, word));
        }
    }
    assert_eq!(said[0], (START - TICKS_PER_DAY, Word::NotYet(TICKS_PER_DAY)));
    let soon: Vec<u64> = said
        .iter()
        .filter(|s| matches!(s.1, Word::Soon(_)))
        .map(|s| (span.to - s.0) / TICKS_PER_DAY)
        .collect();
    assert_eq!(soon, STEPS);
    let ended = said.iter().filter(|s| matches!(s.1, Word::Ended(_))).count();
    assert_eq!(ended, 3, "at its end and each day after it: {said:?}");
    assert_eq!(Word::Soon(41 * TICKS_PER_DAY).to_string(), "expires in 41 days");
    assert_eq!(Word::Ended(90 * 60 * TICKS_PER_SECOND).to_string(), "expired 90 minutes ago");
}

#[test]
fn a_renewed_certificate_is_quiet_and_one_as_short_is_told_again_only_if_it_differs() {
    let short = Span { from: START, to: START + 10 * TICKS_PER_DAY };
    let mut watched = Watched::new(short);
    assert!(watched.due(START).is_some());
    watched.renewed(short);
    assert_eq!(watched.due(START + TICKS_PER_SECOND), None);
    watched.renewed(Span { from: START, to: START + 400 * TICKS_PER_DAY });
    assert_eq!(watched.due(START + TICKS_PER_SECOND), None);
    watched.renewed(Span { from: START, to: START + 9 * TICKS_PER_DAY });
    assert!(matches!(watched.due(START + TICKS_PER_SECOND), Some(Word::Soon(_))));
}

proptest! {
    #![proptest_config(ProptestConfig { rng_seed: RngSeed::Fixed(7), cases: 200, ..ProptestConfig::default() })]

    /// Whoever looks only when told to says all that whoever looks all the time says.
    #[test]
    fn looking_when_told_to_misses_nothing(length in 1u64..100 * 24, start in 0u64..120 * 24) {
        let hour = 3_600 * TICKS_PER_SECOND;
        let span = Span { from: START + 10 * hour, to: START + (10 + length) * hour };
        let end = span.to + 5 * TICKS_PER_DAY;
        let mut all = Watched::new(span);
        let each = (START + start * hour..end).step_by(60 * TICKS_PER_SECOND as usize * 10);
        let often: Vec<_> = each.filter_map(|now| all.due(now)).map(|w| std::mem::discriminant(&w)).collect();
        let mut seldom = Watched::new(span);
        let (mut now, mut said) = (START + start * hour, Vec::new());
        while now < end {
            said.extend(seldom.due(now).map(|w| std::mem::discriminant(&w)));
            let next = span.next(now);
            prop_assert!(next > now);
            now = next;
        }
        prop_assert_eq!(often, said);
    }
}

fn key(number: u32, byte: u8) -> (u32, Vec<u8>) {
    (number, vec![byte; LEAST_BYTES])
}

#[test]
fn a_key_stays_as_long_as_somebody_runs_what_it_sealed() {
    let old = [key(1, 1)];
    let both = [key(1, 1), key(2, 2)];
    let used = |one, two| BTreeMap::from([(1, one), (2, two)]);
    assert_eq!(replaces(&old, &both, &used(20, 0)), Ok(()));
    assert_eq!(spare(&both, &used(20, 0)), []);
    // Half of the fronts have the version that the new one sealed.
    assert_eq!(replaces(&both, &[key(2, 2)], &used(10, 10)), Err(Objection::InUse { key: 1, fronts: 10 }));
    assert_eq!(spare(&both, &used(0, 20)), [1]);
    assert_eq!(replaces(&both, &[key(2, 2)], &used(0, 20)), Ok(()));
    // The one that seals is never spare, also where nobody runs anything.
    assert_eq!(spare(&[key(2, 2)], &BTreeMap::new()), []);
}

#[test]
fn sets_of_keys_that_would_do_harm_are_refused_with_the_key() {
    assert_eq!(check(&[]), Err(Objection::Empty));
    assert_eq!(check(&[key(1, 1), key(1, 2)]), Err(Objection::Twice(1)));
    assert_eq!(check(&[(4, vec![0; 31])]), Err(Objection::Short { key: 4, bytes: 31 }));
    let none = BTreeMap::new();
    assert_eq!(replaces(&[key(1, 1)], &[key(1, 9)], &none), Err(Objection::Changed(1)));
    assert!(Objection::Changed(1).to_string().contains("expected a new number"));
}

#[test]
fn a_certificate_covers_its_own_name_or_its_station() {
    assert!(covers(["n3.hillside"], "n3.hillside"));
    assert!(covers(["*.hillside"], "N3.Hillside"));
    assert!(!covers(["*.hillside"], "n3.harbour"));
    assert!(!covers(["*.hillside"], "a.n3.hillside"), "a star stands for one word");
    assert!(!covers(["*.hillside"], "hillside"));
    assert!(!covers(["*.hillside"], ".hillside"));
    assert!(!covers(["*", "*.*", "n*.hillside", "*.", ""], "n3.hillside"));
    assert!(!covers(["*.hillside"], "*.hillside"), "nobody is called a star");
    let many: Vec<String> = (0..100).map(|n| format!("n{n}")).collect();
    assert!(covers(many.iter().map(String::as_str), "n63"));
    assert!(!covers(many.iter().map(String::as_str), "n64"), "only so many names are looked at");
}

#[test]
fn whoever_sends_a_byte_a_second_is_late_and_a_long_message_on_a_slow_link_is_not() {
    let mut pace = Pace::begin(START);
    assert!(!pace.late(START + HANDSHAKE - 1) && pace.late(START + HANDSHAKE));
    pace.shook_hands(START, true);
    // The first word in single bytes: it gets no more time for each.
    (0..5).for_each(|n| pace.moved(START + n * TICKS_PER_SECOND, 1, false));
    assert!(pace.late(START + FIRST_WORD));
    pace.moved(START + TICKS_PER_SECOND, 10, true);
    assert_eq!(pace.until(), None, "nothing is owed between messages");
    // A later message in single bytes.
    let (mut now, begun) = (START + 100 * TICKS_PER_SECOND, START + 100 * TICKS_PER_SECOND);
    while !pace.late(now) {
        pace.moved(now, 1, false);
        now += TICKS_PER_SECOND;
        assert!(now < begun + 60 * TICKS_PER_SECOND, "it is cut off");
    }
    assert!(now <= begun + MESSAGE + TICKS_PER_SECOND);
    // 32 MB at a little over the least rate.
    pace.moved(now, 1, true);
    let begun = now;
    for _ in 0..512 {
        pace.moved(now, LEAST_RATE, false);
        now += TICKS_PER_SECOND;
        assert!(!pace.late(now), "after {} s", (now - begun) / TICKS_PER_SECOND);
    }
}
