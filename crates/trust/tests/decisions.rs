//! Expiry warnings, rotation of seal keys, names of peers, and timeouts of slow peers.

use std::collections::BTreeMap;

use doorgrade_trust::expiry::{ExpiryWatch, Validity, WARNING_DAYS, Warning};
use doorgrade_trust::peer::covers;
use doorgrade_trust::rotation::{KeySetError, MIN_SECRET_BYTES, check, check_replacement, removable};
use doorgrade_trust::timeouts::{FIRST_MESSAGE, HANDSHAKE, MESSAGE, MIN_BYTES_PER_SECOND, PeerTimeout};
use doorgrade_trust::{TICKS_PER_DAY, TICKS_PER_SECOND};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

const START: u64 = 17_000_000_000_000;

#[test]
fn an_expiry_is_reported_weeks_ahead_once_per_warning_day_and_daily_after_it() {
    let validity = Validity { not_before: START, not_after: START + 60 * TICKS_PER_DAY };
    let mut watch = ExpiryWatch::new(validity);
    let mut reported = Vec::new();
    // Checked each hour, from a day before it is valid to three days after its expiry.
    for hour in 0..64 * 24 {
        let now = START - TICKS_PER_DAY + hour * 3_600 * TICKS_PER_SECOND;
        if let Some(warning) = watch.take_warning(now) {
            reported.push((now, warning));
        }
    }
    assert_eq!(reported[0], (START - TICKS_PER_DAY, Warning::ValidIn(TICKS_PER_DAY)));
    let days_before: Vec<u64> = reported
        .iter()
        .filter(|r| matches!(r.1, Warning::ExpiresIn(_)))
        .map(|r| (validity.not_after - r.0) / TICKS_PER_DAY)
        .collect();
    assert_eq!(days_before, WARNING_DAYS);
    let expired = reported.iter().filter(|r| matches!(r.1, Warning::ExpiredFor(_))).count();
    assert_eq!(expired, 3, "at its expiry and each day after it: {reported:?}");
    assert_eq!(Warning::ExpiresIn(41 * TICKS_PER_DAY).to_string(), "expires in 41 days");
    assert_eq!(Warning::ExpiredFor(90 * 60 * TICKS_PER_SECOND).to_string(), "expired 90 minutes ago");
}

#[test]
fn a_replaced_certificate_is_reported_only_if_its_validity_differs_and_it_expires_soon() {
    let short = Validity { not_before: START, not_after: START + 10 * TICKS_PER_DAY };
    let mut watch = ExpiryWatch::new(short);
    assert!(watch.take_warning(START).is_some());
    watch.replace(short);
    assert_eq!(watch.take_warning(START + TICKS_PER_SECOND), None);
    watch.replace(Validity { not_before: START, not_after: START + 400 * TICKS_PER_DAY });
    assert_eq!(watch.take_warning(START + TICKS_PER_SECOND), None);
    watch.replace(Validity { not_before: START, not_after: START + 9 * TICKS_PER_DAY });
    assert!(matches!(watch.take_warning(START + TICKS_PER_SECOND), Some(Warning::ExpiresIn(_))));
}

proptest! {
    #![proptest_config(ProptestConfig { rng_seed: RngSeed::Fixed(7), cases: 200, ..ProptestConfig::default() })]

    /// Checks at `next_warning_at` report the same warnings as frequent checks.
    #[test]
    fn checks_at_the_announced_times_miss_no_warning(length in 1u64..100 * 24, start in 0u64..120 * 24) {
        let hour = 3_600 * TICKS_PER_SECOND;
        let validity = Validity { not_before: START + 10 * hour, not_after: START + (10 + length) * hour };
        let end = validity.not_after + 5 * TICKS_PER_DAY;
        let mut frequent = ExpiryWatch::new(validity);
        let times = (START + start * hour..end).step_by(60 * TICKS_PER_SECOND as usize * 10);
        let expected: Vec<_> =
            times.filter_map(|now| frequent.take_warning(now)).map(|w| std::mem::discriminant(&w)).collect();
        let mut watch = ExpiryWatch::new(validity);
        let (mut now, mut reported) = (START + start * hour, Vec::new());
        while now < end {
            reported.extend(watch.take_warning(now).map(|w| std::mem::discriminant(&w)));
            let next = validity.next_warning_at(now);
            prop_assert!(next > now);
            now = next;
        }
        prop_assert_eq!(expected, reported);
    }
}

