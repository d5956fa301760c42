//! Comparison of two releases of a service.
//!
//! Like is compared with like: responses to the same route, between the same data centres, at the same time and
//! under about the same load for each slot. A response is bad if it failed, or if it took several times longer
//! than the median of the old release. If the new release gives significantly more bad responses than the old one
//! would have given to the same requests, it is bad. Counts of slow responses need no assumption about how
//! latencies are distributed, and what impairs both releases raises the expected number too.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use super::filter::Side;
use super::histogram::LatencyHistogram;
use crate::id::{DaemonId, DataCentre, RouteName};

/// Time of one bucket of evidence.
pub const BUCKET_TIME: Duration = Duration::from_millis(500);

/// Number of buckets kept; older evidence of the old release no longer tells how the load is now.
const MAX_BUCKETS: usize = 120;

/// Windows of evidence in buckets. A short one finds a release that turns bad late, a long one finds rare
/// failures.
const WINDOWS: [usize; 3] = [4, 12, MAX_BUCKETS];

/// Multiples of the old median above which a response counts as slow. The lower one finds a release that is
/// always slower, the higher one a release that is slower for a part of its requests, also if latencies vary.
const SLOW_FACTORS: [f64; 2] = [1.6, 3.2];

/// Latency added to these multiples: jitter of busy machines, and new connections, which the few requests of a canary
/// need more often than those to the old release.
const SAME_PLACE_TOLERANCE: f64 = 0.004;

/// The same for responses that are compared with those of other data centres, up to 1.4 ms away.
const OTHER_PLACE_TOLERANCE: f64 = 0.008;

/// Responses of the old release that a comparison needs.
const MIN_BASE: u64 = 20;

/// Fewest bad responses of the new release that count as evidence.
const MIN_BAD: f64 = 4.0;

/// Fewest bad responses when the worst server is left out.
const MIN_BAD_WITHOUT_WORST: f64 = 2.0;

/// Evidence from which a release is bad: the negative logarithm of an upper bound on the probability that it is
/// as good as the old one. Some hundred tests are made in a roll-out.
const BAD_EVIDENCE: f64 = 10.5;

/// Evidence from which the next phase is delayed until there is more of it.
const DOUBTFUL_EVIDENCE: f64 = 4.5;

/// Evidence for the servers other than the worst one; together with that of all, a release is bad.
const BAD_EVIDENCE_WITHOUT_WORST: f64 = 8.0;

/// Part of the excess of bad responses of the worst server that the other ones have at least, if the release is
/// bad. One impaired instance has nearly all of the excess.
const MIN_EXCESS_OF_OTHERS: f64 = 0.3;

/// Number of responses at the average rate of bad ones that are added to those of the old release, as a stratum
/// may have few.
const PRIOR_RESPONSES: f64 = 10.0;

/// Index of the shortest window over which the servers other than the worst one are judged.
const OTHERS_WINDOW: usize = 1;

/// Responses of other servers from which on they, and not time, decide whether the worst one is an exception.
const MIN_OF_OTHERS: u64 = 10;

/// Time after which bad responses of one server suffice, if no other one gets requests.
const ONE_SERVER_TIME: Duration = Duration::from_millis(2_500);

/// Requests that can be compared.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct Stratum {
    /// Route.
    pub route: RouteName,
    /// Data centre of the entry daemon.
    pub entry: DataCentre,
    /// Data centre of the backend server.
    pub server: DataCentre,
}

/// Responses of one backend server that one daemon received.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Observation {
    /// Which requests they answer.
    pub stratum: Stratum,
    /// Release of the backend server.
    pub side: Side,
    /// Backend server.
    pub server: DaemonId,
    /// Number of failures, whose latencies are not counted.
    pub failures: u32,
    /// Latencies of the other responses.
    pub latencies: LatencyHistogram,
}

/// Result of a comparison.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// There is no sign that the new release is worse.
    Good,
    /// The new release is worse.
    Bad,
    /// There is a sign that it may be worse.
    Doubtful,
}

/// Numbers of the comparison that decided, for the operator.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Figures {
    /// Route with the strongest evidence; empty if it is about all routes.
    pub route: RouteName,
    /// Responses of the new release.
    pub responses: u64,
    /// Bad responses among them.
    pub bad: f64,
    /// Bad responses that the old release would have given.
    pub expected: f64,
    /// Latency in seconds above which a response counted as bad; 0 if only failures counted.
    pub slow_above: f64,
    /// Backend server with most bad responses.
    pub worst_server: DaemonId,
}

#[derive(Debug, Clone, Default)]
struct Cell {
    failures: u64,
    latencies: LatencyHistogram,
}

