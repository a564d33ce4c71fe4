//! Who is believed, for how long, and how slow a peer may be. Decides, without I/O, clock, threads or chance:
//!
//! - [`expiry`]: when what expires is worth a line: weeks ahead, then more and more often.
//! - [`rotation`]: whether a new set of seal keys may replace the one in use, or would make true words look made up.
//! - [`peer`]: whether whoever holds a certificate may speak under a name.
//! - [`pace`]: how long a peer may take over its handshake, its first word and each message.
//!
//! From certificates this package is handed times and names; whether a certificate is genuine is the TLS library's
//! part. It can't know whether a key was stolen, only whether it is still needed. Times are whole tenths of a
//! millisecond since 1970 and are handed in.
#![forbid(unsafe_code)]

pub mod expiry;
pub mod pace;
pub mod peer;
pub mod rotation;

/// A time or a span in units of 0.1 ms.
pub type Ticks = u64;

pub const TICKS_PER_SECOND: Ticks = 10_000;
pub const TICKS_PER_DAY: Ticks = 86_400 * TICKS_PER_SECOND;
