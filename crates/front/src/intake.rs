//! A client's connection as it is read: records become requests. No I/O.

use doorgrade::Ticks;
use rustc_hash::FxHashMap;

use crate::fastcgi::{self, Decoder};
use crate::http;
use crate::ring::Ring;

/// Protocol facts: open requests on a connection, and what a write brings at most.
pub const MOST_OPEN: usize = 32;
pub const MOST_WRITE: usize = 48_000;
/// All parameters of a request together; web servers send a few hundred bytes.
const MOST_PARAMS: usize = 16 * 1024;

/// A request that can be used.
#[derive(Clone, Debug, PartialEq)]
pub struct Request {
    pub offering: String,
    pub id: String,
    /// The same as a number.
    pub call: u64,
    /// How long the client waits, in tenths of a millisecond.
    pub wait: Ticks,
    pub key: String,
    pub object: u64,
    pub part: u32,
    pub group: u64,
    pub kb: f64,
    pub tag: Option<String>,
    /// By which caches know a repeat, also a client's own under another id.
    pub mark: Option<String>,
    pub body: Vec<u8>,
}

/// What a client has said.
#[derive(Debug, PartialEq)]
pub enum Said {
    Ask(u16, Box<Request>),
    /// Whether the front is ready.
    Check(u16),
    /// A request that can't be used: its status, and why.
    Unusable(u16, u16, &'static str),
    /// One more request under an id that waits for its answer.
    Twice(u16),
    Abort(u16),
    /// A request that is over before it began, by this protocol status.
    Over(u16, u8),
    /// An answer to a record that manages the connection.
    Reply(Vec<u8>),
}

#[derive(Debug, Default)]
struct Coming {
    params: Vec<u8>,
    params_done: bool,
    body: Vec<u8>,
    /// There was no room for it.
    dropped: bool,
}

/// The reading half of a client's connection.
#[derive(Debug, Default)]
pub struct Intake {
    decoder: Decoder,
    /// Requests that are open; none where all of one has come.
    open: FxHashMap<u16, Option<Coming>>,
    /// Content of a record that is wanted whole.
    small: Vec<u8>,
    /// The connection is to be closed after what is open now.
    pub last: bool,
    /// What still comes is of no use: the rest of a request that is too long, or what follows bytes that are no record.
    pub deaf: bool,
}

impl Intake {
    /// Bytes of bodies that are still coming in.
    pub fn held(&self) -> usize {
        self.open.values().flatten().map(|c| c.body.len() + c.params.len()).sum()
    }

    pub fn open(&self) -> usize {
        self.open.len()
    }

    /// Part of a request, or of a record, has come, and the rest is waited for.
    pub fn unfinished(&self) -> bool {
        !self.deaf && (self.decoder.inside() || self.open.values().any(Option::is_some))
    }

    /// Nothing that still comes is of use: the connection ends with what has come whole.
    pub fn stop(&mut self) {
        (self.last, self.deaf) = (true, true);
        self.open.retain(|_, coming| coming.is_none());
        self.small.clear();
    }

    /// The request has been answered, or needs no answer.
    pub fn end(&mut self, id: u16) {
        self.open.remove(&id);
    }

    /// The next thing said, if the ring holds it whole; bodies have this much room.
    pub fn next(&mut self, ring: &mut Ring, room: usize) -> Result<Option<Said>, fastcgi::Broken> {
        let most = self.held() + room;
        while let Some(piece) = self.decoder.next(ring)? {
            let said = self.piece(&piece, ring, most);
            ring.consume(piece.len);
            if let Some(said) = said? {
                return Ok(Some(said));
            }
        }
        Ok(None)
    }

