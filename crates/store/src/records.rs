//! Records by key, in a database that is reopened after a failure.

use std::fmt;
use std::io::ErrorKind;
use std::panic::{AssertUnwindSafe, catch_unwind};
use std::path::Path;
use std::sync::{Mutex, PoisonError};
use std::time::Duration;

use redb::{Database, ReadableDatabase, StorageBackend, TableDefinition};
use serde::de::DeserializeOwned;

use crate::StoreError;

const RECORDS: TableDefinition<'_, &str, &[u8]> = TableDefinition::new("records");
/// The format of the records in this table. Later formats have to remain able to read earlier ones.
pub(crate) const FORMAT: u8 = 1;
/// Opening is retried for 3 s if the disk fails for a moment. A front may have two stores, and has to be ready within
/// 10 s.
const OPEN_ATTEMPTS: usize = 15;
const OPEN_RETRY_DELAY: Duration = Duration::from_millis(200);

pub(crate) fn failed(reason: impl fmt::Display) -> StoreError {
    StoreError::Failed(reason.to_string().into())
}

/// Why an operation on the database failed.
enum Failure {
    /// The disk fails, or the system is out of a resource; the store may be intact.
    Disk(String),
    /// The file is not a store, or a damaged one.
    Damaged(String),
    InUse,
    /// One record can't be used; the store is intact.
    Record(StoreError),
}

impl From<Failure> for StoreError {
    fn from(failure: Failure) -> StoreError {
        match failure {
            Failure::Disk(reason) => StoreError::Failed(reason.into()),
            Failure::Damaged(reason) => StoreError::Unreadable(reason.into()),
            Failure::InUse => StoreError::InUse,
            Failure::Record(error) => error,
        }
    }
}

/// Classifies an error of `redb`, which also reports a file that is not a store as an I/O error.
fn failure(error: impl Into<redb::Error>) -> Failure {
    match error.into() {
        redb::Error::DatabaseAlreadyOpen => Failure::InUse,
        redb::Error::Io(e) if !matches!(e.kind(), ErrorKind::InvalidData | ErrorKind::UnexpectedEof) => {
            Failure::Disk(e.to_string())
        }
        e @ (redb::Error::PreviousIo | redb::Error::DatabaseClosed) => Failure::Disk(e.to_string()),
        e => Failure::Damaged(e.to_string()),
    }
}

/// Turns a panic into an error: `redb` may panic on a damaged file, which must not end the program.
fn catch_panic<T>(run: impl FnOnce() -> Result<T, Failure>) -> Result<T, Failure> {
    let damaged = |_| Err(Failure::Damaged("its file is damaged".into()));
    catch_unwind(AssertUnwindSafe(run)).unwrap_or_else(damaged)
}

fn encode_record(payload: &[u8]) -> Vec<u8> {
    let mut record = vec![FORMAT];
    record.extend_from_slice(blake3::hash(payload).as_bytes());
    record.extend_from_slice(payload);
    record
}

fn decode_record<'a>(key: &str, record: &'a [u8]) -> Result<&'a [u8], StoreError> {
    let damaged = || StoreError::Damaged(key.into());
    let (&format, rest) = record.split_first().ok_or_else(damaged)?;
    if format > FORMAT {
        return Err(StoreError::NewerFormat { key: key.into(), format });
    }
    let (checksum, payload) = rest.split_at_checked(32).ok_or_else(damaged)?;
    let intact = format == FORMAT && blake3::hash(payload).as_bytes() == checksum;
    if intact { Ok(payload) } else { Err(damaged()) }
}

fn create_database(backend: impl StorageBackend) -> Result<Database, Failure> {
    catch_panic(|| {
        let database = Database::builder().create_with_backend(backend).map_err(failure)?;
        // Creates the table, so that a read finds it.
        let transaction = database.begin_write().map_err(failure)?;
        transaction.open_table(RECORDS).map_err(failure)?;
        transaction.commit().map_err(failure)?;
        Ok(database)
    })
}

fn open_database(path: &Path) -> Result<Database, Failure> {
    let disk = |e: std::io::Error| Failure::Disk(e.to_string());
    let mut options = std::fs::OpenOptions::new();
    let file = options.read(true).write(true).create(true).truncate(false).open(path).map_err(disk)?;
    create_database(redb::backends::FileBackend::new(file).map_err(failure)?)
}

type OpenFn = Box<dyn Fn() -> Result<Database, Failure> + Send + Sync>;

/// Records by key.
pub struct Records {
    /// None after a failure, until the next operation reopens it.
    database: Mutex<Option<Database>>,
    open: OpenFn,
}

impl Drop for Records {
    fn drop(&mut self) {
        close(self.database.get_mut().unwrap_or_else(PoisonError::into_inner));
    }
}

/// Closes the database. Panics are caught, since `redb` may find damage only now.
fn close(database: &mut Option<Database>) {
    let database = database.take();
    let _ = catch_unwind(AssertUnwindSafe(|| drop(database)));
}

impl Records {
    /// On a backend that can't be reopened: after a failure all later operations fail.
    pub fn with_backend(backend: impl StorageBackend) -> Result<Records, StoreError> {
        let closed = || Err(Failure::Disk("closed after a failure".into()));
        Ok(Records { database: Mutex::new(Some(create_database(backend)?)), open: Box::new(closed) })
    }

