//! Where two contents differ, line by line, in bounded time on whatever content.
//!
//! Lines that stand once in both are anchors (patience: blocks with names of their own stay whole); between them `similar`'s Myers
//! looks closer as long as the budget lasts. `imara-diff` was tried: 256 KB of ten kinds of lines took it 19 s and more.

use std::collections::HashMap;
use std::ops::Range;

use similar::{Algorithm, DiffOp, capture_diff_slices};

/// Pairs of lines that may be looked at between anchors; what is beyond counts as changed as a whole. Two stretches of
/// 4,000 lines each without an anchor, some 0.1 s.
const MOST_PAIRS: usize = 16_000_000;

/// Lines `at` of the base become `with`.
pub(super) struct Hunk<'a> {
    pub at: Range<usize>,
    pub with: &'a [&'a [u8]],
}

pub(super) fn lines(content: &[u8]) -> Vec<&[u8]> {
    content.split_inclusive(|b| *b == b'\n').collect()
}

/// The hunks that make `other` of `base`, in order, each apart from the next.
pub(super) fn between<'a>(base: &[&[u8]], other: &'a [&'a [u8]]) -> Vec<Hunk<'a>> {
    let mut search = Search { base, other, left: MOST_PAIRS, equal: Vec::new() };
    let outer = search.trim(0..base.len(), 0..other.len());
    let (mut at, mut to) = (outer.0.start, outer.1.start);
    for (anchor, twin) in anchors(base, other, &outer) {
        search.gap(at..anchor, to..twin);
        search.equal.push((anchor, twin));
        (at, to) = (anchor + 1, twin + 1);
    }
    search.gap(at..outer.0.end, to..outer.1.end);
    search.equal.sort_unstable();
    let (mut hunks, mut at, mut to) = (Vec::new(), 0, 0);
    for (next, twin) in search.equal.into_iter().chain([(base.len(), other.len())]) {
        if at < next || to < twin {
            hunks.push(Hunk { at: at..next, with: &other[to..twin] });
        }
        (at, to) = (next + 1, twin + 1);
    }
    hunks
}

struct Search<'a, 'b> {
    base: &'a [&'b [u8]],
    other: &'a [&'b [u8]],
    left: usize,
    /// Lines that are the same in both: where they stand in each.
    equal: Vec<(usize, usize)>,
}

impl Search<'_, '_> {
    /// What is left between the lines that both begin with and both end with.
    fn trim(&mut self, a: Range<usize>, b: Range<usize>) -> (Range<usize>, Range<usize>) {
        let (base, other) = (&self.base[a.clone()], &self.other[b.clone()]);
        let head = base.iter().zip(other).take_while(|(x, y)| x == y).count();
        let (base, other) = (&base[head..], &other[head..]);
        let tail = base.iter().rev().zip(other.iter().rev()).take_while(|(x, y)| x == y).count();
        self.equal.extend((0..head).map(|n| (a.start + n, b.start + n)));
        self.equal.extend((1..=tail).map(|n| (a.end - n, b.end - n)));
        (a.start + head..a.end - tail, b.start + head..b.end - tail)
    }

    fn gap(&mut self, a: Range<usize>, b: Range<usize>) {
        let (a, b) = self.trim(a, b);
        let pairs = a.len().saturating_mul(b.len());
        if pairs == 0 || pairs > self.left {
            return;
        }
        self.left -= pairs;
        for op in capture_diff_slices(Algorithm::Myers, &self.base[a.clone()], &self.other[b.clone()]) {
            if let DiffOp::Equal { old_index, new_index, len } = op {
                self.equal.extend((0..len).map(|n| (a.start + old_index + n, b.start + new_index + n)));
            }
        }
    }
}

/// Lines that stand exactly once in either, in an order that both share: the longest such.
fn anchors(base: &[&[u8]], other: &[&[u8]], of: &(Range<usize>, Range<usize>)) -> Vec<(usize, usize)> {
    #[derive(Default)]
    struct Seen {
        base: usize,
        other: usize,
        at: usize,
    }
    let mut seen: HashMap<&[u8], Seen> = HashMap::new();
    for line in &base[of.0.clone()] {
        seen.entry(line).or_default().base += 1;
    }
    for at in of.1.clone() {
        let line = seen.entry(other[at]).or_default();
        (line.other, line.at) = (line.other + 1, at);
    }
    let twins = of.0.clone().filter_map(|at| {
        let line = &seen[base[at]];
        (line.base == 1 && line.other == 1).then_some((at, line.at))
    });
    longest_rising(&twins.collect::<Vec<_>>())
}

/// The longest of these, in order, whose second rises (patience sorting).
fn longest_rising(twins: &[(usize, usize)]) -> Vec<(usize, usize)> {
    let mut tops: Vec<usize> = Vec::new();
    let mut before: Vec<Option<usize>> = vec![None; twins.len()];
    for (n, twin) in twins.iter().enumerate() {
        let pile = tops.partition_point(|top| twins[*top].1 < twin.1);
        before[n] = pile.checked_sub(1).map(|left| tops[left]);
        if pile == tops.len() {
            tops.push(n);
        } else {
            tops[pile] = n;
        }
    }
    let mut chain: Vec<_> =
        std::iter::successors(tops.last().copied(), |n| before[*n]).map(|n| twins[n]).collect();
    chain.reverse();
    chain
}
