//! What survives a crash, on `redb`, an embedded store with transactions: after a crash at any point it has all of a
//! transaction or nothing of it. On top of that each record has a checksum of its own (`blake3`), since a disk may
//! give back other bytes than it was given, and a format number, so that an upgrade reads what was written before.
//!
//! A store that is damaged is set aside under another name and begun anew; whoever opens it is told. A disk that fails for
//! a while, or is full, fails what is asked meanwhile and nothing else. A store is opened by one process at a time.
#![forbid(unsafe_code)]

mod records;

use std::fmt;
use std::path::PathBuf;
use std::sync::Arc;

use doorgrade_versions::seal::Seal;
use doorgrade_versions::service::{SavedRollout, SavedTrials, StoredState as ServiceFound, Version};
use doorgrade_versions::{VersionId, front};
use serde::Serialize;

pub use records::Records;
use records::{FORMAT, failed};

#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Trouble {
    /// The store was damaged; it was set aside under this name, and is begun anew.
    SetAside(PathBuf, Box<str>),
    /// One record is not what was written; it counts as not there.
    Damaged(Box<str>),
    /// One record was written by a later release. It is left as it is: read wrongly it would be worth less than nothing.
    Newer { key: Box<str>, format: u8 },
    /// Another process has it open; it is left alone.
    InUse,
    /// What is in its file is no store, or one in pieces.
    Unreadable(Box<str>),
    /// It could not be read or written now; the disk fails, or is full.
    Failed(Box<str>),
}

impl fmt::Display for Trouble {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Trouble::SetAside(path, why) => {
                write!(f, "the store can't be opened ({why}): set aside as {}", path.display())
            }
            Trouble::Damaged(key) => {
                write!(f, "the store's record '{key}' is not what was written: left out")
            }
            Trouble::Newer { key, format } => write!(
                f,
                "the store's record '{key}' was written in format {format} by a later release, and this one reads up to \
                 {FORMAT}: start that release, or move the store's file away"
            ),
            Trouble::InUse => f.write_str("the store is open in another process"),
            Trouble::Unreadable(why) => write!(f, "the store's file is damaged: {why}"),
            Trouble::Failed(why) => write!(f, "the store: {why}"),
        }
    }
}

impl std::error::Error for Trouble {}

fn payload(value: &impl Serialize) -> Result<Vec<u8>, Trouble> {
    postcard::to_stdvec(value).map_err(failed)
}

/// What a front keeps: the version that was good last, and the one that was being applied.
pub struct FrontStore(Records);

impl FrontStore {
    pub fn new(records: Records) -> FrontStore {
        FrontStore(records)
    }

    pub fn load(&self) -> (front::StoredState, Vec<Trouble>) {
        let mut troubles = Vec::new();
        let good: Option<(VersionId, Seal, Arc<[u8]>)> = self.0.value("good", &mut troubles);
        // Its own hash, too: a content under the wrong number is no better than a damaged one.
        let whole = |(id, _, content): &(VersionId, Seal, Arc<[u8]>)| {
            VersionId::of(id.epoch, id.number, content) == *id
        };
        let good = good.filter(whole);
        (front::StoredState { last_good: good, staged: self.0.value("staged", &mut troubles) }, troubles)
    }

    pub fn stage(&self, id: VersionId, falls: u32) -> Result<(), Trouble> {
        self.0.write(&[("staged", payload(&(id, falls))?)], &[])
    }

    pub fn keep(&self, id: VersionId, seal: Seal, content: &Arc<[u8]>) -> Result<(), Trouble> {
        self.0.write(&[("good", payload(&(id, seal, content))?)], &["staged"])
    }

    pub fn unstage(&self) -> Result<(), Trouble> {
        self.0.write(&[], &["staged"])
    }
}

/// What a service keeps: its epoch, the history, how far a publication is, and in a record of its own, which earlier
/// releases leave alone, the changes that are on trial or watched.
pub struct ServiceStore(Records);

type State = (u64, Option<u64>, Option<SavedRollout>);

fn version_key(id: &VersionId) -> String {
    format!("version/{:016x}/{:016x}", id.epoch, id.number)
}

impl ServiceStore {
    pub fn new(records: Records) -> ServiceStore {
        ServiceStore(records)
    }

    pub fn load(&self) -> (ServiceFound, Vec<Trouble>) {
        let mut troubles = Vec::new();
        let state: Option<State> = self.0.value("state", &mut troubles);
        let Some((epoch, base, rollout)) = state else {
            // Without it nothing is known of what was published: the service begins anew.
            return (ServiceFound::default(), troubles);
        };
        let keys = self.0.keys(&format!("version/{epoch:016x}/")).unwrap_or_else(|trouble| {
            troubles.push(trouble);
            Vec::new()
        });
        let versions: Vec<Version> = keys.iter().filter_map(|k| self.0.value(k, &mut troubles)).collect();
        let there = |n: &u64| versions.iter().any(|v| v.id.number == *n);
        let base = base.filter(there);
        let rollout = rollout.filter(|r| there(&r.id.number));
        let trials: Option<SavedTrials> = self.0.value("trials", &mut troubles);
        let trials = trials.filter(|t| t.epoch == epoch);
        (ServiceFound { epoch, versions, base, rollout, trials }, troubles)
    }

    pub fn put_trials(&self, trials: &SavedTrials) -> Result<(), Trouble> {
        self.0.write(&[("trials", payload(trials)?)], &[])
    }

    /// A version that nothing needs any more.
    pub fn forget(&self, id: &VersionId) -> Result<(), Trouble> {
        self.0.write(&[], &[&version_key(id)])
    }

    pub fn put(&self, version: &Version) -> Result<(), Trouble> {
        self.0.write(&[(&version_key(&version.id), payload(version)?)], &[])
    }

    /// The state; what is of an earlier epoch is no more.
    pub fn put_state(
        &self,
        epoch: u64,
        base: Option<u64>,
        rollout: &Option<SavedRollout>,
    ) -> Result<(), Trouble> {
        let current = format!("version/{epoch:016x}/");
        let old: Vec<String> =
            self.0.keys("version/")?.into_iter().filter(|k| !k.starts_with(&current)).collect();
        let old: Vec<&str> = old.iter().map(String::as_str).collect();
        self.0.write(&[("state", payload(&(epoch, base, rollout))?)], &old)
    }
}
