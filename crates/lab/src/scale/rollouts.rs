//! Overlapping rollouts in force everywhere within 5 s.

use super::{Context, Needs, Part, ScaleError};

pub(super) const PART: Part = Part {
    name: "rollouts",
    full_sizes: &[50, 150, 400, 1_000],
    quick_sizes: &[30, 60, 120, 240],
    needs: |_, _| Needs { processes: 0, resident: 0 },
    run,
};

pub fn run(context: &mut Context) -> Result<(), ScaleError> {
    context.check()?;
    context.put("rollouts_measured", false);
    Ok(())
}
