//! What can be wrong with a file of figures, and what to do about it.

use std::path::PathBuf;

#[derive(Debug, thiserror::Error)]
pub enum Trouble {
    #[error("{}: can't be read: {why}", file.display())]
    Unreadable { file: PathBuf, why: std::io::Error },
    #[error("{}: can't be written: {why}", file.display())]
    Unwritable { file: PathBuf, why: std::io::Error },
    #[error("{}: {bytes} bytes: expected {} at most", file.display(), super::MOST_BYTES)]
    TooLong { file: PathBuf, bytes: u64 },
    #[error("it is no file of figures: {0}")]
    Malformed(#[from] serde_json::Error),
    #[error(
        "key 'format': is {found}: expected {expected}; a newer doorgrade-lab wrote it, or it is another file"
    )]
    Format { found: u64, expected: u64 },
    #[error("{at}: {what}: expected {expected}")]
    Wrong { at: String, what: String, expected: &'static str },
    #[error("{at}: there is no {kind} {name:?} in the file: add it, or mend the name")]
    Unknown { at: String, kind: &'static str, name: String },
    #[error("the page's template: {0:#}")]
    Template(#[from] minijinja::Error),
}

/// Where a file is wrong, by the names in it.
pub(super) fn wrong(at: impl Into<String>, what: impl Into<String>, expected: &'static str) -> Trouble {
    Trouble::Wrong { at: at.into(), what: what.into(), expected }
}
