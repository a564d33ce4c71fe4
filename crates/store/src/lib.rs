//! Crash-safe storage on `redb`, an embedded transactional database: after a crash at any point a transaction is
//! either complete or absent. In addition each record has its own checksum (`blake3`), since a disk may return other
//! bytes than were written, and a format number, so that an upgrade can read the records of earlier releases.
//!
//! A damaged store is moved aside under another name and replaced by an empty one, which is reported to the caller.
//! If the disk fails for a while, or is full, only the operations of that time fail. A store is open in one process
//! at a time.
#![forbid(unsafe_code)]

mod records;

use std::fmt;
use std::path::PathBuf;
use std::sync::Arc;

use doorgrade_versions::seal::Seal;
use doorgrade_versions::service::{SavedRollout, SavedTrials, StoredState, Version};
use doorgrade_versions::{VersionId, front};
use serde::Serialize;

pub use records::Records;
use records::{FORMAT, failed};

/// Why a store or a record can't be used.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StoreError {
    /// The store was damaged. Its file was moved to this path, and an empty store was created.
    SetAside(PathBuf, Box<str>),
    /// A record has a wrong checksum or can't be decoded. It is treated as missing.
    Damaged(Box<str>),
    /// A record was written by a later release. It is left unchanged, since misreading it would do harm.
    NewerFormat { key: Box<str>, format: u8 },
    /// Another process has the store open. It is not touched.
    InUse,
    /// The file is not a store, or a damaged one.
    Unreadable(Box<str>),
    /// The store can't be read or written at present: the disk fails, or is full.
    Failed(Box<str>),
}

impl fmt::Display for StoreError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            StoreError::SetAside(path, reason) => {
                write!(f, "the store can't be opened ({reason}): set aside as {}", path.display())
            }
            StoreError::Damaged(key) => {
                write!(f, "the store's record '{key}' is damaged: ignored")
            }
            StoreError::NewerFormat { key, format } => write!(
                f,
                "the store's record '{key}' was written in format {format} by a later release, and this one reads up to \
                 {FORMAT}: start that release, or move the store's file away"
            ),
            StoreError::InUse => f.write_str("the store is open in another process"),
            StoreError::Unreadable(reason) => write!(f, "the store's file is damaged: {reason}"),
            StoreError::Failed(reason) => write!(f, "the store: {reason}"),
        }
    }
}

impl std::error::Error for StoreError {}

fn encode(value: &impl Serialize) -> Result<Vec<u8>, StoreError> {
    postcard::to_stdvec(value).map_err(failed)
}

/// The store of a front: the last good version, and the one that is being applied.
pub struct FrontStore(Records);

impl FrontStore {
    pub fn new(records: Records) -> FrontStore {
        FrontStore(records)
    }

    pub fn load(&self) -> (front::StoredState, Vec<StoreError>) {
        let mut errors = Vec::new();
        let last_good: Option<(VersionId, Seal, Arc<[u8]>)> = self.0.read_value("good", &mut errors);
        // The content has to match the hash in its id, too: a content under the wrong number is as bad as a damaged
        // one.
        let matches_id = |(id, _, content): &(VersionId, Seal, Arc<[u8]>)| {
            VersionId::of(id.epoch, id.number, content) == *id
        };
        let last_good = last_good.filter(matches_id);
        (front::StoredState { last_good, staged: self.0.read_value("staged", &mut errors) }, errors)
    }

    /// Records that a version is about to be applied, and after how many crashes.
    pub fn stage(&self, id: VersionId, crashes: u32) -> Result<(), StoreError> {
        self.0.write(&[("staged", encode(&(id, crashes))?)], &[])
    }

    /// Stores the last good version; nothing is staged afterwards.
    pub fn put_last_good(&self, id: VersionId, seal: Seal, content: &Arc<[u8]>) -> Result<(), StoreError> {
        self.0.write(&[("good", encode(&(id, seal, content))?)], &["staged"])
    }

    pub fn unstage(&self) -> Result<(), StoreError> {
        self.0.write(&[], &["staged"])
    }
}

/// The store of the service: its epoch, the history, the state of the current rollout, and the changes that are on
/// trial or under observation. The latter are a separate record, which earlier releases ignore.
pub struct ServiceStore(Records);

/// Epoch, number of the version of all fronts, and current rollout.
type State = (u64, Option<u64>, Option<SavedRollout>);

fn version_key(id: &VersionId) -> String {
    format!("version/{:016x}/{:016x}", id.epoch, id.number)
}

impl ServiceStore {
    pub fn new(records: Records) -> ServiceStore {
        ServiceStore(records)
    }

    pub fn load(&self) -> (StoredState, Vec<StoreError>) {
        let mut errors = Vec::new();
        let state: Option<State> = self.0.read_value("state", &mut errors);
        let Some((epoch, base, rollout)) = state else {
            // Without this record nothing is known about what was published: the service starts with an empty state.
            return (StoredState::default(), errors);
        };
        let keys = self.0.keys(&format!("version/{epoch:016x}/")).unwrap_or_else(|error| {
            errors.push(error);
            Vec::new()
        });
        let versions: Vec<Version> = keys.iter().filter_map(|k| self.0.read_value(k, &mut errors)).collect();
        let exists = |n: &u64| versions.iter().any(|v| v.id.number == *n);
        let base = base.filter(exists);
        let rollout = rollout.filter(|r| exists(&r.id.number));
        let trials: Option<SavedTrials> = self.0.read_value("trials", &mut errors);
        let trials = trials.filter(|t| t.epoch == epoch);
        (StoredState { epoch, versions, base, rollout, trials }, errors)
    }

    pub fn put_trials(&self, trials: &SavedTrials) -> Result<(), StoreError> {
        self.0.write(&[("trials", encode(trials)?)], &[])
    }

    /// Deletes a version that is no longer needed.
    pub fn delete_version(&self, id: &VersionId) -> Result<(), StoreError> {
        self.0.write(&[], &[&version_key(id)])
    }

    pub fn put_version(&self, version: &Version) -> Result<(), StoreError> {
        self.0.write(&[(&version_key(&version.id), encode(version)?)], &[])
    }

    /// Stores the state, and deletes the versions of other epochs.
    pub fn put_state(
        &self,
        epoch: u64,
        base: Option<u64>,
        rollout: &Option<SavedRollout>,
    ) -> Result<(), StoreError> {
        let current = format!("version/{epoch:016x}/");
        let old: Vec<String> =
            self.0.keys("version/")?.into_iter().filter(|k| !k.starts_with(&current)).collect();
        let old: Vec<&str> = old.iter().map(String::as_str).collect();
        self.0.write(&[("state", encode(&(epoch, base, rollout))?)], &old)
    }
}
