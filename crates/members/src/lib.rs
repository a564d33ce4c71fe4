//! Membership of the fronts of a fleet: which other fronts are up, as far as this one can tell. Fronts find each other
//! through seed addresses, detect failures with SWIM, and meet again after a crash, a stall or a network partition.
//!
//! [`Members`] is a pure state machine: it is handed datagrams and the time, and returns datagrams to send and
//! membership events. SWIM itself is implemented by the crate `foca`. This package adds:
//!
//! - **Incarnations.** A name at an address is one member across restarts. A later incarnation replaces an earlier
//!   one, and a member that others declared down rejoins under a later incarnation (`MemberId`).
//! - **Stall detection.** A process that was suspended does not notice it: its timers are all due at once and would
//!   accuse every member that did not answer in the meantime. A gap between calls that is longer than any wait of its
//!   own counts as a stall. The membership state is then discarded before any of it is acted upon, the member takes a
//!   later incarnation, and it reports its state as unconfirmed until another member answers
//!   (`Connectivity::Unconfirmed`).
//! - **Rate limit.** A member sends at most a configured number of datagrams per second, whatever happens
//!   (`rate_limiter.rs`).
//! - **Discovery.** A member that is not connected contacts seeds and formerly known members, one at a time and with a
//!   growing interval. A connected member still contacts a missing one now and then, so that the sides of a network
//!   partition meet again (`discovery.rs`).
//! - **Seals.** A datagram is authenticated with a key from the operators, for the address that it is sent to
//!   (`seal.rs`).
//!
//! No member can know whether another one that does not answer is dead, stalled or cut off: `Down` is an assumption.
#![forbid(unsafe_code)]

mod detection;
mod discovery;
mod id;
mod members;
mod rate_limiter;
pub mod seal;
mod settings;
mod suspicions;
mod types;

pub use id::{MAX_NAME_BYTES, MemberId};
pub use rate_limiter::RateLimiter;

pub use members::Members;
pub use settings::Settings;
pub use types::{Connectivity, Effect, Event, KnownMember, Liveness};
