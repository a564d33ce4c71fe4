//! The operators' own files, in HCL: read, checked and given defaults here and nowhere else. Each problem names
//! file, line, column, key and what was expected; a file is read to its end, so that all are told at once. An
//! unknown key is a problem, with the nearest known one named.
//!
//! HCL comes from `hcl-edit`, which keeps the place of each value; `strsim` finds the nearest key.
#![forbid(unsafe_code)]

pub mod agent;
pub mod control;
mod doc;
pub mod files;
pub mod neighbours;
pub mod settings;
pub mod shape;
pub mod version;

pub use doc::{Problem, Problems};
pub use files::Files;
pub use settings::Settings;
pub use version::Version;
