//! A datagram's seal: a version, the number of a key, and a keyed hash (BLAKE3) over these, the address that it is
//! meant for, and what it says. What was said to one member is so no word to another. There is no clock in it: a word
//! that comes again is an old one, and old ones are outdone by later lives.

use std::net::SocketAddrV4;

/// Of the seal, before what is said.
pub const LENGTH: usize = 1 + 4 + CODE;
const CODE: usize = 16;
const VERSION: u8 = 1;

/// Keys by their numbers; the last one seals.
#[derive(Clone, Default)]
pub struct Keys(Vec<(u32, [u8; 32])>);

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Refused {
    Short,
    Version(u8),
    Key(u32),
    /// Of another key, for another address, or altered on the way.
    False,
}

impl Keys {
    /// Made from the operators' secrets for this use alone, whatever else they seal.
    pub fn new(secrets: &[(u32, Vec<u8>)]) -> Keys {
        let made = |secret: &[u8]| blake3::derive_key("doorgrade neighbours 1", secret);
        Keys(secrets.iter().map(|(n, secret)| (*n, made(secret))).collect())
    }

    pub fn seal(&self, to: SocketAddrV4, said: &[u8]) -> Option<Vec<u8>> {
        let (number, key) = self.0.last()?;
        let mut bytes = vec![VERSION];
        bytes.extend(number.to_be_bytes());
        bytes.extend_from_slice(&code(key, *number, to, said).as_bytes()[..CODE]);
        bytes.extend_from_slice(said);
        Some(bytes)
    }

    /// What was said to this address.
    pub fn open<'a>(&self, own: SocketAddrV4, bytes: &'a [u8]) -> Result<&'a [u8], Refused> {
        let (head, said) = bytes.split_at_checked(LENGTH).ok_or(Refused::Short)?;
        if head[0] != VERSION {
            return Err(Refused::Version(head[0]));
        }
        let number = u32::from_be_bytes([head[1], head[2], head[3], head[4]]);
        let key = self.0.iter().find(|k| k.0 == number).ok_or(Refused::Key(number))?;
        let whole = code(&key.1, number, own, said);
        // Compared without a way out before the end: how far it was right is not told by the time it took.
        let differ = whole.as_bytes()[..CODE].iter().zip(&head[5..]).fold(0, |d, (a, b)| d | (a ^ b));
        if differ == 0 { Ok(said) } else { Err(Refused::False) }
    }
}

fn code(key: &[u8; 32], number: u32, to: SocketAddrV4, said: &[u8]) -> blake3::Hash {
    let mut code = blake3::Hasher::new_keyed(key);
    code.update(&[VERSION]).update(&number.to_be_bytes());
    code.update(&to.ip().octets()).update(&to.port().to_be_bytes());
    code.update(said).finalize()
}
