//! The figures that a client sends are held to what they can be before anything is learned from them.

mod helper;

use helper::*;

fn with_field(name: &str, value: &str) -> Vec<u8> {
    let mut fields = access_fields(7, 5, 900);
    fields.retain(|(field, _)| *field != name);
    let name: &'static str = ["Req-Kb", "Req-Wait-Ms", "X-Seg", "X-Bucket"]
        .into_iter()
        .find(|known| *known == name)
        .expect("a field with a figure");
    fields.push((name, value.into()));
    request(1, "/do/images", &fields, &[], 0)
}

/// The failure: a size that no cache could send within the hard limit was taken into the shared estimates and
/// served (review/6). The same for all other figures that can't be.
#[test]
fn figures_that_can_not_be_are_rejected_before_anything_is_pushed() {
    for (name, value) in [
        ("Req-Kb", "999999999"),
        ("Req-Kb", "400000"),
        ("Req-Kb", "-1"),
        ("Req-Kb", "NaN"),
        ("Req-Kb", "inf"),
        ("Req-Kb", "1e308"),
        ("Req-Wait-Ms", "NaN"),
        ("Req-Wait-Ms", "inf"),
        ("Req-Wait-Ms", "-900"),
        ("Req-Wait-Ms", "0"),
        ("X-Seg", "4294967296"),
        ("X-Seg", "-1"),
        ("X-Bucket", "256"),
        ("X-Bucket", "NaN"),
    ] {
        let mut w = World::new(5, 128);
        let client = w.client();
        assert_eq!(w.send_untracked(client, &with_field(name, value)), Some(400), "{name}: {value}");
        assert!(w.connecting().iter().all(|&conn| w.port_of(conn) == 9092), "{name}: {value} was pushed");
    }
}

/// A client's wait is at most the hard limit of the offering, 2 s here: the request is answered by then, however long
/// its client says that it waits.
#[test]
fn a_wait_beyond_the_hard_limit_counts_as_the_hard_limit() {
    let mut w = World::new(5, 128);
    let client = w.client();
    w.send_request(client, 1, 1, 0, 5, 3_600_000);
    w.connecting().into_iter().for_each(|conn| w.finish_connect(conn));
    let waits = |head: &String| head.lines().find_map(|l| l.strip_prefix("Call-Ms: ")?.parse::<u64>().ok());
    assert!(w.request_heads.get(&1).and_then(waits).is_some_and(|ms| ms <= 2_000), "{:?}", w.request_heads);
    w.advance(2_000 * MS);
    assert!(w.response_to(1).is_some(), "no answer by the hard limit");
}
