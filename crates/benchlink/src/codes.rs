//! The codes that the simulator's protocol has for outcomes and cache statuses.

use doorgrade::{CacheStatus, Outcome};

use crate::line::Error;

pub fn outcome(code: &str) -> Result<Outcome, Error> {
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
        other => return Err(Error(format!("field 'rc': unknown outcome '{other}'"))),
    })
}

pub fn cache_status(code: u64) -> Result<CacheStatus, Error> {
    Ok(match code {
        0 => CacheStatus::Untold,
        1 => CacheStatus::Hit,
        2 => CacheStatus::Filled,
        3 => CacheStatus::FilledByOrigin,
        4 => CacheStatus::Joined,
        5 => CacheStatus::Stale,
        6 => CacheStatus::SourceRefused,
        7 => CacheStatus::SourceLost,
        8 => CacheStatus::SourceLacks,
        9 => CacheStatus::NoFillPlace,
        10 => CacheStatus::OriginFailed,
        other => return Err(Error(format!("field 'info': unknown cache status {other}"))),
    })
}