impl Cell {
    fn add(&mut self, other: &Self) {
        self.failures += other.failures;
        self.latencies.add(&other.latencies);
    }

    fn count(&self) -> u64 {
        self.failures + self.latencies.count()
    }

    /// Latency above which a response is slow compared with these.
    fn slow_above(&self, factor: Option<f64>, tolerance: f64) -> Option<f64> {
        factor.zip(self.latencies.median()).map(|(factor, median)| median * factor + tolerance)
    }

    fn bad_above(&self, slow_above: Option<f64>) -> u64 {
        self.failures + slow_above.map_or(0, |secs| self.latencies.count_above(secs))
    }
}

#[derive(Debug, Clone, Default)]
struct Bucket {
    base: BTreeMap<Stratum, Cell>,
    canary: BTreeMap<(Stratum, DaemonId), Cell>,
}

/// Bad and expected responses of one server.
#[derive(Debug, Clone, Copy, Default)]
struct Tally {
    responses: u64,
    bad: f64,
    expected: f64,
}

impl Tally {
    fn add(&mut self, other: Self) {
        self.responses += other.responses;
        self.bad += other.bad;
        self.expected += other.expected;
    }

    /// Bad responses beyond the expected ones, for each response.
    fn excess(self) -> f64 {
        (self.bad - self.expected).max(0.0) / (self.responses as f64).max(1.0)
    }

    /// Chernoff bound of the Poisson distribution.
    fn evidence(self) -> f64 {
        if self.bad <= self.expected {
            return 0.0;
        }
        self.bad * (self.bad / self.expected).ln() - self.bad + self.expected
    }
}

/// Evidence about two releases of a service.
#[derive(Debug, Clone, Default)]
pub struct Comparison {
    buckets: VecDeque<Bucket>,
    bucket_started: Duration,
    suspected_since: Option<Duration>,
}

impl Comparison {
    /// Adds responses.
    pub fn add(&mut self, observation: Observation, now: Duration) {
        if self.buckets.is_empty() || now >= self.bucket_started + BUCKET_TIME {
            self.bucket_started = now;
            self.buckets.push_back(Bucket::default());
            if self.buckets.len() > MAX_BUCKETS {
                self.buckets.pop_front();
            }
        }
        let Some(bucket) = self.buckets.back_mut() else { return };
        let Observation { stratum, side, server, failures, latencies } = observation;
        let cell = Cell { failures: u64::from(failures), latencies };
        match side {
            Side::Main => bucket.base.entry(stratum).or_default().add(&cell),
            Side::Canary => bucket.canary.entry((stratum, server)).or_default().add(&cell),
        }
    }

    /// Compares the releases; `servers` is the number of backend servers of the new release that can serve.
    pub fn judge(&mut self, servers: usize, now: Duration) -> (Verdict, Figures) {
        let mut all_time = Base::default();
        self.buckets.iter().for_each(|bucket| all_time.add(bucket));
        let windows = WINDOWS.map(|window| self.tests(window, &all_time));
        let mut strongest = (0.0, Figures::default());
        let (mut is_suspect, mut is_doubtful) = (false, false);
        for (index, tests) in windows.iter().enumerate() {
            for (key, test) in tests {
                let all = sum(test.by_server.values());
                let evidence = all.evidence();
                let by_evidence =
                    test.by_server.iter().max_by(|a, b| a.1.evidence().total_cmp(&b.1.evidence()));
                let Some((worst, _)) = by_evidence else { continue };
                if evidence > strongest.0 {
                    let figures = Figures {
                        route: key.1.to_owned(),
                        responses: all.responses,
                        bad: all.bad,
                        expected: all.expected,
                        slow_above: test.slow_above,
                        worst_server: worst.clone(),
                    };
                    strongest = (evidence, figures);
                }
                is_doubtful |= evidence >= DOUBTFUL_EVIDENCE;
                if all.bad < MIN_BAD || evidence < BAD_EVIDENCE {
                    continue;
                }
                // In a short window, most of the responses are those of one server.
                let longer = windows[index.max(OTHERS_WINDOW)].get(key).unwrap_or(test);
                let others = longer.by_server.iter().filter(|(server, _)| *server != worst);
                let others = sum(others.map(|(_, tally)| tally));
                let of_worst = longer.by_server.get(worst).copied().unwrap_or_default();
                let others_bad = others.bad >= MIN_BAD_WITHOUT_WORST
                    && others.evidence() >= BAD_EVIDENCE_WITHOUT_WORST
                    && others.excess() >= MIN_EXCESS_OF_OTHERS * of_worst.excess();
                if servers < 2 || others_bad {
                    return (Verdict::Bad, strongest.1);
                }
                let ever =
                    windows[WINDOWS.len() - 1].get(&(key.0, "")).unwrap_or(test).by_server.iter();
                let others =
                    sum(ever.filter(|(server, _)| *server != worst).map(|(_, tally)| tally));
                is_suspect |= others.responses < MIN_OF_OTHERS;
            }
        }
        if !is_suspect {
            self.suspected_since = None;
        } else if now >= *self.suspected_since.get_or_insert(now) + ONE_SERVER_TIME {
            return (Verdict::Bad, strongest.1);
        }
        (if is_doubtful { Verdict::Doubtful } else { Verdict::Good }, strongest.1)
    }

