//! Which object an access is of, by Zipf's law over many millions of objects without a table of them; and what Che's
//! approximation says of tables of such objects.

use rand_distr::{Distribution, Zipf};
use rand_pcg::Pcg64Mcg;
use rand_pcg::rand_core::SeedableRng;

/// Ranks by Zipf's law, from a seed.
pub struct Draws {
    zipf: Zipf<f64>,
    rng: Pcg64Mcg,
}

impl Draws {
    /// Of `objects` objects, the most popular has rank 0. None where the exponent is negative or no number, or there
    /// are no objects.
    pub fn new(objects: u32, exponent: f64, seed: u64) -> Option<Draws> {
        let zipf = Zipf::new(f64::from(objects), exponent).ok()?;
        Some(Draws { zipf, rng: Pcg64Mcg::seed_from_u64(seed) })
    }

    pub fn rank(&mut self) -> u32 {
        self.zipf.sample(&mut self.rng) as u32 - 1
    }
}

/// The identity of the object of a rank: neighbours in rank are none in hash.
pub fn object(rank: u32) -> u64 {
    (u64::from(rank) + 1).wrapping_mul(0x9e37_79b9_7f4a_7c15)
}

/// How the popularity of objects is spread: ranges of ranks of nearly one popularity, each with how many objects it has
/// and the share of all accesses that each of them gets.
pub struct Popularity(Vec<(f64, f64)>);

/// Ranks up to here stand for themselves; later ones in ranges that grow by a hundredth.
const SINGLE: u32 = 1_000;

impl Popularity {
    pub fn new(objects: u32, exponent: f64) -> Popularity {
        let weight = |rank: f64| rank.powf(-exponent);
        let mut ranges: Vec<(f64, f64)> =
            (1..=objects.min(SINGLE)).map(|r| (1.0, weight(f64::from(r)))).collect();
        let mut from = SINGLE;
        while from < objects {
            let to = objects.min(from + from / 100);
            // The middle of a range of a hundredth stands for it to some millionths.
            ranges.push((f64::from(to - from), weight((f64::from(from) + f64::from(to) + 1.0) / 2.0)));
            from = to;
        }
        let all: f64 = ranges.iter().map(|(count, weight)| count * weight).sum();
        ranges.iter_mut().for_each(|r| r.1 /= all);
        Popularity(ranges)
    }

    /// Ranges of ranks in order: how many objects, and the share of all accesses that each gets.
    pub fn ranges(&self) -> &[(f64, f64)] {
        &self.0
    }

    /// The sum over all objects of what is made of each one's share of the accesses.
    fn sum(&self, of: impl Fn(f64) -> f64) -> f64 {
        self.0.iter().map(|&(count, share)| count * of(share)).sum()
    }

    /// The share of the most popular object.
    pub fn first(&self) -> f64 {
        self.0.first().map_or(0.0, |r| r.1)
    }

    /// The share of accesses whose object was asked for within the last `seconds`, at so many accesses a second.
    pub fn seen(&self, rate: f64, seconds: f64) -> f64 {
        self.sum(|p| p * (1.0 - (-rate * p * seconds).exp()))
    }

    /// The share of accesses whose copy, made at the first access after the one before ended, has not ended.
    pub fn renewed(&self, rate: f64, seconds: f64) -> f64 {
        self.sum(|p| p * (rate * p * seconds) / (1.0 + rate * p * seconds))
    }

    /// Che's approximation of a table of which what was put in first goes first: how far back it reaches, in seconds,
    /// and the share of accesses that it knows.
    pub fn first_in_first_out(&self, rate: f64, size: f64) -> (f64, f64) {
        let held = |t: f64| self.sum(|p| (rate * p * t) / (1.0 + rate * p * t));
        let reach = fill(held, size);
        (reach, self.renewed(rate, reach))
    }

    /// The same of a table of which what was used longest ago goes first.
    pub fn least_recently_used(&self, rate: f64, size: f64) -> (f64, f64) {
        let reach = fill(|t| self.sum(|p| 1.0 - (-rate * p * t).exp()), size);
        (reach, self.seen(rate, reach))
    }
}

/// The time after which a rising number held comes to a size; a year where it never does.
fn fill(held: impl Fn(f64) -> f64, size: f64) -> f64 {
    let (mut low, mut high) = (0.0, 3.2e7);
    for _ in 0..80 {
        let middle = (low + high) / 2.0;
        if held(middle) < size { low = middle } else { high = middle }
    }
    high
}
