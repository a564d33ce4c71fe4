//! The operators' settings, `deploy/doorgrade.hcl`: what the platform's own configuration has no place for. All
//! of it is off, or as it always was, where the file or a key is missing.

use std::net::SocketAddr;

use crate::control::{Papers, address, papers, path};
use crate::doc::{Block, Doc, Problems};
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
    /// In place of the level in the platform's configuration.
    pub level: Option<Level>,
    pub format: Format,
}

/// Trunk caches in tiers, whose shape changes while it is in use.
#[derive(Clone, Debug, PartialEq)]
pub struct Hierarchy {
    /// The file with the shape, beside this one unless it is absolute; followed on SIGHUP.
    pub shape: Box<str>,
    /// The tier whose members are named as sources; those above are reached through it.
    pub tier: u8,
    /// Within this time objects go to their new homes, one after the other; those of a member that starts cold
    /// take as long as its cold time where that is longer.
    pub hand_over_ms: u64,
    /// Whether pushes carry `CDN-Loop`.
    pub loop_header: bool,
    /// Whether what may reach the archive goes through one account.
    pub shield: bool,
}

/// Configuration streamed by a service of versions.
#[derive(Clone, Debug, PartialEq)]
pub struct Versions {
    /// Tried in turn.
    pub service: Vec<SocketAddr>,
    /// The name in the service's certificate.
    pub server_name: Box<str>,
    pub station: Box<str>,
    pub papers: Papers,
    pub seal_keys: Box<str>,
    pub store: Box<str>,
}

/// Whom the commands below `doorgrade config` talk to.
#[derive(Clone, Debug, PartialEq)]
pub struct Manage {
    pub service: SocketAddr,
    pub server_name: Box<str>,
    pub papers: Papers,
}

#[derive(Clone, Debug, Default, PartialEq)]
pub struct Settings {
    pub log: Log,
    /// None where it is off.
    pub versions: Option<Versions>,
    pub manage: Option<Manage>,
    /// None where it is off.
    pub neighbours: Option<Neighbours>,
    /// None where it is off.
    pub recall: Option<Recall>,
    /// None where it is off.
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

/// What a hierarchy's block says besides whether it is on and where its shape stands.
pub(crate) fn hierarchy(own: &Block<'_>, shape: &str) -> Hierarchy {
    let most = u64::from(doorgrade_hierarchy::shape::MAX_TIERS) - 1;
    Hierarchy {
        shape: shape.into(),
        tier: own.whole("tier", 1..=most).unwrap_or(1) as u8,
        hand_over_ms: own.whole("hand_over_ms", 0..=3_600_000).unwrap_or(10_000),
        loop_header: own.flag("loop_header").unwrap_or(true),
        shield: own.flag("shield").unwrap_or(true),
    }
}

/// A name that stands in certificates.
pub(crate) fn named(own: &Block<'_>, key: &'static str) -> Option<Box<str>> {
    let told = own.required(key, own.text(key))?;
    let plain = |b: u8| b.is_ascii_alphanumeric() || matches!(b, b'-' | b'_' | b'.');
    if told.is_empty() || told.len() > 64 || !told.bytes().all(plain) {
        own.complain(key, "expected 1 to 64 letters, digits, '-', '_' or '.'");
    }
    Some(told.into())
}

/// More places to find a service at are not tried before the first is tried again.
const MOST_SERVICES: usize = 16;

fn services(own: &Block<'_>) -> Option<Vec<SocketAddr>> {
    let told = own.texts("service")?;
    let read: Vec<SocketAddr> = told.iter().filter_map(|t| t.parse().ok()).collect();
    if read.len() != told.len() || read.is_empty() || read.len() > MOST_SERVICES {
        let most = MOST_SERVICES;
        own.complain(
            "service",
            format_args!("expected 1 to {most} addresses with ports, as in [\"127.0.0.1:7443\"]"),
        );
    }
    Some(read)
}

fn versions(own: &Block<'_>) -> Option<Versions> {
    let service = own.required("service", services(own));
    let (server_name, station) = (named(own, "server_name"), named(own, "station"));
    let papers = papers(own, "authority");
    let (seal_keys, store) = (path(own, "seal_keys"), path(own, "store"));
    Some(Versions {
        service: service?,
        server_name: server_name?,
        station: station?,
        papers: papers?,
        seal_keys: seal_keys?,
        store: store?,
    })
}

fn versions_keys(own: &Block<'_>) {
    services(own);
    for key in ["server_name", "station", "certificate", "key", "authority", "seal_keys", "store"] {
        own.text(key);
    }
}

impl Settings {
    /// From the text of a file; its name is for messages.
    pub fn read(file: &str, text: &str) -> Result<Settings, Problems> {
        let doc = Doc::parse(file, text)?;
        let root = doc.root();
        let mut settings = Settings::default();
        if let Some(log) = root.block("log") {
            settings.log.level = log.word("level", &LEVELS);
            let formats = [("human", Format::Human), ("json", Format::Json)];
            settings.log.format = log.word("format", &formats).unwrap_or_default();
            log.done();
        }
        if let Some(own) = root.block("hierarchy") {
            let enabled = own.flag("enabled").unwrap_or(false);
            let shape = own.text("shape");
            let shape = if enabled { own.required("shape", shape) } else { shape };
            if shape.is_some_and(str::is_empty) {
                own.complain("shape", "expected the path of a file");
            }
            let read = hierarchy(&own, shape.unwrap_or_default());
            settings.hierarchy = enabled.then_some(read);
            own.done();
        }
        if let Some(own) = root.block("versions") {
            if own.flag("enabled").unwrap_or(false) {
                settings.versions = versions(&own);
            } else {
                // Off, but what stands there is to be sound in its form.
                versions_keys(&own);
            }
            own.done();
        }
        if let Some(own) = root.block("manage") {
            let service = own.required("service", address(&own, "service"));
            let (server_name, papers) = (named(&own, "server_name"), papers(&own, "authority"));
            settings.manage = service
                .zip(server_name)
                .zip(papers)
                .map(|((service, server_name), papers)| Manage { service, server_name, papers });
            own.done();
        }
        if let Some(own) = root.block("neighbours") {
            settings.neighbours = neighbours(&own);
            own.done();
        }
        if let Some(own) = root.block("recall") {
            settings.recall = recall(&own);
            own.done();
        }
        root.done();
        doc.finish(settings)
    }
}
