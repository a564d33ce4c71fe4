//! Records by name, in a store that is opened anew after whatever has failed.

use std::fmt;
use std::io::ErrorKind;
use std::panic::{AssertUnwindSafe, catch_unwind};
use std::path::Path;
use std::sync::{Mutex, PoisonError};
use std::time::Duration;

use redb::{Database, ReadableDatabase, StorageBackend, TableDefinition};
use serde::de::DeserializeOwned;

use crate::Trouble;

const RECORDS: TableDefinition<'_, &str, &[u8]> = TableDefinition::new("records");
/// Of the records in this table. A later one reads earlier ones.
pub(crate) const FORMAT: u8 = 1;
/// A disk that fails for a moment as a store is opened is tried again: for 3 s, since a front is to be ready within ten and
/// may have two stores.
const OPEN_TRIES: usize = 15;
const BETWEEN: Duration = Duration::from_millis(200);

pub(crate) fn failed(why: impl fmt::Display) -> Trouble {
    Trouble::Failed(why.to_string().into())
}

/// Why something could not be done.
enum Fault {
    /// The disk fails, or the machine has no means; the store may be sound.
    Disk(String),
    /// What is in the file is no store.
    Damage(String),
    InUse,
    /// One record can't be used; the store is sound.
    Record(Trouble),
}

impl From<Fault> for Trouble {
    fn from(fault: Fault) -> Trouble {
        match fault {
            Fault::Disk(why) => Trouble::Failed(why.into()),
            Fault::Damage(why) => Trouble::Unreadable(why.into()),
            Fault::InUse => Trouble::InUse,
            Fault::Record(trouble) => trouble,
        }
    }
}

/// What the store's own code says, which gives a file that is no store as an error of reading, too.
fn fault(error: impl Into<redb::Error>) -> Fault {
    match error.into() {
        redb::Error::DatabaseAlreadyOpen => Fault::InUse,
        redb::Error::Io(e) if !matches!(e.kind(), ErrorKind::InvalidData | ErrorKind::UnexpectedEof) => {
            Fault::Disk(e.to_string())
        }
        e @ (redb::Error::PreviousIo | redb::Error::DatabaseClosed) => Fault::Disk(e.to_string()),
        e => Fault::Damage(e.to_string()),
    }
}

