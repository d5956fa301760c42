//! Latency histogram that is small enough to be sent twice a second.

use std::collections::BTreeMap;
use std::time::Duration;

use serde::{Deserialize, Serialize};

/// Upper bound of the first bucket.
const FIRST_BOUND: f64 = 0.000_25;

/// Ratio of the bounds of two buckets; a release that is twice as slow is three buckets away.
const RATIO: f64 = 1.25;

/// Highest bucket; its lower bound is more than an hour.
const LAST_BUCKET: u8 = 80;

/// Numbers of responses by latency, in buckets whose bounds grow by a fixed ratio.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LatencyHistogram(BTreeMap<u8, u32>);

impl LatencyHistogram {
    /// Records one latency.
    pub fn record(&mut self, latency: Duration) {
        *self.0.entry(bucket(latency.as_secs_f64())).or_default() += 1;
    }

    /// Adds the numbers of another histogram.
    pub fn add(&mut self, other: &Self) {
        for (bucket, count) in &other.0 {
            let sum = self.0.entry((*bucket).min(LAST_BUCKET)).or_default();
            *sum = sum.saturating_add(*count);
        }
    }

    /// Number of responses.
    #[must_use]
    pub fn count(&self) -> u64 {
        self.0.values().map(|count| u64::from(*count)).sum()
    }

    /// Upper bound of the bucket of the median in seconds; `None` without responses.
    #[must_use]
    pub fn median(&self) -> Option<f64> {
        let half = self.count().div_ceil(2);
        let mut sum = 0;
        self.0.iter().find_map(|(bucket, count)| {
            sum += u64::from(*count);
            (sum >= half && half > 0).then(|| upper_bound(*bucket))
        })
    }

    /// Number of responses in buckets above the one that holds `secs`.
    #[must_use]
    pub fn count_above(&self, secs: f64) -> u64 {
        let limit = bucket(secs);
        self.0.iter().filter(|(at, _)| **at > limit).map(|(_, count)| u64::from(*count)).sum()
    }
}

fn bucket(secs: f64) -> u8 {
    let index = (secs / FIRST_BOUND).ln() / RATIO.ln();
    // Negative values become 0.
    index.ceil().min(f64::from(LAST_BUCKET)) as u8
}

fn upper_bound(bucket: u8) -> f64 {
    FIRST_BOUND * RATIO.powi(i32::from(bucket))
}
