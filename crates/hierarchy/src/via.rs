//! Loops that no single shape shows: what a fill has come through, as `CDN-Loop` tells it (RFC 8586).
//!
//! Each member that passes a fill on appends its name. One that finds its own name there has been asked by
//! itself: the ring is cut at its first turn, and since nothing was fetched for it, that push never ran. A fill
//! that has come through more members than a shape is deep goes round a ring, too, even if some of them do not
//! append their names: the front that begins it says how many there may be (`most`, a parameter of its entry).

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

/// What a front writes on a push: its name, and how many members may pass it on.
pub fn begin(front: &str, most: usize) -> String {
    let plain = |c: char| if c.is_ascii_alphanumeric() || matches!(c, '-' | '_' | '.') { c } else { '-' };
    let name: String = front.chars().take(64).map(plain).collect();
    format!("doorgrade-{name};most={most}")
}

/// What a fill has come through, the first first, and how many it may.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Through<'a> {
    pub names: Vec<&'a str>,
    /// The least that any entry says.
    pub most: Option<usize>,
}

/// What the header's values say.
pub fn read<'a>(values: impl IntoIterator<Item = &'a str>) -> Result<Through<'a>, Cut> {
    let (mut through, mut bytes) = (Through::default(), 0);
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
            if through.names.len() == MOST_ENTRIES {
                return Err(Cut::Unreadable("more than 64 names"));
            }
            through.names.push(id);
            for parameter in parts {
                let told = parameter.trim_matches([' ', '\t']).strip_prefix("most=");
                if let Some(most) = told.and_then(|m| m.parse::<usize>().ok()) {
                    through.most = Some(through.most.map_or(most, |least| least.min(most)));
                }
            }
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

/// What a member does with a fill that has come through others: pass it on with this header, or cut it. Entries
/// go on as they came.
pub fn pass_on<'a>(values: impl IntoIterator<Item = &'a str> + Clone, own: &str) -> Result<String, Cut> {
    let through = read(values.clone())?;
    let names = &through.names;
    if let Some(at) = names.iter().position(|&name| name == own) {
        let ring = names[at..].iter().chain([&own]).map(|&n| n.into()).collect();
        return Err(Cut::Ring(ring));
    }
    // The front that began it is the first, and passes nothing on.
    if let Some(most) = through.most.filter(|&most| names.len() > most) {
        return Err(Cut::TooDeep { through: names.len(), most });
    }
    let mut header = String::new();
    for value in values.into_iter().map(str::trim).filter(|v| !v.is_empty()) {
        header.push_str(value);
        header.push_str(", ");
    }
    header.push_str(own);
    Ok(header)
}