fn key(number: u32, byte: u8) -> (u32, Vec<u8>) {
    (number, vec![byte; MIN_SECRET_BYTES])
}

#[test]
fn a_key_can_be_removed_only_when_no_front_runs_a_version_that_it_sealed() {
    let old = [key(1, 1)];
    let both = [key(1, 1), key(2, 2)];
    let fronts = |first, second| BTreeMap::from([(1, first), (2, second)]);
    assert_eq!(check_replacement(&old, &both, &fronts(20, 0)), Ok(()));
    assert_eq!(removable(&both, &fronts(20, 0)), []);
    // Half of the fronts have the version that the new key sealed.
    assert_eq!(
        check_replacement(&both, &[key(2, 2)], &fronts(10, 10)),
        Err(KeySetError::InUse { key: 1, fronts: 10 })
    );
    assert_eq!(removable(&both, &fronts(0, 20)), [1]);
    assert_eq!(check_replacement(&both, &[key(2, 2)], &fronts(0, 20)), Ok(()));
    // The key that seals is never removable, even where no front runs any version.
    assert_eq!(removable(&[key(2, 2)], &BTreeMap::new()), []);
}

#[test]
fn harmful_sets_of_keys_are_rejected_with_the_number_of_the_key() {
    assert_eq!(check(&[]), Err(KeySetError::Empty));
    assert_eq!(check(&[key(1, 1), key(1, 2)]), Err(KeySetError::Duplicate(1)));
    assert_eq!(check(&[(4, vec![0; 31])]), Err(KeySetError::TooShort { key: 4, bytes: 31 }));
    let none = BTreeMap::new();
    assert_eq!(check_replacement(&[key(1, 1)], &[key(1, 9)], &none), Err(KeySetError::SecretChanged(1)));
    assert!(KeySetError::SecretChanged(1).to_string().contains("expected a new number"));
}

#[test]
fn a_certificate_covers_its_own_name_or_its_station() {
    assert!(covers(["n3.hillside"], "n3.hillside"));
    assert!(covers(["*.hillside"], "N3.Hillside"));
    assert!(!covers(["*.hillside"], "n3.harbour"));
    assert!(!covers(["*.hillside"], "a.n3.hillside"), "a wildcard stands for one label");
    assert!(!covers(["*.hillside"], "hillside"));
    assert!(!covers(["*.hillside"], ".hillside"));
    assert!(!covers(["*", "*.*", "n*.hillside", "*.", ""], "n3.hillside"));
    assert!(!covers(["*.hillside"], "*.hillside"), "a wildcard is no name of a front");
    let many: Vec<String> = (0..100).map(|n| format!("n{n}")).collect();
    assert!(covers(many.iter().map(String::as_str), "n63"));
    assert!(!covers(many.iter().map(String::as_str), "n64"), "the number of names looked at is limited");
}

#[test]
fn a_peer_that_sends_a_byte_per_second_times_out_and_a_long_message_on_a_slow_link_does_not() {
    let mut timeout = PeerTimeout::new(START);
    assert!(!timeout.is_expired(START + HANDSHAKE - 1) && timeout.is_expired(START + HANDSHAKE));
    timeout.handshake_done(START, true);
    // The first message in single bytes: they do not extend its time.
    (0..5).for_each(|n| timeout.transferred(START + n * TICKS_PER_SECOND, 1, false));
    assert!(timeout.is_expired(START + FIRST_MESSAGE));
    timeout.transferred(START + TICKS_PER_SECOND, 10, true);
    assert_eq!(timeout.deadline(), None, "there is no deadline between messages");
    // A later message in single bytes.
    let (mut now, started_at) = (START + 100 * TICKS_PER_SECOND, START + 100 * TICKS_PER_SECOND);
    while !timeout.is_expired(now) {
        timeout.transferred(now, 1, false);
        now += TICKS_PER_SECOND;
        assert!(now < started_at + 60 * TICKS_PER_SECOND, "the message never timed out");
    }
    assert!(now <= started_at + MESSAGE + TICKS_PER_SECOND);
    // 32 MB at the minimum rate.
    timeout.transferred(now, 1, true);
    let started_at = now;
    for _ in 0..512 {
        timeout.transferred(now, MIN_BYTES_PER_SECOND, false);
        now += TICKS_PER_SECOND;
        assert!(!timeout.is_expired(now), "after {} s", (now - started_at) / TICKS_PER_SECOND);
    }
}
