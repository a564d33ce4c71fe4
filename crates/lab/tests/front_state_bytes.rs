//! Memory of each entry in a front's tables, measured by a counting allocator. Only one thread allocates here. Run it with
//! `cargo test --release -p doorgrade-lab --test front_state_bytes -- --nocapture` to print the figures.

use doorgrade::{Offering, Ticks};
use doorgrade_lab::allocated;
use doorgrade_lab::front_state::cost::{front_with_fills, front_with_purges};
use doorgrade_lab::front_state::simulation::{self, HOUR, MemberCounts};
use doorgrade_recall::{Fill, Memory, Purge, Rules, Snapshot};

/// The value, and the bytes that it has allocated.
fn measure<T>(create: impl FnOnce() -> T) -> (f64, T) {
    let before = allocated() as f64;
    let value = create();
    (allocated() as f64 - before, value)
}

fn check_entry_bytes(what: &str, entries: u64, bytes: f64, max: f64) {
    let entry_bytes = bytes / entries as f64;
    println!("{what}: {entries} entries, {bytes} bytes, {entry_bytes:.1} each");
    assert!(
        entry_bytes > 0.0 && entry_bytes < max,
        "{what}: {entry_bytes} bytes an entry, expected under {max}"
    );
}

fn memory(fills: u64, purges: u64) -> Memory {
    let now: Ticks = 2 * HOUR;
    let rules = Rules {
        fresh_times: vec![HOUR],
        purge_done: simulation::PURGE_PROPAGATION,
        max_fills: fills as usize,
    };
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

// A single test, since the allocations of another test's thread would count.
#[test]
fn the_memory_of_an_entry_of_each_table_is_bounded() {
    let empty = measure(|| front_with_fills(0)).0;
    println!("a front with the list of a site: {empty} bytes");
    let full = measure(|| front_with_fills(1 << 16)).0 - empty;
    check_entry_bytes("remembered fills, a full table", 1 << 16, full, 130.0);

    let purges = 18 * simulation::PURGE_PROPAGATION / 10_000 + 1;
    check_entry_bytes(
        "purges of 18 a second",
        purges,
        measure(|| front_with_purges(purges)).0 - empty,
        200.0,
    );
    // Their number is limited only by how long they are kept.
    check_entry_bytes(
        "purges, 100,000 at once",
        100_000,
        measure(|| front_with_purges(100_000)).0 - empty,
        200.0,
    );

    let listed = |own_zone| {
        measure(|| simulation::front(MemberCounts { own_zone, other_zones: 0, parents: 0 }, 1, 1)).0
    };
    check_entry_bytes("caches listed in the front's own zone", 244, listed(250) - listed(6), 1_000.0);
    let elsewhere =
        measure(|| simulation::front(MemberCounts { own_zone: 6, other_zones: 244, parents: 0 }, 1, 1)).0
            - listed(6);
    println!("244 caches listed in other zones: {elsewhere} bytes");
    let offering = std::mem::size_of::<Offering>();
    println!("an offering in the settings: {offering} bytes; nothing is kept for each tenant");

    let (memory_bytes, full_memory) = measure(|| memory(1 << 14, 0));
    check_entry_bytes("recall's copy, default size", 1 << 14, memory_bytes, 400.0);
    check_entry_bytes("recall's copy, maximum size", 1 << 16, measure(|| memory(1 << 16, 0)).0, 400.0);
    check_entry_bytes("purges that recall remembers", 4_096, measure(|| memory(0, 5_000)).0, 200.0);
    let now = 2 * HOUR;
    let (snapshot_bytes, snapshot) = measure(|| Snapshot::take(&full_memory, "n1", 1, now));
    check_entry_bytes("recall's snapshot while it is written", 1 << 14, snapshot_bytes, 100.0);
    assert_eq!(snapshot.fills.len(), 1 << 14);
}
