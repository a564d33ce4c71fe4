//! The HTTP/1.1 that caches speak: a request's bytes, and what an answer's head says. No I/O.

use std::io::Write;

use doorgrade::CacheStatus;

/// Longer heads are not read.
pub const MOST_HEAD: usize = 8 * 1024;
/// Protocol fact: objects hold at most this many bytes.
pub const MOST_BODY: usize = 240_000;

/// What a cache is asked.
#[derive(Clone, Copy, Debug)]
pub struct Ask<'a> {
    pub offering: &'a str,
    pub key: &'a str,
    pub part: u32,
    pub id: &'a str,
    pub wait_ms: u64,
    pub source: Option<&'a str>,
    pub rank: u8,
    pub age_ms: u64,
    pub join: bool,
    pub kept_only: bool,
    pub renew: bool,
    pub have: Option<&'a str>,
    /// By which caches know a repeat.
    pub mark: Option<&'a str>,
    pub body: &'a [u8],
    /// What the fill has come through (RFC 8586).
    pub via: Option<&'a str>,
}

pub fn request(ask: &Ask<'_>) -> Vec<u8> {
    let mut out = Vec::with_capacity(384 + ask.body.len());
    let Ask { offering, key, part, id, wait_ms, .. } = ask;
    let mut put = |text: std::fmt::Arguments<'_>| {
        let written = out.write_fmt(text);
        debug_assert!(written.is_ok(), "a vector takes every write");
    };
    put(format_args!("GET /data/{offering}/{key}/{part} HTTP/1.1\r\nHost: cache\r\n"));
    put(format_args!("Call-Id: {id}\r\nCall-Ms: {wait_ms}\r\n"));
    if let Some(mark) = ask.mark {
        put(format_args!("Call-Once: {mark}\r\n"));
    }
    if let Some(source) = ask.source {
        put(format_args!("Miss-To: {source}\r\n"));
    }
    if ask.rank > 0 {
        put(format_args!("Store-As: {}\r\n", ask.rank));
    }
    if ask.age_ms > 0 {
        put(format_args!("No-Older-Than: {}\r\n", ask.age_ms));
    }
    let words = [(ask.join, "merge"), (ask.kept_only, "local"), (ask.renew, "revalidate")];
    let mut before = "Handling: ";
    for (_, word) in words.into_iter().filter(|w| w.0) {
        put(format_args!("{before}{word}"));
        before = "+";
    }
    if before == "+" {
        put(format_args!("\r\n"));
    }
    if let Some(tag) = ask.have {
        put(format_args!("Have: {tag}\r\n"));
    }
    if let Some(via) = ask.via {
        put(format_args!("CDN-Loop: {via}\r\n"));
    }
    if !ask.body.is_empty() {
        put(format_args!("Content-Length: {}\r\n", ask.body.len()));
    }
    out.extend_from_slice(b"\r\n");
    out.extend_from_slice(ask.body);
    out
}

#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Head {
    pub status: u16,
    pub length: usize,
    pub closes: bool,
    /// What follows goes on until the connection ends, and says nothing more.
    pub open_ended: bool,
    pub not_begun: bool,
    pub tag: Option<String>,
    pub made_at: Option<u64>,
    pub note: CacheStatus,
    /// The members of a ring that a fill has come round in.
    pub ring: Option<String>,
}

#[derive(Debug, PartialEq, Eq)]
pub struct Broken(pub &'static str);

/// A word that can stand in a header of ours as it is.
pub fn plain(text: &str) -> bool {
    (1..=128).contains(&text.len()) && text.bytes().all(|b| b.is_ascii_graphic())
}

fn note(word: &str) -> CacheStatus {
    match word {
        "h" => CacheStatus::Hit,
        "f" => CacheStatus::Filled,
        "o" => CacheStatus::FilledByOrigin,
        "j" => CacheStatus::Joined,
        "s" => CacheStatus::Stale,
        "r" => CacheStatus::SourceRefused,
        "b" => CacheStatus::SourceLost,
        "l" => CacheStatus::SourceLacks,
        "n" => CacheStatus::NoFillPlace,
        "x" => CacheStatus::OriginFailed,
        _ => CacheStatus::Untold,
    }
}

/// The head at the start of the bytes and its length; none while it is not whole.
pub fn head(bytes: &[u8]) -> Result<Option<(Head, usize)>, Broken> {
    let mut headers = [httparse::EMPTY_HEADER; 48];
    let mut parsed = httparse::Response::new(&mut headers);
    let size = match parsed.parse(bytes) {
        Ok(httparse::Status::Complete(size)) if size <= MOST_HEAD => size,
        Ok(httparse::Status::Partial) if bytes.len() < MOST_HEAD => return Ok(None),
        Ok(_) => return Err(Broken("its head is too long")),
        Err(_) => return Err(Broken("its head can't be read")),
    };
    let status = parsed.code.unwrap_or(0);
    let mut head = Head {
        status,
        length: 0,
        closes: parsed.version == Some(0),
        open_ended: false,
        not_begun: false,
        tag: None,
        made_at: None,
        note: CacheStatus::Untold,
        ring: None,
    };
    let mut length = None;
    for header in parsed.headers.iter() {
        let Ok(value) = std::str::from_utf8(header.value) else { return Err(Broken("a field is no text")) };
        let value = value.trim();
        let is = |name: &str| header.name.eq_ignore_ascii_case(name);
        if is("Content-Length") {
            let told = Some(value).filter(|v| v.bytes().all(|b| b.is_ascii_digit()));
            let told = told.and_then(|v| v.parse::<usize>().ok()).filter(|&n| n <= MOST_BODY);
            match (told, length) {
                (None, _) => return Err(Broken("its length can't be used")),
                (Some(told), Some(known)) if told != known => return Err(Broken("it has two lengths")),
                (told, _) => length = told,
            }
        } else if is("Transfer-Encoding") {
            return Err(Broken("its length is not told ahead"));
        } else if is("Connection") {
            head.closes |= value.split(',').any(|word| word.trim().eq_ignore_ascii_case("close"));
        } else if is("Not-Begun") {
            head.not_begun = value == "1";
        } else if is("Tag") {
            head.tag = Some(value.to_owned()).filter(|t| plain(t));
        } else if is("Made-At") {
            head.made_at = value.parse().ok();
        } else if is("Detail") {
            head.note = note(value);
        } else if is("Ring") {
            let text = |v: &&str| v.len() <= 1024 && v.bytes().all(|b| b == b' ' || b.is_ascii_graphic());
            head.ring = Some(value).filter(text).map(str::to_owned);
        }
    }
    head.length = match (status, length) {
        (100..200 | 204 | 304, _) => 0,
        (_, Some(length)) => length,
        // A refusal says all in its head.
        (300.., None) => {
            (head.closes, head.open_ended) = (true, true);
            0
        }
        (_, None) => return Err(Broken("its length is not told")),
    };
    Ok(Some((head, size)))
}