    fn piece(
        &mut self,
        piece: &fastcgi::Piece,
        ring: &Ring,
        most: usize,
    ) -> Result<Option<Said>, fastcgi::Broken> {
        let content = &ring.front()[..piece.len];
        match (piece.kind, piece.id) {
            (fastcgi::PARAMS | fastcgi::STDIN, id) if id > 0 => Ok(self.part_of(piece, content, most)),
            (fastcgi::ABORT_REQUEST, id) if id > 0 && piece.last => {
                Ok(self.open.remove(&id).map(|_| Said::Abort(id)))
            }
            (fastcgi::BEGIN_REQUEST, id) if id > 0 => {
                let whole = self.gather(piece, content);
                whole.map_or(Ok(None), |bytes| self.begin(id, &bytes))
            }
            // Records of management, known or not, get an answer.
            (kind, 0) => {
                let whole = self.gather(piece, content);
                Ok(whole.map(|bytes| Said::Reply(managed(kind, &bytes))))
            }
            _ => Ok(None),
        }
    }

    fn gather(&mut self, piece: &fastcgi::Piece, content: &[u8]) -> Option<Vec<u8>> {
        let room = MOST_PARAMS.saturating_sub(self.small.len());
        self.small.extend_from_slice(&content[..content.len().min(room)]);
        piece.last.then(|| std::mem::take(&mut self.small))
    }

    fn begin(&mut self, id: u16, bytes: &[u8]) -> Result<Option<Said>, fastcgi::Broken> {
        let &[high, low, flags, ..] = bytes else { return Err(fastcgi::Broken) };
        match self.open.get(&id) {
            Some(None) => return Ok(Some(Said::Twice(id))),
            // What belongs to which could not be told apart.
            Some(Some(_)) => return Err(fastcgi::Broken),
            None => {}
        }
        if u16::from_be_bytes([high, low]) != fastcgi::RESPONDER {
            return Ok(Some(Said::Over(id, fastcgi::UNKNOWN_ROLE)));
        }
        if self.open.len() >= MOST_OPEN {
            return Ok(Some(Said::Over(id, fastcgi::OVERLOADED)));
        }
        self.last |= flags & fastcgi::KEEP_CONN == 0;
        self.open.insert(id, Some(Coming::default()));
        Ok(None)
    }

