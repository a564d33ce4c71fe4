//! How many datagrams may leave: so many a second, and a second's worth at once.
//! Members say no more than that of their own; whoever answers commands beside them has another of these.

use doorgrade::Ticks;

pub struct Words {
    a_second: f64,
    left: f64,
    at: Ticks,
    pub said: u64,
    /// Not said, since there were too many.
    pub kept: u64,
}

impl Words {
    pub fn new(a_second: u32, now: Ticks) -> Words {
        let a_second = f64::from(a_second);
        Words { a_second, left: a_second, at: now, said: 0, kept: 0 }
    }

    pub fn may(&mut self, now: Ticks) -> bool {
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
