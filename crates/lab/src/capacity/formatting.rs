//! Figures as people read them: three significant digits and a unit.

use super::data::Unit;

/// Three significant digits, in scientific notation only where the digits would be hard to read.
pub fn format_number(value: f64) -> String {
    let magnitude = value.abs();
    if !value.is_finite() {
        return if value > 0.0 { "without end".into() } else { "none".into() };
    }
    // A whole number under a million keeps all of its digits.
    if value.fract() == 0.0 && magnitude < 1e6 {
        return with_commas(value as i64);
    }
    let text = match magnitude {
        _ if magnitude >= 1e15 => return format!("{value:.2e}"),
        _ if magnitude >= 100.0 => return rounded(value),
        _ if magnitude >= 10.0 => format!("{value:.1}"),
        _ if magnitude >= 1.0 => format!("{value:.2}"),
        _ if magnitude >= 0.0995 => format!("{value:.3}"),
        _ if magnitude >= 0.000_01 => {
            let decimals = (2.0 - magnitude.log10().floor()).clamp(0.0, 8.0) as usize;
            format!("{value:.decimals$}")
        }
        _ => return format!("{value:.2e}"),
    };
    // 4.60 and 4.00 become 4.6 and 4.
    text.trim_end_matches('0').trim_end_matches('.').to_owned()
}

/// Rounded to three significant digits, with commas.
fn rounded(value: f64) -> String {
    let step = 10f64.powi(value.abs().log10().floor() as i32 - 2).max(1.0);
    with_commas(((value / step).round() * step) as i64)
}

/// With a comma between groups of three digits.
fn with_commas(value: i64) -> String {
    let mut text = value.unsigned_abs().to_string();
    let mut position = text.len();
    while position > 3 {
        position -= 3;
        text.insert(position, ',');
    }
    if value < 0 { format!("-{text}") } else { text }
}

/// The value with the prefix of its unit (KB, ms) that is easiest to read.
pub fn format_value(value: f64, unit: Unit) -> String {
    if !value.is_finite() {
        return format_number(value);
    }
    match unit {
        Unit::Count => format_number(value),
        Unit::PerS => format!("{}/s", format_number(value)),
        Unit::Bytes => format_bytes(value),
        Unit::BytesPerS => format!("{}/s", format_bytes(value)),
        Unit::Seconds => format_seconds(value),
        Unit::Core if value == 1.0 => "1 core".into(),
        Unit::Core if value.abs() >= 1.0 => format!("{} cores", format_number(value)),
        Unit::Core => format!("{}% of a core", format_number(value * 100.0)),
        Unit::Share => format!("{}%", format_number(value * 100.0)),
    }
}

/// With decimal prefixes, as the target's figures have them.
fn format_bytes(value: f64) -> String {
    let prefixes = [(1e12, "TB"), (1e9, "GB"), (1e6, "MB"), (1e3, "KB")];
    let prefix = prefixes.into_iter().find(|p| value.abs() >= p.0);
    prefix.map_or_else(
        || format!("{} B", format_number(value)),
        |(factor, name)| format!("{} {name}", format_number(value / factor)),
    )
}

fn format_seconds(value: f64) -> String {
    match value.abs() {
        0.0 => "0 s".into(),
        s if s < 0.001 => format!("{} µs", format_number(value * 1e6)),
        s if s < 0.1 => format!("{} ms", format_number(value * 1e3)),
        s if s < 600.0 => format!("{} s", format_number(value)),
        s if s < 7_200.0 => format!("{} min", format_number(value / 60.0)),
        _ => format!("{} h", format_number(value / 3_600.0)),
    }
}
