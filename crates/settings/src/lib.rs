//! Reads the platform's settings for one instance, which are nested JSON, for the simulator's adapter and for the
//! real front alike. Unknown keys are ignored.
#![forbid(unsafe_code)]

use doorgrade::{ColdLimits, Features, Group, Offering, RepeatPolicy, Settings, StatusReporting, Ticks};
use serde::Deserialize;

/// The platform's settings for one instance: what the decision module needs, and what the front itself needs.
#[derive(Clone, Debug, PartialEq)]
pub struct PlatformSettings {
    pub settings: Settings,
    /// The names of the offerings, zones and kinds of members, each at its index.
    pub offering_names: Vec<String>,
    pub zone_names: Vec<String>,
    pub kind_names: Vec<String>,
    /// A connection to a cache that is not established within this time is given up.
    pub connect_timeout: Ticks,
    /// Connections to caches are closed after they have been idle for this long.
    pub idle_timeout: Ticks,
    /// The longest hard limit of any offering.
    pub max_hard_limit: Ticks,
}

/// The settings as the platform writes them. Fields are named as the platform's keys, all times are in
/// milliseconds, and a section that lacks a key gets the same default for it as a section that is missing.
#[derive(Deserialize)]
#[serde(rename_all = "camelCase", default)]
struct RawSettings {
    profiles: Vec<Profile>,
    zone: usize,
    /// The number of fronts of a zone that `crew_by_zone` does not list.
    fleet_size: u32,
    /// The shortest time between two inputs.
    quantum: f64,
    /// How the member list is sent: `automatic`, or `subscribe` for only on request.
    registry_mode: String,
    /// The kind of members' weights: `nominal` and `rough` ones can be compared between members.
    weight_kind: String,
    limits: Limits,
    /// The names of the zones.
    localities: Vec<String>,
    /// The names of the kinds of members.
    machine_types: Vec<String>,
    rules: Rules,
    specifics: Specifics,
}

/// An offering.
#[derive(Deserialize)]
#[serde(rename_all = "camelCase", default)]
struct Profile {
    /// The soft limit.
    aim: f64,
    /// See [`Offering::transfer_factor`].
    aim_stretch: f64,
    /// The hard limit.
    deadline: f64,
    name: String,
    /// The caches that together deduplicate repeats: `all`, those of a `zone` or those of a `cell`.
    group: String,
    /// For how long repeats are deduplicated.
    repeat_window: f64,
    /// The repeat policy: `free` (idempotent), `guarded` (deduplicated) or `single_shot` (unrepeatable).
    semantics: String,
    /// See [`Offering::benefit`].
    worth: f64,
}

/// Limits of pushes and of connections to caches.
#[derive(Deserialize)]
#[serde(rename_all = "camelCase", default)]
struct Limits {
    /// A push in flight may be cancelled.
    cancel: bool,
    conn_idle: f64,
    connect_timeout: f64,
    /// The most pushes of one access.
    max_attempts: usize,
    /// Two pushes of one access may be in flight at once.
    second_copies: bool,
}

/// The load that a cold cache can take.
#[derive(Deserialize)]
#[serde(rename_all = "camelCase", default)]
struct Rules {
    /// How long a cache is cold.
    cold: f64,
    /// See [`ColdLimits::window`]; for parents too.
    fall: f64,
    /// See [`ColdLimits::load_multiple`].
    fall_multiple: f64,
    /// See [`ColdLimits::initial_share`].
    start_capacity: f64,
}

/// Settings of the hierarchy of caches, parents and the origin.
#[derive(Deserialize)]
#[serde(rename_all = "camelCase", default)]
struct Specifics {
    /// The number of fronts, by zone.
    crew_by_zone: Vec<u32>,
    /// The fresh time, by offering.
    max_age: Vec<f64>,
    /// Which responses of caches report a cache status: `all`, `hit` for hits only, anything else for none.
    notes_given: String,
    /// How long a parent is cold.
    parent_cold: f64,
    /// [`ColdLimits::initial_share`] of parents.
    parent_cold_from: f64,
    /// [`ColdLimits::load_multiple`] of parents.
    parent_limit_factor: f64,
    /// Whether an offering is uncacheable, by offering.
    pass_on: Vec<bool>,
    /// The time after which a purge has reached every cache.
    purge_done: f64,
    /// The kind of member that is the origin; negative if there is none.
    root_kind: i64,
    /// An access may join a fill in flight.
    shares_fills: bool,
    /// An access may be sent directly to a parent or the origin.
    straight: bool,
    /// The rate of one transfer; 0 if it is unknown.
    stream_kb_per_s: f64,
    /// The kind of member that is a parent; negative if there are none.
    upper_kind: i64,
}

