//! The connection between a front or an operator and the control service: messages in frames, over mutual TLS 1.3,
//! each with a size limit and a timeout.
//!
//! A connection is opened with one of two protocol names (ALPN), which carry the protocol version:
//! [`FRONT_PROTOCOL`] between a front and the service, [`OPERATOR_PROTOCOL`] between an operator's command and the
//! service. A frame is a four-byte big-endian length and a message encoded with `postcard`. A peer that violates this
//! is disconnected.
//!
//! The clock that all programs of this project use is here, too, since the times in messages are times of that clock.
#![forbid(unsafe_code)]

pub mod clock;
pub mod frame;
pub mod front_client;
pub mod wire;

use doorgrade_versions::MAX_CONTENT_BYTES;

/// ALPN protocol of the connections of fronts.
pub const FRONT_PROTOCOL: &[u8] = b"doorgrade-versions/1";
/// ALPN protocol of the connections of operators.
pub const OPERATOR_PROTOCOL: &[u8] = b"doorgrade-operators/1";

/// The longest first message of a front: two names, a version id and its seal.
pub const MAX_HELLO_BYTES: usize = 1 << 10;
/// The longest later message of a front: a rejection, with reasons for an operator to read.
pub const MAX_FRONT_MESSAGE_BYTES: usize = 64 << 10;
/// The longest message that carries a content. A delta can be a little longer than the content that it produces.
pub const MAX_CONTENT_MESSAGE_BYTES: usize = MAX_CONTENT_BYTES + (4 << 20);
