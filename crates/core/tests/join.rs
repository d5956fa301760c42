//! Test of a mesh whose members all start at once.

#[path = "support/net.rs"]
mod net;
#[expect(dead_code, reason = "property checks are used by other tests")]
mod support;

use baobabreel_core::membership::SwimSettings;
use net::SimulatedNetwork;

/// Guards against seeds that exceed their sending budget because all joining daemons probe them: at first
/// because they know no other member, later because their probes fall into the same seconds.
/// `SimulatedNetwork` checks the limits.
#[test]
fn joining_daemons_keep_seeds_within_limits() {
    let mut net = SimulatedNetwork::new(200, 4, 1, &SwimSettings::new());
    net.run_secs(20);
    assert!(net.has_converged());
    assert_eq!(net.concluded_deaths().count(), 0);
}