impl Default for RawSettings {
    fn default() -> Self {
        RawSettings {
            profiles: Vec::new(),
            zone: 0,
            fleet_size: 1,
            quantum: 1.0,
            registry_mode: "automatic".into(),
            weight_kind: "silent".into(),
            limits: Limits::default(),
            localities: Vec::new(),
            machine_types: Vec::new(),
            rules: Rules::default(),
            specifics: Specifics::default(),
        }
    }
}

impl Default for Limits {
    fn default() -> Self {
        Limits {
            cancel: false,
            conn_idle: 5_000.0,
            connect_timeout: 1_000.0,
            max_attempts: 1,
            second_copies: false,
        }
    }
}

impl Default for Profile {
    fn default() -> Self {
        Profile {
            aim: 0.0,
            aim_stretch: 0.0,
            deadline: 0.0,
            name: String::new(),
            group: "all".into(),
            repeat_window: 0.0,
            semantics: "free".into(),
            worth: 1.0,
        }
    }
}

impl Default for Rules {
    fn default() -> Self {
        Rules { cold: 0.0, fall: 0.0, fall_multiple: 1.0, start_capacity: 1.0 }
    }
}

impl Default for Specifics {
    fn default() -> Self {
        Specifics {
            crew_by_zone: Vec::new(),
            max_age: Vec::new(),
            notes_given: "silent".into(),
            parent_cold: 0.0,
            parent_cold_from: 1.0,
            parent_limit_factor: 1.0,
            pass_on: Vec::new(),
            purge_done: 0.0,
            root_kind: -1,
            shares_fills: false,
            straight: false,
            stream_kb_per_s: 0.0,
            upper_kind: -1,
        }
    }
}

fn ticks(ms: f64) -> Ticks {
    // Limited to some thousands of years, so that sums of times cannot overflow, whatever the settings say.
    (ms * 10.0).floor().clamp(0.0, 1e15) as Ticks
}

fn unknown_value(key: &str, value: &str) -> String {
    format!("{key}: unknown value '{value}'")
}

/// Rejects numbers that are out of range instead of replacing them silently. The error names the key and what is
/// expected.
fn check(raw: &RawSettings) -> Result<(), String> {
    let (rules, specifics, limits) = (&raw.rules, &raw.specifics, &raw.limits);
    let check_range = |key: &str, value: f64, max: f64| match (0.0..=max).contains(&value) {
        true => Ok(()),
        false if max == 1.0 => Err(format!("{key}: {value} is not from 0 to 1")),
        false => Err(format!("{key}: {value} is not 0 or more")),
    };
    for (index, profile) in raw.profiles.iter().enumerate() {
        let numbers = [
            ("aim", profile.aim),
            ("aimStretch", profile.aim_stretch),
            ("deadline", profile.deadline),
            ("repeatWindow", profile.repeat_window),
            ("worth", profile.worth),
        ];
        for (key, value) in numbers {
            check_range(&format!("profiles[{index}].{key}"), value, f64::MAX)?;
        }
    }
    for (index, &max_age) in specifics.max_age.iter().enumerate() {
        check_range(&format!("specifics.maxAge[{index}]"), max_age, f64::MAX)?;
    }
    for (key, value) in [
        ("quantum", raw.quantum),
        ("limits.connIdle", limits.conn_idle),
        ("limits.connectTimeout", limits.connect_timeout),
        ("rules.cold", rules.cold),
        ("rules.fall", rules.fall),
        ("rules.fallMultiple", rules.fall_multiple),
        ("specifics.parentCold", specifics.parent_cold),
        ("specifics.parentLimitFactor", specifics.parent_limit_factor),
        ("specifics.purgeDone", specifics.purge_done),
        ("specifics.streamKbPerS", specifics.stream_kb_per_s),
    ] {
        check_range(key, value, f64::MAX)?;
    }
    check_range("rules.startCapacity", rules.start_capacity, 1.0)?;
    check_range("specifics.parentColdFrom", specifics.parent_cold_from, 1.0)?;
    if limits.max_attempts == 0 {
        return Err("limits.maxAttempts: 0 is not 1 or more".into());
    }
    Ok(())
}

