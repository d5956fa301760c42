//! How long connections may rest before they are used again.

use std::time::Duration;

use baobabreel_daemon::proxy::IdleLimit;

const SECOND: Duration = Duration::from_secs(1);

/// Guards against requests on connections that the server is about to close as it said.
#[test]
fn connections_rest_no_longer_than_the_server_keeps_them() {
    let mut limit = IdleLimit::default();
    limit.announce(10 * SECOND);
    assert!(limit.at(Duration::ZERO) < 10 * SECOND);
    assert!(limit.at(Duration::ZERO) >= 5 * SECOND);
}

/// Guards against one lost request for each connection that a server has forgotten after 300 ms.
#[test]
fn losses_teach_how_soon_connections_are_forgotten() {
    let forgotten_after = Duration::from_millis(300);
    let mut limit = IdleLimit::default();
    let mut losses = 0;
    while limit.at(SECOND) >= forgotten_after {
        limit.record_loss(limit.at(SECOND), SECOND);
        losses += 1;
        assert!(losses < 10, "the limit does not come down: {:?}", limit.at(SECOND));
    }
    assert!(limit.at(30 * SECOND) > SECOND, "the losses are never forgotten");
}

/// Guards against a limit that falls because a connection in constant use broke.
#[test]
fn loss_right_after_use_teaches_nothing() {
    let mut limit = IdleLimit::default();
    let before = limit.at(SECOND);
    limit.record_loss(Duration::from_millis(5), SECOND);
    assert_eq!(limit.at(SECOND), before);
}
