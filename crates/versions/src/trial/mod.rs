//! Rollouts that overlap and are judged by evidence: each change is tried on some fronts while others, on what is proven,
//! are the control group; what proves harmful is taken out alone, what proves harmless goes on to everyone.

mod types;

pub use types::*;
