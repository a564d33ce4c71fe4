//! Versions over a connection: messages in frames, over mutual TLS 1.3, each with a bound and a time to come in.
//!
//! A connection is opened with one of two protocol names (ALPN), which carry the version of the wire: `FRONTS`
//! between a front and the service, `OPERATORS` between a person's command and the service. A frame is four bytes
//! of length, the greatest first, and a message in `postcard`'s form. Whoever breaks this is cut off.
//!
//! The clock that all programs of this project go by is here, too: what they tell each other is in its times.
#![forbid(unsafe_code)]

pub mod clock;
pub mod follow;
pub mod frame;
pub mod wire;

use doorgrade_versions::MAX_CONTENT_BYTES;

pub const FRONTS: &[u8] = b"doorgrade-versions/1";
pub const OPERATORS: &[u8] = b"doorgrade-operators/1";

/// The longest first word: two names, a version's place and its seal.
pub const MOST_FIRST: usize = 1 << 10;
/// The longest later word of a front: a refusal, with the reasons that a person is to read.
pub const MOST_WORD: usize = 64 << 10;
/// The longest message with a content in it; a change of one can be a little longer than the content it makes.
pub const MOST_WITH_CONTENT: usize = MAX_CONTENT_BYTES + (4 << 20);
