//! Reads a client's connection: decodes its records into requests. No I/O.

use doorgrade::Ticks;
use rustc_hash::FxHashMap;

use crate::fastcgi::{self, Decoder};
use crate::http;
use crate::ring_buffer::RingBuffer;

/// By the protocol, the most open requests of a connection, and the longest body of a request in bytes.
pub const MAX_OPEN_REQUESTS: usize = 32;
pub const MAX_REQUEST_BODY: usize = 48_000;
/// The most bytes of all parameters of a request; web servers send a few hundred.
const MAX_PARAMS_BYTES: usize = 16 * 1024;
/// The most bytes that one request holds while it is being received.
pub const MAX_PARTIAL_BYTES: usize = MAX_PARAMS_BYTES + MAX_REQUEST_BODY;

/// A valid request.
#[derive(Clone, Debug, PartialEq)]
pub struct Request {
    pub offering: String,
    pub id: String,
    /// `id` as a number.
    pub numeric_id: u64,
    /// How long the client waits.
    pub wait: Ticks,
    pub key: String,
    pub object: u64,
    pub part: u32,
    pub group: u64,
    pub kb: f64,
    pub tag: Option<String>,
    /// Identifies repeats of the access to caches, also when the client repeats it under another id.
    pub repeat_id: Option<String>,
    pub body: Vec<u8>,
}

/// A message of a client, decoded from its records.
#[derive(Debug, PartialEq)]
pub enum ClientMessage {
    Request(u16, Box<Request>),
    /// A health check: whether the front is ready.
    HealthCheck(u16),
    /// An invalid request: its status, and the reason.
    Invalid(u16, u16, &'static str),
    /// A second request under the id of one that is still open.
    DuplicateId(u16),
    Abort(u16),
    /// A request that ends with this protocol status before it is read.
    EndRequest(u16, u8),
    /// The response to a management record.
    ManagementResponse(Vec<u8>),
}

#[derive(Debug, Default)]
struct PartialRequest {
    params: Vec<u8>,
    params_done: bool,
    body: Vec<u8>,
    /// There was no room for it: its parameters and body are discarded.
    dropped: bool,
}

impl PartialRequest {
    fn held_bytes(&self) -> usize {
        self.params.len() + self.body.len()
    }
}

/// The reading side of a client's connection.
#[derive(Debug, Default)]
pub struct Intake {
    decoder: Decoder,
    /// Open requests; none for those that have been received completely.
    open: FxHashMap<u16, Option<PartialRequest>>,
    /// Bytes of requests that are still being received.
    held_bytes: usize,
    /// The content so far of a record that can be decoded only when it is complete.
    record: Vec<u8>,
    /// The connection is closed once its open requests have been answered.
    pub close_when_done: bool,
    /// Further data is discarded: the rest of a request that is too long, or what follows an invalid record.
    pub discarding: bool,
}

impl Intake {
    /// Bytes of requests that are still being received.
    pub fn held_bytes(&self) -> usize {
        self.held_bytes
    }

    /// Takes a request out, and what it holds with it. Whether there was one.
    fn remove(&mut self, id: u16) -> bool {
        let removed = self.open.remove(&id);
        self.held_bytes -= removed.as_ref().and_then(Option::as_ref).map_or(0, PartialRequest::held_bytes);
        removed.is_some()
    }

    pub fn open(&self) -> usize {
        self.open.len()
    }

    /// Part of a request, or of a record, has arrived.
    pub fn has_partial(&self) -> bool {
        !self.discarding && (self.decoder.in_record() || self.open.values().any(Option::is_some))
    }

    /// Discards all further data: the connection is closed once the requests received completely have been
    /// answered.
    pub fn discard_rest(&mut self) {
        (self.close_when_done, self.discarding) = (true, true);
        self.open.retain(|_, partial| partial.is_none());
        self.held_bytes = 0;
        self.record.clear();
    }

    /// Ends the requests that have not arrived completely, and discards all further data. Returns their ids, each
    /// of which is owed a response.
    pub fn cut_off(&mut self) -> Vec<u16> {
        let partial = self.open.iter().filter(|(_, partial)| partial.is_some());
        let mut ids: Vec<_> = partial.map(|(&id, _)| id).collect();
        ids.sort_unstable();
        self.discard_rest();
        ids
    }

    /// The request has been answered, or needs no response.
    pub fn finish(&mut self, id: u16) {
        self.remove(id);
    }

