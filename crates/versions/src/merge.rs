//! Contents joined line by line: a change laid on a content that has moved on, or taken out of a later one.
//!
//! Three-way as `diff3` does it; the same on every machine, in bounded time on whatever content.

mod hunks;

use std::fmt;
use std::ops::Range;

use hunks::{Hunk, lines};

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

/// Whether two hunks share lines of the base, or a place, or adjoin within one block. Where a block ends between them they
/// don't: a member added after one that another change added is no part of that.
fn meet(a: &Hunk, b: &Hunk, base: &[&[u8]]) -> bool {
    let (first, second) = if place(a) <= place(b) { (a, b) } else { (b, a) };
    if first.at.end != second.at.start || first.at.is_empty() && second.at.is_empty() {
        return second.at.start <= first.at.end;
    }
    let between_blocks = first.at.end.checked_sub(1).is_none_or(|before| base[before].starts_with(b"}"));
    !between_blocks
}

fn place(hunk: &Hunk) -> (usize, usize) {
    (hunk.at.start, hunk.at.end)
}

/// The base with both changes.
///
/// # Errors
/// Where both change the same lines, or adjoining ones of one block, in different ways.
pub fn merge(base: &[u8], ours: &[u8], theirs: &[u8]) -> Result<Vec<u8>, Conflict> {
    if ours == theirs || theirs == base {
        return Ok(ours.to_vec());
    }
    if ours == base {
        return Ok(theirs.to_vec());
    }
    let (base, ours, theirs) = (lines(base), lines(ours), lines(theirs));
    let mut a = hunks::between(&base, &ours).into_iter().peekable();
    let mut b = hunks::between(&base, &theirs).into_iter().peekable();
    let (mut out, mut done) = (Vec::new(), 0);
    loop {
        let next = match (a.peek(), b.peek()) {
            (Some(x), Some(y)) if x.at == y.at && x.with == y.with => {
                b.next();
                a.next()
            }
            (Some(x), Some(y)) if meet(x, y, &base) => {
                let lines = x.at.start.min(y.at.start) + 1..x.at.end.max(y.at.end) + 1;
                return Err(Conflict { lines });
            }
            (Some(x), Some(y)) if place(x) < place(y) => a.next(),
            (_, Some(_)) => b.next(),
            _ => a.next(),
        };
        let Some(hunk) = next else { break };
        base[done..hunk.at.start].iter().chain(hunk.with).for_each(|line| out.extend_from_slice(line));
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
