//! A change of one content into another, line by line (`similar`'s patience diff: files of blocks move as blocks).

use serde::{Deserialize, Serialize};
use similar::{Algorithm, DiffOp, capture_diff_slices};

use crate::MOST_CONTENT;

/// One step of building the new content.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Step {
    /// So many bytes of the old one, from there.
    Keep {
        from: u64,
        count: u64,
    },
    Put(Vec<u8>),
}

pub type Delta = Vec<Step>;

fn lines(content: &[u8]) -> Vec<&[u8]> {
    content.split_inclusive(|&b| b == b'\n').collect()
}

pub fn between(old: &[u8], new: &[u8]) -> Delta {
    let (a, b) = (lines(old), lines(new));
    let starts = |lines: &[&[u8]]| -> Vec<usize> {
        let ends = lines.iter().scan(0, |at, line| {
            *at += line.len();
            Some(*at)
        });
        std::iter::once(0).chain(ends).collect()
    };
    let (at_a, at_b) = (starts(&a), starts(&b));
    let mut steps = Delta::new();
    for op in capture_diff_slices(Algorithm::Patience, &a, &b) {
        match op {
            DiffOp::Equal { old_index, len, .. } => {
                let (from, to) = (at_a[old_index] as u64, at_a[old_index + len] as u64);
                steps.push(Step::Keep { from, count: to - from });
            }
            DiffOp::Insert { new_index, new_len, .. } | DiffOp::Replace { new_index, new_len, .. } => {
                steps.push(Step::Put(new[at_b[new_index]..at_b[new_index + new_len]].to_vec()));
            }
            DiffOp::Delete { .. } => {}
        }
    }
    steps
}

/// The new content; none where the steps can't be taken on this old one, or come to more than a content may have.
pub fn apply(old: &[u8], delta: &Delta) -> Option<Vec<u8>> {
    let mut new = Vec::new();
    for step in delta {
        let piece = match step {
            Step::Keep { from, count } => {
                let from = usize::try_from(*from).ok()?;
                old.get(from..from.checked_add(usize::try_from(*count).ok()?)?)?
            }
            Step::Put(bytes) => bytes,
        };
        if new.len() + piece.len() > MOST_CONTENT {
            return None;
        }
        new.extend_from_slice(piece);
    }
    Some(new)
}
