//! Line-based deltas between two contents (`similar`'s patience diff, which keeps blocks of lines together).

use serde::{Deserialize, Serialize};
use similar::{Algorithm, DiffOp, capture_diff_slices};

use crate::MAX_CONTENT_BYTES;

/// One instruction for building the new content.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Op {
    /// Copies `count` bytes of the old content, starting at `from`.
    Copy {
        from: u64,
        count: u64,
    },
    Insert(Vec<u8>),
}

/// The instructions that build a new content, in order.
pub type Delta = Vec<Op>;

fn lines(content: &[u8]) -> Vec<&[u8]> {
    content.split_inclusive(|&b| b == b'\n').collect()
}

/// The delta from the old content to the new one.
pub fn between(old: &[u8], new: &[u8]) -> Delta {
    let (a, b) = (lines(old), lines(new));
    let offsets = |lines: &[&[u8]]| -> Vec<usize> {
        let ends = lines.iter().scan(0, |offset, line| {
            *offset += line.len();
            Some(*offset)
        });
        std::iter::once(0).chain(ends).collect()
    };
    let (offsets_a, offsets_b) = (offsets(&a), offsets(&b));
    let mut ops = Delta::new();
    for op in capture_diff_slices(Algorithm::Patience, &a, &b) {
        match op {
            DiffOp::Equal { old_index, len, .. } => {
                let (from, to) = (offsets_a[old_index] as u64, offsets_a[old_index + len] as u64);
                ops.push(Op::Copy { from, count: to - from });
            }
            DiffOp::Insert { new_index, new_len, .. } | DiffOp::Replace { new_index, new_len, .. } => {
                ops.push(Op::Insert(new[offsets_b[new_index]..offsets_b[new_index + new_len]].to_vec()));
            }
            DiffOp::Delete { .. } => {}
        }
    }
    ops
}

/// The new content; `None` if the delta does not fit the old content or the result would exceed the size limit.
pub fn apply(old: &[u8], delta: &Delta) -> Option<Vec<u8>> {
    let mut new = Vec::new();
    for op in delta {
        let piece = match op {
            Op::Copy { from, count } => {
                let from = usize::try_from(*from).ok()?;
                old.get(from..from.checked_add(usize::try_from(*count).ok()?)?)?
            }
            Op::Insert(bytes) => bytes,
        };
        if new.len() + piece.len() > MAX_CONTENT_BYTES {
            return None;
        }
        new.extend_from_slice(piece);
    }
    Some(new)
}
