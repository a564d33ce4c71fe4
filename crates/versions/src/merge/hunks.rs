//! Line diffs of two contents, in bounded time for any content.
//!
//! Lines that occur exactly once in both contents are anchors (patience diff: blocks with unique names stay whole).
//! Between anchors, `similar`'s Myers diff refines the result as long as the budget lasts. `imara-diff` is not used: it
//! takes 19 s and more for a content of 256 KB with ten distinct lines.

use std::collections::HashMap;
use std::ops::Range;

use similar::{Algorithm, DiffOp, capture_diff_slices};

/// Limit of line pairs to compare between anchors; a range beyond it counts as changed as a whole. Allows two
/// ranges of 4,000 lines each without an anchor, which takes about 0.1 s.
const MAX_PAIRS: usize = 16_000_000;

/// Replaces the lines `range` of the base with `replacement`.
pub(super) struct Hunk<'a> {
    pub range: Range<usize>,
    pub replacement: &'a [&'a [u8]],
}

pub(super) fn lines(content: &[u8]) -> Vec<&[u8]> {
    content.split_inclusive(|b| *b == b'\n').collect()
}

/// The hunks that turn the base into `other`, in order and not adjacent.
pub(super) fn between<'a>(base: &[&[u8]], other: &'a [&'a [u8]]) -> Vec<Hunk<'a>> {
    let mut search = Search { base, other, budget: MAX_PAIRS, equal: Vec::new() };
    let outer = search.trim(0..base.len(), 0..other.len());
    let (mut base_at, mut other_at) = (outer.0.start, outer.1.start);
    for (anchor, matching) in anchors(base, other, &outer) {
        search.compare_gap(base_at..anchor, other_at..matching);
        search.equal.push((anchor, matching));
        (base_at, other_at) = (anchor + 1, matching + 1);
    }
    search.compare_gap(base_at..outer.0.end, other_at..outer.1.end);
    search.equal.sort_unstable();
    let (mut hunks, mut base_at, mut other_at) = (Vec::new(), 0, 0);
    for (next, matching) in search.equal.into_iter().chain([(base.len(), other.len())]) {
        if base_at < next || other_at < matching {
            hunks.push(Hunk { range: base_at..next, replacement: &other[other_at..matching] });
        }
        (base_at, other_at) = (next + 1, matching + 1);
    }
    hunks
}

struct Search<'a, 'b> {
    base: &'a [&'b [u8]],
    other: &'a [&'b [u8]],
    budget: usize,
    /// Equal lines: their index in `base` and in `other`.
    equal: Vec<(usize, usize)>,
}

impl Search<'_, '_> {
    /// Strips the common prefix and suffix of two ranges and returns the rest.
    fn trim(&mut self, a: Range<usize>, b: Range<usize>) -> (Range<usize>, Range<usize>) {
        let (base, other) = (&self.base[a.clone()], &self.other[b.clone()]);
        let head = base.iter().zip(other).take_while(|(x, y)| x == y).count();
        let (base, other) = (&base[head..], &other[head..]);
        let tail = base.iter().rev().zip(other.iter().rev()).take_while(|(x, y)| x == y).count();
        self.equal.extend((0..head).map(|index| (a.start + index, b.start + index)));
        self.equal.extend((1..=tail).map(|index| (a.end - index, b.end - index)));
        (a.start + head..a.end - tail, b.start + head..b.end - tail)
    }

    fn compare_gap(&mut self, a: Range<usize>, b: Range<usize>) {
        let (a, b) = self.trim(a, b);
        let pairs = a.len().saturating_mul(b.len());
        if pairs == 0 || pairs > self.budget {
            return;
        }
        self.budget -= pairs;
        for op in capture_diff_slices(Algorithm::Myers, &self.base[a.clone()], &self.other[b.clone()]) {
            if let DiffOp::Equal { old_index, new_index, len } = op {
                self.equal
                    .extend((0..len).map(|index| (a.start + old_index + index, b.start + new_index + index)));
            }
        }
    }
}

/// Lines that occur exactly once in each range, as the longest sequence with the same order in both.
fn anchors(base: &[&[u8]], other: &[&[u8]], within: &(Range<usize>, Range<usize>)) -> Vec<(usize, usize)> {
    #[derive(Default)]
    struct Occurrences {
        base_count: usize,
        other_count: usize,
        other_at: usize,
    }
    let mut seen: HashMap<&[u8], Occurrences> = HashMap::new();
    for line in &base[within.0.clone()] {
        seen.entry(line).or_default().base_count += 1;
    }
    for other_at in within.1.clone() {
        let line = seen.entry(other[other_at]).or_default();
        (line.other_count, line.other_at) = (line.other_count + 1, other_at);
    }
    let pairs = within.0.clone().filter_map(|base_at| {
        let line = &seen[base[base_at]];
        (line.base_count == 1 && line.other_count == 1).then_some((base_at, line.other_at))
    });
    longest_rising(&pairs.collect::<Vec<_>>())
}

/// The longest subsequence whose second elements increase (patience sorting).
fn longest_rising(pairs: &[(usize, usize)]) -> Vec<(usize, usize)> {
    let mut tails: Vec<usize> = Vec::new();
    let mut before: Vec<Option<usize>> = vec![None; pairs.len()];
    for (index, matching) in pairs.iter().enumerate() {
        let length = tails.partition_point(|tail| pairs[*tail].1 < matching.1);
        before[index] = length.checked_sub(1).map(|previous| tails[previous]);
        if length == tails.len() {
            tails.push(index);
        } else {
            tails[length] = index;
        }
    }
    let mut chain: Vec<_> = std::iter::successors(tails.last().copied(), |index| before[*index])
        .map(|index| pairs[index])
        .collect();
    chain.reverse();
    chain
}