    /// The next message, if it is complete; bodies may take this much more room.
    pub fn next(
        &mut self,
        buffer: &mut RingBuffer,
        room: usize,
    ) -> Result<Option<ClientMessage>, fastcgi::InvalidRecord> {
        let max = self.held_bytes() + room;
        while let Some(fragment) = self.decoder.next(buffer)? {
            let message = self.fragment(&fragment, buffer, max);
            buffer.consume(fragment.len);
            if let Some(message) = message? {
                return Ok(Some(message));
            }
        }
        Ok(None)
    }

    fn fragment(
        &mut self,
        fragment: &fastcgi::Fragment,
        buffer: &RingBuffer,
        max: usize,
    ) -> Result<Option<ClientMessage>, fastcgi::InvalidRecord> {
        let content = &buffer.front()[..fragment.len];
        match (fragment.kind, fragment.id) {
            (fastcgi::PARAMS | fastcgi::STDIN, id) if id > 0 => Ok(self.add_content(fragment, content, max)),
            (fastcgi::ABORT_REQUEST, id) if id > 0 && fragment.last => {
                Ok(self.remove(id).then_some(ClientMessage::Abort(id)))
            }
            (fastcgi::BEGIN_REQUEST, id) if id > 0 => {
                let complete = self.collect_record(fragment, content);
                complete.map_or(Ok(None), |bytes| self.begin(id, &bytes))
            }
            // Each management record gets a response, known or not.
            (kind, 0) => {
                let complete = self.collect_record(fragment, content);
                Ok(complete.map(|bytes| ClientMessage::ManagementResponse(management_response(kind, &bytes))))
            }
            _ => Ok(None),
        }
    }

    fn collect_record(&mut self, fragment: &fastcgi::Fragment, content: &[u8]) -> Option<Vec<u8>> {
        let room = MAX_PARAMS_BYTES.saturating_sub(self.record.len());
        self.record.extend_from_slice(&content[..content.len().min(room)]);
        fragment.last.then(|| std::mem::take(&mut self.record))
    }

    fn begin(&mut self, id: u16, bytes: &[u8]) -> Result<Option<ClientMessage>, fastcgi::InvalidRecord> {
        let &[high, low, flags, ..] = bytes else { return Err(fastcgi::InvalidRecord) };
        match self.open.get(&id) {
            Some(None) => return Ok(Some(ClientMessage::DuplicateId(id))),
            // Records of the two requests could not be distinguished.
            Some(Some(_)) => return Err(fastcgi::InvalidRecord),
            None => {}
        }
        if u16::from_be_bytes([high, low]) != fastcgi::RESPONDER {
            return Ok(Some(ClientMessage::EndRequest(id, fastcgi::UNKNOWN_ROLE)));
        }
        if self.open.len() >= MAX_OPEN_REQUESTS {
            return Ok(Some(ClientMessage::EndRequest(id, fastcgi::OVERLOADED)));
        }
        self.close_when_done |= flags & fastcgi::KEEP_CONN == 0;
        self.open.insert(id, Some(PartialRequest::default()));
        Ok(None)
    }

