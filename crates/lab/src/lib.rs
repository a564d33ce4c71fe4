//! Experiments in virtual time that tests play, too.
#![forbid(unsafe_code)]

pub mod capacity;
pub mod cold;
