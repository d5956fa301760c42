//! Clients that lag behind, and the places that are taken back from them.

use std::time::Duration;

use baobabreel_core::lag::{ClientLag, HolderId, choose_lagging};
use quickcheck::quickcheck;

const MS: Duration = Duration::from_millis(1);

fn lags(millis: &[u64]) -> impl Iterator<Item = (HolderId, Duration)> {
    (0..).zip(millis.iter().map(|millis| MS * u32::try_from(*millis).expect("short")))
}

/// Lag after so many pieces of this size, each of which was waited for.
fn lag_after(pieces: u32, bytes: u64, wait: Duration) -> Duration {
    let mut lag = ClientLag::default();
    for piece in 0..pieces {
        lag.wait(wait * piece);
        lag.record_progress(bytes, wait * (piece + 1));
    }
    lag.at(wait * pieces)
}

/// Guards against a client that is taken for a live one because it sends a byte now and then.
#[test]
fn trickling_client_lags_like_one_that_stands_still() {
    assert!(lag_after(10, 1, MS * 100) > MS * 990);
    let mut still = ClientLag::default();
    still.wait(MS * 5);
    assert_eq!(still.at(MS * 1_005), MS * 1_000);
}

/// Guards against an upload over a shared link that counts as a client which does not send.
#[test]
fn slow_upload_does_not_lag() {
    assert_eq!(lag_after(100, 4_096, MS * 100), Duration::ZERO);
    assert_eq!(lag_after(10, 64 * 1_024, MS * 900), Duration::ZERO);
}

/// Guards against time that the backend server takes, which would count against the client.
#[test]
fn time_without_a_wait_does_not_count() {
    let mut lag = ClientLag::default();
    lag.wait(MS);
    lag.record_progress(0, MS * 3);
    assert_eq!(lag.at(MS * 60_000), MS * 2);
}

/// Guards against a client that buys a long stop with bytes that it sent before.
#[test]
fn credit_is_bounded() {
    let mut lag = ClientLag::default();
    lag.record_progress(100 << 20, MS);
    lag.wait(MS);
    assert!(lag.at(MS * 1_001) >= MS * 800);
}

/// Guards against a single slow client that is interrupted among others after a short stop.
#[test]
fn few_lagging_clients_have_time() {
    assert!(choose_lagging(10, 1, lags(&[700, 0, 0])).is_empty());
    assert_eq!(choose_lagging(10, 1, lags(&[10, 950, 0])), [1]);
}

/// Guards against clients that keep a long queue waiting because they are not yet many.
#[test]
fn long_queue_allows_less_lag() {
    assert!(choose_lagging(10, 1, lags(&[300; 4])).is_empty());
    assert_eq!(choose_lagging(10, 30, lags(&[300; 4])).len(), 4);
}

/// Guards against a crowd that holds every place for long.
#[test]
fn crowd_gives_places_back_quickly() {
    let crowd = [120; 10];
    let chosen = choose_lagging(10, 3, lags(&crowd));
    assert!(!chosen.is_empty(), "the others get a place");
    assert!(choose_lagging(10, 3, lags(&[90; 10])).is_empty(), "a short stop is allowed");
}

quickcheck! {
    /// Guards against more places that are taken back than are wanted, and against the wrong ones.
    fn longest_lags_are_chosen(places: u8, wanted: u8, millis: Vec<u16>) -> bool {
        let millis: Vec<u64> = millis.into_iter().map(u64::from).collect();
        let chosen = choose_lagging(places.into(), wanted.into(), lags(&millis));
        let least = chosen.iter().map(|id| millis[*id as usize]).min().unwrap_or(u64::MAX);
        let passed = (0..millis.len()).filter(|id| !chosen.contains(&(*id as u64)));
        let longest_passed = passed.map(|id| millis[id]).max().unwrap_or(0);
        chosen.len() <= wanted.into() && least >= 100 && (chosen.is_empty() || longest_passed <= least)
    }
}
