//! Helpers shared by the membership and relay tests.

use std::net::SocketAddr;

use baobabreel_core::membership::{Member, MemberState};
use quickcheck::{Gen, QuickCheck};

/// Returns a property-test runner that makes `tests` runs from a fixed seed.
pub fn seeded_quickcheck(tests: u64, seed: u64) -> QuickCheck {
    let generator = Gen::from_size_and_seed(100, seed);
    QuickCheck::new().rng(generator).tests(tests)
}

/// Address of the member with index `i`; each member has a port of its own.
pub fn addr(i: usize) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 10_000 + i as u16))
}

/// A ready member of incarnation 1,000 with index `i`.
pub fn member(i: usize, data_centre: usize) -> Member {
    Member {
        id: format!("tas-south-daemon-{i:04}"),
        incarnation: 1_000,
        sequence: 0,
        data_centre: format!("kingston-{data_centre}"),
        service: Some("catalogue".to_owned()),
        peer_addr: addr(i),
        state: MemberState::Ready,
        slots: 10,
        release: None,
    }
}
