//! Authentication of datagrams. A seal consists of a version, the number of a key, and a keyed hash (BLAKE3) over both,
//! the address that the datagram is meant for, and the payload. A datagram for one member is thus invalid at any
//! other. A seal contains no time: a replayed datagram is accepted, and later incarnations override the old state
//! that it reports.

use std::net::SocketAddrV4;

/// Size of the seal, which precedes the payload.
pub const SEAL_BYTES: usize = 1 + 4 + TAG_BYTES;
const TAG_BYTES: usize = 16;
const VERSION: u8 = 1;

/// Keys with their numbers; the last one seals.
#[derive(Clone, Default)]
pub struct Keys(Vec<(u32, [u8; 32])>);

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Rejection {
    TooShort,
    UnknownVersion(u8),
    UnknownKey(u32),
    /// Sealed with another secret or for another address, or altered on the way.
    InvalidTag,
}

impl Keys {
    /// Derives keys for this use only from the operators' secrets, whatever else those seal.
    pub fn new(secrets: &[(u32, Vec<u8>)]) -> Keys {
        let derive = |secret: &[u8]| blake3::derive_key("doorgrade neighbours 1", secret);
        Keys(secrets.iter().map(|(n, secret)| (*n, derive(secret))).collect())
    }

    /// The sealed datagram; none if there is no key.
    pub fn seal(&self, to: SocketAddrV4, payload: &[u8]) -> Option<Vec<u8>> {
        let (number, key) = self.0.last()?;
        let mut bytes = vec![VERSION];
        bytes.extend(number.to_be_bytes());
        bytes.extend_from_slice(&tag(key, *number, to, payload).as_bytes()[..TAG_BYTES]);
        bytes.extend_from_slice(payload);
        Some(bytes)
    }

    /// The payload of a datagram that was received at the address `own`.
    pub fn open<'a>(&self, own: SocketAddrV4, bytes: &'a [u8]) -> Result<&'a [u8], Rejection> {
        let (seal, payload) = bytes.split_at_checked(SEAL_BYTES).ok_or(Rejection::TooShort)?;
        if seal[0] != VERSION {
            return Err(Rejection::UnknownVersion(seal[0]));
        }
        let number = u32::from_be_bytes([seal[1], seal[2], seal[3], seal[4]]);
        let key = self.0.iter().find(|k| k.0 == number).ok_or(Rejection::UnknownKey(number))?;
        let expected = tag(&key.1, number, own, payload);
        // Compared in constant time, so that the time taken does not reveal how many bytes were right.
        let difference =
            expected.as_bytes()[..TAG_BYTES].iter().zip(&seal[5..]).fold(0, |d, (a, b)| d | (a ^ b));
        if difference == 0 { Ok(payload) } else { Err(Rejection::InvalidTag) }
    }
}

fn tag(key: &[u8; 32], number: u32, to: SocketAddrV4, payload: &[u8]) -> blake3::Hash {
    let mut hasher = blake3::Hasher::new_keyed(key);
    hasher.update(&[VERSION]).update(&number.to_be_bytes());
    hasher.update(&to.ip().octets()).update(&to.port().to_be_bytes());
    hasher.update(payload).finalize()
}
