//! A hierarchy of caches that changes shape while it is in use. Decides, without I/O, clock, threads or chance:
//!
//! - [`shape`]: which members there are, in which tier, and from whom each fills, out of numbered changes that
//!   come in any order, twice, late or not at all. The same changes give the same shape. A change that would
//!   close a loop of members filling from each other is set aside and named with its whole ring.
//! - [`homes`]: at which member of a tier an object's fills meet, and how a change of the list is handed over:
//!   which share moves, who is asked for what it holds, and when each object goes.
//! - [`shield`]: what a front may send the archive, by whatever way, and what becomes of the rest.
//! - [`order`]: the order in which the members of a tier stand, kept edge by edge; that is the check for loops.
//! - [`guide`]: all of it together, for one front: which sources an access may name now, in which order.
//! - [`aim`]: what leads from a shape in use to one that comes whole; which shapes would do harm.
//! - [`via`]: whether a fill has come round in a ring that no single shape shows (RFC 8586).
//!
//! It knows only what it was told: not what a member holds, nor what other fronts believe or send. Times are
//! whole tenths of a millisecond and are handed in.
#![forbid(unsafe_code)]

pub mod aim;
pub mod guide;
pub mod homes;
pub mod order;
pub mod shape;
pub mod shield;
pub mod via;

pub use guide::{Guide, Rules};
pub use shape::{Aside, Change, Heard, Shape, Standing, Told, Why};
