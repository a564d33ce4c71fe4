//! Answers on their way to a client: whole CGI responses, cut into records as the ring has room. No I/O.

use std::collections::VecDeque;

use crate::fastcgi;
use crate::intake::MOST_OPEN;
use crate::ring::Ring;

/// Content of one record, so that answers on one connection take turns.
const TURN: usize = 16 * 1024;

struct Answer {
    id: u16,
    head: Vec<u8>,
    body: Vec<u8>,
    written: usize,
    /// Not of the request that is open under this id.
    extra: bool,
}

/// What a client's connection is still owed.
#[derive(Default)]
pub struct Outbox {
    /// Replies to records of management.
    plain: VecDeque<Vec<u8>>,
    answers: VecDeque<Answer>,
    /// Bytes of bodies held.
    pub held: usize,
}

/// What an answer says.
pub struct Reply<'a> {
    pub status: u16,
    pub tag: Option<&'a str>,
    pub same: bool,
    pub body: Vec<u8>,
}

impl Reply<'_> {
    pub fn bare(status: u16) -> Self {
        Reply { status, tag: None, same: false, body: Vec::new() }
    }
}

fn reason(status: u16) -> &'static str {
    match status {
        200 => "OK",
        400 => "Bad Request",
        404 => "Not Found",
        413 => "Content Too Large",
        503 => "Service Unavailable",
        _ => "Error",
    }
}

impl Outbox {
    pub fn is_empty(&self) -> bool {
        self.plain.is_empty() && self.answers.is_empty()
    }

    /// More waits than the requests a connection may have open give reason for.
    pub fn crowded(&self) -> bool {
        self.plain.len() + self.answers.len() > 2 * MOST_OPEN
    }

    pub fn put_plain(&mut self, bytes: Vec<u8>) {
        self.plain.push_back(bytes);
    }

    pub fn put(&mut self, id: u16, reply: Reply<'_>, extra: bool) {
        let mut head = format!("Status: {} {}\r\n", reply.status, reason(reply.status));
        if let Some(tag) = reply.tag {
            head.push_str(&format!("X-Etag: {tag}\r\n"));
        }
        if reply.same {
            head.push_str("X-Notmod: 1\r\n");
        }
        head.push_str(&format!("Content-Length: {}\r\n\r\n", reply.body.len()));
        self.held += reply.body.len();
        self.answers.push_back(Answer { id, head: head.into(), body: reply.body, written: 0, extra });
    }

    /// Drops an answer that its client has given up, or what is left of it.
    pub fn forget(&mut self, id: u16) {
        if let Some(place) = self.answers.iter().position(|a| a.id == id && !a.extra)
            && let Some(answer) = self.answers.remove(place)
        {
            self.held -= answer.body.len();
        }
    }

    /// Moves what fits into the ring; each answer that is whole in it is told to `done`.
    pub fn fill(&mut self, ring: &mut Ring, mut done: impl FnMut(u16)) {
        while let Some(bytes) = self.plain.front() {
            if ring.free() < bytes.len() {
                return;
            }
            ring.put(bytes);
            self.plain.pop_front();
        }
        // The end of an answer takes an empty record and the record that ends it.
        while ring.free() >= 2 * fastcgi::HEADER + 24
            && let Some(mut answer) = self.answers.pop_front()
        {
            let total = answer.head.len() + answer.body.len();
            let count = (total - answer.written).min(TURN).min(ring.free() - fastcgi::HEADER);
            if count > 0 {
                ring.put(&fastcgi::header(fastcgi::STDOUT, answer.id, count));
            }
            let from_head = answer.head.get(answer.written..).unwrap_or_default();
            let from_head = &from_head[..from_head.len().min(count)];
            ring.put(from_head);
            let from = (answer.written + from_head.len()).saturating_sub(answer.head.len());
            ring.put(&answer.body[from..from + count - from_head.len()]);
            answer.written += count;
            if answer.written < total || ring.free() < fastcgi::HEADER + 16 {
                self.answers.push_back(answer);
                continue;
            }
            ring.put(&fastcgi::header(fastcgi::STDOUT, answer.id, 0));
            ring.put(&fastcgi::end_request(answer.id, fastcgi::COMPLETE));
            self.held -= answer.body.len();
            if !answer.extra {
                done(answer.id);
            }
        }
    }
}
