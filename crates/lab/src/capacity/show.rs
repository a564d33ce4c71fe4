//! Figures as people read them: three digits and a unit.

use super::data::Unit;

/// Three digits that count, without an exponent where a person can read it.
pub fn digits(value: f64) -> String {
    let size = value.abs();
    if !value.is_finite() {
        return if value > 0.0 { "without end".into() } else { "none".into() };
    }
    // A small count is told as it is.
    if value.fract() == 0.0 && size < 1e6 {
        return commas(value as i64);
    }
    let text = match size {
        _ if size >= 1e15 => return format!("{value:.2e}"),
        _ if size >= 100.0 => return grouped(value),
        _ if size >= 10.0 => format!("{value:.1}"),
        _ if size >= 1.0 => format!("{value:.2}"),
        _ if size >= 0.0995 => format!("{value:.3}"),
        _ if size >= 0.000_01 => {
            let places = (2.0 - size.log10().floor()).clamp(0.0, 8.0) as usize;
            format!("{value:.places$}")
        }
        _ => return format!("{value:.2e}"),
    };
    // 4.60 and 4.00 are read as 4.6 and 4.
    text.trim_end_matches('0').trim_end_matches('.').to_owned()
}

/// Rounded to three digits.
fn grouped(value: f64) -> String {
    let step = 10f64.powi(value.abs().log10().floor() as i32 - 2).max(1.0);
    commas(((value / step).round() * step) as i64)
}

/// With a comma at each thousand.
fn commas(whole: i64) -> String {
    let mut text = whole.unsigned_abs().to_string();
    let mut at = text.len();
    while at > 3 {
        at -= 3;
        text.insert(at, ',');
    }
    if whole < 0 { format!("-{text}") } else { text }
}

/// With its unit, in the step of it that reads best.
pub fn shown(value: f64, unit: Unit) -> String {
    if !value.is_finite() {
        return digits(value);
    }
    match unit {
        Unit::Count => digits(value),
        Unit::PerS => format!("{}/s", digits(value)),
        Unit::Bytes => bytes(value),
        Unit::BytesPerS => format!("{}/s", bytes(value)),
        Unit::Seconds => seconds(value),
        Unit::Core if value == 1.0 => "1 core".into(),
        Unit::Core if value.abs() >= 1.0 => format!("{} cores", digits(value)),
        Unit::Core => format!("{}% of a core", digits(value * 100.0)),
        Unit::Share => format!("{}%", digits(value * 100.0)),
    }
}

/// Decimal steps, as the target counts.
fn bytes(value: f64) -> String {
    let steps = [(1e12, "TB"), (1e9, "GB"), (1e6, "MB"), (1e3, "KB")];
    let step = steps.into_iter().find(|s| value.abs() >= s.0);
    step.map_or_else(|| format!("{} B", digits(value)), |(by, name)| format!("{} {name}", digits(value / by)))
}

fn seconds(value: f64) -> String {
    match value.abs() {
        0.0 => "0 s".into(),
        s if s < 0.001 => format!("{} µs", digits(value * 1e6)),
        s if s < 0.1 => format!("{} ms", digits(value * 1e3)),
        s if s < 600.0 => format!("{} s", digits(value)),
        s if s < 7_200.0 => format!("{} min", digits(value / 60.0)),
        _ => format!("{} h", digits(value / 3_600.0)),
    }
}
