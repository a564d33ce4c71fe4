//! The cost of a log event at a disabled level, compared with a loop without it and with the formatting of its text.

use std::hint::black_box;
use std::time::Instant;

use doorgrade_log::{Format, LevelFilter, tracing};

use crate::{Figures, RunArgs};

/// Nanoseconds of one iteration.
fn iteration_ns(iterations: u64, body: impl Fn(u64)) -> f64 {
    // The minimum of some rounds: other work of the machine only adds time.
    let round = || {
        let start = Instant::now();
        (0..iterations).for_each(&body);
        start.elapsed().as_secs_f64() * 1e9 / iterations as f64
    };
    (0..5).map(|_| round()).fold(f64::INFINITY, f64::min)
}

pub fn run(run_args: &RunArgs) -> Figures {
    let iterations = if run_args.quick { 2_000_000 } else { 20_000_000 };
    doorgrade_log::start(LevelFilter::INFO, Format::Human);
    let _span = tracing::info_span!("serve", front = "n1").entered();
    // Like the reducer's log event for each push: the bytes are converted to text only if the level is enabled.
    let request = vec![b'x'; 300];
    let bare_ns = iteration_ns(iterations, |n| {
        black_box(n);
    });
    let off_ns = iteration_ns(iterations, |n| {
        black_box(n);
        tracing::debug!("push {:?}", String::from_utf8_lossy(&request));
    });
    let format_ns = iteration_ns(iterations / 1_000, |n| {
        black_box(n);
        black_box(format!("push {:?}", String::from_utf8_lossy(&request)));
    });
    let mut figures = Figures::default();
    figures.put_rounded("bare_ns", bare_ns);
    figures.put_rounded("off_ns", off_ns);
    figures.put_rounded("off_less_bare_ns", off_ns - bare_ns);
    figures.put_rounded("text_worked_out_ns", format_ns);
    figures
}