    /// On a backend that is created anew by `backend` after a failure.
    pub fn with_reopening_backend<B: StorageBackend>(
        backend: impl Fn() -> Result<B, StoreError> + Send + Sync + 'static,
    ) -> Result<Records, StoreError> {
        let open = move || create_database(backend().map_err(Failure::Record)?);
        Ok(Records { database: Mutex::new(Some(open()?)), open: Box::new(open) })
    }

    /// Opens or creates the store in a file. If it is damaged, it is moved aside, and the error is returned with the
    /// new store. If the disk fails, the error is returned, too, with a store that the next operation tries to open
    /// again.
    pub fn open(path: &Path) -> Result<(Records, Option<StoreError>), StoreError> {
        let owned_path = path.to_owned();
        let open: OpenFn = Box::new(move || open_database(&owned_path));
        let (database, error) = match open_with_retries(path) {
            Ok(database) => (Some(database), None),
            // It must not be moved aside: the other process would go on writing to the moved file.
            Err(Failure::InUse) => return Err(StoreError::InUse),
            Err(Failure::Damaged(reason)) => {
                let aside = set_aside(path)?;
                (Some(open_database(path)?), Some(StoreError::SetAside(aside, reason.into())))
            }
            Err(failure) => (None, Some(failure.into())),
        };
        Ok((Records { database: Mutex::new(database), open }, error))
    }

    /// Runs an operation, and reopens the database first if it was closed. It is closed after any failure other than
    /// that of a single record.
    fn with_database<T>(&self, run: impl FnOnce(&Database) -> Result<T, Failure>) -> Result<T, StoreError> {
        let mut slot = self.database.lock().unwrap_or_else(PoisonError::into_inner);
        let database = match slot.take() {
            Some(database) => database,
            None => (self.open)()?,
        };
        let result = catch_panic(|| run(&database));
        *slot = Some(database);
        if result.as_ref().is_err_and(|failure| !matches!(failure, Failure::Record(_))) {
            close(&mut slot);
        }
        Ok(result?)
    }

    /// Puts and removes records in one transaction.
    pub fn write(&self, puts: &[(&str, Vec<u8>)], removes: &[&str]) -> Result<(), StoreError> {
        self.with_database(|database| {
            let transaction = database.begin_write().map_err(failure)?;
            {
                let mut table = transaction.open_table(RECORDS).map_err(failure)?;
                for key in removes {
                    table.remove(key).map_err(failure)?;
                }
                for (key, payload) in puts {
                    table.insert(key, encode_record(payload).as_slice()).map_err(failure)?;
                }
            }
            transaction.commit().map_err(failure)
        })
    }

    pub fn read(&self, key: &str) -> Result<Option<Vec<u8>>, StoreError> {
        self.with_database(|database| {
            let transaction = database.begin_read().map_err(failure)?;
            let table = transaction.open_table(RECORDS).map_err(failure)?;
            match table.get(key).map_err(failure)? {
                None => Ok(None),
                Some(record) => {
                    let payload = decode_record(key, record.value()).map_err(Failure::Record)?;
                    Ok(Some(payload.to_vec()))
                }
            }
        })
    }

    pub fn keys(&self, prefix: &str) -> Result<Vec<String>, StoreError> {
        self.with_database(|database| {
            let transaction = database.begin_read().map_err(failure)?;
            let table = transaction.open_table(RECORDS).map_err(failure)?;
            let mut keys = Vec::new();
            for entry in table.range(prefix..).map_err(failure)? {
                let (key, _) = entry.map_err(failure)?;
                if !key.value().starts_with(prefix) {
                    break;
                }
                keys.push(key.value().to_owned());
            }
            Ok(keys)
        })
    }

    /// Reads and decodes a record. None if it is missing or, with an entry in `errors`, can't be read.
    pub(crate) fn read_value<T: DeserializeOwned>(
        &self,
        key: &str,
        errors: &mut Vec<StoreError>,
    ) -> Option<T> {
        let read = self.read(key).map(|payload| payload.map(|p| postcard::from_bytes(&p)));
        match read {
            Ok(None) => None,
            Ok(Some(Ok(value))) => Some(value),
            Ok(Some(Err(_))) => {
                errors.push(StoreError::Damaged(key.into()));
                None
            }
            Err(error) => {
                errors.push(error);
                None
            }
        }
    }
}

fn open_with_retries(path: &Path) -> Result<Database, Failure> {
    for _ in 1..OPEN_ATTEMPTS {
        match open_database(path) {
            Err(Failure::Disk(reason)) if path.exists() => {
                tracing::warn!("{}: {reason}; retrying", path.display());
                std::thread::sleep(OPEN_RETRY_DELAY);
            }
            result => return result,
        }
    }
    open_database(path)
}

fn set_aside(path: &Path) -> Result<std::path::PathBuf, StoreError> {
    let aside = (1..100).map(|n| path.with_extension(format!("damaged-{n}"))).find(|p| !p.exists());
    let aside = aside.ok_or_else(|| failed("99 damaged stores are in this folder already"))?;
    std::fs::rename(path, &aside).map_err(failed)?;
    Ok(aside)
}
