//! What a line of the log costs where its level is off, beside a loop without it and beside one that is on.

use std::hint::black_box;
use std::time::Instant;

use doorgrade_log::{Format, LevelFilter, tracing};

use crate::{Figures, RunArgs};

fn per_turn(turns: u64, each: impl Fn(u64)) -> f64 {
    // The best of some rounds: whatever else the machine does only adds.
    let round = || {
        let at = Instant::now();
        (0..turns).for_each(&each);
        at.elapsed().as_secs_f64() * 1e9 / turns as f64
    };
    (0..5).map(|_| round()).fold(f64::INFINITY, f64::min)
}

pub fn run(how: &RunArgs) -> Figures {
    let turns = if how.quick { 2_000_000 } else { 20_000_000 };
    doorgrade_log::start(LevelFilter::INFO, Format::Human);
    let _named = tracing::info_span!("serve", front = "n1").entered();
    // As the reducer's line for each push: bytes turned into text, if anybody wants it.
    let request = vec![b'x'; 300];
    let bare = per_turn(turns, |n| {
        black_box(n);
    });
    let off = per_turn(turns, |n| {
        black_box(n);
        tracing::debug!("push {:?}", String::from_utf8_lossy(&request));
    });
    let worked_out = per_turn(turns / 1_000, |n| {
        black_box(n);
        black_box(format!("push {:?}", String::from_utf8_lossy(&request)));
    });
    let mut figures = Figures::default();
    figures.put_rounded("bare_ns", bare);
    figures.put_rounded("off_ns", off);
    figures.put_rounded("off_less_bare_ns", off - bare);
    figures.put_rounded("text_worked_out_ns", worked_out);
    figures
}
