//! The capacity page `docs/CAPACITY.md`: rendered from `docs/capacity.json`, and checked against a run of
//! `doorgrade-lab scale`.
//!
//! - [`data`]: the data file and its validation; [`arithmetic`]: cells, ratios and budgets calculated from it.
//! - [`page`]: renders the page; [`formatting`]: how a value is written.
//! - [`run`]: the file that `scale --data` writes.
//! - [`check`]: lines of the page that a run contradicts; [`take`]: copies a run's figures into the data file.

pub mod arithmetic;
pub mod check;
pub mod command;
pub mod data;
mod error;
pub mod formatting;
pub mod page;
pub mod run;
pub mod take;

pub use data::{Data, FORMAT, MAX_FILE_BYTES};
pub use error::PageError;
