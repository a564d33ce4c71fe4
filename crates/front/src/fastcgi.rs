//! FastCGI 1.0 as specified: records and name-value pairs. No I/O.

use crate::ring_buffer::RingBuffer;

pub const BEGIN_REQUEST: u8 = 1;
pub const ABORT_REQUEST: u8 = 2;
pub const END_REQUEST: u8 = 3;
pub const PARAMS: u8 = 4;
pub const STDIN: u8 = 5;
pub const STDOUT: u8 = 6;
pub const GET_VALUES: u8 = 9;
pub const GET_VALUES_RESULT: u8 = 10;
pub const UNKNOWN_TYPE: u8 = 11;

pub const RESPONDER: u16 = 1;
pub const KEEP_CONN: u8 = 1;

pub const COMPLETE: u8 = 0;
pub const OVERLOADED: u8 = 2;
pub const UNKNOWN_ROLE: u8 = 3;

pub const HEADER: usize = 8;

/// A part of a record's content, as it has arrived.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Fragment {
    pub kind: u8,
    pub id: u16,
    /// The bytes of content at the front of the buffer.
    pub len: usize,
    /// The record has no content.
    pub empty: bool,
    pub last: bool,
}

#[derive(Debug)]
pub struct InvalidRecord;

/// Decodes records in the fragments in which they arrive.
#[derive(Debug, Default)]
pub struct Decoder {
    kind: u8,
    id: u16,
    content: usize,
    padding: usize,
    in_record: bool,
    /// The first bytes of a header that has not arrived completely, and how many they are.
    header: [u8; HEADER],
    header_len: usize,
}

impl Decoder {
    /// A record has started and not ended.
    pub fn in_record(&self) -> bool {
        self.in_record || self.header_len > 0
    }

    /// Takes bytes of the next header from the buffer; the header, once it is complete.
    fn take_header(&mut self, buffer: &mut RingBuffer) -> Option<[u8; HEADER]> {
        while self.header_len < HEADER && !buffer.is_empty() {
            let piece = buffer.front();
            let count = piece.len().min(HEADER - self.header_len);
            self.header[self.header_len..self.header_len + count].copy_from_slice(&piece[..count]);
            self.header_len += count;
            buffer.consume(count);
        }
        if self.header_len < HEADER {
            return None;
        }
        self.header_len = 0;
        Some(self.header)
    }

    /// The next fragment; the caller consumes its `len` bytes from the buffer before the next call. Once there
    /// is none, the buffer is empty.
    pub fn next(&mut self, buffer: &mut RingBuffer) -> Result<Option<Fragment>, InvalidRecord> {
        loop {
            if self.in_record && self.content > 0 {
                let len = buffer.front().len().min(self.content);
                if len == 0 {
                    return Ok(None);
                }
                self.content -= len;
                let last = self.content == 0;
                return Ok(Some(Fragment { kind: self.kind, id: self.id, len, empty: false, last }));
            }
            if self.padding > 0 {
                let len = buffer.len().min(self.padding);
                buffer.consume(len);
                self.padding -= len;
                if self.padding > 0 {
                    return Ok(None);
                }
            }
            self.in_record = false;
            let Some(head) = self.take_header(buffer) else { return Ok(None) };
            if head[0] != 1 {
                return Err(InvalidRecord);
            }
            (self.kind, self.id) = (head[1], u16::from_be_bytes([head[2], head[3]]));
            (self.content, self.padding) =
                (usize::from(u16::from_be_bytes([head[4], head[5]])), head[6].into());
            self.in_record = true;
            if self.content == 0 {
                return Ok(Some(Fragment { kind: self.kind, id: self.id, len: 0, empty: true, last: true }));
            }
        }
    }
}

/// The header of a record without padding, with at most 65,535 bytes of content.
pub fn header(kind: u8, id: u16, content: usize) -> [u8; HEADER] {
    let ([i, d], [l, n]) = (id.to_be_bytes(), (content.min(0xffff) as u16).to_be_bytes());
    [1, kind, i, d, l, n, 0, 0]
}

pub fn end_request(id: u16, protocol_status: u8) -> [u8; 16] {
    let mut record = [0; 16];
    record[..HEADER].copy_from_slice(&header(END_REQUEST, id, 8));
    record[12] = protocol_status;
    record
}

fn length(bytes: &mut &[u8]) -> Option<usize> {
    let (&first, rest) = bytes.split_first()?;
    if first < 0x80 {
        *bytes = rest;
        return Some(first.into());
    }
    let (four, rest) = bytes.split_first_chunk::<4>()?;
    *bytes = rest;
    Some((u32::from_be_bytes(*four) & 0x7fff_ffff) as usize)
}

/// The next name and value; none if the bytes end within one.
pub fn next_pair<'a>(bytes: &mut &'a [u8]) -> Option<(&'a [u8], &'a [u8])> {
    let (name, value) = (length(bytes)?, length(bytes)?);
    let (name, rest) = bytes.split_at_checked(name)?;
    let (value, rest) = rest.split_at_checked(value)?;
    *bytes = rest;
    Some((name, value))
}

pub fn put_pair(to: &mut Vec<u8>, name: &[u8], value: &[u8]) {
    for len in [name.len(), value.len()] {
        match u8::try_from(len) {
            Ok(short) if short < 0x80 => to.push(short),
            _ => to.extend_from_slice(&(len as u32 | 0x8000_0000).to_be_bytes()),
        }
    }
    to.extend_from_slice(name);
    to.extend_from_slice(value);
}
