//! An HCL file, read key by key: the readers collect errors instead of stopping at the first one.

use std::cell::RefCell;
use std::collections::BTreeSet;
use std::fmt;
use std::ops::RangeInclusive;
use std::str::FromStr;

use hcl_edit::Span;
use hcl_edit::expr::Expression;
use hcl_edit::structure::{Attribute, Body};

/// One error in a file.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Problem {
    pub file: Box<str>,
    /// Starts at 1; 0 if the error concerns the entire file.
    pub line: usize,
    pub column: usize,
    /// The key or block with its path, as in `hierarchy.shape`; empty if the error concerns none.
    pub key: Box<str>,
    pub message: Box<str>,
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
        write!(f, ": {}", self.message)
    }
}

/// All errors in a file, one per line in their text.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Problems(pub Vec<Problem>);

impl Problems {
    /// A single error that concerns the entire file.
    pub fn of_file(file: &str, message: impl fmt::Display) -> Problems {
        let message = message.to_string().into();
        Problems(vec![Problem { file: file.into(), line: 0, column: 0, key: "".into(), message }])
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

/// Further errors are not reported: so many are enough to correct at a time.
const MAX_PROBLEMS: usize = 50;

/// A parsed file, with the errors found in it so far.
pub struct Document {
    file: Box<str>,
    /// Byte offset at which each line starts.
    line_starts: Vec<usize>,
    body: Body,
    problems: RefCell<Vec<Problem>>,
}

impl Document {
    pub fn parse(file: &str, text: &str) -> Result<Document, Problems> {
        let body = Body::from_str(text).map_err(|e| {
            let (line, column) = (e.location().line(), e.location().column());
            let message = format!("is not HCL: {}", e.message()).into();
            Problems(vec![Problem { file: file.into(), line, column, key: "".into(), message }])
        })?;
        let line_starts = std::iter::once(0).chain(text.match_indices('\n').map(|(at, _)| at + 1)).collect();
        Ok(Document { file: file.into(), line_starts, body, problems: RefCell::default() })
    }

    pub fn root(&self) -> Block<'_> {
        Block::new(self, &self.body, String::new(), 0)
    }

    /// The line and column of a byte offset.
    fn position(&self, offset: usize) -> (usize, usize) {
        let line = self.line_starts.partition_point(|&start| start <= offset);
        (line, offset - self.line_starts[line.saturating_sub(1)] + 1)
    }

    fn report(&self, offset: usize, key: &str, message: impl fmt::Display) {
        let mut problems = self.problems.borrow_mut();
        if problems.len() < MAX_PROBLEMS {
            let (line, column) = self.position(offset);
            let (file, key) = (self.file.clone(), key.into());
            problems.push(Problem { file, line, column, key, message: message.to_string().into() });
        }
    }

    /// Returns the value that was read, or all errors, by line.
    pub fn finish<T>(self, value: T) -> Result<T, Problems> {
        let mut problems = self.problems.into_inner();
        problems.sort_by_key(|p| (p.line, p.column));
        if problems.is_empty() { Ok(value) } else { Err(Problems(problems)) }
    }
}

/// A block, or the file itself. Keys and blocks that are read from it count as known; [`Block::finish`] reports all
/// others as errors.
pub struct Block<'a> {
    document: &'a Document,
    body: &'a Body,
    path: String,
    offset: usize,
    known_keys: RefCell<BTreeSet<&'static str>>,
    known_blocks: RefCell<BTreeSet<&'static str>>,
}

impl<'a> Block<'a> {
    fn new(document: &'a Document, body: &'a Body, path: String, offset: usize) -> Self {
        Block {
            document,
            body,
            path,
            offset,
            known_keys: RefCell::default(),
            known_blocks: RefCell::default(),
        }
    }

    /// The key with the path of this block.
    fn full_key(&self, key: &str) -> String {
        if self.path.is_empty() { key.to_owned() } else { format!("{}.{key}", self.path) }
    }

    /// Reports an error of a key, at the position of its value, or of the block if the key is missing.
    pub fn report(&self, key: &str, message: impl fmt::Display) {
        let span = self.body.get_attribute(key).and_then(|a| a.value.span());
        self.document.report(span.map_or(self.offset, |s| s.start), &self.full_key(key), message);
    }

    /// Reports an error of the entire block.
    pub fn report_block(&self, message: impl fmt::Display) {
        self.document.report(self.offset, &self.path, message);
    }

