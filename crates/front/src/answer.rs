//! Responses on their way to a client: complete CGI responses, split into records as the buffer has room. No
//! I/O.

use std::collections::VecDeque;

use crate::fastcgi;
use crate::intake::MAX_OPEN_REQUESTS;
use crate::ring_buffer::RingBuffer;

/// The smallest buffer for writing, in bytes: any record of the front fits into it.
pub const MIN_BUFFER: usize = 2 * 1024;
/// Limit of the content of one record, in bytes, so that responses on one connection alternate.
const MAX_RECORD_CONTENT: usize = 16 * 1024;

/// Bytes of record headers and of the end of a response, for a response of few records.
const RESPONSE_OVERHEAD: usize = 128;

struct QueuedResponse {
    id: u16,
    head: Vec<u8>,
    body: Vec<u8>,
    written: usize,
    /// Answers a duplicate under an id whose first request is still open.
    duplicate: bool,
}

/// The responses that are still to be written to a client.
#[derive(Default)]
pub struct Outbox {
    /// Responses to management records.
    records: VecDeque<Vec<u8>>,
    responses: VecDeque<QueuedResponse>,
    /// Bytes of bodies held.
    pub held_bytes: usize,
}

/// The content of a response.
pub struct Reply<'a> {
    pub status: u16,
    pub tag: Option<&'a str>,
    pub not_modified: bool,
    pub body: Vec<u8>,
}

impl Reply<'_> {
    pub fn empty(status: u16) -> Self {
        Reply { status, tag: None, not_modified: false, body: Vec::new() }
    }
}

fn reason_phrase(status: u16) -> &'static str {
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
        self.records.is_empty() && self.responses.is_empty()
    }

    /// The size of a buffer for the bytes that wait, in bytes: what they need, within `max`.
    pub fn buffer_size(&self, max: usize) -> usize {
        let records: usize = self.records.iter().map(Vec::len).sum();
        let responses: usize =
            self.responses.iter().map(|r| r.head.len() + r.body.len() - r.written + RESPONSE_OVERHEAD).sum();
        (records + responses).min(max).max(MIN_BUFFER)
    }

    /// More responses wait than the open requests of a connection can explain.
    pub fn is_overfull(&self) -> bool {
        self.records.len() + self.responses.len() > 2 * MAX_OPEN_REQUESTS
    }

    pub fn push_record(&mut self, bytes: Vec<u8>) {
        self.records.push_back(bytes);
    }

    pub fn push(&mut self, id: u16, reply: Reply<'_>, duplicate: bool) {
        let mut head = format!("Status: {} {}\r\n", reply.status, reason_phrase(reply.status));
        if let Some(tag) = reply.tag {
            head.push_str(&format!("X-Etag: {tag}\r\n"));
        }
        if reply.not_modified {
            head.push_str("X-Notmod: 1\r\n");
        }
        head.push_str(&format!("Content-Length: {}\r\n\r\n", reply.body.len()));
        self.held_bytes += reply.body.len();
        self.responses.push_back(QueuedResponse {
            id,
            head: head.into(),
            body: reply.body,
            written: 0,
            duplicate,
        });
    }

    /// Drops the rest of a response whose request the client has aborted.
    pub fn remove(&mut self, id: u16) {
        if let Some(index) = self.responses.iter().position(|a| a.id == id && !a.duplicate)
            && let Some(response) = self.responses.remove(index)
        {
            self.held_bytes -= response.body.len();
        }
    }

    /// Moves what fits into the buffer, and calls `done` for each response that has been moved completely.
    pub fn fill(&mut self, buffer: &mut RingBuffer, mut done: impl FnMut(u16)) {
        while let Some(bytes) = self.records.front() {
            if buffer.free() < bytes.len() {
                return;
            }
            buffer.put(bytes);
            self.records.pop_front();
        }
        // A response ends with an empty record and an end-of-request record.
        while buffer.free() >= 2 * fastcgi::HEADER + 24
            && let Some(mut response) = self.responses.pop_front()
        {
            let total = response.head.len() + response.body.len();
            let count =
                (total - response.written).min(MAX_RECORD_CONTENT).min(buffer.free() - fastcgi::HEADER);
            if count > 0 {
                buffer.put(&fastcgi::header(fastcgi::STDOUT, response.id, count));
            }
            let from_head = response.head.get(response.written..).unwrap_or_default();
            let from_head = &from_head[..from_head.len().min(count)];
            buffer.put(from_head);
            let from = (response.written + from_head.len()).saturating_sub(response.head.len());
            buffer.put(&response.body[from..from + count - from_head.len()]);
            response.written += count;
            if response.written < total || buffer.free() < fastcgi::HEADER + 16 {
                self.responses.push_back(response);
                continue;
            }
            buffer.put(&fastcgi::header(fastcgi::STDOUT, response.id, 0));
            buffer.put(&fastcgi::end_request(response.id, fastcgi::COMPLETE));
            self.held_bytes -= response.body.len();
            if !response.duplicate {
                done(response.id);
            }
        }
    }
}