    /// The tests in a window: of failures alone and of slow responses, for each route and for all routes, whose
    /// name is empty.
    ///
    /// After the canary, few or no requests go to the old release; then `all_time` tells how it was.
    fn tests(&self, window: usize, all_time: &Base<'_>) -> BTreeMap<(usize, &str), Test> {
        let (mut base, mut canary) = (Base::default(), BTreeMap::new());
        for bucket in self.buckets.iter().rev().take(window) {
            base.add(bucket);
            for (key, cell) in &bucket.canary {
                canary.entry(key).or_insert_with(Cell::default).add(cell);
            }
        }
        let mut tests: BTreeMap<(usize, &str), Test> = BTreeMap::new();
        for (index, factor) in std::iter::once(None).chain(SLOW_FACTORS.map(Some)).enumerate() {
            let prior = all_time.rate(factor);
            for ((stratum, server), cell) in &canary {
                let (like, tolerance) =
                    base.like(stratum).or_else(|| all_time.like(stratum)).unzip();
                let slow_above = like
                    .zip(tolerance)
                    .and_then(|(like, tolerance)| like.slow_above(factor, tolerance));
                let tally = compare(cell, like, slow_above, prior);
                for route in ["", stratum.route.as_str()] {
                    let test = tests.entry((index, route)).or_default();
                    test.by_server.entry(server.clone()).or_default().add(tally);
                    test.slow_above = test.slow_above.max(slow_above.unwrap_or_default());
                }
            }
        }
        tests
    }
}

/// Tallies of one test by server.
#[derive(Debug, Clone, Default)]
struct Test {
    by_server: BTreeMap<DaemonId, Tally>,
    slow_above: f64,
}

fn sum<'a>(tallies: impl Iterator<Item = &'a Tally>) -> Tally {
    let mut sum = Tally::default();
    tallies.for_each(|tally| sum.add(*tally));
    sum
}

/// Responses of the old release in some buckets.
#[derive(Debug, Default)]
struct Base<'a> {
    strata: BTreeMap<&'a Stratum, Cell>,
    routes: BTreeMap<&'a str, Cell>,
}

impl<'a> Base<'a> {
    fn add(&mut self, bucket: &'a Bucket) {
        for (stratum, cell) in &bucket.base {
            self.strata.entry(stratum).or_default().add(cell);
            self.routes.entry(&stratum.route).or_default().add(cell);
        }
    }

    /// Part of all responses that is bad.
    fn rate(&self, factor: Option<f64>) -> f64 {
        let (mut bad, mut responses) = (0, 0);
        for cell in self.strata.values() {
            bad += cell.bad_above(cell.slow_above(factor, SAME_PLACE_TOLERANCE));
            responses += cell.count();
        }
        // One bad response of ten, until there are some.
        (bad as f64 + 1.0) / (responses as f64 + PRIOR_RESPONSES)
    }

    /// Responses that can be compared with those of a stratum, and the tolerance for latencies.
    fn like(&self, stratum: &Stratum) -> Option<(&Cell, f64)> {
        let same = self.strata.get(stratum).map(|cell| (cell, SAME_PLACE_TOLERANCE));
        let route = self.routes.get(stratum.route.as_str());
        let has_enough = |(cell, _): &(&Cell, f64)| cell.count() >= MIN_BASE;
        same.filter(has_enough)
            .or_else(|| route.map(|cell| (cell, OTHER_PLACE_TOLERANCE)).filter(has_enough))
    }
}

/// Bad responses in `cell`, and how many the old release would have given; `prior` is its average rate of bad
/// responses.
fn compare(cell: &Cell, like: Option<&Cell>, slow_above: Option<f64>, prior: f64) -> Tally {
    let base = like.map_or(0, Cell::count) as f64;
    let base_bad = like.map_or(0, |like| like.bad_above(slow_above)) as f64;
    let rate = (base_bad + PRIOR_RESPONSES * prior) / (base + PRIOR_RESPONSES);
    let responses = cell.count();
    let bad = cell.bad_above(slow_above) as f64;
    Tally { responses, bad, expected: rate * responses as f64 }
}
