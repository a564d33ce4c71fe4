//! A hierarchy of caches whose topology changes while it is in use. Pure decisions: no I/O, clock, threads or
//! random numbers.
//!
//! - [`shape`]: the members, their tiers, and the sources that each fills from, merged from numbered changes that
//!   may arrive in any order, more than once, late or never. The same set of changes gives the same shape. A
//!   change that would make members fill from each other in a cycle stays pending and is reported with the whole
//!   cycle.
//! - [`homes`]: which member of a tier is the home of an object, and how objects are handed over when the members
//!   change: which share moves, which old homes are tried for their copies, and when each object moves.
//! - [`shield`]: a rate limit on the fills that a front sends to the archive, directly or through parents.
//! - [`order`]: a topological order of the members of a tier, updated edge by edge; it detects cycles.
//! - [`router`]: combines these for one front: the sources that an access may be filled from now, in order.
//! - [`reconcile`]: puts a desired shape in place of the current one, and the checks of a desired
//!   shape.
//! - [`cdn_loop`]: detects fills that go round in a cycle that no single shape shows (RFC 8586).
//!
//! All decisions are based on the inputs of this front alone: it does not know what a member holds, nor what other
//! fronts know or send. Times are whole tenths of a millisecond and are passed in.
#![forbid(unsafe_code)]

pub mod cdn_loop;
pub mod homes;
pub mod order;
pub mod reconcile;
pub mod router;
pub mod shape;
pub mod shield;

pub use router::{FillRouter, RouterConfig};
pub use shape::{ApplyOutcome, Change, ChangeKind, PendingChange, PendingReason, Shape, Standing};
