//! What is kept of instances, before anything is done about them; and which agent's turn it is.

use std::collections::BTreeMap;
use std::path::Path;

use doorgrade_fleet::instance::PersistedState;
use doorgrade_store::{Records, StoreError};

pub struct Journal {
    records: Records,
    /// Grows with each agent that takes this journal.
    pub term: u64,
}

/// What an earlier agent left of its instances, by name.
pub type Found = BTreeMap<Box<str>, PersistedState>;

fn key(name: &str) -> String {
    format!("instance/{name}")
}

impl Journal {
    /// One agent holds it at a time: the store's file is locked. What can't be read is told and left out; what runs is found
    /// by its marks all the same.
    pub fn open(path: &Path) -> Result<(Journal, Found, Vec<StoreError>), StoreError> {
        let (records, trouble) = Records::open(path)?;
        let mut troubles: Vec<StoreError> = trouble.into_iter().collect();
        let mut kept = BTreeMap::new();
        for key in records.keys("instance/")? {
            let name = key.trim_start_matches("instance/");
            match records
                .read(&key)
                .map(|payload| payload.map(|p| postcard::from_bytes::<PersistedState>(&p)))
            {
                Ok(Some(Ok(of))) => drop(kept.insert(name.into(), of)),
                Ok(None) => {}
                Ok(Some(Err(_))) => troubles.push(StoreError::Damaged(key.into())),
                Err(trouble) => troubles.push(trouble),
            }
        }
        let term = records.read("term").ok().flatten().and_then(|p| postcard::from_bytes::<u64>(&p).ok());
        let term = term.unwrap_or(0) + 1;
        let journal = Journal { records, term };
        if let Err(trouble) = journal.put("term", &term) {
            troubles.push(trouble);
        }
        Ok((journal, kept, troubles))
    }

    fn put(&self, key: &str, value: &impl serde::Serialize) -> Result<(), StoreError> {
        let payload = postcard::to_stdvec(value).map_err(|e| StoreError::Failed(e.to_string().into()))?;
        self.records.write(&[(key, payload)], &[])
    }

    /// Whether it can be written now.
    pub fn check(&self) -> Result<(), StoreError> {
        self.put("term", &self.term)
    }

    pub fn keep(&self, name: &str, kept: &PersistedState) -> Result<(), StoreError> {
        self.put(&key(name), kept)
    }
}
