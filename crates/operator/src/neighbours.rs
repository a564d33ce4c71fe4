//! The blocks `neighbours` (membership among fronts) and `recall` (what a front remembers over a restart).
//!
//! ```hcl
//! neighbours {
//!   enabled   = true
//!   listen    = "10.0.0.4:7460"    # receives datagrams here
//!   address   = "10.0.0.4:7460"    # where others reach this front, if not at `listen`
//!   seeds     = ["10.0.0.1:7460"]  # fronts that are probably up
//!   station   = "hillside"
//!   seal_keys = "seal-keys.hcl"
//!   about     = 300                # approximate number of fronts
//!   probe_ms  = 1000               # more than twice the longest round-trip time
//!   words     = 40                 # most datagrams sent per second
//! }
//! recall {
//!   enabled  = true
//!   store    = "recall.redb"
//!   write_ms = 2000    # least time between snapshots
//!   most     = 16384   # most parts that are remembered
//!   pages    = 50      # pages served to others per second
//! }
//! ```

use std::net::SocketAddrV4;

use crate::control::path;
use crate::document::Block;
use crate::settings::name;

/// The block `neighbours`.
#[derive(Clone, Debug, PartialEq)]
pub struct Neighbours {
    pub listen: SocketAddrV4,
    /// Where others reach this front.
    pub address: SocketAddrV4,
    pub seeds: Vec<SocketAddrV4>,
    pub station: Box<str>,
    pub seal_keys: Box<str>,
    /// Approximate number of fronts.
    pub expected_fronts: u32,
    pub probe_ms: u64,
    pub max_datagrams_per_s: u32,
}

/// A longer list would name all fronts, and would not be kept up to date.
const MAX_SEEDS: usize = 64;

/// An address that others can use: not the unspecified one.
fn reachable_address(own: &Block<'_>, key: &'static str) -> Option<SocketAddrV4> {
    let text = own.string(key)?;
    let address = text.parse::<SocketAddrV4>().ok().filter(|address| !address.ip().is_unspecified());
    if address.is_none() {
        own.report(
            key,
            format_args!("expected an IPv4 address with a port, as in 10.0.0.4:7460, got \"{text}\""),
        );
    }
    address
}

fn seeds(own: &Block<'_>) -> Option<Vec<SocketAddrV4>> {
    let texts = own.strings("seeds")?;
    let seeds: Vec<SocketAddrV4> = texts.iter().filter_map(|t| t.parse().ok()).collect();
    if seeds.len() != texts.len() || seeds.is_empty() || seeds.len() > MAX_SEEDS {
        own.report(
            "seeds",
            format_args!("expected 1 to {MAX_SEEDS} IPv4 addresses with ports, as in [\"10.0.0.1:7460\"]"),
        );
    }
    Some(seeds)
}

/// Reads the block `neighbours`; None where it is off, though its keys are checked all the same.
pub(crate) fn neighbours(own: &Block<'_>) -> Option<Neighbours> {
    let enabled = own.bool("enabled").unwrap_or(false);
    let (listen, address, seeds) =
        (reachable_address(own, "listen"), reachable_address(own, "address"), seeds(own));
    let expected_fronts = own.integer("about", 1..=100_000).unwrap_or(100) as u32;
    let probe_ms = own.integer("probe_ms", 200..=60_000).unwrap_or(1_000);
    let max_datagrams_per_s = own.integer("words", 10..=10_000).unwrap_or(40) as u32;
    if !enabled {
        for key in ["station", "seal_keys"] {
            own.string(key);
        }
        return None;
    }
    let (listen, seeds) = (own.required("listen", listen), own.required("seeds", seeds));
    let (station, seal_keys) = (name(own, "station"), path(own, "seal_keys"));
    let listen = listen?;
    Some(Neighbours {
        listen,
        address: address.unwrap_or(listen),
        seeds: seeds?,
        station: station?,
        seal_keys: seal_keys?,
        expected_fronts,
        probe_ms,
        max_datagrams_per_s,
    })
}

/// The block `recall`: what is remembered over a restart.
#[derive(Clone, Debug, PartialEq)]
pub struct Recall {
    pub store: Box<str>,
    /// Least time between snapshots.
    pub write_ms: u64,
    pub max_parts: usize,
    /// Pages served to other fronts per second.
    pub pages_per_s: u32,
}

/// Reads the block `recall`; None where it is off.
pub(crate) fn recall(own: &Block<'_>) -> Option<Recall> {
    let enabled = own.bool("enabled").unwrap_or(false);
    let write_ms = own.integer("write_ms", 200..=600_000).unwrap_or(2_000);
    let max_parts = own.integer("most", 100..=65_536).unwrap_or(16_384) as usize;
    let pages_per_s = own.integer("pages", 1..=10_000).unwrap_or(50) as u32;
    if !enabled {
        own.string("store");
        return None;
    }
    Some(Recall { store: path(own, "store")?, write_ms, max_parts, pages_per_s })
}
