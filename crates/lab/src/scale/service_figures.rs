//! Figures and slopes of the service part.

use super::comparison::{Comparison, FrontCost};
use super::{Context, Point, Quantity, ScaleError, growth_name};

/// With a larger relative difference from real fronts, the figures of control-only fronts are reported as not usable.
const MAX_DIFFERENCE: f64 = 0.15;
/// Fronts of the target fleet.
const TARGET_FRONTS: f64 = 1_000.0;

/// The cost of one kind of change at one size.
#[derive(Clone, Copy, Debug, Default)]
pub struct ChangeCost {
    /// Processor time and bytes of one change, beyond the cost at rest.
    pub cpu_ms: f64,
    pub bytes: f64,
    /// The longest time until all fronts had reported that they run a change.
    pub everywhere_s: f64,
    /// Processor time of the service as a share of a core, while the changes were published.
    pub core_share: f64,
}

/// The results of one size and seed.
#[derive(Clone, Copy, Debug, Default)]
pub struct SizeResult {
    /// Connected fronts of both kinds.
    pub fronts: usize,
    pub seed: u64,
    /// Cost of the connection of one new front, which fetches the whole content.
    pub connect_cpu_ms: f64,
    pub connect_bytes: f64,
    /// Cost of all fronts together, at rest.
    pub rest_cpu_ms_per_s: f64,
    pub rest_bytes_per_s: f64,
    /// A change of one line, and one of a twentieth of all members.
    pub line: ChangeCost,
    pub twentieth: ChangeCost,
    /// Resident memory of the service, in MB.
    pub mb: f64,
    /// Cost and duration of the reconnection of all fronts, after the service was killed and started again.
    pub reconnect_cpu_ms: f64,
    pub reconnect_bytes: f64,
    pub reconnect_s: f64,
}

type Getter = fn(&SizeResult) -> f64;

/// Id, description, unit and value of each quantity.
const QUANTITIES: [(&str, &str, &str, Getter); 13] = [
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

fn put_front_cost(context: &mut Context, kind: &str, cost: &FrontCost) {
    context.put_rounded(&format!("{kind}_stream_bytes_per_s"), cost.stream_bytes_per_s);
    context.put_rounded(&format!("{kind}_datagram_bytes_per_s"), cost.datagram_bytes_per_s);
    context.put_rounded(&format!("{kind}_cpu_ms_per_s"), cost.cpu_ms_per_s);
}

fn put_comparison(context: &mut Context, comparison: &Comparison) {
    put_front_cost(context, "real_front", &comparison.real);
    put_front_cost(context, "hollow_front", &comparison.control_only);
    context.put("compared_changes", comparison.changes);
    context.put("compared_purges", comparison.purges);
    context.put_rounded("compared_purges_taken", comparison.purges_received);
    context.put_rounded("compared_s", comparison.seconds);
    for (name, ratio) in
        [("hollow_to_real_bytes", comparison.bytes_ratio()), ("hollow_to_real_cpu", comparison.cpu_ratio())]
    {
        context.put_rounded(name, ratio);
        context.put(&format!("{name}_usable"), (ratio - 1.0).abs() <= MAX_DIFFERENCE);
    }
}

/// Records all figures. `results` has for each seed the results of all sizes, and the seconds from the end of the partition
/// until the region ran the change.
pub fn report(
    context: &mut Context,
    comparison: &Comparison,
    results: &[(Vec<SizeResult>, f64)],
    real_fronts: usize,
    partition_s: f64,
) -> Result<(), ScaleError> {
    put_comparison(context, comparison);
    let sizes: Vec<SizeResult> = results.iter().flat_map(|f| f.0.iter().copied()).collect();
    context.put("service_real_fronts", real_fronts);
    for (name, what, unit, value) in QUANTITIES {
        let points: Vec<Point> =
            sizes.iter().map(|s| Point { size: s.fronts, seed: s.seed, value: value(s) }).collect();
        let quantity = Quantity { id: name, role: "configuration service", what, unit };
        let fit = context.fit_slope(&quantity, &points)?;
        context.put(&format!("{name}_slope"), round_significant(fit.slope));
        context.put(&format!("{name}_slope_low"), round_significant(fit.slope_interval[0]));
        context.put(&format!("{name}_slope_high"), round_significant(fit.slope_interval[1]));
        context.put(&format!("{name}_base"), round_significant(fit.intercept));
        context.put(&format!("{name}_residual"), round_significant(fit.residual));
        context.put(&format!("{name}_shape"), growth_name(fit.growth));
        context.put(&format!("{name}_at_1000"), round_significant(fit.at(TARGET_FRONTS)));
    }
    let largest = sizes.iter().map(|s| s.fronts).max().unwrap_or(0);
    let at_largest = || sizes.iter().filter(|s| s.fronts == largest);
    let max_of = |value: Getter| at_largest().map(value).fold(0.0, f64::max);
    context.put("service_fronts", largest);
    context.put_rounded("service_core_share", max_of(|s| s.line.core_share.max(s.twentieth.core_share)));
    context.put_rounded("service_mb", max_of(|s| s.mb));
    context.put_rounded("service_change_line_everywhere_s", max_of(|s| s.line.everywhere_s));
    context.put_rounded("service_change_twentieth_everywhere_s", max_of(|s| s.twentieth.everywhere_s));
    context.put_rounded("service_reconnect_s", max_of(|s| s.reconnect_s));
    context.put_rounded("service_region_cut_s", partition_s);
    context.put_rounded("service_region_healed_s", results.iter().map(|f| f.1).fold(0.0, f64::max));
    Ok(())
}

/// Rounds to four digits, whatever the magnitude, since slopes may be far below one.
fn round_significant(value: f64) -> f64 {
    format!("{value:.3e}").parse().unwrap_or(value)
}
