//! Limit on how long pooled connections may stay idle before they are used again.

use std::time::Duration;

use baobabreel_daemon::proxy::IdleLimit;

const SECOND: Duration = Duration::from_secs(1);

/// Guards against requests on idle connections that the server is about to close, because the
/// keep-alive timeout that it announced has nearly passed.
#[test]
fn idle_limit_is_below_the_announced_keep_alive_timeout() {
    let mut limit = IdleLimit::default();
    limit.announce(10 * SECOND);
    assert!(limit.at(Duration::ZERO) < 10 * SECOND);
    assert!(limit.at(Duration::ZERO) >= 5 * SECOND);
}

/// Guards against losing one request on each pooled connection to a server that drops connections
/// after 300 ms of idleness.
#[test]
fn lost_requests_lower_the_idle_limit_for_a_while() {
    let dropped_after = Duration::from_millis(300);
    let mut limit = IdleLimit::default();
    let mut losses = 0;
    while limit.at(SECOND) >= dropped_after {
        limit.record_loss(limit.at(SECOND), SECOND);
        losses += 1;
        assert!(losses < 10, "the limit stays too high: {:?}", limit.at(SECOND));
    }
    assert!(limit.at(30 * SECOND) > SECOND, "the limit does not rise again");
}

/// Guards against lowering the limit when a connection breaks that was in constant use.
#[test]
fn loss_right_after_use_keeps_the_idle_limit() {
    let mut limit = IdleLimit::default();
    let before = limit.at(SECOND);
    limit.record_loss(Duration::from_millis(5), SECOND);
    assert_eq!(limit.at(SECOND), before);
}
