//! What survives a crash, on `redb`, an embedded store with transactions: after a crash at any point it has all of a
//! transaction or nothing of it. On top of that each record has a checksum of its own (`blake3`), since a disk may
//! give back other bytes than it was given, and a format number, so that an upgrade reads what was written before.
//!
//! A store that can't be opened, or is damaged, is set aside under another name and begun anew; whoever opens it is
//! told. A full disk fails a write and nothing else. A store is opened by one process at a time.
#![forbid(unsafe_code)]

use std::fmt;
use std::panic::{AssertUnwindSafe, catch_unwind};
use std::path::{Path, PathBuf};
use std::sync::Arc;

use doorgrade_versions::seal::Seal;
use doorgrade_versions::service::{Found as ServiceFound, Saved, SavedTrials, Version};
use doorgrade_versions::{Id, front};
use redb::{Database, ReadableDatabase, StorageBackend, TableDefinition};
use serde::Serialize;
use serde::de::DeserializeOwned;

const RECORDS: TableDefinition<'_, &str, &[u8]> = TableDefinition::new("records");
/// Of the records in this table. A later one reads earlier ones.
const FORMAT: u8 = 1;

#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Trouble {
    /// The store could not be opened; it was set aside under this name, and is begun anew.
    SetAside(PathBuf, Box<str>),
    /// One record is not what was written; it counts as not there.
    Damaged(Box<str>),
    /// One record was written by a later release. It is left as it is: read wrongly it would be worth less than nothing.
    Newer { key: Box<str>, format: u8 },
    /// Another process has it open; it is left alone.
    InUse,
    /// It could not be read or written.
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
            Trouble::Failed(why) => write!(f, "the store: {why}"),
        }
    }
}

impl std::error::Error for Trouble {}

fn failed(why: impl fmt::Display) -> Trouble {
    Trouble::Failed(why.to_string().into())
}

/// A damaged file may lead the store's own code astray; that must not end the program.
fn guarded<T>(run: impl FnOnce() -> Result<T, Trouble>) -> Result<T, Trouble> {
    catch_unwind(AssertUnwindSafe(run)).unwrap_or_else(|_| Err(failed("its file is damaged")))
}

fn seal(payload: &[u8]) -> Vec<u8> {
    let mut record = vec![FORMAT];
    record.extend_from_slice(blake3::hash(payload).as_bytes());
    record.extend_from_slice(payload);
    record
}

fn unseal<'a>(key: &str, record: &'a [u8]) -> Result<&'a [u8], Trouble> {
    let damaged = || Trouble::Damaged(key.into());
    let (&format, rest) = record.split_first().ok_or_else(damaged)?;
    if format > FORMAT {
        return Err(Trouble::Newer { key: key.into(), format });
    }
    let (sum, payload) = rest.split_at_checked(32).ok_or_else(damaged)?;
    let whole = format == FORMAT && blake3::hash(payload).as_bytes() == sum;
    if whole { Ok(payload) } else { Err(damaged()) }
}

/// Records by name.
pub struct Records(Option<Database>);

impl Drop for Records {
    /// A damaged store may fail only when it is closed.
    fn drop(&mut self) {
        let database = self.0.take();
        let _ = catch_unwind(AssertUnwindSafe(|| drop(database)));
    }
}

impl Records {
    fn database(&self) -> Result<&Database, Trouble> {
        self.0.as_ref().ok_or_else(|| failed("is closed"))
    }

    pub fn on(backend: impl StorageBackend) -> Result<Records, Trouble> {
        guarded(|| {
            let database = Database::builder().create_with_backend(backend).map_err(failed)?;
            // So that a read finds a table, even an empty one.
            let begun = database.begin_write().map_err(failed)?;
            begun.open_table(RECORDS).map_err(failed)?;
            begun.commit().map_err(failed)?;
            Ok(Records(Some(database)))
        })
    }

    /// On a backend that can be had again.
    pub fn reopening<B: StorageBackend>(open: impl Fn() -> Result<B, Trouble>) -> Result<Records, Trouble> {
        Records::on(open()?)
    }

    /// The store in a file. One that can't be opened is set aside, and the trouble told with the new one.
    pub fn open(path: &Path) -> Result<(Records, Option<Trouble>), Trouble> {
        let open = || {
            guarded(|| {
                let mut options = std::fs::OpenOptions::new();
                let file = options.read(true).write(true).create(true).truncate(false).open(path);
                let file = file.map_err(failed)?;
                let locked = redb::backends::FileBackend::new(file).map_err(|e| match e {
                    redb::DatabaseError::DatabaseAlreadyOpen => Trouble::InUse,
                    e => failed(e),
                });
                Records::on(locked?)
            })
        };
        let why = match open() {
            Ok(records) => return Ok((records, None)),
            // Whoever has it would go on in a file that is set aside.
            Err(Trouble::InUse) => return Err(Trouble::InUse),
            Err(why) => why,
        };
        let aside = (1..100).map(|n| path.with_extension(format!("damaged-{n}"))).find(|p| !p.exists());
        let aside = aside.ok_or_else(|| failed("a hundred damaged stores lie beside it"))?;
        std::fs::rename(path, &aside).map_err(failed)?;
        Ok((open()?, Some(Trouble::SetAside(aside, why.to_string().into()))))
    }

