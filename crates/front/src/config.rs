//! Reads and checks the configuration, and sets defaults. Error messages name the faulty key.

use std::net::SocketAddr;

use doorgrade_log::LevelFilter;
use doorgrade_operator::settings::{Hierarchy, Level};
use doorgrade_operator::{Files, Version, version};
use doorgrade_settings::PlatformSettings;
use serde::Deserialize;
use serde_json::value::RawValue;

use crate::descriptors::Descriptors;
use crate::feed::{Event, ZoneAndKindNames};

#[derive(Deserialize)]
struct File {
    name: Option<String>,
    listen: Option<String>,
    seed: Option<String>,
    #[serde(default)]
    limits: Limits,
    feed: String,
    known: Box<RawValue>,
    settings: Box<RawValue>,
    log: Option<String>,
}

#[derive(Clone, Copy, Debug, PartialEq, Deserialize)]
#[serde(default)]
pub struct Limits {
    pub memory_mb: usize,
    pub sockets: usize,
}

impl Default for Limits {
    /// The tightest limits that operators have named.
    fn default() -> Self {
        Limits { memory_mb: 192, sockets: 1024 }
    }
}

/// The part of a new configuration that a running front applies; everything else needs a restart.
#[derive(Clone, Debug, PartialEq)]
pub struct ReloadedConfig {
    pub feed: SocketAddr,
    pub limits: Limits,
    pub log: LevelFilter,
    /// The operators' files.
    pub files: Files,
}

#[derive(Clone)]
pub struct Config {
    pub name: String,
    pub listen: SocketAddr,
    pub seed: u64,
    pub limits: Limits,
    pub feed: SocketAddr,
    pub platform: PlatformSettings,
    pub names: ZoneAndKindNames,
    /// The events up to the start, and the number of the last one.
    pub known: (u64, Vec<Event>),
    pub log: LevelFilter,
    /// The operators' files; all features are off until [`Config::with_files`].
    pub files: Files,
    /// The descriptors that this process may use.
    pub descriptors: Descriptors,
}

const MIN_SOCKETS: usize = version::MIN_SOCKETS as usize;
const MIN_MEMORY_MB: usize = version::MIN_MEMORY_MB as usize;
const MAX_LIMIT: usize = version::MAX_LIMIT as usize;

/// The connect timeouts that coroutines support, in units of 0.1 ms; a shorter one could never be met.
const CONNECT_TIMEOUT_RANGE: std::ops::RangeInclusive<u64> = 10..=600_000;

fn with_key<T>(key: &str, result: Result<T, impl std::fmt::Display>) -> Result<T, String> {
    result.map_err(|e| format!("configuration: key '{key}': {e}"))
}

/// Parses a part of the configuration; errors name the path of the faulty key below `key`.
fn parse_part<'a, T: Deserialize<'a>>(key: &str, text: &'a str) -> Result<T, String> {
    let mut json = serde_json::Deserializer::from_str(text);
    let read = serde_path_to_error::deserialize(&mut json).map_err(|e| match e.path().to_string() {
        path if path == "." => with_key::<()>(key, Err(e.inner())).unwrap_err(),
        path if key.is_empty() => with_key::<()>(&path, Err(e.inner())).unwrap_err(),
        path => with_key::<()>(&format!("{key}.{path}"), Err(e.inner())).unwrap_err(),
    })?;
    with_key(key, json.end())?;
    Ok(read)
}

fn level_filter(level: Level) -> LevelFilter {
    match level {
        Level::Off => LevelFilter::OFF,
        Level::Error => LevelFilter::ERROR,
        Level::Warn => LevelFilter::WARN,
        Level::Info => LevelFilter::INFO,
        Level::Debug => LevelFilter::DEBUG,
        Level::Trace => LevelFilter::TRACE,
    }
}

