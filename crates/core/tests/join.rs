//! Tests of many members that start at once.

#[path = "support/net.rs"]
mod net;
#[expect(dead_code, reason = "property checks are used by other tests")]
mod support;

use baobabreel_core::membership::SwimSettings;
use net::Net;

/// Guards against seeds that send more than their budget because all joining daemons probe them, at first
/// for want of other members and later in the same seconds. `Net` checks the limits.
#[test]
fn joining_daemons_spare_the_seeds() {
    let mut net = Net::new(200, 4, 1, &SwimSettings::new());
    net.run(20);
    assert!(net.agrees());
    assert_eq!(net.deaths().count(), 0);
}
