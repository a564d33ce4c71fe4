//! What a front keeps for itself at the size to carry, in virtual time: how far back its table of remembered fills
//! reaches and what it knows, what other tables would, and what an access and a purge cost in the module alone.

pub mod cost;
pub mod play;
pub mod popularity;
pub mod real;
pub mod site;
pub mod tables;
