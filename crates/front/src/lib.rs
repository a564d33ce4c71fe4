//! The real front: sockets around the decisions of `doorgrade`. `docs/architecture.md` has the life of a
//! request. All state changes go through [`reducer`]; coroutines only read and write.
#![deny(unsafe_code)]

pub mod accept;
pub mod answer;
pub mod awaiting;
pub mod bounds;
pub mod clock;
pub mod config;
pub mod conn;
pub mod descriptors;
pub mod fastcgi;
pub mod feed;
pub mod follow;
pub mod http;
pub mod in_use;
pub mod intake;
pub mod phase;
pub mod push;
pub mod reasons;
pub mod reducer;
pub mod ring;
pub mod serve;
pub mod stamps;
