//! Line-based merges: applying a change to a content that has been changed since, or reverting a change from a
//! later content.
//!
//! A three-way merge as in `diff3`. It is deterministic and takes bounded time for any content.

mod hunks;

use std::fmt;
use std::ops::Range;

use hunks::{Hunk, lines};

/// Two changes overlap: neither can be merged with the other.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Conflict {
    /// 1-based lines of the base that both change; empty if both insert before `start`.
    pub lines: Range<usize>,
}

impl std::error::Error for Conflict {}

impl fmt::Display for Conflict {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Range { start, end } = self.lines;
        write!(
            f,
            "two changes conflict at lines {start} to {}: publish again from the newest content",
            end.max(start + 1) - 1
        )
    }
}

/// Whether two hunks overlap, insert at the same position, or are adjacent within one block. Adjacent hunks
/// don't conflict if a block ends between them: a member added after another change's new member is independent
/// of it.
fn overlap(a: &Hunk, b: &Hunk, base: &[&[u8]]) -> bool {
    let (first, second) = if position(a) <= position(b) { (a, b) } else { (b, a) };
    if first.range.end != second.range.start || first.range.is_empty() && second.range.is_empty() {
        return second.range.start <= first.range.end;
    }
    let between_blocks = first.range.end.checked_sub(1).is_none_or(|before| base[before].starts_with(b"}"));
    !between_blocks
}

fn position(hunk: &Hunk) -> (usize, usize) {
    (hunk.range.start, hunk.range.end)
}

/// Applies both changes to the base.
///
/// # Errors
/// If both change the same lines, or adjacent lines of one block, in different ways.
pub fn merge(base: &[u8], ours: &[u8], theirs: &[u8]) -> Result<Vec<u8>, Conflict> {
    if ours == theirs || theirs == base {
        return Ok(ours.to_vec());
    }
    if ours == base {
        return Ok(theirs.to_vec());
    }
    let (base, ours, theirs) = (lines(base), lines(ours), lines(theirs));
    let mut ours_hunks = hunks::between(&base, &ours).into_iter().peekable();
    let mut theirs_hunks = hunks::between(&base, &theirs).into_iter().peekable();
    let (mut merged, mut copied) = (Vec::new(), 0);
    loop {
        let next = match (ours_hunks.peek(), theirs_hunks.peek()) {
            (Some(ours_hunk), Some(theirs_hunk))
                if ours_hunk.range == theirs_hunk.range
                    && ours_hunk.replacement == theirs_hunk.replacement =>
            {
                theirs_hunks.next();
                ours_hunks.next()
            }
            (Some(ours_hunk), Some(theirs_hunk)) if overlap(ours_hunk, theirs_hunk, &base) => {
                let lines = ours_hunk.range.start.min(theirs_hunk.range.start) + 1
                    ..ours_hunk.range.end.max(theirs_hunk.range.end) + 1;
                return Err(Conflict { lines });
            }
            (Some(ours_hunk), Some(theirs_hunk)) if position(ours_hunk) < position(theirs_hunk) => {
                ours_hunks.next()
            }
            (_, Some(_)) => theirs_hunks.next(),
            _ => ours_hunks.next(),
        };
        let Some(hunk) = next else { break };
        base[copied..hunk.range.start]
            .iter()
            .chain(hunk.replacement)
            .for_each(|line| merged.extend_from_slice(line));
        copied = hunk.range.end;
    }
    base[copied..].iter().for_each(|line| merged.extend_from_slice(line));
    Ok(merged)
}

/// Reverts the change from `before` to `after` in `current`.
///
/// # Errors
/// If a later change overlaps with that one.
pub fn revert(before: &[u8], after: &[u8], current: &[u8]) -> Result<Vec<u8>, Conflict> {
    merge(after, current, before)
}
