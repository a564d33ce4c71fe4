//! One line of the simulator's protocol: a tag, and then `name=value` fields in any order, separated by spaces.

use std::fmt;

use doorgrade::Ticks;

/// A fault of the input, or of reading or writing, as a text for people.
#[derive(Debug)]
pub struct Error(pub String);

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

pub struct Line<'a> {
    tag: &'a str,
    fields: &'a str,
}

impl<'a> Line<'a> {
    pub fn new(text: &'a str) -> Self {
        let (tag, fields) = text.split_once(' ').unwrap_or((text, ""));
        Line { tag, fields }
    }

    pub fn tag(&self) -> &'a str {
        self.tag
    }

    /// The value of a field, if the line has it.
    pub fn get(&self, name: &str) -> Option<&'a str> {
        self.fields.split(' ').find_map(|field| field.strip_prefix(name)?.strip_prefix('='))
    }

    /// The value of a field that the line must have.
    pub fn require(&self, name: &str) -> Result<&'a str, Error> {
        self.get(name).ok_or_else(|| Error(format!("'{}': field '{name}' is missing", self.tag)))
    }

    /// The value of a field that runs to the end of the line, and so may contain spaces.
    pub fn rest(&self, name: &str) -> Result<&'a str, Error> {
        let mut start = 0;
        for field in self.fields.split(' ') {
            if let Some(value) = field.strip_prefix(name).and_then(|v| v.strip_prefix('=')) {
                return Ok(&self.fields[start + field.len() - value.len()..]);
            }
            start += field.len() + 1;
        }
        Err(Error(format!("'{}': field '{name}' is missing", self.tag)))
    }

    fn unreadable(&self, name: &str, value: &str) -> Error {
        Error(format!("'{}': field '{name}': cannot read '{value}'", self.tag))
    }

    pub fn integer(&self, name: &str) -> Result<u64, Error> {
        let value = self.require(name)?;
        value.parse().map_err(|_| self.unreadable(name, value))
    }

    pub fn integer_or(&self, name: &str, default: u64) -> Result<u64, Error> {
        self.get(name).map_or(Ok(default), |_| self.integer(name))
    }

    pub fn number_or(&self, name: &str, default: f64) -> Result<f64, Error> {
        let Some(value) = self.get(name) else { return Ok(default) };
        value.parse().ok().filter(|v: &f64| v.is_finite()).ok_or_else(|| self.unreadable(name, value))
    }

    /// A boolean: 0 or 1, and false if the line does not have the field.
    pub fn flag(&self, name: &str) -> Result<bool, Error> {
        match self.get(name) {
            None | Some("0") => Ok(false),
            Some("1") => Ok(true),
            Some(value) => Err(self.unreadable(name, value)),
        }
    }

    /// A time, which the protocol writes in milliseconds with a decimal fraction, in whole microseconds. Further
    /// digits are cut off. It is not read as a float, since that could round it.
    fn microseconds(&self, name: &str) -> Result<u64, Error> {
        let value = self.require(name)?;
        let error = || self.unreadable(name, value);
        let (whole, fraction) = value.split_once('.').unwrap_or((value, ""));
        if !fraction.bytes().all(|b| b.is_ascii_digit()) {
            return Err(error());
        }
        let mut total = whole.parse::<u64>().ok().and_then(|w| w.checked_mul(1000)).ok_or_else(error)?;
        for (digit, scale) in fraction.bytes().zip([100, 10, 1]) {
            total += u64::from(digit - b'0') * scale;
        }
        Ok(total)
    }

    /// A time, rounded down to a tick.
    pub fn ticks_floor(&self, name: &str) -> Result<Ticks, Error> {
        Ok(self.microseconds(name)? / 100)
    }

    /// A time, rounded up to a tick.
    pub fn ticks_ceil(&self, name: &str) -> Result<Ticks, Error> {
        Ok(self.microseconds(name)?.div_ceil(100))
    }
}