/// Parses the settings and checks them. The error names the key at fault.
pub fn read(json: &str) -> Result<PlatformSettings, String> {
    let mut deserializer = serde_json::Deserializer::from_str(json);
    let raw: RawSettings = serde_path_to_error::deserialize(&mut deserializer).map_err(|e| e.to_string())?;
    check(&raw)?;
    let specifics = &raw.specifics;
    let mut offerings = Vec::with_capacity(raw.profiles.len());
    for (index, profile) in raw.profiles.iter().enumerate() {
        let within = match profile.group.as_str() {
            "all" => Group::All,
            "zone" => Group::Zone,
            "cell" => Group::Cell,
            other => return Err(unknown_value("group", other)),
        };
        offerings.push(Offering {
            soft_limit: ticks(profile.aim),
            hard_limit: ticks(profile.deadline),
            transfer_factor: profile.aim_stretch,
            benefit: profile.worth,
            repeat_policy: match profile.semantics.as_str() {
                "free" => RepeatPolicy::Idempotent,
                "guarded" => RepeatPolicy::Deduplicated { within, window: ticks(profile.repeat_window) },
                "single_shot" => RepeatPolicy::Unrepeatable,
                other => return Err(unknown_value("semantics", other)),
            },
            fresh_time: ticks(specifics.max_age.get(index).copied().unwrap_or(0.0)),
            uncacheable: specifics.pass_on.get(index).copied().unwrap_or(false),
        });
    }
    let settings = Settings {
        offerings,
        zone: raw.zone,
        zone_fronts: specifics.crew_by_zone.get(raw.zone).copied().unwrap_or(raw.fleet_size).max(1),
        parent_kind: usize::try_from(specifics.upper_kind).ok(),
        origin_kind: usize::try_from(specifics.root_kind).ok(),
        status_reporting: match specifics.notes_given.as_str() {
            "all" => StatusReporting::All,
            "hit" => StatusReporting::Hits,
            _ => StatusReporting::Never,
        },
        features: Features {
            join_fills: specifics.shares_fills,
            cache_bypass: specifics.straight,
            cancel_pushes: raw.limits.cancel,
            hedged_pushes: raw.limits.second_copies,
        },
        max_pushes: raw.limits.max_attempts,
        comparable_weights: matches!(raw.weight_kind.as_str(), "nominal" | "rough"),
        list_on_request: raw.registry_mode == "subscribe",
        min_input_interval: ticks(raw.quantum).max(1),
        flow_kb_per_s: specifics.stream_kb_per_s,
        cold: ColdLimits {
            initial_share: raw.rules.start_capacity,
            duration: ticks(raw.rules.cold),
            load_multiple: raw.rules.fall_multiple,
            window: ticks(raw.rules.fall),
        },
        parent_cold: ColdLimits {
            initial_share: specifics.parent_cold_from,
            duration: ticks(specifics.parent_cold),
            load_multiple: specifics.parent_limit_factor,
            window: ticks(raw.rules.fall),
        },
        purge_propagation: ticks(specifics.purge_done),
    };
    Ok(PlatformSettings {
        settings,
        max_hard_limit: ticks(raw.profiles.iter().map(|p| p.deadline).fold(0.0, f64::max)),
        offering_names: raw.profiles.into_iter().map(|p| p.name).collect(),
        zone_names: raw.localities,
        kind_names: raw.machine_types,
        connect_timeout: ticks(raw.limits.connect_timeout),
        idle_timeout: ticks(raw.limits.conn_idle),
    })
}
