//! Errors of the data file, a run's file and the page's template.

use std::path::PathBuf;

#[derive(Debug, thiserror::Error)]
pub enum PageError {
    #[error("{}: can't be read: {reason}", file.display())]
    Unreadable { file: PathBuf, reason: std::io::Error },
    #[error("{}: can't be written: {reason}", file.display())]
    Unwritable { file: PathBuf, reason: std::io::Error },
    #[error("{}: {bytes} bytes: expected {} at most", file.display(), super::MAX_FILE_BYTES)]
    TooLong { file: PathBuf, bytes: u64 },
    #[error("not a file of capacity figures: {0}")]
    Malformed(#[from] serde_json::Error),
    #[error(
        "key 'format': is {found}: expected {expected}; the file is of another kind, or of a newer doorgrade-lab"
    )]
    Format { found: u64, expected: u64 },
    #[error("{entry}: {problem}: expected {expected}")]
    Invalid { entry: String, problem: String, expected: &'static str },
    #[error("{entry}: there is no {kind} {name:?} in the file: add it, or correct the name")]
    Unknown { entry: String, kind: &'static str, name: String },
    #[error("the page's template: {0:#}")]
    Template(#[from] minijinja::Error),
}

/// `entry` is the name of the entry that is at fault.
pub(super) fn invalid(
    entry: impl Into<String>,
    problem: impl Into<String>,
    expected: &'static str,
) -> PageError {
    PageError::Invalid { entry: entry.into(), problem: problem.into(), expected }
}
