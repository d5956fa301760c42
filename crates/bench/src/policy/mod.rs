//! The policy against a plain baseline, in the situations that the users fear.
//!
//! Both run one after the other with the same seed, so that they get the same requests at the same
//! times. Latencies between data centres are not emulated. Callers spread over all daemons.

mod deployment;
mod situations;

use eyre::Result;
use serde::Serialize;

pub use deployment::{Deployment, TAS_SOUTH, UY_SUR};
pub use situations::{Figures, Options};

use crate::process::load_average;
use crate::table::format;

/// Figures of both policies for one deployment.
#[derive(Debug, Serialize)]
pub struct Comparison {
    /// Name of the deployment.
    pub deployment: &'static str,
    /// Load average at the start.
    pub load_average: f64,
    /// Requests a second at which the slots of the busiest service are all in use.
    pub capacity: f64,
    /// The chosen policy.
    pub full: Figures,
    /// The baseline.
    pub plain: Figures,
}

/// Measures both policies for each deployment.
///
/// # Errors
///
/// A part cannot be started or the load generator fails.
pub fn run(deployments: &[Deployment], options: Options) -> Result<Vec<Comparison>> {
    let compare = |deployment: &Deployment| {
        Ok(Comparison {
            deployment: deployment.name,
            load_average: load_average(),
            capacity: deployment.capacity(),
            full: situations::measure(deployment, "full", 1, options)?,
            plain: situations::measure(deployment, "plain", 3, options)?,
        })
    };
    deployments.iter().map(compare).collect()
}

type Field = fn(&Figures) -> f64;

const FIELDS: [(&str, Field); 25] = [
    ("convergence under load, ms", |f| f.convergence_ms),
    ("control bytes a daemon and second (bodies)", |f| f.control_bytes),
    ("service at the peak, % within 100 ms", |f| f.peak.within * 100.0),
    ("  commands at the peak, %", |f| f.peak.commands_within * 100.0),
    ("  checks at the peak, %", |f| f.peak.checks_within * 100.0),
    ("  p99 of answers at the peak, ms", |f| f.peak.p99_ms),
    ("  refused as not run at the peak", |f| f.peak.refused as f64),
    ("  failed otherwise at the peak", |f| f.peak.failed as f64),
    ("  service after the peak, %", |f| f.after_peak_within * 100.0),
    ("checks without bulk, p99 ms", |f| f.checks_alone_p99_ms),
    ("checks with bulk, p99 ms", |f| f.checks_with_bulk_p99_ms),
    ("head-of-line blocking, ratio of the two", |f| f.head_of_line),
    ("  bulk jobs answered while measured", |f| f.bulk_answered as f64),
    ("a quarter slowed: p99 ms", |f| f.slow.p99_ms),
    ("a quarter slowed: p99.9 ms", |f| f.slow.p999_ms),
    ("  within 100 ms, %", |f| f.slow.within * 100.0),
    ("  refused as not run", |f| f.slow.refused as f64),
    ("  failed otherwise", |f| f.slow.failed as f64),
    ("daemon crash: within 100 ms, %", |f| f.crash.within * 100.0),
    ("  refused as not run", |f| f.crash.refused as f64),
    ("  failed otherwise", |f| f.crash.failed as f64),
    ("all runs: requests", |f| f.requests as f64),
    ("all runs: lost (success without a run)", |f| f.lost as f64),
    ("all runs: doubled at-most-once", |f| f.doubled as f64),
    ("all runs: ran though refused as not run", |f| f.false_not_run as f64),
];

/// Table of one comparison.
#[must_use]
pub fn table(comparison: &Comparison) -> String {
    let head = ["MEASURE", "CHOSEN", "PLAIN", "CHOSEN/PLAIN"].map(str::to_owned);
    let mut rows = vec![head.to_vec()];
    for (name, field) in FIELDS {
        let (full, plain) = (field(&comparison.full), field(&comparison.plain));
        let ratio = if plain == 0.0 { "-".to_owned() } else { format!("{:.2}", full / plain) };
        rows.push(vec![name.to_owned(), format!("{full:.1}"), format!("{plain:.1}"), ratio]);
    }
    format!(
        "{}: capacity {:.0} requests a second, load average {:.1}\n{}",
        comparison.deployment,
        comparison.capacity,
        comparison.load_average,
        format(&rows)
    )
}
