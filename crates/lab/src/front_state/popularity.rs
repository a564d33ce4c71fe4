//! Popularity of objects by Zipf's law: sampling from many millions of objects without a table of them, and Che's
//! approximation of caches of such objects.

use rand_distr::{Distribution, Zipf};
use rand_pcg::Pcg64Mcg;
use rand_pcg::rand_core::SeedableRng;

/// Samples popularity ranks by Zipf's law.
pub struct ZipfSampler {
    zipf: Zipf<f64>,
    rng: Pcg64Mcg,
}

impl ZipfSampler {
    /// Samples ranks from 0, the most popular, to `objects - 1`. None if there are no objects, or the exponent is negative
    /// or NaN.
    pub fn new(objects: u32, exponent: f64, seed: u64) -> Option<ZipfSampler> {
        let zipf = Zipf::new(f64::from(objects), exponent).ok()?;
        Some(ZipfSampler { zipf, rng: Pcg64Mcg::seed_from_u64(seed) })
    }

    pub fn sample(&mut self) -> u32 {
        self.zipf.sample(&mut self.rng) as u32 - 1
    }
}

/// The id of the object of a rank; adjacent ranks have unrelated ids.
pub fn object(rank: u32) -> u64 {
    (u64::from(rank) + 1).wrapping_mul(0x9e37_79b9_7f4a_7c15)
}

/// The distribution of popularity, as ranges of ranks with nearly equal popularity: how many objects a range has, and the
/// share of all accesses that each of them gets.
pub struct Popularity(Vec<(f64, f64)>);

/// Each of the first ranks is a range of its own; after them, each range is longer by a hundredth.
const SINGLE_RANKS: u32 = 1_000;

impl Popularity {
    pub fn new(objects: u32, exponent: f64) -> Popularity {
        let weight = |rank: f64| rank.powf(-exponent);
        let mut ranges: Vec<(f64, f64)> =
            (1..=objects.min(SINGLE_RANKS)).map(|r| (1.0, weight(f64::from(r)))).collect();
        let mut from = SINGLE_RANKS;
        while from < objects {
            let to = objects.min(from + from / 100);
            // Taking the weight at the middle of the range is exact to some millionths.
            ranges.push((f64::from(to - from), weight((f64::from(from) + f64::from(to) + 1.0) / 2.0)));
            from = to;
        }
        let total: f64 = ranges.iter().map(|(count, weight)| count * weight).sum();
        ranges.iter_mut().for_each(|r| r.1 /= total);
        Popularity(ranges)
    }

    /// The ranges in the order of ranks: number of objects, and the share of all accesses that each of them gets.
    pub fn ranges(&self) -> &[(f64, f64)] {
        &self.0
    }

    /// The sum over all objects of a function of an object's share of the accesses.
    fn sum(&self, function: impl Fn(f64) -> f64) -> f64 {
        self.0.iter().map(|&(count, share)| count * function(share)).sum()
    }

    /// The share of the most popular object.
    pub fn top_share(&self) -> f64 {
        self.0.first().map_or(0.0, |r| r.1)
    }

    /// The share of accesses whose object was accessed within the last `seconds`, at `rate` accesses a second.
    pub fn share_accessed_within(&self, rate: f64, seconds: f64) -> f64 {
        self.sum(|p| p * (1.0 - (-rate * p * seconds).exp()))
    }

    /// The share of accesses that find a copy, if a copy is made at an access that finds none and lasts for `seconds`.
    pub fn share_with_copy(&self, rate: f64, seconds: f64) -> f64 {
        self.sum(|p| p * (rate * p * seconds) / (1.0 + rate * p * seconds))
    }

    /// Che's approximation of a FIFO table of `size` entries: how long an entry stays, in seconds, and the share of accesses
    /// that find one.
    pub fn first_in_first_out(&self, rate: f64, size: f64) -> (f64, f64) {
        let entries = |t: f64| self.sum(|p| (rate * p * t) / (1.0 + rate * p * t));
        let stay = time_to_fill(entries, size);
        (stay, self.share_with_copy(rate, stay))
    }

    /// The same for a table with LRU eviction.
    pub fn least_recently_used(&self, rate: f64, size: f64) -> (f64, f64) {
        let stay = time_to_fill(|t| self.sum(|p| 1.0 - (-rate * p * t).exp()), size);
        (stay, self.share_accessed_within(rate, stay))
    }
}

/// The time, in seconds, after which a rising number of entries reaches `size`; a year if it never does.
fn time_to_fill(entries: impl Fn(f64) -> f64, size: f64) -> f64 {
    let (mut low, mut high) = (0.0, 3.2e7);
    for _ in 0..80 {
        let middle = (low + high) / 2.0;
        if entries(middle) < size { low = middle } else { high = middle }
    }
    high
}