/// A damaged file may lead the store's own code astray; that must not end the program.
fn guarded<T>(run: impl FnOnce() -> Result<T, Fault>) -> Result<T, Fault> {
    let damaged = |_| Err(Fault::Damage("its file is damaged".into()));
    catch_unwind(AssertUnwindSafe(run)).unwrap_or_else(damaged)
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

fn database(backend: impl StorageBackend) -> Result<Database, Fault> {
    guarded(|| {
        let database = Database::builder().create_with_backend(backend).map_err(fault)?;
        // So that a read finds a table, even an empty one.
        let begun = database.begin_write().map_err(fault)?;
        begun.open_table(RECORDS).map_err(fault)?;
        begun.commit().map_err(fault)?;
        Ok(database)
    })
}

fn database_in(path: &Path) -> Result<Database, Fault> {
    let disk = |e: std::io::Error| Fault::Disk(e.to_string());
    let mut options = std::fs::OpenOptions::new();
    let file = options.read(true).write(true).create(true).truncate(false).open(path).map_err(disk)?;
    database(redb::backends::FileBackend::new(file).map_err(fault)?)
}

type Open = Box<dyn Fn() -> Result<Database, Fault> + Send + Sync>;

/// Records by name.
pub struct Records {
    /// None after a failure, until it is opened anew.
    database: Mutex<Option<Database>>,
    open: Open,
}

impl Drop for Records {
    fn drop(&mut self) {
        close(self.database.get_mut().unwrap_or_else(PoisonError::into_inner));
    }
}

/// A damaged store may fail only when it is closed.
fn close(database: &mut Option<Database>) {
    let database = database.take();
    let _ = catch_unwind(AssertUnwindSafe(|| drop(database)));
}

impl Records {
    /// On a backend that can't be had again: what fails once fails from then on.
    pub fn on(backend: impl StorageBackend) -> Result<Records, Trouble> {
        let closed = || Err(Fault::Disk("is closed".into()));
        Ok(Records { database: Mutex::new(Some(database(backend)?)), open: Box::new(closed) })
    }

    /// On a backend that can be had again.
    pub fn reopening<B: StorageBackend>(
        backend: impl Fn() -> Result<B, Trouble> + Send + Sync + 'static,
    ) -> Result<Records, Trouble> {
        let open = move || database(backend().map_err(Fault::Record)?);
        Ok(Records { database: Mutex::new(Some(open()?)), open: Box::new(open) })
    }

    /// The store in a file. One that is damaged is set aside, and the trouble told with the new one. One whose disk fails is
    /// told of, too; it is opened by whoever reads or writes it once the disk is well.
    pub fn open(path: &Path) -> Result<(Records, Option<Trouble>), Trouble> {
        let of = path.to_owned();
        let open: Open = Box::new(move || database_in(&of));
        let (database, trouble) = match open_in_time(path) {
            Ok(database) => (Some(database), None),
            // Whoever has it would go on in a file that is set aside.
            Err(Fault::InUse) => return Err(Trouble::InUse),
            Err(Fault::Damage(why)) => {
                let aside = set_aside(path)?;
                (Some(database_in(path)?), Some(Trouble::SetAside(aside, why.into())))
            }
            Err(fault) => (None, Some(fault.into())),
        };
        Ok((Records { database: Mutex::new(database), open }, trouble))
    }

    /// After whatever has failed but a single record, the store is opened anew by whoever needs it next.
    fn with<T>(&self, run: impl FnOnce(&Database) -> Result<T, Fault>) -> Result<T, Trouble> {
        let mut held = self.database.lock().unwrap_or_else(PoisonError::into_inner);
        let database = match held.take() {
            Some(database) => database,
            None => (self.open)()?,
        };
        let done = guarded(|| run(&database));
        *held = Some(database);
        if done.as_ref().is_err_and(|fault| !matches!(fault, Fault::Record(_))) {
            close(&mut held);
        }
        Ok(done?)
    }

    /// Puts and removes records, all or none.
    pub fn write(&self, puts: &[(&str, Vec<u8>)], removes: &[&str]) -> Result<(), Trouble> {
        self.with(|database| {
            let begun = database.begin_write().map_err(fault)?;
            {
                let mut table = begun.open_table(RECORDS).map_err(fault)?;
                for key in removes {
                    table.remove(key).map_err(fault)?;
                }
                for (key, payload) in puts {
                    table.insert(key, seal(payload).as_slice()).map_err(fault)?;
                }
            }
            begun.commit().map_err(fault)
        })
    }

    pub fn read(&self, key: &str) -> Result<Option<Vec<u8>>, Trouble> {
        self.with(|database| {
            let begun = database.begin_read().map_err(fault)?;
            let table = begun.open_table(RECORDS).map_err(fault)?;
            match table.get(key).map_err(fault)? {
                None => Ok(None),
                Some(record) => {
                    let payload = unseal(key, record.value()).map_err(Fault::Record)?;
                    Ok(Some(payload.to_vec()))
                }
            }
        })
    }

    pub fn keys(&self, prefix: &str) -> Result<Vec<String>, Trouble> {
        self.with(|database| {
            let begun = database.begin_read().map_err(fault)?;
            let table = begun.open_table(RECORDS).map_err(fault)?;
            let mut keys = Vec::new();
            for entry in table.range(prefix..).map_err(fault)? {
                let (key, _) = entry.map_err(fault)?;
                if !key.value().starts_with(prefix) {
                    break;
                }
                keys.push(key.value().to_owned());
            }
            Ok(keys)
        })
    }

    /// A record as a value; what can't be read is told and left out.
    pub(crate) fn value<T: DeserializeOwned>(&self, key: &str, troubles: &mut Vec<Trouble>) -> Option<T> {
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

fn open_in_time(path: &Path) -> Result<Database, Fault> {
    for _ in 1..OPEN_TRIES {
        match database_in(path) {
            Err(Fault::Disk(why)) if path.exists() => {
                tracing::warn!("{}: {why}; tried again", path.display());
                std::thread::sleep(BETWEEN);
            }
            done => return done,
        }
    }
    database_in(path)
}

fn set_aside(path: &Path) -> Result<std::path::PathBuf, Trouble> {
    let aside = (1..100).map(|n| path.with_extension(format!("damaged-{n}"))).find(|p| !p.exists());
    let aside = aside.ok_or_else(|| failed("a hundred damaged stores lie beside it"))?;
    std::fs::rename(path, &aside).map_err(failed)?;
    Ok(aside)
}
