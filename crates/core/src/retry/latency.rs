//! Estimate of the percentiles of a route's latency, in bounded memory.

use std::time::Duration;

/// Buckets per doubling of the latency; the estimate is at most 19 % too high.
const BUCKETS_PER_DOUBLING: f64 = 4.0;
/// Covers 1 us to 600 s, the longest route timeout.
const BUCKET_COUNT: usize = 118;
/// Total at which all counts are halved, so that recent latencies weigh more than old ones.
const HALVE_AT_TOTAL: u32 = 1_024;
/// Samples needed for an estimate; with fewer, no sample lies above the 95th percentile.
const MIN_SAMPLES: u32 = 20;

/// Histogram of recent latencies with geometric buckets.
#[derive(Debug, Clone)]
pub struct LatencyEstimate {
    counts: [u32; BUCKET_COUNT],
    total: u32,
}

impl Default for LatencyEstimate {
    fn default() -> Self {
        Self { counts: [0; BUCKET_COUNT], total: 0 }
    }
}

impl LatencyEstimate {
    /// Records the latency of a response.
    pub fn observe(&mut self, latency: Duration) {
        let micros = (latency.as_nanos() as f64 / 1e3).max(1.0);
        let bucket = (micros.log2() * BUCKETS_PER_DOUBLING) as usize;
        self.counts[bucket.min(BUCKET_COUNT - 1)] += 1;
        self.total += 1;
        if self.total >= HALVE_AT_TOTAL {
            self.halve();
        }
    }

    /// Latency that `percent` of 100 responses do not exceed, rounded up to the limit of its bucket;
    /// none while there are too few samples.
    #[must_use]
    pub fn percentile(&self, percent: u32) -> Option<Duration> {
        if self.total < MIN_SAMPLES {
            return None;
        }
        let rank = (self.total * percent).div_ceil(100);
        let mut seen = 0;
        let bucket = self.counts.iter().position(|&count| {
            seen += count;
            seen >= rank
        })?;
        let micros = ((bucket + 1) as f64 / BUCKETS_PER_DOUBLING).exp2();
        Some(Duration::from_secs_f64(micros / 1e6))
    }

    fn halve(&mut self) {
        for count in &mut self.counts {
            *count /= 2;
        }
        self.total = self.counts.iter().sum();
    }
}
