//! The wire's words for outcomes and notes.

use doorgrade::{Note, Outcome};

use crate::line::Bad;

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
