//! The one place where the configuration is read, checked and given defaults. Messages name the faulty key.

use std::net::SocketAddr;

use doorgrade_log::LevelFilter;
use doorgrade_operator::settings::{Hierarchy, Level};
use doorgrade_operator::{Files, Version, version};
use doorgrade_settings::PlatformSettings;
use serde::Deserialize;
use serde_json::value::RawValue;

use crate::descriptors::Descriptors;
use crate::feed::{Event, Names};

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

/// What a running front takes from a file that replaces its own; all else waits for a start.
#[derive(Clone, Debug, PartialEq)]
pub struct Renewal {
    pub feed: SocketAddr,
    pub limits: Limits,
    pub log: LevelFilter,
    /// The operators' files.
    pub files: Files,
    /// The shape in them is all there is to be: it came with a version. A file's tells changes.
    pub whole: bool,
}

#[derive(Clone)]
pub struct Config {
    pub name: String,
    pub listen: SocketAddr,
    pub seed: u64,
    pub limits: Limits,
    pub feed: SocketAddr,
    pub told: PlatformSettings,
    pub names: Names,
    /// Events up to the start, and the number of the last.
    pub known: (u64, Vec<Event>),
    pub log: LevelFilter,
    /// The operators' files; all off until [`Config::with`] says otherwise.
    pub files: Files,
    /// The shape in them came with a version.
    pub whole: bool,
    /// What this process may use of the descriptors that it is told of.
    pub descriptors: Descriptors,
}

const LEAST_SOCKETS: usize = version::MIN_SOCKETS as usize;
const LEAST_MEMORY_MB: usize = version::MIN_MEMORY_MB as usize;
const MOST: usize = version::MAX_LIMIT as usize;

/// The timers of coroutines take no more, and less could never be met; in tenths of a millisecond.
const CONNECT_WITHIN: std::ops::RangeInclusive<u64> = 10..=600_000;

fn at<T>(key: &str, read: Result<T, impl std::fmt::Display>) -> Result<T, String> {
    read.map_err(|e| format!("configuration: key '{key}': {e}"))
}

/// Reads a part of the configuration; the message has the path of the key at fault below `key`.
fn part<'a, T: Deserialize<'a>>(key: &str, text: &'a str) -> Result<T, String> {
    let mut json = serde_json::Deserializer::from_str(text);
    let read = serde_path_to_error::deserialize(&mut json).map_err(|e| match e.path().to_string() {
        path if path == "." => at::<()>(key, Err(e.inner())).unwrap_err(),
        path if key.is_empty() => at::<()>(&path, Err(e.inner())).unwrap_err(),
        path => at::<()>(&format!("{key}.{path}"), Err(e.inner())).unwrap_err(),
    })?;
    at(key, json.end())?;
    Ok(read)
}

