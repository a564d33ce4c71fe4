//! Checked reading of one HCL file.

use std::cell::RefCell;
use std::collections::BTreeSet;
use std::fmt;
use std::ops::RangeInclusive;
use std::str::FromStr;

use hcl_edit::Span;
use hcl_edit::expr::Expression;
use hcl_edit::structure::{Attribute, Body};

/// One thing that is wrong in a file.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Problem {
    pub file: Box<str>,
    /// From 1; 0 where it is the file as a whole.
    pub line: usize,
    pub column: usize,
    /// With the blocks it stands in, as in `hierarchy.shape`; empty where no key is concerned.
    pub key: Box<str>,
    pub what: Box<str>,
}

impl fmt::Display for Problem {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.file)?;
        if self.line > 0 {
            write!(f, ":{}:{}", self.line, self.column)?;
        }
        if !self.key.is_empty() {
            write!(f, ": key '{}'", self.key)?;
        }
        write!(f, ": {}", self.what)
    }
}

#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Problems(pub Vec<Problem>);

impl Problems {
    /// About a file as a whole.
    pub fn of(file: &str, what: impl fmt::Display) -> Problems {
        let what = what.to_string().into();
        Problems(vec![Problem { file: file.into(), line: 0, column: 0, key: "".into(), what }])
    }
}

impl fmt::Display for Problems {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (n, problem) in self.0.iter().enumerate() {
            write!(f, "{}{problem}", if n > 0 { "\n" } else { "" })?;
        }
        Ok(())
    }
}

impl std::error::Error for Problems {}

/// More of them are not told: the first ones are what a person mends.
const MOST_PROBLEMS: usize = 50;

pub struct Doc {
    file: Box<str>,
    /// Where each line begins.
    lines: Vec<usize>,
    body: Body,
    problems: RefCell<Vec<Problem>>,
}

impl Doc {
    pub fn parse(file: &str, text: &str) -> Result<Doc, Problems> {
        let body = Body::from_str(text).map_err(|e| {
            let (line, column) = (e.location().line(), e.location().column());
            let what = format!("is not HCL: {}", e.message()).into();
            Problems(vec![Problem { file: file.into(), line, column, key: "".into(), what }])
        })?;
        let lines = std::iter::once(0).chain(text.match_indices('\n').map(|(at, _)| at + 1)).collect();
        Ok(Doc { file: file.into(), lines, body, problems: RefCell::default() })
    }

    pub fn root(&self) -> Block<'_> {
        Block::new(self, &self.body, String::new(), 0)
    }

    fn place(&self, at: usize) -> (usize, usize) {
        let line = self.lines.partition_point(|&start| start <= at);
        (line, at - self.lines[line.saturating_sub(1)] + 1)
    }

    fn complain(&self, at: usize, key: &str, what: impl fmt::Display) {
        let mut problems = self.problems.borrow_mut();
        if problems.len() < MOST_PROBLEMS {
            let (line, column) = self.place(at);
            let (file, key) = (self.file.clone(), key.into());
            problems.push(Problem { file, line, column, key, what: what.to_string().into() });
        }
    }

    /// What was read, or all that was wrong on the way.
    pub fn finish<T>(self, read: T) -> Result<T, Problems> {
        let mut problems = self.problems.into_inner();
        problems.sort_by_key(|p| (p.line, p.column));
        if problems.is_empty() { Ok(read) } else { Err(Problems(problems)) }
    }
}

/// A block, or the file itself. What is asked of it counts as known; all else is a problem when it is done with.
pub struct Block<'a> {
    doc: &'a Doc,
    body: &'a Body,
    path: String,
    at: usize,
    keys: RefCell<BTreeSet<&'static str>>,
    blocks: RefCell<BTreeSet<&'static str>>,
}

impl<'a> Block<'a> {
    fn new(doc: &'a Doc, body: &'a Body, path: String, at: usize) -> Self {
        Block { doc, body, path, at, keys: RefCell::default(), blocks: RefCell::default() }
    }

    fn key(&self, key: &str) -> String {
        if self.path.is_empty() { key.to_owned() } else { format!("{}.{key}", self.path) }
    }

    /// Says that something is wrong with a key's value, at its place, or with the block if it is not there.
    pub fn complain(&self, key: &str, what: impl fmt::Display) {
        let at = self.body.get_attribute(key).and_then(|a| a.value.span());
        self.doc.complain(at.map_or(self.at, |s| s.start), &self.key(key), what);
    }

    /// Says that something is wrong with the block as a whole.
    pub fn complain_of_all(&self, what: impl fmt::Display) {
        self.doc.complain(self.at, &self.path, what);
    }

