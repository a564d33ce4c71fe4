//! Decisions about certificates, keys and peers, without I/O, clock, threads or randomness:
//!
//! - [`expiry`]: when to warn that a certificate expires: weeks ahead, then more and more often.
//! - [`rotation`]: whether a new set of seal keys may replace the one in use, or would make valid seals look forged.
//! - [`peer`]: whether the holder of a certificate may use a name.
//! - [`timeouts`]: how long a peer may take over its handshake, its first message and each later message.
//!
//! From certificates this package is handed only validity periods and names; whether a certificate is genuine is
//! checked by the TLS library. Whether a key was stolen can't be known here, only whether it is still needed. Times are
//! in [`Ticks`] since 1970 and are passed in.
#![forbid(unsafe_code)]

pub mod expiry;
pub mod peer;
pub mod rotation;
pub mod timeouts;

/// A time or a span in units of 0.1 ms.
pub type Ticks = u64;

pub const TICKS_PER_SECOND: Ticks = 10_000;
pub const TICKS_PER_DAY: Ticks = 86_400 * TICKS_PER_SECOND;
