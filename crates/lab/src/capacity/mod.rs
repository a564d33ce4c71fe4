//! The size to carry: `docs/CAPACITY.md`, rendered from `docs/capacity.json`, and checked against a run of
//! `doorgrade-lab scale`.
//!
//! - [`data`]: what the file holds, and what is refused; [`arithmetic`]: cells, ratios and budgets worked out of it.
//! - [`page`]: the page; [`show`]: how a figure is written.
//! - [`run`]: what a run of `scale` writes with `--data`.
//! - [`check`]: which lines of the page a run contradicts; [`take`]: its figures put into the data.

pub mod arithmetic;
pub mod check;
pub mod command;
pub mod data;
pub mod page;
pub mod run;
pub mod show;
pub mod take;
mod trouble;

pub use data::{Data, FORMAT, MOST_BYTES};
pub use trouble::Trouble;
