//! The operators' settings, `deploy/doorgrade.hcl`: what is not part of the platform's own configuration. Where the
//! file or a key is missing, optional features are off, and everything else has its default.

use std::net::SocketAddr;

use crate::control::{IdentityFiles, address, identity, path};
use crate::document::{Block, Document, Problems};
use crate::neighbours::{Neighbours, Recall, neighbours, recall};

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Format {
    /// For people.
    #[default]
    Human,
    /// One JSON object a line.
    Json,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Level {
    Off,
    Error,
    Warn,
    Info,
    Debug,
    Trace,
}

#[derive(Clone, Debug, Default, PartialEq)]
pub struct Log {
    /// Overrides the level in the platform's configuration.
    pub level: Option<Level>,
    pub format: Format,
}

/// Trunk caches in tiers, whose shape (topology) can change at run time.
#[derive(Clone, Debug, PartialEq)]
pub struct Hierarchy {
    /// Path of the shape file, relative to this file unless it is absolute; reloaded on SIGHUP.
    pub shape: Box<str>,
    /// The tier that accesses are filled from; higher tiers are reached through it.
    pub tier: u8,
    /// Time over which objects move to their new homes, one after the other. Those of a member that starts cold
    /// take its cold time if that is longer.
    pub hand_over_ms: u64,
    /// Whether pushes carry `CDN-Loop`.
    pub loop_header: bool,
    /// Whether fills that reach the archive are limited by a budget (the shield).
    pub shield: bool,
}

/// The block `versions`: configuration streamed by the configuration service.
#[derive(Clone, Debug, PartialEq)]
pub struct Versions {
    /// Addresses of the service, tried in turn.
    pub service: Vec<SocketAddr>,
    /// The name in the service's certificate.
    pub server_name: Box<str>,
    pub station: Box<str>,
    pub identity: IdentityFiles,
    pub seal_keys: Box<str>,
    pub store: Box<str>,
}

/// The block `manage`: the service that the subcommands of `doorgrade config` connect to.
#[derive(Clone, Debug, PartialEq)]
pub struct Manage {
    pub service: SocketAddr,
    pub server_name: Box<str>,
    pub identity: IdentityFiles,
}

#[derive(Clone, Debug, Default, PartialEq)]
pub struct Settings {
    pub log: Log,
    /// This and the following blocks are None if they are off.
    pub versions: Option<Versions>,
    pub manage: Option<Manage>,
    pub neighbours: Option<Neighbours>,
    pub recall: Option<Recall>,
    pub hierarchy: Option<Hierarchy>,
}

pub(crate) const LEVELS: [(&str, Level); 6] = [
    ("off", Level::Off),
    ("error", Level::Error),
    ("warn", Level::Warn),
    ("info", Level::Info),
    ("debug", Level::Debug),
    ("trace", Level::Trace),
];

/// Reads a block `hierarchy`, apart from its keys `enabled` and `shape`.
pub(crate) fn hierarchy(own: &Block<'_>, shape: &str) -> Hierarchy {
    let max_tier = u64::from(doorgrade_hierarchy::shape::MAX_TIERS) - 1;
    Hierarchy {
        shape: shape.into(),
        tier: own.integer("tier", 1..=max_tier).unwrap_or(1) as u8,
        hand_over_ms: own.integer("hand_over_ms", 0..=3_600_000).unwrap_or(10_000),
        loop_header: own.bool("loop_header").unwrap_or(true),
        shield: own.bool("shield").unwrap_or(true),
    }
}

/// A name as in certificates.
pub(crate) fn name(own: &Block<'_>, key: &'static str) -> Option<Box<str>> {
    let text = own.required(key, own.string(key))?;
    let allowed = |b: u8| b.is_ascii_alphanumeric() || matches!(b, b'-' | b'_' | b'.');
    if text.is_empty() || text.len() > 64 || !text.bytes().all(allowed) {
        own.report(key, "expected 1 to 64 letters, digits, '-', '_' or '.'");
    }
    Some(text.into())
}

/// With more addresses it would take too long until the first one is tried again.
const MAX_SERVICES: usize = 16;

fn services(own: &Block<'_>) -> Option<Vec<SocketAddr>> {
    let texts = own.strings("service")?;
    let addresses: Vec<SocketAddr> = texts.iter().filter_map(|t| t.parse().ok()).collect();
    if addresses.len() != texts.len() || addresses.is_empty() || addresses.len() > MAX_SERVICES {
        let max = MAX_SERVICES;
        own.report(
            "service",
            format_args!("expected 1 to {max} addresses with ports, as in [\"127.0.0.1:7443\"]"),
        );
    }
    Some(addresses)
}

fn versions(own: &Block<'_>) -> Option<Versions> {
    let service = own.required("service", services(own));
    let (server_name, station) = (name(own, "server_name"), name(own, "station"));
    let identity = identity(own, "authority");
    let (seal_keys, store) = (path(own, "seal_keys"), path(own, "store"));
    Some(Versions {
        service: service?,
        server_name: server_name?,
        station: station?,
        identity: identity?,
        seal_keys: seal_keys?,
        store: store?,
    })
}

/// Marks the keys of the block `versions` as known, and checks their types.
fn check_versions_keys(own: &Block<'_>) {
    services(own);
    for key in ["server_name", "station", "certificate", "key", "authority", "seal_keys", "store"] {
        own.string(key);
    }
}

impl Settings {
    /// Reads the text of a file; `file` is its name in error messages.
    pub fn read(file: &str, text: &str) -> Result<Settings, Problems> {
        let document = Document::parse(file, text)?;
        let root = document.root();
        let mut settings = Settings::default();
        if let Some(log) = root.block("log") {
            settings.log.level = log.choice("level", &LEVELS);
            let formats = [("human", Format::Human), ("json", Format::Json)];
            settings.log.format = log.choice("format", &formats).unwrap_or_default();
            log.finish();
        }
        if let Some(own) = root.block("hierarchy") {
            let enabled = own.bool("enabled").unwrap_or(false);
            let shape = own.string("shape");
            let shape = if enabled { own.required("shape", shape) } else { shape };
            if shape.is_some_and(str::is_empty) {
                own.report("shape", "expected the path of a file");
            }
            let hierarchy = hierarchy(&own, shape.unwrap_or_default());
            settings.hierarchy = enabled.then_some(hierarchy);
            own.finish();
        }
        if let Some(own) = root.block("versions") {
            if own.bool("enabled").unwrap_or(false) {
                settings.versions = versions(&own);
            } else {
                check_versions_keys(&own);
            }
            own.finish();
        }
        if let Some(own) = root.block("manage") {
            let service = own.required("service", address(&own, "service"));
            let (server_name, identity) = (name(&own, "server_name"), identity(&own, "authority"));
            settings.manage = service
                .zip(server_name)
                .zip(identity)
                .map(|((service, server_name), identity)| Manage { service, server_name, identity });
            own.finish();
        }
        if let Some(own) = root.block("neighbours") {
            settings.neighbours = neighbours(&own);
            own.finish();
        }
        if let Some(own) = root.block("recall") {
            settings.recall = recall(&own);
            own.finish();
        }
        root.finish();
        document.finish(settings)
    }
}
