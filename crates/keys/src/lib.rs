//! Certificates and keys: read from files, checked against each other, reloaded while in use, and watched for
//! expiry; configurations for mutual TLS 1.3 are built from them. Errors name the file and what was expected.
//!
//! TLS is `rustls` with `ring`; names and validity periods of certificates are read by `x509-parser`; `rcgen` creates
//! authorities and certificates for installations that have none. Which names are accepted and when an expiry is
//! reported is decided in `doorgrade-trust`.
#![forbid(unsafe_code)]

pub mod generate;
mod reload;
mod tls;

pub use reload::Reloader;
pub use rustls;
pub use tls::{CertificateInfo, Loaded, Paths, certificate_infos, client_config, dns_names, server_config};

use std::fmt;
use std::path::{Path, PathBuf};

/// A file that can't be read or used, or does not match another.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct KeyFileError {
    pub file: PathBuf,
    pub message: Box<str>,
}

impl KeyFileError {
    pub(crate) fn new(file: &Path, message: impl fmt::Display) -> KeyFileError {
        KeyFileError { file: file.into(), message: message.to_string().into() }
    }
}

impl fmt::Display for KeyFileError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.file.display(), self.message)
    }
}

impl std::error::Error for KeyFileError {}
