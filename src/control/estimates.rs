//! What is learned about accesses from the figures of clients and caches, held so that no single one decides it.
//!
//! A client tells the size of the part that it asks for. It may be wrong, and an honest one may be far from the usual
//! size. So a size that can't be is rejected, a sample moves a mean by a bounded share of it, and work is counted in
//! accesses of mean work: an outlier then changes the unit for what members carry and for what they are sent alike.

use super::*;

impl Front {
    /// The weight of one sample in a mean.
    const SAMPLE_WEIGHT: f64 = 1.0 / 64.0;
    /// A sample counts as at most this multiple of the mean.
    const MAX_SAMPLE_RATIO: f64 = 8.0;
    /// Transfers shorter than this share of the soft limit count as that long: below it, round trips decide.
    const MIN_TRANSFER_SHARE: f64 = 1.0 / 64.0;
    /// Telling a client that its copy holds takes this share of the time of a transfer.
    const NOT_MODIFIED_SHARE: f64 = 1.0 / 20.0;
    /// The work of one access, in accesses of mean work, is held within these bounds.
    const WORK_RANGE: [f64; 2] = [1.0 / 16.0, 16.0];

    /// Whether an access may be of the size that it tells. One that could not be answered within the hard limit of
    /// its offering even if the client's copy held, by the rate of one transfer, is not.
    pub fn is_possible_size(&self, offering: usize, kb: f64) -> bool {
        let hard_limit = self.offerings[offering].settings.hard_limit as f64;
        if !kb.is_finite() || kb < 0.0 {
            return false;
        }
        hard_limit == 0.0
            || self.kb_per_tick == 0.0
            || kb / self.kb_per_tick * Self::NOT_MODIFIED_SHARE <= hard_limit
    }

    /// When an access ends that its client has sent at this time and waits this long for: a client waits no longer
    /// than the hard limit of the offering.
    pub fn deadline(&self, offering: usize, sent_at: Ticks, wait: Ticks) -> Ticks {
        match self.offerings[offering].settings.hard_limit {
            0 => sent_at.saturating_add(wait),
            hard_limit => sent_at.saturating_add(wait.min(hard_limit)),
        }
    }

    /// A mean after one more sample.
    fn updated_mean(mean: f64, sample: f64) -> f64 {
        mean + (sample.min(Self::MAX_SAMPLE_RATIO * mean) - mean) * Self::SAMPLE_WEIGHT
    }

    /// Adds a transfer time, in ticks, to the mean of an offering.
    pub(super) fn record_transfer_time(&mut self, offering: usize, transfer_time: f64) {
        let offering = &mut self.offerings[offering];
        let Offering { soft_limit, hard_limit, .. } = offering.settings;
        let longest = if hard_limit > 0 { hard_limit as f64 } else { f64::INFINITY };
        let sample = transfer_time.min(longest).max(Self::MIN_TRANSFER_SHARE * soft_limit as f64).max(1.0);
        offering.mean_transfer_time = Self::updated_mean(offering.mean_transfer_time, sample);
    }

    /// Adds an access of an offering to the mean over all accesses.
    pub(super) fn record_mean_access(&mut self, offering: usize) {
        let transfer_time = self.offerings[offering].mean_transfer_time;
        self.mean_transfer_time = Self::updated_mean(self.mean_transfer_time, transfer_time);
    }

    /// Adds the benefit of an access per tick of its transfer time to the mean. The first few count for more, so that
    /// the mean doesn't hang on the first one.
    pub(super) fn record_benefit_rate(&mut self, benefit_rate: f64) {
        self.benefit_rate_samples = (self.benefit_rate_samples + 1.0).min(1.0 / Self::SAMPLE_WEIGHT);
        let sample = if self.benefit_rate_samples == 1.0 {
            benefit_rate
        } else {
            benefit_rate.min(Self::MAX_SAMPLE_RATIO * self.mean_benefit_rate)
        };
        self.mean_benefit_rate += (sample - self.mean_benefit_rate) / self.benefit_rate_samples;
    }

    /// The benefit of an access per tick of its transfer time.
    pub(super) fn benefit_rate(&self, offering: usize, transfer_time: f64) -> f64 {
        let Offering { benefit, soft_limit, .. } = self.offerings[offering].settings;
        benefit / transfer_time.max(Self::MIN_TRANSFER_SHARE * soft_limit as f64).max(1.0)
    }

    /// The work of one access of an offering, in accesses of mean work.
    pub(super) fn work(&self, offering: usize) -> f64 {
        let work = self.offerings[offering].mean_transfer_time / self.mean_transfer_time.max(1.0);
        work.clamp(Self::WORK_RANGE[0], Self::WORK_RANGE[1])
    }
}
