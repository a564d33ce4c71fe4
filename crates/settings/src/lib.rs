//! The settings that operators give an instance, as nested JSON: read once, for the bench's adapter and the
//! real front alike. Unknown settings are skipped.
#![forbid(unsafe_code)]

use doorgrade::{ColdLimits, Features, Group, Offering, RepeatPolicy, Settings, StatusReporting, Ticks};
use serde::Deserialize;

/// All that an instance is told: what the decisions need, and the facts of the protocol.
#[derive(Clone, Debug, PartialEq)]
pub struct Told {
    pub settings: Settings,
    /// Names of the offerings, zones and kinds, in the order of their numbers.
    pub offerings: Vec<String>,
    pub zones: Vec<String>,
    pub kinds: Vec<String>,
    /// A connection to a cache that is not established in this time never will be.
    pub connect_within: Ticks,
    /// Idle connections to caches are closed after this time.
    pub idle: Ticks,
    /// The longest hard limit of any offering.
    pub longest: Ticks,
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase", default)]
struct Boot {
    profiles: Vec<Profile>,
    zone: usize,
    fleet_size: u32,
    quantum: f64,
    registry_mode: String,
    weight_kind: String,
    limits: Limits,
    localities: Vec<String>,
    machine_types: Vec<String>,
    rules: Rules,
    specifics: Specifics,
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase", default)]
struct Profile {
    aim: f64,
    aim_stretch: f64,
    deadline: f64,
    name: String,
    group: String,
    repeat_window: f64,
    semantics: String,
    worth: f64,
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase", default)]
struct Limits {
    cancel: bool,
    conn_idle: f64,
    connect_timeout: f64,
    max_attempts: usize,
    second_copies: bool,
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase", default)]
struct Rules {
    cold: f64,
    fall: f64,
    fall_multiple: f64,
    start_capacity: f64,
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase", default)]
struct Specifics {
    crew_by_zone: Vec<u32>,
    max_age: Vec<f64>,
    notes_given: String,
    parent_cold: f64,
    parent_cold_from: f64,
    parent_limit_factor: f64,
    pass_on: Vec<bool>,
    purge_done: f64,
    root_kind: i64,
    shares_fills: bool,
    straight: bool,
    stream_kb_per_s: f64,
    upper_kind: i64,
}

impl Default for Boot {
    fn default() -> Self {
        Boot {
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

/// The same for a key that is missing as for all of them.
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

fn tenths(ms: f64) -> Ticks {
    // Thousands of years at the most: sums of times must not overflow, whatever the settings say.
    (ms * 10.0).floor().clamp(0.0, 1e15) as Ticks
}

fn unknown(what: &str, value: &str) -> String {
    format!("{what}: unknown value '{value}'")
}

/// Figures that make no sense are named, with what is expected. Nothing is taken for something else in silence.
fn check(boot: &Boot) -> Result<(), String> {
    let (rules, own, limits) = (&boot.rules, &boot.specifics, &boot.limits);
    let within = |key: &str, value: f64, most: f64| match (0.0..=most).contains(&value) {
        true => Ok(()),
        false if most == 1.0 => Err(format!("{key}: {value} is not from 0 to 1")),
        false => Err(format!("{key}: {value} is not 0 or more")),
    };
    for (n, p) in boot.profiles.iter().enumerate() {
        let figures = [
            ("aim", p.aim),
            ("aimStretch", p.aim_stretch),
            ("deadline", p.deadline),
            ("repeatWindow", p.repeat_window),
            ("worth", p.worth),
        ];
        for (key, value) in figures {
            within(&format!("profiles[{n}].{key}"), value, f64::MAX)?;
        }
    }
    for (n, &age) in own.max_age.iter().enumerate() {
        within(&format!("specifics.maxAge[{n}]"), age, f64::MAX)?;
    }
    for (key, value) in [
        ("quantum", boot.quantum),
        ("limits.connIdle", limits.conn_idle),
        ("limits.connectTimeout", limits.connect_timeout),
        ("rules.cold", rules.cold),
        ("rules.fall", rules.fall),
        ("rules.fallMultiple", rules.fall_multiple),
        ("specifics.parentCold", own.parent_cold),
        ("specifics.parentLimitFactor", own.parent_limit_factor),
        ("specifics.purgeDone", own.purge_done),
        ("specifics.streamKbPerS", own.stream_kb_per_s),
    ] {
        within(key, value, f64::MAX)?;
    }
    within("rules.startCapacity", rules.start_capacity, 1.0)?;
    within("specifics.parentColdFrom", own.parent_cold_from, 1.0)?;
    if limits.max_attempts == 0 {
        return Err("limits.maxAttempts: 0 is not 1 or more".into());
    }
    Ok(())
}

/// Reads the settings, or says in plain words which key is at fault.
pub fn read(text: &str) -> Result<Told, String> {
    let mut json = serde_json::Deserializer::from_str(text);
    let boot: Boot = serde_path_to_error::deserialize(&mut json).map_err(|e| e.to_string())?;
    check(&boot)?;
    let own = &boot.specifics;
    let mut offerings = Vec::with_capacity(boot.profiles.len());
    for (at, p) in boot.profiles.iter().enumerate() {
        let within = match p.group.as_str() {
            "all" => Group::All,
            "zone" => Group::Zone,
            "cell" => Group::Cell,
            other => return Err(unknown("group", other)),
        };
        offerings.push(Offering {
            soft_limit: tenths(p.aim),
            transfer_factor: p.aim_stretch,
            benefit: p.worth,
            repeat_policy: match p.semantics.as_str() {
                "free" => RepeatPolicy::Idempotent,
                "guarded" => RepeatPolicy::Deduplicated { within, window: tenths(p.repeat_window) },
                "single_shot" => RepeatPolicy::Unrepeatable,
                other => return Err(unknown("semantics", other)),
            },
            fresh_time: tenths(own.max_age.get(at).copied().unwrap_or(0.0)),
            uncacheable: own.pass_on.get(at).copied().unwrap_or(false),
        });
    }
    let settings = Settings {
        offerings,
        zone: boot.zone,
        zone_fronts: own.crew_by_zone.get(boot.zone).copied().unwrap_or(boot.fleet_size).max(1),
        parent_kind: usize::try_from(own.upper_kind).ok(),
        origin_kind: usize::try_from(own.root_kind).ok(),
        status_reporting: match own.notes_given.as_str() {
            "all" => StatusReporting::All,
            "hit" => StatusReporting::Hits,
            _ => StatusReporting::Never,
        },
        features: Features {
            join_fills: own.shares_fills,
            cache_bypass: own.straight,
            cancel_pushes: boot.limits.cancel,
            hedged_pushes: boot.limits.second_copies,
        },
        max_pushes: boot.limits.max_attempts,
        comparable_weights: matches!(boot.weight_kind.as_str(), "nominal" | "rough"),
        list_on_request: boot.registry_mode == "subscribe",
        min_input_interval: tenths(boot.quantum).max(1),
        flow_kb_per_s: own.stream_kb_per_s,
        cold: ColdLimits {
            initial_share: boot.rules.start_capacity,
            duration: tenths(boot.rules.cold),
            load_multiple: boot.rules.fall_multiple,
            window: tenths(boot.rules.fall),
        },
        parent_cold: ColdLimits {
            initial_share: own.parent_cold_from,
            duration: tenths(own.parent_cold),
            load_multiple: own.parent_limit_factor,
            window: tenths(boot.rules.fall),
        },
        purge_propagation: tenths(own.purge_done),
    };
    Ok(Told {
        settings,
        longest: tenths(boot.profiles.iter().map(|p| p.deadline).fold(0.0, f64::max)),
        offerings: boot.profiles.into_iter().map(|p| p.name).collect(),
        zones: boot.localities,
        kinds: boot.machine_types,
        connect_within: tenths(boot.limits.connect_timeout),
        idle: tenths(boot.limits.conn_idle),
    })
}