    /// Puts and removes records, all or none.
    pub fn write(&self, puts: &[(&str, Vec<u8>)], removes: &[&str]) -> Result<(), Trouble> {
        guarded(|| {
            let begun = self.database()?.begin_write().map_err(failed)?;
            {
                let mut table = begun.open_table(RECORDS).map_err(failed)?;
                for key in removes {
                    table.remove(key).map_err(failed)?;
                }
                for (key, payload) in puts {
                    table.insert(key, seal(payload).as_slice()).map_err(failed)?;
                }
            }
            begun.commit().map_err(failed)
        })
    }

    pub fn read(&self, key: &str) -> Result<Option<Vec<u8>>, Trouble> {
        guarded(|| {
            let begun = self.database()?.begin_read().map_err(failed)?;
            let table = begun.open_table(RECORDS).map_err(failed)?;
            match table.get(key).map_err(failed)? {
                None => Ok(None),
                Some(record) => unseal(key, record.value()).map(|payload| Some(payload.to_vec())),
            }
        })
    }

    pub fn keys(&self, prefix: &str) -> Result<Vec<String>, Trouble> {
        guarded(|| {
            let begun = self.database()?.begin_read().map_err(failed)?;
            let table = begun.open_table(RECORDS).map_err(failed)?;
            let mut keys = Vec::new();
            for entry in table.range(prefix..).map_err(failed)? {
                let (key, _) = entry.map_err(failed)?;
                if !key.value().starts_with(prefix) {
                    break;
                }
                keys.push(key.value().to_owned());
            }
            Ok(keys)
        })
    }

    /// A record as a value; what can't be read is told and left out.
    fn value<T: DeserializeOwned>(&self, key: &str, troubles: &mut Vec<Trouble>) -> Option<T> {
        let read = self.read(key).map(|payload| payload.map(|p| postcard::from_bytes(&p)));
        match read {
            Ok(None) => None,
            Ok(Some(Ok(value))) => Some(value),
            Ok(Some(Err(_))) => {
                troubles.push(Trouble::Damaged(key.into()));
                None
            }
            Err(trouble) => {
                troubles.push(trouble);
                None
            }
        }
    }
}

fn payload(value: &impl Serialize) -> Result<Vec<u8>, Trouble> {
    postcard::to_stdvec(value).map_err(failed)
}

/// What a front keeps: the version that was good last, and the one that was being applied.
pub struct FrontStore(Records);

impl FrontStore {
    pub fn new(records: Records) -> FrontStore {
        FrontStore(records)
    }

    pub fn load(&self) -> (front::Found, Vec<Trouble>) {
        let mut troubles = Vec::new();
        let good: Option<(Id, Seal, Arc<[u8]>)> = self.0.value("good", &mut troubles);
        // Its own hash, too: a content under the wrong number is no better than a damaged one.
        let whole = |(id, _, content): &(Id, Seal, Arc<[u8]>)| Id::of(id.epoch, id.number, content) == *id;
        let good = good.filter(whole);
        (front::Found { good, staged: self.0.value("staged", &mut troubles) }, troubles)
    }

    pub fn stage(&self, id: Id, falls: u32) -> Result<(), Trouble> {
        self.0.write(&[("staged", payload(&(id, falls))?)], &[])
    }

    pub fn keep(&self, id: Id, seal: Seal, content: &Arc<[u8]>) -> Result<(), Trouble> {
        self.0.write(&[("good", payload(&(id, seal, content))?)], &["staged"])
    }

    pub fn unstage(&self) -> Result<(), Trouble> {
        self.0.write(&[], &["staged"])
    }
}

/// What a service keeps: its epoch, the history, how far a publication is, and in a record of its own, which earlier
/// releases leave alone, the changes that are on trial or watched.
pub struct ServiceStore(Records);

type State = (u64, Option<u64>, Option<Saved>);

fn version_key(id: &Id) -> String {
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
    pub fn forget(&self, id: &Id) -> Result<(), Trouble> {
        self.0.write(&[], &[&version_key(id)])
    }

    pub fn put(&self, version: &Version) -> Result<(), Trouble> {
        self.0.write(&[(&version_key(&version.id), payload(version)?)], &[])
    }

    /// The state; what is of an earlier epoch is no more.
    pub fn put_state(&self, epoch: u64, base: Option<u64>, rollout: &Option<Saved>) -> Result<(), Trouble> {
        let current = format!("version/{epoch:016x}/");
        let old: Vec<String> =
            self.0.keys("version/")?.into_iter().filter(|k| !k.starts_with(&current)).collect();
        let old: Vec<&str> = old.iter().map(String::as_str).collect();
        self.0.write(&[("state", payload(&(epoch, base, rollout))?)], &old)
    }
}