    fn attribute(&self, key: &'static str) -> Option<&'a Attribute> {
        self.keys.borrow_mut().insert(key);
        self.body.get_attribute(key)
    }

    fn read<T>(
        &self,
        key: &'static str,
        expected: &str,
        take: impl FnOnce(&'a Expression) -> Option<T>,
    ) -> Option<T> {
        let attribute = self.attribute(key)?;
        let value = take(&attribute.value);
        if value.is_none() {
            let told = attribute.value.to_string();
            let told: String = told.trim().chars().take(60).collect();
            self.complain(key, format_args!("expected {expected}, got {told}"));
        }
        value
    }

    pub fn text(&self, key: &'static str) -> Option<&'a str> {
        self.read(key, "a text in quotes", Expression::as_str)
    }

    pub fn flag(&self, key: &'static str) -> Option<bool> {
        self.read(key, "true or false", Expression::as_bool)
    }

    pub fn whole(&self, key: &'static str, range: RangeInclusive<u64>) -> Option<u64> {
        let expected = format!("a whole number from {} to {}", range.start(), range.end());
        self.read(key, &expected, |e| e.as_number()?.as_u64().filter(|n| range.contains(n)))
    }

    /// A share of something.
    pub fn share(&self, key: &'static str) -> Option<f64> {
        self.read(key, "a number from 0 to 1", |e| {
            e.as_number()?.as_f64().filter(|s| (0.0..=1.0).contains(s))
        })
    }

    /// A number within bounds, both of them allowed.
    pub fn between(&self, key: &'static str, least: f64, most: f64) -> Option<f64> {
        self.read(key, &format!("a number from {least} to {most}"), |e| {
            e.as_number()?.as_f64().filter(|n| (least..=most).contains(n))
        })
    }

    pub fn shares(&self, key: &'static str) -> Option<Vec<f64>> {
        let one = |e: &Expression| e.as_number()?.as_f64().filter(|s| (0.0..=1.0).contains(s));
        self.read(key, "a list of numbers from 0 to 1", |e| e.as_array()?.iter().map(one).collect())
    }

    /// Bytes in hex digits. What stands there is not repeated in a message: it is nobody's to read.
    pub fn secret(&self, key: &'static str) -> Option<Vec<u8>> {
        let attribute = self.attribute(key)?;
        let hex = attribute.value.as_str().filter(|t| t.is_ascii() && t.len() % 2 == 0 && !t.is_empty());
        let byte = |at: usize| u8::from_str_radix(hex?.get(at..at + 2)?, 16).ok();
        let read = hex.and_then(|t| (0..t.len()).step_by(2).map(byte).collect());
        if read.is_none() {
            self.complain(key, "expected an even count of hex digits in quotes");
        }
        read
    }

    pub fn texts(&self, key: &'static str) -> Option<Vec<&'a str>> {
        self.read(key, "a list of texts in quotes", |e| {
            e.as_array()?.iter().map(Expression::as_str).collect()
        })
    }

    /// One of some words, as what each stands for.
    pub fn word<T: Copy>(&self, key: &'static str, words: &[(&str, T)]) -> Option<T> {
        let names: Vec<String> = words.iter().map(|w| format!("\"{}\"", w.0)).collect();
        let of = |told: &str| words.iter().find(|w| w.0 == told).map(|w| w.1);
        self.read(key, &format!("one of {}", names.join(", ")), |e| of(e.as_str()?))
    }

    /// Says so if a key is missing.
    pub fn required<T>(&self, key: &'static str, value: Option<T>) -> Option<T> {
        if value.is_none() && self.body.get_attribute(key).is_none() {
            self.complain(key, "is missing");
        }
        value
    }

    /// The blocks of a kind, with their labels; `labels` says how many each has.
    pub fn blocks(&self, kind: &'static str, labels: usize) -> Vec<(Vec<&'a str>, Block<'a>)> {
        self.blocks.borrow_mut().insert(kind);
        let mut found = Vec::new();
        for block in self.body.get_blocks(kind) {
            let at = block.span().map_or(self.at, |s| s.start);
            let named: Vec<&str> = block.labels.iter().map(|l| l.as_str()).collect();
            let path = self.key(&[&[kind][..], &named].concat().join("."));
            if named.len() == labels {
                found.push((named, Block::new(self.doc, &block.body, path, at)));
            } else {
                let what =
                    if labels == 0 { "expected no label".into() } else { format!("expected {labels} label") };
                self.doc.complain(at, &path, what);
            }
        }
        found
    }

    /// The one block of a kind, if it is there.
    pub fn block(&self, kind: &'static str) -> Option<Block<'a>> {
        let mut all = self.blocks(kind, 0);
        for (_, twice) in all.drain(1.min(all.len())..) {
            twice.complain_of_all("stands here a second time");
        }
        all.pop().map(|b| b.1)
    }

    /// All that is known of it has been asked for: what else stands there is wrong.
    pub fn done(self) {
        let (keys, blocks) = (self.keys.borrow(), self.blocks.borrow());
        for attribute in self.body.attributes() {
            let key = attribute.key.as_str();
            if !keys.contains(key) {
                let at = attribute.span().map_or(self.at, |s| s.start);
                let kind = if blocks.contains(key) {
                    "is a block: expected no '='".into()
                } else {
                    unknown("key", key, &keys)
                };
                self.doc.complain(at, &self.key(key), kind);
            }
        }
        for block in self.body.blocks() {
            let kind = block.ident.as_str();
            if !blocks.contains(kind) {
                let at = block.span().map_or(self.at, |s| s.start);
                let what = if keys.contains(kind) {
                    "is a key: expected '='".into()
                } else {
                    unknown("block", kind, &blocks)
                };
                self.doc.complain(at, &self.key(kind), what);
            }
        }
    }
}

fn unknown(what: &str, told: &str, known: &BTreeSet<&'static str>) -> String {
    let near = known.iter().map(|k| (strsim::damerau_levenshtein(told, k), k)).min();
    match near.filter(|(far, k)| *far <= 1 + k.len() / 3) {
        Some((_, nearest)) => format!("unknown {what}: expected '{nearest}'?"),
        None if known.is_empty() => format!("unknown {what}: expected none here"),
        None => {
            format!("unknown {what}: expected one of {}", Vec::from_iter(known.iter().copied()).join(", "))
        }
    }
}
