//! Reloads TLS files when they change. If the new files can't be used, the previous ones stay in use; established
//! connections are not affected.

use std::collections::BTreeMap;
use std::path::PathBuf;
use std::sync::{Arc, PoisonError, RwLock};
use std::time::SystemTime;

use doorgrade_trust::Ticks;
use doorgrade_trust::expiry::{ExpiryWatch, Warning};

use crate::KeyFileError;
use crate::tls::{CertificateInfo, Loaded};

/// Time of modification and length of each file.
type Stamps = Vec<Option<(SystemTime, u64)>>;

/// A set of files, and the configuration that was last built from them.
pub struct Reloader<T> {
    files: Vec<PathBuf>,
    read: Box<dyn Fn() -> Result<Loaded<T>, KeyFileError> + Send + Sync>,
    loaded: RwLock<Loaded<T>>,
    stamps: Stamps,
    expiry_watches: BTreeMap<(PathBuf, Box<str>), ExpiryWatch>,
}

fn stamps(files: &[PathBuf]) -> Stamps {
    let stamp = |file: &PathBuf| {
        let metadata = std::fs::metadata(file).ok()?;
        Some((metadata.modified().ok()?, metadata.len()))
    };
    files.iter().map(stamp).collect()
}

impl<T> Reloader<T> {
    pub fn new(
        files: Vec<PathBuf>,
        read: impl Fn() -> Result<Loaded<T>, KeyFileError> + Send + Sync + 'static,
    ) -> Result<Self, KeyFileError> {
        let stamps = stamps(&files);
        let loaded = read()?;
        let mut reloader = Reloader {
            files,
            read: Box::new(read),
            expiry_watches: BTreeMap::new(),
            loaded: RwLock::new(loaded),
            stamps,
        };
        reloader.update_watches();
        Ok(reloader)
    }

    fn update_watches(&mut self) {
        let certificates = self.loaded.get_mut().unwrap_or_else(PoisonError::into_inner).certificates.clone();
        let mut old = std::mem::take(&mut self.expiry_watches);
        for CertificateInfo { file, subject, validity } in certificates {
            let key = (file, subject);
            let mut watch = old.remove(&key).unwrap_or_else(|| ExpiryWatch::new(validity));
            watch.replace(validity);
            self.expiry_watches.insert(key, watch);
        }
    }

    pub fn config(&self) -> Arc<T> {
        self.loaded.read().unwrap_or_else(PoisonError::into_inner).config.clone()
    }

    /// The DNS names of the own certificate.
    pub fn names(&self) -> Vec<String> {
        self.loaded.read().unwrap_or_else(PoisonError::into_inner).names.clone()
    }

    /// Reads the files again if they have changed, or if `forced`. None if they were not read.
    pub fn reload(&mut self, forced: bool) -> Option<Result<(), KeyFileError>> {
        let stamps = stamps(&self.files);
        if stamps == self.stamps && !forced {
            return None;
        }
        // Also if the files can't be used, so that the error is reported once for each change.
        self.stamps = stamps;
        match (self.read)() {
            Ok(loaded) => {
                *self.loaded.get_mut().unwrap_or_else(PoisonError::into_inner) = loaded;
                self.update_watches();
                Some(Ok(()))
            }
            Err(error) => Some(Err(error)),
        }
    }

    /// The expiry warnings that are due now. Each is returned once.
    pub fn take_warnings(&mut self, now: Ticks) -> Vec<(PathBuf, Box<str>, Warning)> {
        let warnings = self.expiry_watches.iter_mut().filter_map(|((file, subject), watch)| {
            let warning = watch.take_warning(now)?;
            Some((file.clone(), subject.clone(), warning))
        });
        warnings.collect()
    }
}
