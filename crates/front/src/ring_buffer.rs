//! The bounded ring buffer of each direction of a connection.

/// A ring buffer that holds memory only while it is in use: it allocates when the first bytes are added, and
/// [`RingBuffer::release_if_empty`] frees the memory again. Thousands of connections that rest cost nothing
/// here.
#[derive(Debug)]
pub struct RingBuffer {
    capacity: usize,
    /// Of length `capacity`, or empty while nothing is allocated.
    bytes: Box<[u8]>,
    start: usize,
    len: usize,
}

impl RingBuffer {
    pub fn new(capacity: usize) -> Self {
        RingBuffer { capacity, bytes: Box::default(), start: 0, len: 0 }
    }

    pub fn capacity(&self) -> usize {
        self.capacity
    }

    /// Frees the memory if no bytes are held; it is allocated again when bytes are added.
    pub fn release_if_empty(&mut self) {
        if self.len == 0 {
            *self = RingBuffer::new(self.capacity);
        }
    }

    pub fn len(&self) -> usize {
        self.len
    }

    pub fn is_empty(&self) -> bool {
        self.len == 0
    }

    pub fn free(&self) -> usize {
        self.capacity - self.len
    }

    /// The oldest bytes, as far as they are contiguous.
    pub fn front(&self) -> &[u8] {
        let end = (self.start + self.len).min(self.bytes.len());
        &self.bytes[self.start..end]
    }

    /// All bytes, made contiguous.
    pub fn contiguous(&mut self) -> &[u8] {
        if self.start + self.len > self.bytes.len() {
            self.bytes.rotate_left(self.start);
            self.start = 0;
        }
        self.front()
    }

    pub fn consume(&mut self, count: usize) {
        let count = count.min(self.len);
        self.len -= count;
        self.start = if self.len == 0 { 0 } else { (self.start + count) % self.capacity };
    }

    /// The free space for new bytes, as far as it is contiguous; [`RingBuffer::filled`] adds what was written
    /// to it.
    pub fn back(&mut self) -> &mut [u8] {
        let capacity = self.capacity;
        if capacity == 0 {
            return &mut [];
        }
        if self.bytes.is_empty() {
            self.bytes = vec![0; capacity].into();
        }
        let from = (self.start + self.len) % capacity;
        let to = if self.len == capacity {
            from
        } else if from < self.start {
            self.start
        } else {
            capacity
        };
        &mut self.bytes[from..to]
    }

    pub fn filled(&mut self, count: usize) {
        self.len = (self.len + count).min(self.capacity);
    }

    /// Appends as many bytes as fit, and returns how many.
    pub fn put(&mut self, mut bytes: &[u8]) -> usize {
        let before = self.len;
        while !bytes.is_empty() && self.free() > 0 {
            let room = self.back();
            let count = room.len().min(bytes.len());
            room[..count].copy_from_slice(&bytes[..count]);
            self.filled(count);
            bytes = &bytes[count..];
        }
        self.len - before
    }

    pub fn clear(&mut self) {
        (self.start, self.len) = (0, 0);
    }
}
