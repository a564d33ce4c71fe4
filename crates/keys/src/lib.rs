//! Certificates and keys: read from files, checked against each other, reloaded while in use, and watched for
//! their end; mutual TLS 1.3 made from them. Problems name the file and what was expected.
//!
//! TLS is `rustls` with `ring`; what a certificate says of names and dates is read by `x509-parser`; `rcgen` makes
//! authorities and certificates for installations that have none. What to make of dates and names is decided in
//! `doorgrade-trust`.
#![forbid(unsafe_code)]

pub mod make;
mod papers;
mod reload;

pub use papers::{Dated, Loaded, Paths, client, dates, names, server};
pub use reload::Reloading;
pub use rustls;

use std::fmt;
use std::path::{Path, PathBuf};

/// What is wrong with a file, or with how it goes with another.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Trouble {
    pub file: PathBuf,
    pub what: Box<str>,
}

impl Trouble {
    pub(crate) fn new(file: &Path, what: impl fmt::Display) -> Trouble {
        Trouble { file: file.into(), what: what.to_string().into() }
    }
}

impl fmt::Display for Trouble {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.file.display(), self.what)
    }
}

impl std::error::Error for Trouble {}
