//! What the service's part found, as figures and slopes.

use super::hollow_to_real::{Compared, Cost};
use super::{Context, Point, Quantity, ScaleError, growth_name};

/// Over this share of a difference, hollow figures of that kind are not to be used for real ones.
const STANDS_WITHIN: f64 = 0.15;
/// The fleet that is planned for.
const TARGET: f64 = 1_000.0;

/// One kind of change at one size.
#[derive(Clone, Copy, Debug, Default)]
pub struct Change {
    /// Each, above what rest costs.
    pub cpu_ms: f64,
    pub bytes: f64,
    /// The longest until each front had said that it runs it.
    pub everywhere_s: f64,
    /// Of the service, while changes came at their pace.
    pub core_share: f64,
}

/// What was found at one size under one seed.
#[derive(Clone, Copy, Debug, Default)]
pub struct Size {
    /// Connected, of both kinds.
    pub fronts: usize,
    pub seed: u64,
    /// Each new one, with the whole content that it fetches.
    pub connect_cpu_ms: f64,
    pub connect_bytes: f64,
    /// Of all together.
    pub rest_cpu_ms_per_s: f64,
    pub rest_bytes_per_s: f64,
    pub line: Change,
    pub twentieth: Change,
    pub mb: f64,
    /// Of all together, after the service was killed and started again.
    pub reconnect_cpu_ms: f64,
    pub reconnect_bytes: f64,
    pub reconnect_s: f64,
}

type Value = fn(&Size) -> f64;

/// Name, what is counted, its unit, and where it is found.
const QUANTITIES: [(&str, &str, &str, Value); 13] = [
    (
        "stream_rest_bytes_per_s",
        "the configuration stream at rest, one front, without TCP and IP",
        "bytes/s",
        |s| s.rest_bytes_per_s / s.fronts as f64,
    ),
    ("change_bytes", "one changed line, to one front, with its answers, without TCP and IP", "bytes", |s| {
        s.line.bytes / s.fronts as f64
    }),
    ("service_rest_cpu_ms_per_s", "processor time at rest", "ms/s", |s| s.rest_cpu_ms_per_s),
    ("service_rest_bytes_per_s", "bytes at rest, both ways", "bytes/s", |s| s.rest_bytes_per_s),
    ("service_memory_mb", "resident memory after changes", "MB", |s| s.mb),
    ("service_change_line_cpu_ms", "processor time of a change of one line", "ms", |s| s.line.cpu_ms),
    ("service_change_line_bytes", "bytes of a change of one line, both ways", "bytes", |s| s.line.bytes),
    ("service_change_twentieth_cpu_ms", "processor time of a change of a twentieth", "ms", |s| {
        s.twentieth.cpu_ms
    }),
    ("service_change_twentieth_bytes", "bytes of a change of a twentieth, both ways", "bytes", |s| {
        s.twentieth.bytes
    }),
    ("service_connect_cpu_ms", "processor time of each new connection with the whole content", "ms", |s| {
        s.connect_cpu_ms
    }),
    ("service_connect_bytes", "bytes of each new connection with the whole content", "bytes", |s| {
        s.connect_bytes
    }),
    ("service_reconnect_cpu_ms", "processor time of all reconnecting after a restart", "ms", |s| {
        s.reconnect_cpu_ms
    }),
    ("service_reconnect_bytes", "bytes of all reconnecting after a restart, both ways", "bytes", |s| {
        s.reconnect_bytes
    }),
];

fn put_cost(context: &mut Context, kind: &str, cost: &Cost) {
    context.ratio(&format!("{kind}_stream_bytes_per_s"), cost.stream_bytes_per_s);
    context.ratio(&format!("{kind}_datagram_bytes_per_s"), cost.datagram_bytes_per_s);
    context.ratio(&format!("{kind}_cpu_ms_per_s"), cost.cpu_ms_per_s);
}

fn stands(context: &mut Context, compared: &Compared) {
    put_cost(context, "real_front", &compared.real);
    put_cost(context, "hollow_front", &compared.hollow);
    context.put("compared_changes", compared.changes);
    context.put("compared_purges", compared.purges);
    context.ratio("compared_purges_taken", compared.purges_taken);
    context.ratio("compared_s", compared.seconds);
    for (name, ratio) in [("hollow_to_real_bytes", compared.bytes()), ("hollow_to_real_cpu", compared.cpu())]
    {
        context.ratio(name, ratio);
        context.put(&format!("{name}_usable"), (ratio - 1.0).abs() <= STANDS_WITHIN);
    }
}

/// Puts all of it; `found` has each seed's sizes and how long a healed region took.
pub fn report(
    context: &mut Context,
    compared: &Compared,
    found: &[(Vec<Size>, f64)],
    real: usize,
    cut_s: f64,
) -> Result<(), ScaleError> {
    stands(context, compared);
    let sizes: Vec<Size> = found.iter().flat_map(|f| f.0.iter().copied()).collect();
    context.put("service_real_fronts", real);
    for (name, what, unit, value) in QUANTITIES {
        let points: Vec<Point> =
            sizes.iter().map(|s| Point { size: s.fronts, seed: s.seed, value: value(s) }).collect();
        let quantity = Quantity { id: name, role: "configuration service", what, unit };
        let fit = context.slope(&quantity, &points)?;
        context.put(&format!("{name}_slope"), significant(fit.slope));
        context.put(&format!("{name}_slope_low"), significant(fit.slope_interval[0]));
        context.put(&format!("{name}_slope_high"), significant(fit.slope_interval[1]));
        context.put(&format!("{name}_base"), significant(fit.intercept));
        context.put(&format!("{name}_residual"), significant(fit.residual));
        context.put(&format!("{name}_shape"), growth_name(fit.growth));
        context.put(&format!("{name}_at_1000"), significant(fit.at(TARGET)));
    }
    let largest = sizes.iter().map(|s| s.fronts).max().unwrap_or(0);
    let at_largest = || sizes.iter().filter(|s| s.fronts == largest);
    let most = |value: Value| at_largest().map(value).fold(0.0, f64::max);
    context.put("service_fronts", largest);
    context.ratio("service_core_share", most(|s| s.line.core_share.max(s.twentieth.core_share)));
    context.ratio("service_mb", most(|s| s.mb));
    context.ratio("service_change_line_everywhere_s", most(|s| s.line.everywhere_s));
    context.ratio("service_change_twentieth_everywhere_s", most(|s| s.twentieth.everywhere_s));
    context.ratio("service_reconnect_s", most(|s| s.reconnect_s));
    context.ratio("service_region_cut_s", cut_s);
    context.ratio("service_region_healed_s", found.iter().map(|f| f.1).fold(0.0, f64::max));
    Ok(())
}

/// Four digits: slopes may be far below one.
fn significant(value: f64) -> f64 {
    format!("{value:.3e}").parse().unwrap_or(value)
}
