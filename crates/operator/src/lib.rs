//! The operators' own files, in HCL: read, checked and given defaults here and nowhere else. Each error names file,
//! line, column, key and what was expected. A file is checked to its end, so that all errors are reported at once. An
//! unknown key is an error; its message suggests the most similar known one.
//!
//! HCL is parsed by `hcl-edit`, which knows the position of each value; `strsim` finds the most similar key.
#![forbid(unsafe_code)]

pub mod agent;
pub mod control;
mod document;
pub mod files;
pub mod neighbours;
pub mod settings;
pub mod shape;
pub mod version;

pub use document::{Problem, Problems};
pub use files::Files;
pub use settings::Settings;
pub use version::Version;
