//! Files that are read again when they change. What can't be used changes nothing; connections that are up stay.

use std::collections::BTreeMap;
use std::path::PathBuf;
use std::sync::{Arc, PoisonError, RwLock};
use std::time::SystemTime;

use doorgrade_trust::Ticks;
use doorgrade_trust::expiry::{ExpiryWatch, Warning};

use crate::Trouble;
use crate::papers::{Dated, Loaded};

type Stamp = Vec<Option<(SystemTime, u64)>>;

/// One set of files, and what was made of them last.
pub struct Reloading<T> {
    files: Vec<PathBuf>,
    read: Box<dyn Fn() -> Result<Loaded<T>, Trouble> + Send + Sync>,
    loaded: RwLock<Loaded<T>>,
    stamp: Stamp,
    watched: BTreeMap<(PathBuf, Box<str>), ExpiryWatch>,
}

fn stamp(files: &[PathBuf]) -> Stamp {
    let one = |file: &PathBuf| {
        let about = std::fs::metadata(file).ok()?;
        Some((about.modified().ok()?, about.len()))
    };
    files.iter().map(one).collect()
}

impl<T> Reloading<T> {
    pub fn new(
        files: Vec<PathBuf>,
        read: impl Fn() -> Result<Loaded<T>, Trouble> + Send + Sync + 'static,
    ) -> Result<Self, Trouble> {
        let stamp = stamp(&files);
        let loaded = read()?;
        let mut new = Reloading {
            files,
            read: Box::new(read),
            watched: BTreeMap::new(),
            loaded: RwLock::new(loaded),
            stamp,
        };
        new.watch();
        Ok(new)
    }

    fn watch(&mut self) {
        let dated = self.loaded.get_mut().unwrap_or_else(PoisonError::into_inner).dated.clone();
        let mut old = std::mem::take(&mut self.watched);
        for Dated { file, of, span } in dated {
            let key = (file, of);
            let mut watched = old.remove(&key).unwrap_or_else(|| ExpiryWatch::new(span));
            watched.replace(span);
            self.watched.insert(key, watched);
        }
    }

    pub fn made(&self) -> Arc<T> {
        self.loaded.read().unwrap_or_else(PoisonError::into_inner).made.clone()
    }

    pub fn names(&self) -> Vec<String> {
        self.loaded.read().unwrap_or_else(PoisonError::into_inner).names.clone()
    }

    /// Reads the files again if they have changed, or if `told` to; what came of it.
    pub fn refresh(&mut self, told: bool) -> Option<Result<(), Trouble>> {
        let stamp = stamp(&self.files);
        if stamp == self.stamp && !told {
            return None;
        }
        // Also where it can't be used: it is not to be told of again until it changes once more.
        self.stamp = stamp;
        match (self.read)() {
            Ok(loaded) => {
                *self.loaded.get_mut().unwrap_or_else(PoisonError::into_inner) = loaded;
                self.watch();
                Some(Ok(()))
            }
            Err(trouble) => Some(Err(trouble)),
        }
    }

    /// What there is to say now of what will end, once for each step.
    pub fn due(&mut self, now: Ticks) -> Vec<(PathBuf, Box<str>, Warning)> {
        let words = self.watched.iter_mut().filter_map(|((file, of), watched)| {
            let word = watched.take_warning(now)?;
            Some((file.clone(), of.clone(), word))
        });
        words.collect()
    }
}
