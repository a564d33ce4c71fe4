//! Fills and renewals: from whom, over which connection, and what comes of them.

use std::io::{self, BufReader};
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;
use std::sync::atomic::Ordering::SeqCst;
use std::time::Duration;

use doorgrade::hash;
use doorgrade_hierarchy::cdn_loop::{self, LoopError};
use doorgrade_hierarchy::homes::{Home, home_of};

use super::Inner;
use super::shelf::Copy;
use crate::wire::{self, Head};
use crate::{lock, unix_ms};

/// What came of a fill, or of a look at what is held. The text is the answer's `Detail`.
pub enum Had {
    Copy(Copy, &'static str),
    /// Nothing is held, or nobody is there to fill from.
    Lacks,
    Failed(&'static str),
    /// The fill has come round: through whom.
    Cut(String),
}

impl Inner {
    /// Fetches a copy anew behind an answer, for which nobody waits: only in the last fifth of its fresh time, as the
    /// protocol's page has it, and one at a time. What comes is not to be in its own last fifth.
    pub fn renew(self: &Arc<Self>, head: &Head, fresh: u64, made_at: u64) -> bool {
        let due = unix_ms() >= made_at + fresh - fresh / 5;
        if !due || !lock(&self.renewing).insert(head.path.clone()) {
            return false;
        }
        self.counts.renewed.fetch_add(1, SeqCst);
        let (inner, mut head) = (self.clone(), head.clone());
        let most = head.number("no-older-than");
        let most = if most == 0 { fresh - fresh / 5 } else { most.min(fresh - fresh / 5) };
        head.fields.insert("no-older-than".into(), most.to_string());
        std::thread::spawn(move || {
            inner.fill(&head);
            lock(&inner.renewing).remove(&head.path);
        });
        true
    }

    /// From whom a miss is filled.
    fn source(&self, head: &Head) -> Option<String> {
        if let Some(named) = head.field("miss-to") {
            return Some(named.to_owned());
        }
        let mut sources = lock(&self.fills_from).clone();
        sources.retain(|s| lock(&self.directory).contains_key(s));
        let key = hash::text(&head.path);
        let homes: Vec<Home> = sources.iter().map(|s| Home::named(s, 1.0)).collect();
        let chosen = home_of(&homes, key)?.key;
        sources.into_iter().find(|s| hash::text(s) == chosen)
    }

    /// Asks the source and keeps what it gives.
    pub fn fill(&self, head: &Head) -> Had {
        let Some(source) = self.source(head) else { return Had::Lacks };
        let via = match cdn_loop::forward_header(head.field("cdn-loop"), &self.spec.id) {
            Ok(via) => via,
            Err(cut) => {
                self.counts.rings.fetch_add(1, SeqCst);
                return Had::Cut(match cut {
                    LoopError::Cycle(ring) => ring.join(", "),
                    other => other.to_string(),
                });
            }
        };
        let Some(at) = lock(&self.directory).get(&source).copied() else { return Had::Failed("b") };
        match self.ask(at, head, &via) {
            Ok((answer, bytes)) => match answer.status {
                200 => {
                    let copy = Copy { bytes: Arc::new(bytes), made_at: answer.number("made-at") };
                    self.counts.fills.fetch_add(1, SeqCst);
                    lock(&self.shelf).put(&head.path, copy.clone(), self.spec.keeps);
                    let from_archive = answer.field("detail") == Some("o");
                    Had::Copy(copy, if from_archive { "o" } else { "f" })
                }
                404 => Had::Lacks,
                508 => Had::Cut(answer.field("ring").unwrap_or("").to_owned()),
                _ => Had::Failed("r"),
            },
            Err(_) => Had::Failed("b"),
        }
    }

    /// Over a kept connection, or a new one where there is none or it has ended.
    fn ask(&self, at: SocketAddr, head: &Head, via: &str) -> io::Result<(Head, Vec<u8>)> {
        let once = |stream: &TcpStream| -> io::Result<(Head, Vec<u8>)> {
            stream.set_read_timeout(Some(Duration::from_millis(head.number("call-ms").max(100))))?;
            let age = head.field("no-older-than").unwrap_or("");
            let call = head.field("call-id").unwrap_or("");
            let wait = head.field("call-ms").unwrap_or("");
            let only = if head.handling("local") { "only-if-cached" } else { "" };
            let fields = [
                ("Host", "cache"),
                ("Call-Id", call),
                ("Call-Ms", wait),
                ("No-Older-Than", age),
                ("Cache-Control", only),
                ("CDN-Loop", via),
            ];
            wire::write(stream, &format!("GET {} HTTP/1.1", head.path), &fields, b"")?;
            let mut reader = BufReader::new(stream.try_clone()?);
            wire::read(&mut reader)?.ok_or_else(|| io::ErrorKind::UnexpectedEof.into())
        };
        let kept = lock(&self.lines).get_mut(&at).and_then(Vec::pop);
        if let Some(stream) = kept
            && let Ok(answer) = once(&stream)
        {
            lock(&self.lines).entry(at).or_default().push(stream);
            return Ok(answer);
        }
        let stream = TcpStream::connect_timeout(&at, Duration::from_millis(400))?;
        stream.set_nodelay(true)?;
        let answer = once(&stream)?;
        if !self.dead.load(SeqCst) {
            lock(&self.lines).entry(at).or_default().push(stream);
        }
        Ok(answer)
    }
}
