//! One line of the wire: a tag and name=value pairs in any order.

use std::fmt;

use doorgrade::Ticks;

/// What is wrong with the input, in plain words.
#[derive(Debug)]
pub struct Bad(pub String);

impl fmt::Display for Bad {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

pub struct Line<'a> {
    tag: &'a str,
    pairs: &'a str,
}

impl<'a> Line<'a> {
    pub fn new(text: &'a str) -> Self {
        let (tag, pairs) = text.split_once(' ').unwrap_or((text, ""));
        Line { tag, pairs }
    }

    pub fn tag(&self) -> &'a str {
        self.tag
    }

    pub fn get(&self, name: &str) -> Option<&'a str> {
        self.pairs.split(' ').find_map(|pair| pair.strip_prefix(name)?.strip_prefix('='))
    }

    pub fn text(&self, name: &str) -> Result<&'a str, Bad> {
        self.get(name).ok_or_else(|| Bad(format!("'{}': field '{name}' is missing", self.tag)))
    }

    /// A text field: it runs to the end of the line.
    pub fn rest(&self, name: &str) -> Result<&'a str, Bad> {
        let mut from = 0;
        for pair in self.pairs.split(' ') {
            if let Some(value) = pair.strip_prefix(name).and_then(|v| v.strip_prefix('=')) {
                return Ok(&self.pairs[from + pair.len() - value.len()..]);
            }
            from += pair.len() + 1;
        }
        Err(Bad(format!("'{}': field '{name}' is missing", self.tag)))
    }

    fn unreadable(&self, name: &str, value: &str) -> Bad {
        Bad(format!("'{}': field '{name}': cannot read '{value}'", self.tag))
    }

    pub fn whole(&self, name: &str) -> Result<u64, Bad> {
        let value = self.text(name)?;
        value.parse().map_err(|_| self.unreadable(name, value))
    }

    pub fn whole_or(&self, name: &str, absent: u64) -> Result<u64, Bad> {
        self.get(name).map_or(Ok(absent), |_| self.whole(name))
    }

    pub fn number_or(&self, name: &str, absent: f64) -> Result<f64, Bad> {
        let Some(value) = self.get(name) else { return Ok(absent) };
        value.parse().ok().filter(|v: &f64| v.is_finite()).ok_or_else(|| self.unreadable(name, value))
    }

    pub fn flag(&self, name: &str) -> Result<bool, Bad> {
        match self.get(name) {
            None | Some("0") => Ok(false),
            Some("1") => Ok(true),
            Some(value) => Err(self.unreadable(name, value)),
        }
    }

    /// Milliseconds with a fraction, exactly, in thousandths.
    fn thousandths(&self, name: &str) -> Result<u64, Bad> {
        let value = self.text(name)?;
        let bad = || self.unreadable(name, value);
        let (whole, fraction) = value.split_once('.').unwrap_or((value, ""));
        if !fraction.bytes().all(|b| b.is_ascii_digit()) {
            return Err(bad());
        }
        let mut total = whole.parse::<u64>().ok().and_then(|w| w.checked_mul(1000)).ok_or_else(bad)?;
        for (digit, scale) in fraction.bytes().zip([100, 10, 1]) {
            total += u64::from(digit - b'0') * scale;
        }
        Ok(total)
    }

    pub fn time_down(&self, name: &str) -> Result<Ticks, Bad> {
        Ok(self.thousandths(name)? / 100)
    }

    pub fn time_up(&self, name: &str) -> Result<Ticks, Bad> {
        Ok(self.thousandths(name)?.div_ceil(100))
    }
}
