//! Seals authenticate versions: HMAC-SHA-256 over a version's position and the hash of its content, with a
//! numbered key. During a key rotation both the old and the new key are known. A relay between service and
//! front has no key.

use std::fmt;

use hmac::{Hmac, Mac};
use serde::{Deserialize, Serialize};
use sha2::Sha256;

use crate::VersionId;

#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Seal {
    pub key: u32,
    pub mac: [u8; 32],
}

/// Keys with their numbers; the last one is used to seal.
#[derive(Clone, Default)]
pub struct Keys(Vec<(u32, Vec<u8>)>);

impl fmt::Debug for Keys {
    /// Prints only the key numbers, never the secrets.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_list().entries(self.0.iter().map(|k| k.0)).finish()
    }
}

fn mac(key: &[u8], id: &VersionId) -> Option<Hmac<Sha256>> {
    let mut hmac = Hmac::<Sha256>::new_from_slice(key).ok()?;
    hmac.update(b"doorgrade version 1");
    hmac.update(&id.epoch.to_be_bytes());
    hmac.update(&id.number.to_be_bytes());
    hmac.update(&id.hash);
    Some(hmac)
}

impl Keys {
    pub fn new(keys: Vec<(u32, Vec<u8>)>) -> Keys {
        Keys(keys)
    }

    pub fn all(&self) -> &[(u32, Vec<u8>)] {
        &self.0
    }

    /// `None` if there is no key.
    pub fn seal(&self, id: &VersionId) -> Option<Seal> {
        let (key, secret) = self.0.last()?;
        Some(Seal { key: *key, mac: mac(secret, id)?.finalize().into_bytes().into() })
    }

    /// Whether a known key made this seal; compares in constant time.
    pub fn verify(&self, id: &VersionId, seal: &Seal) -> bool {
        let known = self.0.iter().filter(|k| k.0 == seal.key);
        known.filter_map(|k| mac(&k.1, id)).any(|mac| mac.verify_slice(&seal.mac).is_ok())
    }
}
