//! Membership in virtual time, by the thousand, and between real sockets.

use super::{Context, Needs, Part, ScaleError};

/// Runs side by side, each of one size and seed.
const RUNS_AT_ONCE: u64 = 3;
/// Each member keeps something of each other.
const BYTES_A_PAIR: u64 = 600;

pub(super) const PART: Part = Part {
    name: "members",
    full_sizes: &[50, 150, 400, 1_000],
    quick_sizes: &[30, 60, 120, 240],
    needs: |size, _| Needs { processes: 0, resident: RUNS_AT_ONCE * (size * size) as u64 * BYTES_A_PAIR },
    run,
};

pub fn run(context: &mut Context) -> Result<(), ScaleError> {
    context.check()?;
    context.put("members_measured", false);
    Ok(())
}