    fn part_of(&mut self, piece: &fastcgi::Piece, content: &[u8], most: usize) -> Option<Said> {
        let full = self.held() + content.len() > most;
        let slot = self.open.get_mut(&piece.id)?;
        let coming = slot.as_mut()?;
        let params = piece.kind == fastcgi::PARAMS;
        if !piece.empty {
            let (to, most) = match params {
                true => (&mut coming.params, MOST_PARAMS),
                false => (&mut coming.body, MOST_WRITE),
            };
            if to.len() + content.len() > most {
                // Answered now: the rest may be a thousand times as long, or never end.
                *slot = None;
                self.stop();
                return Some(Said::Unusable(piece.id, 413, "a request is too long"));
            } else if full {
                // Nothing was pushed, so trying again is harmless.
                coming.dropped = true;
            }
            if coming.dropped {
                (coming.params, coming.body) = (Vec::new(), Vec::new());
            } else {
                to.extend_from_slice(content);
            }
            return None;
        }
        if params {
            coming.params_done = true;
            return None;
        }
        if !coming.params_done {
            return None;
        }
        let whole = slot.take()?;
        Some(match whole.dropped {
            true => Said::Unusable(piece.id, 503, "no room for a request"),
            false => read(piece.id, &whole.params, whole.body),
        })
    }
}

fn managed(kind: u8, bytes: &[u8]) -> Vec<u8> {
    if kind != fastcgi::GET_VALUES {
        let mut reply = fastcgi::header(fastcgi::UNKNOWN_TYPE, 0, 8).to_vec();
        reply.extend_from_slice(&[kind, 0, 0, 0, 0, 0, 0, 0]);
        return reply;
    }
    let (mut values, mut rest) = (Vec::new(), bytes);
    while let Some((name, _)) = fastcgi::pair(&mut rest) {
        match name {
            b"FCGI_MPXS_CONNS" => fastcgi::put_pair(&mut values, name, b"1"),
            b"FCGI_MAX_REQS" => {
                fastcgi::put_pair(&mut values, name, MOST_OPEN.to_string().as_bytes());
            }
            _ => {}
        }
        // The three names the specification knows, a few times over.
        if values.len() > 512 {
            break;
        }
    }
    let mut reply = fastcgi::header(fastcgi::GET_VALUES_RESULT, 0, values.len()).to_vec();
    reply.append(&mut values);
    reply
}

fn read(id: u16, params: &[u8], body: Vec<u8>) -> Said {
    match fields(params, body) {
        Ok(Some(request)) => Said::Ask(id, Box::new(request)),
        Ok(None) => Said::Check(id),
        Err(why) => Said::Unusable(id, 400, why),
    }
}

fn hex(text: &str) -> Option<u64> {
    let whole = text.len() == 16 && text.bytes().all(|b| b.is_ascii_hexdigit());
    u64::from_str_radix(text, 16).ok().filter(|_| whole)
}

/// The fields of a request; none if it only asks whether the front is ready.
fn fields(params: &[u8], body: Vec<u8>) -> Result<Option<Request>, &'static str> {
    let mut rest = params;
    let [mut path, mut id, mut wait, mut key] = [None; 4];
    let [mut part, mut group, mut kb, mut tag, mut mark] = [None; 5];
    while !rest.is_empty() {
        let (name, value) = fastcgi::pair(&mut rest).ok_or("a request's parameters end too soon")?;
        let slot = match name {
            b"SCRIPT_NAME" => &mut path,
            b"HTTP_REQ_ID" => &mut id,
            b"HTTP_REQ_WAIT_MS" => &mut wait,
            b"HTTP_REQ_KEY" => &mut key,
            b"HTTP_X_SEG" => &mut part,
            b"HTTP_X_BUCKET" => &mut group,
            b"HTTP_REQ_KB" => &mut kb,
            b"HTTP_X_ETAG" => &mut tag,
            b"HTTP_REQ_TOKEN" => &mut mark,
            _ => continue,
        };
        *slot = Some(std::str::from_utf8(value).map_err(|_| "a request's field is no text")?);
    }
    let path = path.ok_or("SCRIPT_NAME is missing")?;
    if path == "/check" {
        return Ok(None);
    }
    let offering = path.strip_prefix("/do/").ok_or("a request's path is unknown")?;
    let (id, call) = id.and_then(|id| Some((id, hex(id)?))).ok_or("Req-Id is missing or unusable")?;
    let key = key.ok_or("Req-Key is missing")?;
    let number = |text: Option<&str>| text.map_or(Some(0), |t| t.parse::<u64>().ok());
    let wait = wait.and_then(|w| w.parse::<f64>().ok()).filter(|w| (1.0..=3_600_000.0).contains(w));
    let kb = kb.map_or(Some(0.0), |kb| kb.parse::<f64>().ok()).filter(|kb| (0.0..1e9).contains(kb));
    // It goes on to caches as it is, or the access does not: without it a repeat would not be known.
    if mark.is_some_and(|m| !http::plain(m)) {
        return Err("Req-Token is unusable");
    }
    Ok(Some(Request {
        offering: offering.into(),
        id: id.into(),
        call,
        wait: (wait.ok_or("Req-Wait-Ms is missing or unusable")? * 10.0) as Ticks,
        object: hex(key).ok_or("Req-Key is unusable")?,
        key: key.into(),
        part: number(part).and_then(|p| u32::try_from(p).ok()).ok_or("X-Seg is unusable")?,
        group: number(group).filter(|g| *g < 256).ok_or("X-Bucket is unusable")?,
        kb: kb.ok_or("Req-Kb is unusable")?,
        tag: tag.filter(|t| http::plain(t)).map(Into::into),
        mark: mark.map(Into::into),
        body,
    }))
}
