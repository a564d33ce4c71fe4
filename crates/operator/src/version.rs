//! A version of the streamed configuration, in HCL: the settings that a running front applies without a restart.
//!
//! ```hcl
//! log { level = "info" }
//! limits {
//!   memory_mb = 192
//!   sockets   = 1024
//! }
//! feed = "127.0.0.1:9092"
//! hierarchy { tier = 1 }        # must match each front's own file: a version can't change it
//! member "t-0000000a" { ... }   # the whole shape, as in a shape file
//! ```
//!
//! Settings that a version does not name stay as the front's own files have them. The shape is complete: if a version
//! names any member, members that it does not name are removed.

use std::net::SocketAddr;
use std::ops::RangeInclusive;

use doorgrade_hierarchy::reconcile::{ShapeFault, faults};
use doorgrade_hierarchy::{Change, Shape};

use crate::document::{Document, Problems};
use crate::settings::{Hierarchy, LEVELS, Level, hierarchy};
use crate::shape;

/// With fewer descriptors, or less memory, there is no room for both sides of one access.
pub const MIN_SOCKETS: u64 = 32;
pub const MIN_MEMORY_MB: u64 = 32;
/// Upper bound of limits, so that sums of them do not overflow.
pub const MAX_LIMIT: u64 = 1 << 20;

/// Further faults of a shape are not reported: so many are enough to correct at a time.
const MAX_FAULTS: usize = 20;

/// The settings of a version; None for each that it does not name.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Version {
    pub level: Option<Level>,
    pub memory_mb: Option<u64>,
    pub sockets: Option<u64>,
    pub feed: Option<SocketAddr>,
    /// Its `shape` (the path of a file) is empty.
    pub hierarchy: Option<Hierarchy>,
    /// The complete shape, as changes that lead to it.
    pub shape: Option<Vec<Change>>,
}

impl Version {
    /// Reads a version; `name` is its name in error messages.
    pub fn read(name: &str, content: &[u8]) -> Result<Version, Problems> {
        let text = std::str::from_utf8(content).map_err(|e| {
            Problems::of_file(name, format_args!("is not UTF-8 at byte {}", e.valid_up_to() + 1))
        })?;
        let document = Document::parse(name, text)?;
        let root = document.root();
        let mut version = Version::default();
        if let Some(log) = root.block("log") {
            version.level = log.choice("level", &LEVELS);
            log.finish();
        }
        if let Some(limits) = root.block("limits") {
            let at_least = |min: u64| -> RangeInclusive<u64> { min..=MAX_LIMIT };
            version.memory_mb = limits.integer("memory_mb", at_least(MIN_MEMORY_MB));
            version.sockets = limits.integer("sockets", at_least(MIN_SOCKETS));
            limits.finish();
        }
        if let Some(feed) = root.string("feed") {
            version.feed = feed.parse().ok();
            if version.feed.is_none() {
                root.report("feed", format_args!("expected an address and a port, got \"{feed}\""));
            }
        }
        if let Some(own) = root.block("hierarchy") {
            version.hierarchy = Some(hierarchy(&own, ""));
            own.finish();
        }
        let changes = shape::changes(&root);
        version.shape = (!changes.is_empty()).then_some(changes);
        if version.shape.is_some() && version.hierarchy.is_none() {
            root.report_block(
                "has members: expected a block 'hierarchy' with the tier that accesses are filled from",
            );
        }
        root.finish();
        document.finish(version)
    }

    /// The shape that the version describes; empty where it has none.
    pub fn desired_shape(&self) -> Shape {
        let mut shape = Shape::new();
        self.shape.iter().flatten().for_each(|c| drop(shape.apply(c)));
        shape
    }

    /// Faults of the shape that the file format allows, but that fronts could not work with.
    pub fn shape_faults(&self) -> Vec<ShapeFault> {
        match (&self.hierarchy, &self.shape) {
            (Some(own), Some(_)) => faults(&self.desired_shape(), own.tier, MAX_FAULTS),
            _ => Vec::new(),
        }
    }

    /// Reads a version and checks its shape; the error has one line for each problem.
    pub fn read_checked(name: &str, content: &[u8]) -> Result<Version, String> {
        let version = Version::read(name, content).map_err(|problems| problems.to_string())?;
        let faults: Vec<String> =
            version.shape_faults().iter().map(|fault| format!("{name}: {fault}")).collect();
        if faults.is_empty() { Ok(version) } else { Err(faults.join("\n")) }
    }
}
