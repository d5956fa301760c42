//! Chooses the holders whose places are taken back.

use std::time::Duration;

use super::meter::MIN_LAG;

/// Lag from which a place is taken back while few others lag.
const MAX_LAG: Duration = Duration::from_secs(1);

/// Identifier of a holder of a place.
pub type HolderId = u64;

/// Chooses holders whose clients lag, at most `wanted`, the ones that lag most first. `places` is the number of all
/// places, and `lags` names the holders whose clients may lag.
///
/// The more of the places are held by clients that lag, and the more places are wanted, the less lag is allowed (a
/// dynamic threshold): one slow client among others may take its time, and a crowd of them gives its places back quickly.
#[must_use]
pub fn choose_lagging(
    places: usize,
    wanted: usize,
    lags: impl Iterator<Item = (HolderId, Duration)>,
) -> Vec<HolderId> {
    let mut lagging: Vec<_> = lags.filter(|(_, lag)| *lag >= MIN_LAG).collect();
    lagging.sort_unstable_by_key(|(id, lag)| (std::cmp::Reverse(*lag), *id));
    let count = lagging.len();
    let is_chosen = |(at, (_, lag)): &(usize, (HolderId, Duration))| {
        *lag >= allowed_lag(places, count - at, wanted)
    };
    let chosen = lagging.into_iter().enumerate().take_while(is_chosen);
    chosen.map(|(_, (id, _))| id).take(wanted).collect()
}

/// Lag that is allowed while so many of the places are held by clients that lag, and so many are wanted.
fn allowed_lag(places: usize, lagging: usize, wanted: usize) -> Duration {
    let others = places.saturating_sub(lagging) as f64;
    MAX_LAG.mul_f64(others / (places + wanted).max(1) as f64).max(MIN_LAG)
}
