//! Who vouches for a version: HMAC-SHA-256 over its place and the hash of its content, under a key with a number.
//! While keys change hands, both the old and the new one are known. A relay in between has no key.

use std::fmt;

use hmac::{Hmac, Mac};
use serde::{Deserialize, Serialize};
use sha2::Sha256;

use crate::Id;

#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Seal {
    pub key: u32,
    pub code: [u8; 32],
}

/// Keys by their numbers; the last one seals.
#[derive(Clone, Default)]
pub struct Keys(Vec<(u32, Vec<u8>)>);

impl fmt::Debug for Keys {
    /// Their numbers; the rest is nobody's to read.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_list().entries(self.0.iter().map(|k| k.0)).finish()
    }
}

fn code(key: &[u8], id: &Id) -> Option<Hmac<Sha256>> {
    let mut code = Hmac::<Sha256>::new_from_slice(key).ok()?;
    code.update(b"doorgrade version 1");
    code.update(&id.epoch.to_be_bytes());
    code.update(&id.number.to_be_bytes());
    code.update(&id.hash);
    Some(code)
}

impl Keys {
    pub fn new(keys: Vec<(u32, Vec<u8>)>) -> Keys {
        Keys(keys)
    }

    pub fn all(&self) -> &[(u32, Vec<u8>)] {
        &self.0
    }

    /// None without a key.
    pub fn seal(&self, id: &Id) -> Option<Seal> {
        let (key, secret) = self.0.last()?;
        Some(Seal { key: *key, code: code(secret, id)?.finalize().into_bytes().into() })
    }

    /// Compared in constant time.
    pub fn good(&self, id: &Id, seal: &Seal) -> bool {
        let known = self.0.iter().filter(|k| k.0 == seal.key);
        known.filter_map(|k| code(&k.1, id)).any(|c| c.verify_slice(&seal.code).is_ok())
    }
}
