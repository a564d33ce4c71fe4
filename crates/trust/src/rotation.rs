//! Rotation of the keys that seal versions, such that valid seals are accepted at any time.
//!
//! A front proves which version it runs with the seal that came with it. A key is needed as long as some front runs a
//! version that it sealed: without the key, the service would reject that front's report as false. And a front
//! accepts only seals of keys that it has, so that a key may seal only once the fronts have it. Hence the order: add the
//! new key everywhere, seal with it, publish once, and remove the old key when no front runs a version that it sealed.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt;

/// Why a set of keys can't be used, or can't replace the one in use.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum KeySetError {
    Empty,
    /// Two keys have this number.
    Duplicate(u32),
    /// The secret is shorter than the authentication code that it makes.
    TooShort {
        key: u32,
        bytes: usize,
    },
    /// A number that was in use has another secret: seals made with the old one would be rejected.
    SecretChanged(u32),
    /// A key was removed, and this many fronts run a version that it sealed.
    InUse {
        key: u32,
        fronts: usize,
    },
}

impl fmt::Display for KeySetError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            KeySetError::Empty => f.write_str("there is no key: expected at least one"),
            KeySetError::Duplicate(key) => write!(f, "key {key} is defined twice: expected distinct numbers"),
            KeySetError::TooShort { key, bytes } => {
                write!(f, "key {key} has {bytes} bytes: expected at least {MIN_SECRET_BYTES}")
            }
            KeySetError::SecretChanged(key) => {
                write!(f, "key {key} has another secret than before: expected a new number for a new secret")
            }
            KeySetError::InUse { key, fronts } => write!(
                f,
                "key {key} is missing, and {fronts} fronts run a version that it sealed: expected it to stay until \
                 a version sealed with another key runs everywhere"
            ),
        }
    }
}

/// The length of the authentication code: a shorter secret would be weaker than the code (RFC 2104, section 3).
pub const MIN_SECRET_BYTES: usize = 32;

/// Checks a set of keys on its own.
pub fn check(keys: &[(u32, Vec<u8>)]) -> Result<(), KeySetError> {
    if keys.is_empty() {
        return Err(KeySetError::Empty);
    }
    let mut numbers = BTreeSet::new();
    for (key, secret) in keys {
        if !numbers.insert(key) {
            return Err(KeySetError::Duplicate(*key));
        }
        if secret.len() < MIN_SECRET_BYTES {
            return Err(KeySetError::TooShort { key: *key, bytes: secret.len() });
        }
    }
    Ok(())
}

/// Checks a set of keys that is to replace the one in use. `fronts_by_key`: how many fronts run versions sealed with
/// each key; empty at a front, which needs no old key once it runs a version.
pub fn check_replacement(
    old: &[(u32, Vec<u8>)],
    new: &[(u32, Vec<u8>)],
    fronts_by_key: &BTreeMap<u32, usize>,
) -> Result<(), KeySetError> {
    check(new)?;
    for (key, secret) in old {
        match new.iter().find(|k| k.0 == *key) {
            Some((_, other)) if other != secret => return Err(KeySetError::SecretChanged(*key)),
            Some(_) => {}
            None => {
                if let Some(&fronts) = fronts_by_key.get(key).filter(|&&fronts| fronts > 0) {
                    return Err(KeySetError::InUse { key: *key, fronts });
                }
            }
        }
    }
    Ok(())
}

/// Keys that could be removed: all but the one used to seal, unless a front runs a version that they sealed.
pub fn removable(keys: &[(u32, Vec<u8>)], fronts_by_key: &BTreeMap<u32, usize>) -> Vec<u32> {
    let older = keys.split_last().map_or(&[][..], |(_, older)| older);
    older.iter().map(|k| k.0).filter(|k| fronts_by_key.get(k).is_none_or(|&fronts| fronts == 0)).collect()
}
