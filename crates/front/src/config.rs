//! The one place where the configuration is read, checked and given defaults. Messages name the faulty key.

use std::net::SocketAddr;

use doorgrade_log::LevelFilter;
use doorgrade_operator::Files;
use doorgrade_operator::settings::Level;
use doorgrade_settings::Told;
use serde::Deserialize;
use serde_json::value::RawValue;

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
}

#[derive(Clone)]
pub struct Config {
    pub name: String,
    pub listen: SocketAddr,
    pub seed: u64,
    pub limits: Limits,
    pub feed: SocketAddr,
    pub told: Told,
    pub names: Names,
    /// Events up to the start, and the number of the last.
    pub known: (u64, Vec<Event>),
    pub log: LevelFilter,
    /// The operators' files; all off until [`Config::with`] says otherwise.
    pub files: Files,
}

/// Fewer descriptors, or less memory, than this leave no room for both sides of one access.
const LEAST_SOCKETS: usize = 32;
const LEAST_MEMORY_MB: usize = 32;
/// Of more than this no use is made: sums must not overflow.
const MOST: usize = 1 << 20;

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
        if !CONNECT_WITHIN.contains(&told.connect_within) {
            return at("settings.limits.connectTimeout", Err("is not from 1 ms to a minute"));
        }
        if told.offerings.is_empty() {
            return at("settings.profiles", Err("is missing or empty"));
        }
        if told.settings.zone >= told.zones.len().max(1) {
            return at("settings.zone", Err(format!("{} is no place in 'localities'", told.settings.zone)));
        }
        let names = Names { zones: told.zones.clone(), kinds: told.kinds.clone() };
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
        })
    }

    /// With what the operators' own files say, which goes before what the platform's does.
    pub fn with(mut self, files: Files) -> Config {
        self.log = match files.settings.log.level {
            None => self.log,
            Some(Level::Off) => LevelFilter::OFF,
            Some(Level::Error) => LevelFilter::ERROR,
            Some(Level::Warn) => LevelFilter::WARN,
            Some(Level::Info) => LevelFilter::INFO,
            Some(Level::Debug) => LevelFilter::DEBUG,
            Some(Level::Trace) => LevelFilter::TRACE,
        };
        self.files = files;
        self
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
        ];
        let waits = waits.into_iter().filter(|w| w.1).map(|w| w.0).collect();
        (Renewal { feed: new.feed, limits: new.limits, log: new.log, files: new.files }, waits)
    }
}
