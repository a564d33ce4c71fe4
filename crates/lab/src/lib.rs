//! Experiments that tests play, too, and what several of them need.
#![forbid(unsafe_code)]

pub mod capacity;
pub mod cold;
mod figures;
pub mod fills;
pub mod front_state;
pub mod rig;
pub mod scale;

pub use figures::{Figures, RunArgs};

/// Counts what all in this process hold, so that the memory of a thousand instances in one process can be told.
#[global_allocator]
static ALLOCATOR: cap::Cap<std::alloc::System> = cap::Cap::new(std::alloc::System, usize::MAX);

/// Bytes that are allocated in this process now.
pub fn allocated() -> usize {
    ALLOCATOR.allocated()
}