impl Config {
    /// Reads the text of the file. `name` and `listen` come from the environment, and override the file.
    pub fn read(text: &str, name: Option<String>, listen: Option<String>) -> Result<Config, String> {
        let file: File = parse_part("", text)?;
        let name = name.or(file.name).ok_or("configuration: key 'name' is missing")?;
        let listen = listen.or(file.listen).ok_or("configuration: key 'listen' is missing")?;
        let seed = match file.seed {
            Some(hex) => with_key("seed", u64::from_str_radix(&hex, 16))?,
            None => crate::clock::unix(),
        };
        if file.limits.sockets < MIN_SOCKETS {
            return with_key(
                "limits.sockets",
                Err(format!("{} is below {MIN_SOCKETS}", file.limits.sockets)),
            );
        }
        if file.limits.memory_mb < MIN_MEMORY_MB {
            return with_key(
                "limits.memory_mb",
                Err(format!("{} is below {MIN_MEMORY_MB}", file.limits.memory_mb)),
            );
        }
        let platform = with_key("settings", doorgrade_settings::read(file.settings.get()))?;
        if !CONNECT_TIMEOUT_RANGE.contains(&platform.connect_timeout) {
            return with_key("settings.limits.connectTimeout", Err("must be from 1 ms to 1 min"));
        }
        if platform.offering_names.is_empty() {
            return with_key("settings.profiles", Err("is missing or empty"));
        }
        if platform.settings.zone >= platform.zone_names.len().max(1) {
            return with_key(
                "settings.zone",
                Err(format!("{} is not an index of 'localities'", platform.settings.zone)),
            );
        }
        let names =
            ZoneAndKindNames { zones: platform.zone_names.clone(), kinds: platform.kind_names.clone() };
        let known =
            with_key("known", crate::feed::events_at_start(parse_part("known", file.known.get())?, &names))?;
        Ok(Config {
            name,
            listen: with_key("listen", listen.parse())?,
            seed,
            limits: Limits {
                memory_mb: file.limits.memory_mb.min(MAX_LIMIT),
                sockets: file.limits.sockets.min(MAX_LIMIT),
            },
            feed: with_key("feed", file.feed.parse())?,
            platform,
            names,
            known,
            log: file.log.map_or(Ok(LevelFilter::INFO), |level| with_key("log", level.parse()))?,
            files: Files::default(),
            descriptors: Descriptors::default(),
        })
    }

    /// Limits the sockets to the descriptors that the system leaves to this process.
    pub fn with_descriptors(mut self, descriptors: Descriptors) -> Result<Config, String> {
        descriptors.check()?;
        self.descriptors = descriptors;
        self.limits.sockets = descriptors.usable(self.limits.sockets);
        Ok(self)
    }

    /// Applies the operators' files, which override the platform's configuration.
    pub fn with_files(mut self, files: Files) -> Config {
        self.log = files.settings.log.level.map_or(self.log, level_filter);
        self.files = files;
        self
    }

    /// Applies a version, which overrides all files.
    pub fn with_version(mut self, version: &Version) -> Config {
        self.log = version.level.map_or(self.log, level_filter);
        let Limits { memory_mb, sockets } = self.limits;
        let usable = |sockets: u64| self.descriptors.usable(sockets as usize);
        self.limits = Limits {
            memory_mb: version.memory_mb.map_or(memory_mb, |memory_mb| memory_mb as usize),
            sockets: version.sockets.map_or(sockets, usable),
        };
        self.feed = version.feed.unwrap_or(self.feed);
        if let Some(shape) = &version.shape {
            self.files.shape.clone_from(shape);
        }
        self
    }

    /// The keys of a version that this front could only apply after a restart.
    pub fn needs_restart(&self, version: &Version) -> Vec<String> {
        let Some(new) = &version.hierarchy else { return Vec::new() };
        let Some(own) = &self.files.settings.hierarchy else {
            return vec!["hierarchy (off in this front's own file)".into()];
        };
        let Hierarchy { shape: _, tier, hand_over_ms, loop_header, shield } = new;
        let differs = |key: &str, own: &dyn std::fmt::Display, new: &dyn std::fmt::Display| {
            let (own, new) = (own.to_string(), new.to_string());
            (own != new).then(|| format!("hierarchy.{key} (is {own}, the version has {new})"))
        };
        let keys = [
            differs("tier", &own.tier, tier),
            differs("hand_over_ms", &own.hand_over_ms, hand_over_ms),
            differs("loop_header", &own.loop_header, loop_header),
            differs("shield", &own.shield, shield),
        ];
        keys.into_iter().flatten().collect()
    }

    /// The part of a configuration that replaces this one that can be applied without a restart, and the keys
    /// that differ but need one. `known` is not needed, as the feed repeats what was missed.
    pub fn reload_from(&self, new: Config) -> (ReloadedConfig, Vec<&'static str>) {
        let (new_settings, current) = (&new.files.settings, &self.files.settings);
        let needs_restart = [
            ("name", new.name != self.name),
            ("listen", new.listen != self.listen),
            ("settings", new.platform != self.platform),
            ("log.format", new_settings.log.format != current.log.format),
            ("hierarchy", new_settings.hierarchy != current.hierarchy),
            ("versions", new_settings.versions != current.versions),
            ("neighbours", new_settings.neighbours != current.neighbours),
            ("recall", new_settings.recall != current.recall),
        ];
        let needs_restart = needs_restart.into_iter().filter(|w| w.1).map(|w| w.0).collect();
        let Config { feed, limits, log, files, .. } = new;
        (ReloadedConfig { feed, limits, log, files }, needs_restart)
    }
}
