//! Bytes of each entry that a front keeps, by an allocator that counts: only one thread allocates here. Run it with
//! `cargo test --release -p doorgrade-lab --test front_state_bytes -- --nocapture` to read the figures.

use doorgrade::{Offering, Ticks};
use doorgrade_lab::allocated;
use doorgrade_lab::front_state::cost::{full_front, purged_front};
use doorgrade_lab::front_state::play::{self, HOUR, Members};
use doorgrade_recall::{Fill, Memory, Purge, Rules, Snapshot};

/// Bytes that are kept of what is made.
fn kept<T>(make: impl FnOnce() -> T) -> (f64, T) {
    let before = allocated() as f64;
    let made = make();
    (allocated() as f64 - before, made)
}

fn each(what: &str, entries: u64, bytes: f64, most: f64) {
    let one = bytes / entries as f64;
    println!("{what}: {entries} entries, {bytes} bytes, {one:.1} each");
    assert!(one > 0.0 && one < most, "{what}: {one} bytes an entry, expected under {most}");
}

fn memory(fills: u64, purges: u64) -> Memory {
    let now: Ticks = 2 * HOUR;
    let rules = Rules { fresh_times: vec![HOUR], purge_done: play::PURGE_DONE, max_fills: fills as usize };
    let mut memory = Memory::new(rules);
    for n in 0..fills {
        let (made, seen) = (now - n % 1_000, now);
        memory.record_fill(
            now,
            Fill { offering: 0, object: n, part: 0, group: 0, made_at: made, requested_at: seen },
        );
    }
    for n in 0..purges {
        memory.record_purge(now, Purge { object: Some(u64::MAX - n), group: 0, at: now });
    }
    memory
}

// One test: another thread's allocations would count.
#[test]
fn what_an_entry_of_each_table_takes() {
    let empty = kept(|| full_front(0)).0;
    println!("a front with the list of a site: {empty} bytes");
    let full = kept(|| full_front(1 << 16)).0 - empty;
    each("remembered fills, all that there may be", 1 << 16, full, 130.0);

    let purges = 18 * play::PURGE_DONE / 10_000 + 1;
    each("purges of 18 a second", purges, kept(|| purged_front(purges)).0 - empty, 200.0);
    // Nothing bounds their number but their time.
    each("purges, a flood", 100_000, kept(|| purged_front(100_000)).0 - empty, 200.0);

    let listed = |near| kept(|| play::front(Members { near, far: 0, parents: 0 }, 1, 1)).0;
    each("caches listed in the front's own zone", 244, listed(250) - listed(6), 1_000.0);
    let elsewhere = kept(|| play::front(Members { near: 6, far: 244, parents: 0 }, 1, 1)).0 - listed(6);
    println!("244 caches listed in other zones: {elsewhere} bytes");
    let class = std::mem::size_of::<Offering>();
    println!("an offering as it is told: {class} bytes; by tenant nothing is kept");

    let (copy, whole) = kept(|| memory(1 << 14, 0));
    each("recall's copy, by default", 1 << 14, copy, 400.0);
    each("recall's copy, the most that may be set", 1 << 16, kept(|| memory(1 << 16, 0)).0, 400.0);
    each("purges that recall remembers", 4_096, kept(|| memory(0, 5_000)).0, 200.0);
    let now = 2 * HOUR;
    let (written, snapshot) = kept(|| Snapshot::take(&whole, "n1", 1, now));
    each("recall's snapshot while it is written", 1 << 14, written, 100.0);
    assert_eq!(snapshot.fills.len(), 1 << 14);
}