    fn attribute(&self, key: &'static str) -> Option<&'a Attribute> {
        self.known_keys.borrow_mut().insert(key);
        self.body.get_attribute(key)
    }

    /// Reads a value with `convert`; reports an error if that returns None.
    fn read<T>(
        &self,
        key: &'static str,
        expected: &str,
        convert: impl FnOnce(&'a Expression) -> Option<T>,
    ) -> Option<T> {
        let attribute = self.attribute(key)?;
        let value = convert(&attribute.value);
        if value.is_none() {
            let found = attribute.value.to_string();
            let found: String = found.trim().chars().take(60).collect();
            self.report(key, format_args!("expected {expected}, got {found}"));
        }
        value
    }

    pub fn string(&self, key: &'static str) -> Option<&'a str> {
        self.read(key, "a quoted string", Expression::as_str)
    }

    pub fn bool(&self, key: &'static str) -> Option<bool> {
        self.read(key, "true or false", Expression::as_bool)
    }

    pub fn integer(&self, key: &'static str, range: RangeInclusive<u64>) -> Option<u64> {
        let expected = format!("a whole number from {} to {}", range.start(), range.end());
        self.read(key, &expected, |e| e.as_number()?.as_u64().filter(|n| range.contains(n)))
    }

    pub fn fraction(&self, key: &'static str) -> Option<f64> {
        self.read(key, "a number from 0 to 1", |e| {
            e.as_number()?.as_f64().filter(|s| (0.0..=1.0).contains(s))
        })
    }

    /// A number from `min` to `max`, both of them allowed.
    pub fn number(&self, key: &'static str, min: f64, max: f64) -> Option<f64> {
        self.read(key, &format!("a number from {min} to {max}"), |e| {
            e.as_number()?.as_f64().filter(|n| (min..=max).contains(n))
        })
    }

    pub fn fractions(&self, key: &'static str) -> Option<Vec<f64>> {
        let fraction = |e: &Expression| e.as_number()?.as_f64().filter(|s| (0.0..=1.0).contains(s));
        self.read(key, "a list of numbers from 0 to 1", |e| e.as_array()?.iter().map(fraction).collect())
    }

    /// Bytes as hex digits. An error does not repeat the value, which must stay secret.
    pub fn secret(&self, key: &'static str) -> Option<Vec<u8>> {
        let attribute = self.attribute(key)?;
        let hex = attribute.value.as_str().filter(|t| t.is_ascii() && t.len() % 2 == 0 && !t.is_empty());
        let byte = |at: usize| u8::from_str_radix(hex?.get(at..at + 2)?, 16).ok();
        let bytes = hex.and_then(|t| (0..t.len()).step_by(2).map(byte).collect());
        if bytes.is_none() {
            self.report(key, "expected an even count of hex digits in quotes");
        }
        bytes
    }

    pub fn strings(&self, key: &'static str) -> Option<Vec<&'a str>> {
        self.read(key, "a list of quoted strings", |e| e.as_array()?.iter().map(Expression::as_str).collect())
    }

    /// One of the names in `choices`; returns the value of that name.
    pub fn choice<T: Copy>(&self, key: &'static str, choices: &[(&str, T)]) -> Option<T> {
        let names: Vec<String> = choices.iter().map(|c| format!("\"{}\"", c.0)).collect();
        let value_of = |name: &str| choices.iter().find(|c| c.0 == name).map(|c| c.1);
        self.read(key, &format!("one of {}", names.join(", ")), |e| value_of(e.as_str()?))
    }

    /// Passes on the value that was read for a key, and reports an error if the key is missing.
    pub fn required<T>(&self, key: &'static str, value: Option<T>) -> Option<T> {
        if value.is_none() && self.body.get_attribute(key).is_none() {
            self.report(key, "is missing");
        }
        value
    }

    /// The blocks of a kind, with their labels; each must have `label_count` of them.
    pub fn blocks(&self, kind: &'static str, label_count: usize) -> Vec<(Vec<&'a str>, Block<'a>)> {
        self.known_blocks.borrow_mut().insert(kind);
        let mut found = Vec::new();
        for block in self.body.get_blocks(kind) {
            let offset = block.span().map_or(self.offset, |s| s.start);
            let labels: Vec<&str> = block.labels.iter().map(|l| l.as_str()).collect();
            let path = self.full_key(&[&[kind][..], &labels].concat().join("."));
            if labels.len() == label_count {
                found.push((labels, Block::new(self.document, &block.body, path, offset)));
            } else {
                let message = if label_count == 0 {
                    "expected no label".into()
                } else {
                    format!("expected {label_count} label")
                };
                self.document.report(offset, &path, message);
            }
        }
        found
    }

    /// The only block of a kind, if there is one.
    pub fn block(&self, kind: &'static str) -> Option<Block<'a>> {
        let mut all = self.blocks(kind, 0);
        for (_, duplicate) in all.drain(1.min(all.len())..) {
            duplicate.report_block("is defined twice");
        }
        all.pop().map(|b| b.1)
    }

    /// Reports all keys and blocks that were not read: they are unknown.
    pub fn finish(self) {
        let (keys, blocks) = (self.known_keys.borrow(), self.known_blocks.borrow());
        for attribute in self.body.attributes() {
            let key = attribute.key.as_str();
            if !keys.contains(key) {
                let offset = attribute.span().map_or(self.offset, |s| s.start);
                let message = if blocks.contains(key) {
                    "is a block: expected no '='".into()
                } else {
                    unknown("key", key, &keys)
                };
                self.document.report(offset, &self.full_key(key), message);
            }
        }
        for block in self.body.blocks() {
            let kind = block.ident.as_str();
            if !blocks.contains(kind) {
                let offset = block.span().map_or(self.offset, |s| s.start);
                let message = if keys.contains(kind) {
                    "is a key: expected '='".into()
                } else {
                    unknown("block", kind, &blocks)
                };
                self.document.report(offset, &self.full_key(kind), message);
            }
        }
    }
}

/// The message for an unknown key or block (`what`): suggests the most similar known name, or lists all of them.
fn unknown(what: &str, name: &str, known: &BTreeSet<&'static str>) -> String {
    let nearest = known.iter().map(|k| (strsim::damerau_levenshtein(name, k), k)).min();
    match nearest.filter(|(distance, k)| *distance <= 1 + k.len() / 3) {
        Some((_, nearest)) => format!("unknown {what}: expected '{nearest}'?"),
        None if known.is_empty() => format!("unknown {what}: expected none here"),
        None => {
            format!("unknown {what}: expected one of {}", Vec::from_iter(known.iter().copied()).join(", "))
        }
    }
}
