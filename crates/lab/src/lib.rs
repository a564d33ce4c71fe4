//! Experiments that tests play, too, and what several of them need.
#![forbid(unsafe_code)]

pub mod capacity;
pub mod cold;
mod figures;
pub mod fills;
pub mod front_state;
pub mod rig;
pub mod scale;

pub use figures::{Figures, How};
