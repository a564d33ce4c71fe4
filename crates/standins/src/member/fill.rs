//! Fills and background refreshes: the choice of a source, the connections to it, and the result.

use std::io::{self, BufReader};
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;
use std::sync::atomic::Ordering::SeqCst;
use std::time::Duration;

use doorgrade::hash;
use doorgrade_hierarchy::cdn_loop::{self, LoopError};
use doorgrade_hierarchy::homes::{Home, home_of};

use super::Inner;
use super::copy_store::StoredCopy;
use crate::wire::{self, Head};
use crate::{lock, unix_ms};

/// The result of a lookup or a fill. The letter is sent as the response's `Detail`: `h` for a hit, `f` for a fill, `o`
/// for an object or a fill from the archive, `r` if the source has failed the fill, `b` if it could not be reached.
pub enum LookupResult {
    Copy(StoredCopy, &'static str),
    /// No copy is stored, and there is no source to fill from, or the request does not permit a fill.
    NotCached,
    Failed(&'static str),
    /// The fill was rejected as a forwarding loop: the members of the cycle.
    Loop(String),
}

impl Inner {
    /// Starts a refresh of a copy in the background, which no client waits for. As the protocol specifies, a copy is
    /// refreshed only in the last fifth of its max age, and once at a time. The new copy must not be in its own last
    /// fifth either.
    pub fn refresh(self: &Arc<Self>, head: &Head, max_age_ms: u64, made_at_ms: u64) -> bool {
        let due = unix_ms() >= made_at_ms + max_age_ms - max_age_ms / 5;
        if !due || !lock(&self.refreshing).insert(head.path.clone()) {
            return false;
        }
        self.counts.refreshes.fetch_add(1, SeqCst);
        let (inner, mut head) = (self.clone(), head.clone());
        let limit = head.number("no-older-than");
        let limit =
            if limit == 0 { max_age_ms - max_age_ms / 5 } else { limit.min(max_age_ms - max_age_ms / 5) };
        head.fields.insert("no-older-than".into(), limit.to_string());
        std::thread::spawn(move || {
            inner.fill(&head);
            lock(&inner.refreshing).remove(&head.path);
        });
        true
    }

    /// The member that a miss is filled from.
    fn source(&self, head: &Head) -> Option<String> {
        if let Some(named) = head.field("miss-to") {
            return Some(named.to_owned());
        }
        let mut sources = lock(&self.fill_sources).clone();
        sources.retain(|s| lock(&self.directory).contains_key(s));
        let key = hash::text(&head.path);
        let homes: Vec<Home> = sources.iter().map(|s| Home::named(s, 1.0)).collect();
        let chosen = home_of(&homes, key)?.key;
        sources.into_iter().find(|s| hash::text(s) == chosen)
    }

    /// Fetches a copy from the source and stores it.
    pub fn fill(&self, head: &Head) -> LookupResult {
        let Some(source) = self.source(head) else { return LookupResult::NotCached };
        let via = match cdn_loop::forward_header(head.field("cdn-loop"), &self.config.id) {
            Ok(via) => via,
            Err(error) => {
                self.counts.loops_rejected.fetch_add(1, SeqCst);
                return LookupResult::Loop(match error {
                    LoopError::Cycle(cycle) => cycle.join(", "),
                    other => other.to_string(),
                });
            }
        };
        let Some(address) = lock(&self.directory).get(&source).copied() else {
            return LookupResult::Failed("b");
        };
        match self.fetch(address, head, &via) {
            Ok((response, bytes)) => match response.status {
                200 => {
                    let copy = StoredCopy { bytes: Arc::new(bytes), made_at_ms: response.number("made-at") };
                    self.counts.fills.fetch_add(1, SeqCst);
                    lock(&self.store).put(&head.path, copy.clone(), self.config.max_copies);
                    let from_archive = response.field("detail") == Some("o");
                    LookupResult::Copy(copy, if from_archive { "o" } else { "f" })
                }
                404 => LookupResult::NotCached,
                508 => LookupResult::Loop(response.field("ring").unwrap_or("").to_owned()),
                _ => LookupResult::Failed("r"),
            },
            Err(_) => LookupResult::Failed("b"),
        }
    }

    /// Sends the request over an idle connection, or over a new one if there is none or it has been closed.
    fn fetch(&self, address: SocketAddr, head: &Head, via: &str) -> io::Result<(Head, Vec<u8>)> {
        let exchange = |stream: &TcpStream| -> io::Result<(Head, Vec<u8>)> {
            stream.set_read_timeout(Some(Duration::from_millis(head.number("call-ms").max(100))))?;
            let max_age = head.field("no-older-than").unwrap_or("");
            let call_id = head.field("call-id").unwrap_or("");
            let timeout_ms = head.field("call-ms").unwrap_or("");
            let only_if_cached = if head.has_handling("local") { "only-if-cached" } else { "" };
            let fields = [
                ("Host", "cache"),
                ("Call-Id", call_id),
                ("Call-Ms", timeout_ms),
                ("No-Older-Than", max_age),
                ("Cache-Control", only_if_cached),
                ("CDN-Loop", via),
            ];
            wire::write(stream, &format!("GET {} HTTP/1.1", head.path), &fields, b"")?;
            let mut reader = BufReader::new(stream.try_clone()?);
            wire::read(&mut reader)?.ok_or_else(|| io::ErrorKind::UnexpectedEof.into())
        };
        let idle = lock(&self.idle_connections).get_mut(&address).and_then(Vec::pop);
        if let Some(stream) = idle
            && let Ok(response) = exchange(&stream)
        {
            lock(&self.idle_connections).entry(address).or_default().push(stream);
            return Ok(response);
        }
        let stream = TcpStream::connect_timeout(&address, Duration::from_millis(400))?;
        stream.set_nodelay(true)?;
        let response = exchange(&stream)?;
        if !self.dead.load(SeqCst) {
            lock(&self.idle_connections).entry(address).or_default().push(stream);
        }
        Ok(response)
    }
}
