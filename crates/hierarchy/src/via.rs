//! Loops that no single shape shows: what a fill has come through, as `CDN-Loop` tells it (RFC 8586).
//!
//! Each member that passes a fill on appends its name. One that finds its own name there has been asked by
//! itself: the ring is cut at its first turn, and since nothing was fetched for it, that push never ran. A fill
//! that has come through more members than a shape is deep goes round a ring, too, even if some of them do not
//! append their names.

use std::fmt;

/// A header longer than this, or with more entries, is hostile or hopelessly deep.
pub const MOST_BYTES: usize = 4096;
pub const MOST_ENTRIES: usize = 64;

#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Cut {
    /// It has come round; the members from the first time here to now.
    Ring(Vec<Box<str>>),
    /// It has come through more members than there are one above the other.
    TooDeep { through: usize, most: usize },
    /// The header can't be read; what can't be judged is not passed on.
    Unreadable(&'static str),
}

impl fmt::Display for Cut {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Cut::Ring(ring) => write!(f, "ring: {}", ring.join(" -> ")),
            Cut::TooDeep { through, most } => {
                write!(f, "too deep: {through} members, expected {most} at most")
            }
            Cut::Unreadable(what) => write!(f, "CDN-Loop can't be read: {what}"),
        }
    }
}

/// What the header's values say: the members that a fill has come through, the first first.
pub fn read<'a>(values: impl IntoIterator<Item = &'a str>) -> Result<Vec<&'a str>, Cut> {
    let (mut through, mut bytes) = (Vec::new(), 0);
    for value in values {
        bytes += value.len();
        if bytes > MOST_BYTES {
            return Err(Cut::Unreadable("longer than 4096 bytes"));
        }
        for info in split(value, b',')? {
            let mut parts = split(info, b';')?.into_iter();
            let id = parts.next().unwrap_or("").trim_matches([' ', '\t']);
            if id.is_empty() {
                // A list may have empty elements (RFC 9110, 5.6.1).
                if parts.next().is_some() {
                    return Err(Cut::Unreadable("parameters without a name"));
                }
                continue;
            }
            let plain = |b: u8| b.is_ascii_alphanumeric() || b"-._~!$&'()*+=:[]%#^`|".contains(&b);
            if !id.bytes().all(plain) {
                return Err(Cut::Unreadable("a name with a character that no name has"));
            }
            if through.len() == MOST_ENTRIES {
                return Err(Cut::Unreadable("more than 64 names"));
            }
            through.push(id);
        }
    }
    Ok(through)
}

/// Splits at a mark that does not stand in a quoted string.
fn split(text: &str, mark: u8) -> Result<Vec<&str>, Cut> {
    let (mut pieces, mut start, mut quoted, mut escaped) = (Vec::new(), 0, false, false);
    for (at, byte) in text.bytes().enumerate() {
        match byte {
            _ if escaped => escaped = false,
            b'\\' if quoted => escaped = true,
            b'"' => quoted = !quoted,
            b if b == mark && !quoted => {
                pieces.push(&text[start..at]);
                start = at + 1;
            }
            b if b < 0x20 && b != b'\t' || b == 0x7f => return Err(Cut::Unreadable("a control character")),
            _ => {}
        }
    }
    if quoted {
        return Err(Cut::Unreadable("a quotation without an end"));
    }
    pieces.push(&text[start..]);
    Ok(pieces)
}

/// What a member does with a fill that has come through others: pass it on with this header, or cut it.
pub fn pass_on<'a>(values: impl IntoIterator<Item = &'a str>, own: &str, most: usize) -> Result<String, Cut> {
    let through = read(values)?;
    if let Some(at) = through.iter().position(|&name| name == own) {
        let ring = through[at..].iter().chain([&own]).map(|&n| n.into()).collect();
        return Err(Cut::Ring(ring));
    }
    if through.len() >= most {
        return Err(Cut::TooDeep { through: through.len() + 1, most });
    }
    let mut header = String::with_capacity(through.iter().map(|n| n.len() + 2).sum::<usize>() + own.len());
    for name in through {
        header.push_str(name);
        header.push_str(", ");
    }
    header.push_str(own);
    Ok(header)
}
