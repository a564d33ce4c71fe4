//! The blocks about other fronts: who they are, and what is remembered over a restart.
//!
//! ```hcl
//! neighbours {
//!   enabled   = true
//!   listen    = "10.0.0.4:7460"    # where their datagrams come
//!   address   = "10.0.0.4:7460"    # where they reach this front, if that is another
//!   seeds     = ["10.0.0.1:7460"]  # some that are likely there
//!   station   = "hillside"
//!   seal_keys = "seal-keys.hcl"
//!   about     = 300                # fronts, roughly
//!   probe_ms  = 1000               # more than twice what the slowest link takes there and back
//!   words     = 40                 # datagrams a second at the most
//! }
//! recall {
//!   enabled  = true
//!   store    = "recall.redb"
//!   write_ms = 2000    # at most so often
//!   most     = 16384   # parts
//!   pages    = 50      # given to others in a second
//! }
//! ```

use std::net::SocketAddrV4;

use crate::control::path;
use crate::doc::Block;
use crate::settings::named;

#[derive(Clone, Debug, PartialEq)]
pub struct Neighbours {
    pub listen: SocketAddrV4,
    /// Where others reach it.
    pub address: SocketAddrV4,
    pub seeds: Vec<SocketAddrV4>,
    pub station: Box<str>,
    pub seal_keys: Box<str>,
    pub about: u32,
    pub probe_ms: u64,
    pub words: u32,
}

/// More would be a list of all, which nobody keeps right.
const MOST_SEEDS: usize = 64;

/// An address that others can be told of: not 'any'.
fn place(own: &Block<'_>, key: &'static str) -> Option<SocketAddrV4> {
    let told = own.text(key)?;
    let read = told.parse::<SocketAddrV4>().ok().filter(|at| !at.ip().is_unspecified());
    if read.is_none() {
        own.complain(
            key,
            format_args!("expected an IPv4 address with a port, as in 10.0.0.4:7460, got \"{told}\""),
        );
    }
    read
}

fn seeds(own: &Block<'_>) -> Option<Vec<SocketAddrV4>> {
    let told = own.texts("seeds")?;
    let read: Vec<SocketAddrV4> = told.iter().filter_map(|t| t.parse().ok()).collect();
    if read.len() != told.len() || read.is_empty() || read.len() > MOST_SEEDS {
        own.complain(
            "seeds",
            format_args!("expected 1 to {MOST_SEEDS} IPv4 addresses with ports, as in [\"10.0.0.1:7460\"]"),
        );
    }
    Some(read)
}

/// None where it is off; what stands there is to be sound in its form all the same.
pub(crate) fn neighbours(own: &Block<'_>) -> Option<Neighbours> {
    let enabled = own.flag("enabled").unwrap_or(false);
    let (listen, address, seeds) = (place(own, "listen"), place(own, "address"), seeds(own));
    let about = own.whole("about", 1..=100_000).unwrap_or(100) as u32;
    let probe_ms = own.whole("probe_ms", 200..=60_000).unwrap_or(1_000);
    let words = own.whole("words", 10..=10_000).unwrap_or(40) as u32;
    if !enabled {
        for key in ["station", "seal_keys"] {
            own.text(key);
        }
        return None;
    }
    let (listen, seeds) = (own.required("listen", listen), own.required("seeds", seeds));
    let (station, seal_keys) = (named(own, "station"), path(own, "seal_keys"));
    let listen = listen?;
    Some(Neighbours {
        listen,
        address: address.unwrap_or(listen),
        seeds: seeds?,
        station: station?,
        seal_keys: seal_keys?,
        about,
        probe_ms,
        words,
    })
}

/// What is remembered over a restart.
#[derive(Clone, Debug, PartialEq)]
pub struct Recall {
    pub store: Box<str>,
    pub write_ms: u64,
    pub most: usize,
    pub pages: u32,
}

pub(crate) fn recall(own: &Block<'_>) -> Option<Recall> {
    let enabled = own.flag("enabled").unwrap_or(false);
    let write_ms = own.whole("write_ms", 200..=600_000).unwrap_or(2_000);
    let most = own.whole("most", 100..=65_536).unwrap_or(16_384) as usize;
    let pages = own.whole("pages", 1..=10_000).unwrap_or(50) as u32;
    if !enabled {
        own.text("store");
        return None;
    }
    Some(Recall { store: path(own, "store")?, write_ms, most, pages })
}
