//! The journal: the persisted state of instances, written before it is acted upon, and the term of the agent.

use std::collections::BTreeMap;
use std::path::Path;

use doorgrade_fleet::instance::PersistedState;
use doorgrade_store::{Records, StoreError};

/// The open journal. Its store is locked, so that one agent uses it at a time.
pub struct Journal {
    records: Records,
    /// Counts the agents that have opened this journal.
    pub term: u64,
}

/// The persisted state of instances by name, as an earlier agent left it.
pub type PersistedStates = BTreeMap<Box<str>, PersistedState>;

fn key(name: &str) -> String {
    format!("instance/{name}")
}

impl Journal {
    /// Opens the journal for a new term. Entries that can't be read are skipped and reported; instances that run are
    /// found by their marks in any case.
    pub fn open(path: &Path) -> Result<(Journal, PersistedStates, Vec<StoreError>), StoreError> {
        let (records, error) = Records::open(path)?;
        let mut errors: Vec<StoreError> = error.into_iter().collect();
        let mut states = BTreeMap::new();
        for key in records.keys("instance/")? {
            let name = key.trim_start_matches("instance/");
            match records
                .read(&key)
                .map(|payload| payload.map(|p| postcard::from_bytes::<PersistedState>(&p)))
            {
                Ok(Some(Ok(state))) => drop(states.insert(name.into(), state)),
                Ok(None) => {}
                Ok(Some(Err(_))) => errors.push(StoreError::Damaged(key.into())),
                Err(error) => errors.push(error),
            }
        }
        let term = records.read("term").ok().flatten().and_then(|p| postcard::from_bytes::<u64>(&p).ok());
        let term = term.unwrap_or(0) + 1;
        let journal = Journal { records, term };
        if let Err(error) = journal.put("term", &term) {
            errors.push(error);
        }
        Ok((journal, states, errors))
    }

    fn put(&self, key: &str, value: &impl serde::Serialize) -> Result<(), StoreError> {
        let payload = postcard::to_stdvec(value).map_err(|e| StoreError::Failed(e.to_string().into()))?;
        self.records.write(&[(key, payload)], &[])
    }

    /// Checks that the journal can be written to.
    pub fn check(&self) -> Result<(), StoreError> {
        self.put("term", &self.term)
    }

    pub fn write(&self, name: &str, state: &PersistedState) -> Result<(), StoreError> {
        self.put(&key(name), state)
    }
}