    fn add_content(
        &mut self,
        fragment: &fastcgi::Fragment,
        content: &[u8],
        max: usize,
    ) -> Option<ClientMessage> {
        let no_room = self.held_bytes() + content.len() > max;
        let slot = self.open.get_mut(&fragment.id)?;
        let partial = slot.as_mut()?;
        let params = fragment.kind == fastcgi::PARAMS;
        if !fragment.empty {
            let (to, max) = match params {
                true => (&mut partial.params, MAX_PARAMS_BYTES),
                false => (&mut partial.body, MAX_REQUEST_BODY),
            };
            if to.len() + content.len() > max {
                // Rejected at once, since the rest may be very long or never end.
                *slot = None;
                self.discard_rest();
                return Some(ClientMessage::Invalid(fragment.id, 413, "a request is too long"));
            } else if no_room {
                // Nothing was pushed, so the client may safely retry.
                partial.dropped = true;
            }
            if partial.dropped {
                self.held_bytes -= partial.held_bytes();
                (partial.params, partial.body) = (Vec::new(), Vec::new());
            } else {
                to.extend_from_slice(content);
                self.held_bytes += content.len();
            }
            return None;
        }
        if params {
            partial.params_done = true;
            return None;
        }
        if !partial.params_done {
            return None;
        }
        let complete = slot.take()?;
        self.held_bytes -= complete.held_bytes();
        Some(match complete.dropped {
            true => ClientMessage::Invalid(fragment.id, 503, "no room for a request"),
            false => request_from(fragment.id, &complete.params, complete.body),
        })
    }
}

fn management_response(kind: u8, bytes: &[u8]) -> Vec<u8> {
    if kind != fastcgi::GET_VALUES {
        let mut reply = fastcgi::header(fastcgi::UNKNOWN_TYPE, 0, 8).to_vec();
        reply.extend_from_slice(&[kind, 0, 0, 0, 0, 0, 0, 0]);
        return reply;
    }
    let (mut values, mut rest) = (Vec::new(), bytes);
    while let Some((name, _)) = fastcgi::next_pair(&mut rest) {
        match name {
            b"FCGI_MPXS_CONNS" => fastcgi::put_pair(&mut values, name, b"1"),
            b"FCGI_MAX_REQS" => {
                fastcgi::put_pair(&mut values, name, MAX_OPEN_REQUESTS.to_string().as_bytes());
            }
            _ => {}
        }
        // Enough for the three names of the specification, several times over.
        if values.len() > 512 {
            break;
        }
    }
    let mut reply = fastcgi::header(fastcgi::GET_VALUES_RESULT, 0, values.len()).to_vec();
    reply.append(&mut values);
    reply
}

fn request_from(id: u16, params: &[u8], body: Vec<u8>) -> ClientMessage {
    match parse_fields(params, body) {
        Ok(Some(request)) => ClientMessage::Request(id, Box::new(request)),
        Ok(None) => ClientMessage::HealthCheck(id),
        Err(reason) => ClientMessage::Invalid(id, 400, reason),
    }
}

fn hex(text: &str) -> Option<u64> {
    let complete = text.len() == 16 && text.bytes().all(|b| b.is_ascii_hexdigit());
    u64::from_str_radix(text, 16).ok().filter(|_| complete)
}

/// The fields of a request; none for a health check.
fn parse_fields(params: &[u8], body: Vec<u8>) -> Result<Option<Request>, &'static str> {
    let mut rest = params;
    let [mut path, mut id, mut wait, mut key] = [None; 4];
    let [mut part, mut group, mut kb, mut tag, mut repeat_id] = [None; 5];
    while !rest.is_empty() {
        let (name, value) = fastcgi::next_pair(&mut rest).ok_or("a request's parameters are truncated")?;
        let slot = match name {
            b"SCRIPT_NAME" => &mut path,
            b"HTTP_REQ_ID" => &mut id,
            b"HTTP_REQ_WAIT_MS" => &mut wait,
            b"HTTP_REQ_KEY" => &mut key,
            b"HTTP_X_SEG" => &mut part,
            b"HTTP_X_BUCKET" => &mut group,
            b"HTTP_REQ_KB" => &mut kb,
            b"HTTP_X_ETAG" => &mut tag,
            b"HTTP_REQ_TOKEN" => &mut repeat_id,
            _ => continue,
        };
        *slot = Some(std::str::from_utf8(value).map_err(|_| "a request's field is not UTF-8")?);
    }
    let path = path.ok_or("SCRIPT_NAME is missing")?;
    if path == "/check" {
        return Ok(None);
    }
    let offering = path.strip_prefix("/do/").ok_or("a request's path is unknown")?;
    let (id, numeric_id) = id.and_then(|id| Some((id, hex(id)?))).ok_or("Req-Id is missing or unusable")?;
    let key = key.ok_or("Req-Key is missing")?;
    let number = |text: Option<&str>| text.map_or(Some(0), |t| t.parse::<u64>().ok());
    let wait = wait.and_then(|w| w.parse::<f64>().ok()).filter(|w| (1.0..=3_600_000.0).contains(w));
    let kb = kb.map_or(Some(0.0), |kb| kb.parse::<f64>().ok()).filter(|kb| (0.0..1e9).contains(kb));
    // It is passed on to caches unchanged, or the request is rejected: without it caches would not recognise
    // a repeat.
    if repeat_id.is_some_and(|m| !http::is_plain_text(m)) {
        return Err("Req-Token is unusable");
    }
    Ok(Some(Request {
        offering: offering.into(),
        id: id.into(),
        numeric_id,
        wait: (wait.ok_or("Req-Wait-Ms is missing or unusable")? * 10.0) as Ticks,
        object: hex(key).ok_or("Req-Key is unusable")?,
        key: key.into(),
        part: number(part).and_then(|p| u32::try_from(p).ok()).ok_or("X-Seg is unusable")?,
        group: number(group).filter(|g| *g < 256).ok_or("X-Bucket is unusable")?,
        kb: kb.ok_or("Req-Kb is unusable")?,
        tag: tag.filter(|t| http::is_plain_text(t)).map(Into::into),
        repeat_id: repeat_id.map(Into::into),
        body,
    }))
}
