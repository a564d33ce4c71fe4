//! The state that a front keeps at the target's size, in virtual time: how far back its table of remembered fills reaches
//! and what it knows, how tables with other eviction policies compare, and what an access and a purge cost in the
//! decision module alone.

pub mod cost;
pub mod popularity;
pub mod real;
pub mod simulation;
pub mod site;
pub mod tables;
