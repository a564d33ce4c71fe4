//! The operators' settings, `deploy/doorgrade.hcl`: what the platform's own configuration has no place for. All
//! of it is off, or as it always was, where the file or a key is missing.

use crate::doc::{Doc, Problems};

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

#[derive(Clone, Debug, Default, PartialEq)]
pub struct Settings {
    pub log: Log,
    /// None where it is off.
    pub hierarchy: Option<Hierarchy>,
}

const LEVELS: [(&str, Level); 6] = [
    ("off", Level::Off),
    ("error", Level::Error),
    ("warn", Level::Warn),
    ("info", Level::Info),
    ("debug", Level::Debug),
    ("trace", Level::Trace),
];

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
            let most = u64::from(doorgrade_hierarchy::shape::MOST_TIERS) - 1;
            let read = Hierarchy {
                shape: shape.unwrap_or_default().into(),
                tier: own.whole("tier", 1..=most).unwrap_or(1) as u8,
                hand_over_ms: own.whole("hand_over_ms", 0..=3_600_000).unwrap_or(10_000),
                loop_header: own.flag("loop_header").unwrap_or(true),
                shield: own.flag("shield").unwrap_or(true),
            };
            settings.hierarchy = enabled.then_some(read);
            own.done();
        }
        root.done();
        doc.finish(settings)
    }
}
