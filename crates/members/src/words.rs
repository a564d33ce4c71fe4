//! How many datagrams may leave: so many a second, and a second's worth at once.

use doorgrade::Tenths;

pub(crate) struct Words {
    a_second: f64,
    left: f64,
    at: Tenths,
    pub(crate) said: u64,
    /// Not said, since there were too many.
    pub(crate) kept: u64,
}

impl Words {
    pub(crate) fn new(a_second: u32, now: Tenths) -> Words {
        let a_second = f64::from(a_second);
        Words { a_second, left: a_second, at: now, said: 0, kept: 0 }
    }

    pub(crate) fn may(&mut self, now: Tenths) -> bool {
        let passed = now.saturating_sub(self.at) as f64 / 10_000.0;
        (self.left, self.at) = ((self.left + passed * self.a_second).min(self.a_second), now.max(self.at));
        let may = self.left >= 1.0;
        if may {
            (self.left, self.said) = (self.left - 1.0, self.said + 1);
        } else {
            self.kept += 1;
        }
        may
    }
}
