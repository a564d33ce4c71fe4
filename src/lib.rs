//! doorgrade: decides, for each access that reaches a front, which cache serves it and from where a miss is
//! filled. [`control`] makes every decision; [`interface`] holds the types of its public interface.
#![forbid(unsafe_code)]

pub mod control;
mod decay;
mod evicting_map;
pub mod hash;
pub mod interface;
mod state;

pub use control::Front;
pub use interface::*;
