//! The front as a program on sockets; the decisions are made by the `doorgrade` package.
//! `docs/architecture.md` describes the life of a request. All state changes go through [`reducer`];
//! coroutines only read and write.
#![deny(unsafe_code)]

pub mod accept;
pub mod active_config;
pub mod answer;
pub mod bounds;
pub mod clock;
pub mod config;
pub mod conn;
pub mod descriptors;
pub mod fastcgi;
pub mod feed;
pub mod feed_connection;
pub mod feed_connections;
pub mod http;
pub mod intake;
pub mod phase;
pub mod push;
pub mod reasons;
pub mod reducer;
pub mod remote_times;
pub mod ring_buffer;
pub mod send_guard;
pub mod serve;
