//! What a version of the streamed configuration holds, in HCL: all that a running front takes without a new start.
//!
//! ```hcl
//! log { level = "info" }
//! limits {
//!   memory_mb = 192
//!   sockets   = 1024
//! }
//! feed = "127.0.0.1:9092"
//! hierarchy { tier = 1 }        # as each front's own file has it: a version can't change it, and says what it is for
//! member "t-0000000a" { ... }   # the whole shape, as in a shape file
//! ```
//!
//! What a version does not name stays as the front's own files have it. The shape is whole: if one member stands
//! there, those that don't are not wanted any more.

use std::net::SocketAddr;
use std::ops::RangeInclusive;

use doorgrade_hierarchy::reconcile::{ShapeFault, faults};
use doorgrade_hierarchy::{Change, Shape};

use crate::doc::{Doc, Problems};
use crate::settings::{Hierarchy, LEVELS, Level, hierarchy};
use crate::shape;

/// Fewer descriptors, or less memory, than this leave no room for both sides of one access.
pub const LEAST_SOCKETS: u64 = 32;
pub const LEAST_MEMORY_MB: u64 = 32;
/// Of more than this no use is made: sums must not overflow.
pub const MOST: u64 = 1 << 20;

/// Harm that is told of one version; a person mends the first ones first.
const MOST_HARMS: usize = 20;

#[derive(Clone, Debug, Default, PartialEq)]
pub struct Version {
    pub level: Option<Level>,
    pub memory_mb: Option<u64>,
    pub sockets: Option<u64>,
    pub feed: Option<SocketAddr>,
    /// None where it does not speak of one; its `shape` is empty.
    pub hierarchy: Option<Hierarchy>,
    /// The whole shape, as changes that tell it; none where it has none.
    pub shape: Option<Vec<Change>>,
}

impl Version {
    pub fn read(name: &str, content: &[u8]) -> Result<Version, Problems> {
        let text = std::str::from_utf8(content).map_err(|e| {
            Problems::of(name, format_args!("is no text: byte {} is not UTF-8", e.valid_up_to() + 1))
        })?;
        let doc = Doc::parse(name, text)?;
        let root = doc.root();
        let mut version = Version::default();
        if let Some(log) = root.block("log") {
            version.level = log.word("level", &LEVELS);
            log.done();
        }
        if let Some(limits) = root.block("limits") {
            let at_least = |least: u64| -> RangeInclusive<u64> { least..=MOST };
            version.memory_mb = limits.whole("memory_mb", at_least(LEAST_MEMORY_MB));
            version.sockets = limits.whole("sockets", at_least(LEAST_SOCKETS));
            limits.done();
        }
        if let Some(feed) = root.text("feed") {
            version.feed = feed.parse().ok();
            if version.feed.is_none() {
                root.complain("feed", format_args!("expected an address and a port, got \"{feed}\""));
            }
        }
        if let Some(own) = root.block("hierarchy") {
            version.hierarchy = Some(hierarchy(&own, ""));
            own.done();
        }
        let changes = shape::changes(&root);
        version.shape = (!changes.is_empty()).then_some(changes);
        if version.shape.is_some() && version.hierarchy.is_none() {
            root.complain_of_all(
                "members are named: expected a block 'hierarchy' that says which tier is for what",
            );
        }
        root.done();
        doc.finish(version)
    }

    /// The shape on its own; empty where there is none.
    pub fn wanted(&self) -> Shape {
        let mut shape = Shape::new();
        self.shape.iter().flatten().for_each(|c| drop(shape.apply(c)));
        shape
    }

    /// What could be read, but would do harm.
    pub fn harms(&self) -> Vec<ShapeFault> {
        match (&self.hierarchy, &self.shape) {
            (Some(own), Some(_)) => faults(&self.wanted(), own.tier, MOST_HARMS),
            _ => Vec::new(),
        }
    }

    /// Read, and without harm; or why not, in words.
    pub fn sound(name: &str, content: &[u8]) -> Result<Version, String> {
        let version = Version::read(name, content).map_err(|problems| problems.to_string())?;
        let harms: Vec<String> = version.harms().iter().map(|harm| format!("{name}: {harm}")).collect();
        if harms.is_empty() { Ok(version) } else { Err(harms.join("\n")) }
    }
}
