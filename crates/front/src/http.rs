//! The HTTP/1.1 that caches use: encodes requests and parses response heads. No I/O.

use std::io::Write;

use doorgrade::CacheStatus;

/// The longest head that is accepted.
pub const MAX_HEAD: usize = 8 * 1024;
/// By the protocol, the most bytes of an object.
pub const MAX_BODY: usize = 240_000;

/// A request to a cache.
#[derive(Clone, Copy, Debug)]
pub struct CacheRequest<'a> {
    pub offering: &'a str,
    pub key: &'a str,
    pub part: u32,
    pub id: &'a str,
    pub wait_ms: u64,
    pub source: Option<&'a str>,
    pub rank: u8,
    pub max_age_ms: u64,
    pub join_fill: bool,
    pub only_if_cached: bool,
    pub refresh: bool,
    pub client_tag: Option<&'a str>,
    /// Identifies repeats of the access to caches.
    pub repeat_id: Option<&'a str>,
    pub body: &'a [u8],
    /// The members that the fill has come through (RFC 8586).
    pub cdn_loop: Option<&'a str>,
}

pub fn encode_request(request: &CacheRequest<'_>) -> Vec<u8> {
    let mut out = Vec::with_capacity(384 + request.body.len());
    let CacheRequest { offering, key, part, id, wait_ms, .. } = request;
    let mut put = |text: std::fmt::Arguments<'_>| {
        let written = out.write_fmt(text);
        debug_assert!(written.is_ok(), "a vector takes every write");
    };
    put(format_args!("GET /data/{offering}/{key}/{part} HTTP/1.1\r\nHost: cache\r\n"));
    put(format_args!("Call-Id: {id}\r\nCall-Ms: {wait_ms}\r\n"));
    if let Some(repeat_id) = request.repeat_id {
        put(format_args!("Call-Once: {repeat_id}\r\n"));
    }
    if let Some(source) = request.source {
        put(format_args!("Miss-To: {source}\r\n"));
    }
    if request.rank > 0 {
        put(format_args!("Store-As: {}\r\n", request.rank));
    }
    if request.max_age_ms > 0 {
        put(format_args!("No-Older-Than: {}\r\n", request.max_age_ms));
    }
    let words =
        [(request.join_fill, "merge"), (request.only_if_cached, "local"), (request.refresh, "revalidate")];
    let mut before = "Handling: ";
    for (_, word) in words.into_iter().filter(|w| w.0) {
        put(format_args!("{before}{word}"));
        before = "+";
    }
    if before == "+" {
        put(format_args!("\r\n"));
    }
    if let Some(tag) = request.client_tag {
        put(format_args!("Have: {tag}\r\n"));
    }
    if let Some(cdn_loop) = request.cdn_loop {
        put(format_args!("CDN-Loop: {cdn_loop}\r\n"));
    }
    if !request.body.is_empty() {
        put(format_args!("Content-Length: {}\r\n", request.body.len()));
    }
    out.extend_from_slice(b"\r\n");
    out.extend_from_slice(request.body);
    out
}

#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Head {
    pub status: u16,
    pub length: usize,
    pub close: bool,
    /// The body goes on until the connection ends, and is not needed.
    pub open_ended: bool,
    pub not_begun: bool,
    pub tag: Option<String>,
    pub origin_sent_ms: Option<u64>,
    pub cache_status: CacheStatus,
    /// The members of the cycle in which a fill has returned to its start.
    pub cycle: Option<String>,
}

#[derive(Debug, PartialEq, Eq)]
pub struct InvalidResponse(pub &'static str);

/// Whether a text can be put into a header as it is.
pub fn is_plain_text(text: &str) -> bool {
    (1..=128).contains(&text.len()) && text.bytes().all(|b| b.is_ascii_graphic())
}

fn cache_status(word: &str) -> CacheStatus {
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

/// Parses the head at the start of the bytes. Returns it with its length; none while it is incomplete.
pub fn parse_head(bytes: &[u8]) -> Result<Option<(Head, usize)>, InvalidResponse> {
    let mut headers = [httparse::EMPTY_HEADER; 48];
    let mut parsed = httparse::Response::new(&mut headers);
    let size = match parsed.parse(bytes) {
        Ok(httparse::Status::Complete(size)) if size <= MAX_HEAD => size,
        Ok(httparse::Status::Partial) if bytes.len() < MAX_HEAD => return Ok(None),
        Ok(_) => return Err(InvalidResponse("the head is too long")),
        Err(_) => return Err(InvalidResponse("the head can't be parsed")),
    };
    let status = parsed.code.unwrap_or(0);
    let mut head = Head {
        status,
        length: 0,
        close: parsed.version == Some(0),
        open_ended: false,
        not_begun: false,
        tag: None,
        origin_sent_ms: None,
        cache_status: CacheStatus::Untold,
        cycle: None,
    };
    let mut length = None;
    for header in parsed.headers.iter() {
        let Ok(value) = std::str::from_utf8(header.value) else {
            return Err(InvalidResponse("a header is not UTF-8"));
        };
        let value = value.trim();
        let is = |name: &str| header.name.eq_ignore_ascii_case(name);
        if is("Content-Length") {
            let parsed_length = Some(value).filter(|v| v.bytes().all(|b| b.is_ascii_digit()));
            let parsed_length =
                parsed_length.and_then(|v| v.parse::<usize>().ok()).filter(|&n| n <= MAX_BODY);
            match (parsed_length, length) {
                (None, _) => return Err(InvalidResponse("the length is invalid")),
                (Some(parsed_length), Some(known)) if parsed_length != known => {
                    return Err(InvalidResponse("the head has two lengths"));
                }
                (parsed_length, _) => length = parsed_length,
            }
        } else if is("Transfer-Encoding") {
            return Err(InvalidResponse("the length is not given in advance"));
        } else if is("Connection") {
            head.close |= value.split(',').any(|word| word.trim().eq_ignore_ascii_case("close"));
        } else if is("Not-Begun") {
            head.not_begun = value == "1";
        } else if is("Tag") {
            head.tag = Some(value.to_owned()).filter(|t| is_plain_text(t));
        } else if is("Made-At") {
            head.origin_sent_ms = value.parse().ok();
        } else if is("Detail") {
            head.cache_status = cache_status(value);
        } else if is("Ring") {
            let text = |v: &&str| v.len() <= 1024 && v.bytes().all(|b| b == b' ' || b.is_ascii_graphic());
            head.cycle = Some(value).filter(text).map(str::to_owned);
        }
    }
    head.length = match (status, length) {
        (100..200 | 204 | 304, _) => 0,
        (_, Some(length)) => length,
        // The head of a refusal is all that matters.
        (300.., None) => {
            (head.close, head.open_ended) = (true, true);
            0
        }
        (_, None) => return Err(InvalidResponse("the length is missing")),
    };
    Ok(Some((head, size)))
}