fn filter(level: Level) -> LevelFilter {
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
    /// From the text of the file and what the environment says of name and address.
    pub fn read(text: &str, name: Option<String>, listen: Option<String>) -> Result<Config, String> {
        let file: File = part("", text)?;
        let name = name.or(file.name).ok_or("configuration: key 'name' is missing")?;
        let listen = listen.or(file.listen).ok_or("configuration: key 'listen' is missing")?;
        let seed = match file.seed {
            Some(hex) => at("seed", u64::from_str_radix(&hex, 16))?,
            None => crate::clock::unix(),
        };
        if file.limits.sockets < LEAST_SOCKETS {
            return at("limits.sockets", Err(format!("{} is below {LEAST_SOCKETS}", file.limits.sockets)));
        }
        if file.limits.memory_mb < LEAST_MEMORY_MB {
            return at(
                "limits.memory_mb",
                Err(format!("{} is below {LEAST_MEMORY_MB}", file.limits.memory_mb)),
            );
        }
        let told = at("settings", doorgrade_settings::read(file.settings.get()))?;
        if !CONNECT_WITHIN.contains(&told.connect_timeout) {
            return at("settings.limits.connectTimeout", Err("is not from 1 ms to a minute"));
        }
        if told.offering_names.is_empty() {
            return at("settings.profiles", Err("is missing or empty"));
        }
        if told.settings.zone >= told.zone_names.len().max(1) {
            return at("settings.zone", Err(format!("{} is no place in 'localities'", told.settings.zone)));
        }
        let names = Names { zones: told.zone_names.clone(), kinds: told.kind_names.clone() };
        let known = at("known", crate::feed::known(part("known", file.known.get())?, &names))?;
        Ok(Config {
            name,
            listen: at("listen", listen.parse())?,
            seed,
            limits: Limits {
                memory_mb: file.limits.memory_mb.min(MOST),
                sockets: file.limits.sockets.min(MOST),
            },
            feed: at("feed", file.feed.parse())?,
            told,
            names,
            known,
            log: file.log.map_or(Ok(LevelFilter::INFO), |level| at("log", level.parse()))?,
            files: Files::default(),
            whole: false,
            descriptors: Descriptors::default(),
        })
    }

    /// On a machine that leaves this process so many descriptors, whatever it is told.
    pub fn on(mut self, descriptors: Descriptors) -> Result<Config, String> {
        descriptors.check()?;
        self.descriptors = descriptors;
        self.limits.sockets = descriptors.own(self.limits.sockets);
        Ok(self)
    }

    /// With what the operators' own files say, which goes before what the platform's does.
    pub fn with(mut self, files: Files) -> Config {
        self.log = files.settings.log.level.map_or(self.log, filter);
        self.files = files;
        self
    }

    /// With what a version says, which goes before all files.
    pub fn overlaid(mut self, version: &Version) -> Config {
        self.log = version.level.map_or(self.log, filter);
        let Limits { memory_mb, sockets } = self.limits;
        let own = |told: u64| self.descriptors.own(told as usize);
        self.limits = Limits {
            memory_mb: version.memory_mb.map_or(memory_mb, |told| told as usize),
            sockets: version.sockets.map_or(sockets, own),
        };
        self.feed = version.feed.unwrap_or(self.feed);
        if let Some(shape) = &version.shape {
            self.files.shape.clone_from(shape);
            self.whole = true;
        }
        self
    }

    /// What of a version this front could only take with a new start, key by key.
    pub fn needs_restart(&self, version: &Version) -> Vec<String> {
        let Some(told) = &version.hierarchy else { return Vec::new() };
        let Some(own) = &self.files.settings.hierarchy else {
            return vec!["hierarchy (off in this front's own file)".into()];
        };
        let Hierarchy { shape: _, tier, hand_over_ms, loop_header, shield } = told;
        let differs = |key: &str, own: &dyn std::fmt::Display, told: &dyn std::fmt::Display| {
            let (own, told) = (own.to_string(), told.to_string());
            (own != told).then(|| format!("hierarchy.{key} (is {own}, told {told})"))
        };
        let keys = [
            differs("tier", &own.tier, tier),
            differs("hand_over_ms", &own.hand_over_ms, hand_over_ms),
            differs("loop_header", &own.loop_header, loop_header),
            differs("shield", &own.shield, shield),
        ];
        keys.into_iter().flatten().collect()
    }

    /// What a running front takes of a configuration that replaces this one, and the keys that differ but
    /// can't be taken before the next start. `known` is not needed: the feed repeats what was missed.
    pub fn renewal(&self, new: Config) -> (Renewal, Vec<&'static str>) {
        let (own, theirs) = (&new.files.settings, &self.files.settings);
        let waits = [
            ("name", new.name != self.name),
            ("listen", new.listen != self.listen),
            ("settings", new.told != self.told),
            ("log.format", own.log.format != theirs.log.format),
            ("hierarchy", own.hierarchy != theirs.hierarchy),
            ("versions", own.versions != theirs.versions),
            ("neighbours", own.neighbours != theirs.neighbours),
            ("recall", own.recall != theirs.recall),
        ];
        let waits = waits.into_iter().filter(|w| w.1).map(|w| w.0).collect();
        let Config { feed, limits, log, files, whole, .. } = new;
        (Renewal { feed, limits, log, files, whole }, waits)
    }
}
