//! Keys that seal versions change hands without a moment in which true words look made up.
//!
//! A front proves what it runs with the seal that came with it, so a key is needed as long as some front runs what
//! it sealed: without it the service would take that front's word for a lie. And a front believes only keys that it
//! has, so a key may seal only once the fronts know it. The order that follows: add the new key everywhere, let it
//! seal, publish once, and drop the old one when nobody runs what it sealed.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt;

/// What is wrong with a set of keys that is to replace the one in use.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Objection {
    Empty,
    /// The same number stands there twice.
    Twice(u32),
    /// Shorter than the code it makes.
    Short {
        key: u32,
        bytes: usize,
    },
    /// A number that was in use stands before another secret: seals made with the old one would fail.
    Changed(u32),
    /// So many fronts run what it sealed.
    InUse {
        key: u32,
        fronts: usize,
    },
}

impl fmt::Display for Objection {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Objection::Empty => f.write_str("no key is named: expected at least one"),
            Objection::Twice(key) => write!(f, "key {key} stands there twice: expected another number"),
            Objection::Short { key, bytes } => {
                write!(f, "key {key} has {bytes} bytes: expected {LEAST_BYTES} at least")
            }
            Objection::Changed(key) => {
                write!(f, "key {key} has another secret than before: expected a new number for a new secret")
            }
            Objection::InUse { key, fronts } => write!(
                f,
                "key {key} is missing, and {fronts} fronts run what it sealed: expected it to stay until a version \
                 sealed by another key runs everywhere"
            ),
        }
    }
}

/// As long as the code that it makes: less would be its weakest part (RFC 2104, section 3).
pub const LEAST_BYTES: usize = 32;

/// What there is to say against a set of keys on its own.
pub fn check(keys: &[(u32, Vec<u8>)]) -> Result<(), Objection> {
    if keys.is_empty() {
        return Err(Objection::Empty);
    }
    let mut seen = BTreeSet::new();
    for (key, secret) in keys {
        if !seen.insert(key) {
            return Err(Objection::Twice(*key));
        }
        if secret.len() < LEAST_BYTES {
            return Err(Objection::Short { key: *key, bytes: secret.len() });
        }
    }
    Ok(())
}

/// What there is to say against it in place of the one in use. `used`: fronts by the key that sealed what they run;
/// empty at a front, which needs no old key once it runs a version.
pub fn replaces(
    old: &[(u32, Vec<u8>)],
    new: &[(u32, Vec<u8>)],
    used: &BTreeMap<u32, usize>,
) -> Result<(), Objection> {
    check(new)?;
    for (key, secret) in old {
        match new.iter().find(|k| k.0 == *key) {
            Some((_, other)) if other != secret => return Err(Objection::Changed(*key)),
            Some(_) => {}
            None => {
                if let Some(&fronts) = used.get(key).filter(|&&fronts| fronts > 0) {
                    return Err(Objection::InUse { key: *key, fronts });
                }
            }
        }
    }
    Ok(())
}

/// Keys that could be dropped: not the one that seals, and nobody runs what they sealed.
pub fn spare(keys: &[(u32, Vec<u8>)], used: &BTreeMap<u32, usize>) -> Vec<u32> {
    let older = keys.split_last().map_or(&[][..], |(_, older)| older);
    older.iter().map(|k| k.0).filter(|k| used.get(k).is_none_or(|&fronts| fronts == 0)).collect()
}
