//! Contents joined line by line: a change laid on a content that has moved on, or taken out of a later one.
//!
//! Three-way as `diff3` does it, over `imara-diff`, whose effort is bounded on whatever content; deterministic.

use std::fmt;
use std::ops::Range;

use imara_diff::{Algorithm, Diff, InternedInput};

/// Two changes at one place: neither can be laid on the other.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Conflict {
    /// Lines of the base, counted from 1, that both change; empty where both insert before `start`.
    pub lines: Range<usize>,
}

impl std::error::Error for Conflict {}

impl fmt::Display for Conflict {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Range { start, end } = self.lines;
        write!(
            f,
            "two changes meet at lines {start} to {}: publish again from the newest content",
            end.max(start + 1) - 1
        )
    }
}

/// Lines `at` of the base become `with`.
struct Hunk<'a> {
    at: Range<usize>,
    with: Vec<&'a [u8]>,
}

fn lines(content: &[u8]) -> Vec<&[u8]> {
    content.split_inclusive(|b| *b == b'\n').collect()
}

fn hunks<'a>(base: &[u8], other: &'a [u8]) -> Vec<Hunk<'a>> {
    let input = InternedInput::new(base, other);
    let mut diff = Diff::compute(Algorithm::Histogram, &input);
    diff.postprocess_lines(&input);
    let other = lines(other);
    let range = |r: Range<u32>| r.start as usize..r.end as usize;
    diff.hunks().map(|h| Hunk { at: range(h.before), with: other[range(h.after)].to_vec() }).collect()
}

fn meet(a: &Hunk, b: &Hunk) -> bool {
    a.at.start <= b.at.end && b.at.start <= a.at.end
}

/// The base with both changes.
///
/// # Errors
/// Where both change the same or adjoining lines in different ways.
pub fn merge(base: &[u8], ours: &[u8], theirs: &[u8]) -> Result<Vec<u8>, Conflict> {
    if ours == theirs || theirs == base {
        return Ok(ours.to_vec());
    }
    if ours == base {
        return Ok(theirs.to_vec());
    }
    let (mut a, mut b) =
        (hunks(base, ours).into_iter().peekable(), hunks(base, theirs).into_iter().peekable());
    let (base, mut out, mut done) = (lines(base), Vec::new(), 0);
    loop {
        let next = match (a.peek(), b.peek()) {
            (Some(x), Some(y)) if x.at == y.at && x.with == y.with => {
                b.next();
                a.next()
            }
            (Some(x), Some(y)) if meet(x, y) => {
                let lines = x.at.start.min(y.at.start) + 1..x.at.end.max(y.at.end) + 1;
                return Err(Conflict { lines });
            }
            (Some(x), Some(y)) if x.at.start < y.at.start => a.next(),
            (_, Some(_)) => b.next(),
            _ => a.next(),
        };
        let Some(hunk) = next else { break };
        base[done..hunk.at.start].iter().chain(&hunk.with).for_each(|line| out.extend_from_slice(line));
        done = hunk.at.end;
    }
    base[done..].iter().for_each(|line| out.extend_from_slice(line));
    Ok(out)
}

/// `current` without the change that made `after` from `before`.
///
/// # Errors
/// Where a later change builds on that one.
pub fn take_out(before: &[u8], after: &[u8], current: &[u8]) -> Result<Vec<u8>, Conflict> {
    merge(after, current, before)
}
