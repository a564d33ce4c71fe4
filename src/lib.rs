//! doorgrade: decides, for each access that reaches a front, which cache serves it and from where a miss is
//! filled. Everything that is decided is decided in [`control`]; [`face`] holds the types of its interface.
#![forbid(unsafe_code)]

pub mod control;
pub mod face;
mod fading;
pub mod hash;
mod oldest;
mod state;

pub use control::Front;
pub use face::*;
