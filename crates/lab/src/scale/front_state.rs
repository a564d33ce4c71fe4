//! What one front keeps: bytes an entry and processor time an access.

use super::{Context, Needs, Part, ScaleError};

pub(super) const PART: Part = Part {
    name: "front-state",
    full_sizes: &[50, 150, 400, 1_000],
    quick_sizes: &[30, 60, 120, 240],
    needs: |_, _| Needs { processes: 0, resident: 0 },
    run,
};

pub fn run(context: &mut Context) -> Result<(), ScaleError> {
    context.check()?;
    context.put("front_state_measured", false);
    Ok(())
}
