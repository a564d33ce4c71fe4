//! The wire's words for settings, outcomes and notes. Unknown settings are skipped.

use doorgrade::{Cold, Effect, Group, Note, Notes, Offering, Outcome, Powers, Settings, Tenths};
use serde::Deserialize;

use crate::line::Bad;

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
    rules: Rules,
    specifics: Specifics,
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase", default)]
struct Profile {
    aim: f64,
    aim_stretch: f64,
    group: String,
    repeat_window: f64,
    semantics: String,
    worth: f64,
}

#[derive(Deserialize, Default)]
#[serde(rename_all = "camelCase", default)]
struct Limits {
    cancel: bool,
    max_attempts: usize,
    max_retry_after: f64,
    retry_after: bool,
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
            limits: Limits { max_attempts: 1, ..Limits::default() },
            rules: Rules::default(),
            specifics: Specifics::default(),
        }
    }
}

impl Default for Profile {
    fn default() -> Self {
        Profile {
            aim: 0.0,
            aim_stretch: 0.0,
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

fn tenths(ms: f64) -> Tenths {
    (ms * 10.0).floor().max(0.0) as Tenths
}

fn unknown(what: &str, value: &str) -> Bad {
    Bad(format!("field 'bootInfo': {what}: unknown value '{value}'"))
}

pub fn settings(text: &str) -> Result<Settings, Bad> {
    let boot: Boot = serde_json::from_str(text).map_err(|e| Bad(format!("field 'bootInfo': {e}")))?;
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
            soft: tenths(p.aim),
            stretch: p.aim_stretch,
            benefit: p.worth,
            effect: match p.semantics.as_str() {
                "free" => Effect::Idempotent,
                "guarded" => Effect::Deduplicated { within, window: tenths(p.repeat_window) },
                "single_shot" => Effect::Unrepeatable,
                other => return Err(unknown("semantics", other)),
            },
            fresh: tenths(own.max_age.get(at).copied().unwrap_or(0.0)),
            uncacheable: own.pass_on.get(at).copied().unwrap_or(false),
        });
    }
    Ok(Settings {
        offerings,
        zone: boot.zone,
        crew: own.crew_by_zone.get(boot.zone).copied().unwrap_or(boot.fleet_size).max(1),
        parent_kind: usize::try_from(own.upper_kind).ok(),
        origin_kind: usize::try_from(own.root_kind).ok(),
        notes: match own.notes_given.as_str() {
            "all" => Notes::All,
            "hit" => Notes::Hits,
            _ => Notes::Never,
        },
        may: Powers {
            joins: own.shares_fills,
            straight: own.straight,
            cancels: boot.limits.cancel,
            second_copies: boot.limits.second_copies,
        },
        advice: if boot.limits.retry_after { tenths(boot.limits.max_retry_after) } else { 0 },
        max_pushes: boot.limits.max_attempts,
        weights: matches!(boot.weight_kind.as_str(), "nominal" | "rough"),
        list_on_request: boot.registry_mode == "subscribe",
        quantum: tenths(boot.quantum).max(1),
        flow_kb_per_s: own.stream_kb_per_s,
        cold: Cold {
            from: boot.rules.start_capacity,
            lasts: tenths(boot.rules.cold),
            multiple: boot.rules.fall_multiple,
            window: tenths(boot.rules.fall),
        },
        parent_cold: Cold {
            from: own.parent_cold_from,
            lasts: tenths(own.parent_cold),
            multiple: own.parent_limit_factor,
            window: tenths(boot.rules.fall),
        },
        purge_done: tenths(own.purge_done),
    })
}

pub fn outcome(code: &str) -> Result<Outcome, Bad> {
    Ok(match code {
        "pass" => Outcome::Handled,
        "fault" => Outcome::Error,
        "no_room" => Outcome::Full,
        "too_slow" => Outcome::TimedOut,
        "no_route" => Outcome::Unreachable,
        "cut" => Outcome::Broken,
        "undone" => Outcome::Withdrawn,
        "stale_send" => Outcome::NeverSent,
        "none_here" => Outcome::Miss,
        other => return Err(Bad(format!("field 'rc': unknown outcome '{other}'"))),
    })
}

pub fn note(info: u64) -> Result<Note, Bad> {
    Ok(match info {
        0 => Note::Untold,
        1 => Note::Hit,
        2 => Note::Filled,
        3 => Note::FilledByOrigin,
        4 => Note::Joined,
        5 => Note::Stale,
        6 => Note::SourceRefused,
        7 => Note::SourceLost,
        8 => Note::SourceLacks,
        9 => Note::NoFillPlace,
        10 => Note::OriginFailed,
        other => return Err(Bad(format!("field 'info': unknown note {other}"))),
    })
}
