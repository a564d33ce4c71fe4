//! Detects forwarding loops that no single shape shows, by the `CDN-Loop` header (RFC 8586).
//!
//! Each member that forwards a fill appends its name to the header. A member that finds its own name there rejects
//! the fill: it has come back after one turn of a cycle, and since nothing was fetched for it, the push never ran.
//! A fill that has passed through more members than a shape is deep goes round in a cycle, too, even if some of
//! them don't append their names: the front that starts the fill sends the limit in a parameter of its own entry,
//! `most`.

use std::fmt;

/// A longer header, or one with more entries, is either hostile or far beyond any useful depth.
pub const MAX_HEADER_BYTES: usize = 4096;
pub const MAX_ENTRIES: usize = 64;

/// Why a fill is not forwarded.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum LoopError {
    /// It has passed through this member before: the members of the cycle, this one first and last.
    Cycle(Vec<Box<str>>),
    /// It has passed through more members than the hierarchy is deep.
    TooDeep { hops: usize, max: usize },
    /// The header can't be parsed, so that a loop can't be ruled out.
    Malformed(&'static str),
}

impl fmt::Display for LoopError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            LoopError::Cycle(cycle) => write!(f, "cycle: {}", cycle.join(" -> ")),
            LoopError::TooDeep { hops, max } => {
                write!(f, "too deep: {hops} members, expected {max} at most")
            }
            LoopError::Malformed(reason) => write!(f, "CDN-Loop can't be read: {reason}"),
        }
    }
}

/// The header that a front sends with a push: its name, and how many members may forward the fill.
pub fn initial_header(front: &str, max_hops: usize) -> String {
    let sanitize = |c: char| if c.is_ascii_alphanumeric() || matches!(c, '-' | '_' | '.') { c } else { '-' };
    let name: String = front.chars().take(64).map(sanitize).collect();
    format!("doorgrade-{name};most={max_hops}")
}

/// A parsed header.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Hops<'a> {
    /// The members that the fill has passed through, in order.
    pub names: Vec<&'a str>,
    /// How many members may forward the fill: the least `most` of any entry.
    pub max: Option<usize>,
}

/// Parses the values of the header.
pub fn parse<'a>(values: impl IntoIterator<Item = &'a str>) -> Result<Hops<'a>, LoopError> {
    let (mut hops, mut bytes) = (Hops::default(), 0);
    for value in values {
        bytes += value.len();
        if bytes > MAX_HEADER_BYTES {
            return Err(LoopError::Malformed("longer than 4096 bytes"));
        }
        for entry in split(value, b',')? {
            let mut parts = split(entry, b';')?.into_iter();
            let id = parts.next().unwrap_or("").trim_matches([' ', '\t']);
            if id.is_empty() {
                // A list may have empty elements (RFC 9110, 5.6.1).
                if parts.next().is_some() {
                    return Err(LoopError::Malformed("parameters without a name"));
                }
                continue;
            }
            let allowed = |b: u8| b.is_ascii_alphanumeric() || b"-._~!$&'()*+=:[]%#^`|".contains(&b);
            if !id.bytes().all(allowed) {
                return Err(LoopError::Malformed("a name with a character that no name has"));
            }
            if hops.names.len() == MAX_ENTRIES {
                return Err(LoopError::Malformed("more than 64 names"));
            }
            hops.names.push(id);
            for parameter in parts {
                let value = parameter.trim_matches([' ', '\t']).strip_prefix("most=");
                if let Some(max) = value.and_then(|v| v.parse::<usize>().ok()) {
                    hops.max = Some(hops.max.map_or(max, |least| least.min(max)));
                }
            }
        }
    }
    Ok(hops)
}

/// Splits at a delimiter outside quoted strings.
fn split(text: &str, delimiter: u8) -> Result<Vec<&str>, LoopError> {
    let (mut pieces, mut start, mut quoted, mut escaped) = (Vec::new(), 0, false, false);
    for (index, byte) in text.bytes().enumerate() {
        match byte {
            _ if escaped => escaped = false,
            b'\\' if quoted => escaped = true,
            b'"' => quoted = !quoted,
            b if b == delimiter && !quoted => {
                pieces.push(&text[start..index]);
                start = index + 1;
            }
            b if b < 0x20 && b != b'\t' || b == 0x7f => {
                return Err(LoopError::Malformed("a control character"));
            }
            _ => {}
        }
    }
    if quoted {
        return Err(LoopError::Malformed("a quotation without an end"));
    }
    pieces.push(&text[start..]);
    Ok(pieces)
}

/// The header with which the member `own` forwards a fill that it received with `values`, or why it must not. The
/// entries received are passed on unchanged.
pub fn forward_header<'a>(
    values: impl IntoIterator<Item = &'a str> + Clone,
    own: &str,
) -> Result<String, LoopError> {
    let hops = parse(values.clone())?;
    let names = &hops.names;
    if let Some(first) = names.iter().position(|&name| name == own) {
        let cycle = names[first..].iter().chain([&own]).map(|&n| n.into()).collect();
        return Err(LoopError::Cycle(cycle));
    }
    // The first entry is the front that started the fill: it does not count as forwarding it.
    if let Some(max) = hops.max.filter(|&max| names.len() > max) {
        return Err(LoopError::TooDeep { hops: names.len(), max });
    }
    let mut header = String::new();
    for value in values.into_iter().map(str::trim).filter(|v| !v.is_empty()) {
        header.push_str(value);
        header.push_str(", ");
    }
    header.push_str(own);
    Ok(header)
}
