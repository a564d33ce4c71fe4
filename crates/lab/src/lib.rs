//! The library of the experiments: those that tests run too, and what several experiments share.
#![forbid(unsafe_code)]

pub mod capacity;
pub mod cold;
mod figures;
pub mod fills;
pub mod front_state;
pub mod rig;
pub mod scale;

pub use figures::{Figures, RunArgs};

/// Counts the allocated bytes, so that experiments with a thousand instances in one process can measure their memory.
#[global_allocator]
static ALLOCATOR: cap::Cap<std::alloc::System> = cap::Cap::new(std::alloc::System, usize::MAX);

/// The bytes that this process has allocated at the moment.
pub fn allocated() -> usize {
    ALLOCATOR.allocated()
}
