//! The link of an instance as a resource that large request bodies share.
//!
//! Slots say nothing about the time that a body needs to arrive. Where the rate of the link is known, a large body is
//! sent only after the daemon at its end has granted it: [`LinkBudget`] knows the bytes that were granted and have not
//! arrived, and so the time at which a further body can start. [`Pacer`] spreads the bytes of a granted body, so that
//! no queue builds up on the link in which short calls would wait. [`BodyRate`] says how much of the link bodies may use,
//! by what else passes it and by the [`MessageDelay`].

mod budget;
mod delay;
mod pacer;
mod rate;

pub use budget::{BodyOffer, LinkBudget, LinkDecision, TransferId};
pub use delay::MessageDelay;
pub use pacer::Pacer;
pub use rate::{BodyRate, LinkUse};

/// Largest body that needs no grant, in bytes. It takes at most 13 ms on a link of 10 Mbit/s, and is not worth a round
/// trip.
pub const LARGE_BODY_BYTES: u64 = 16 * 1024;

/// Part of the link that bodies may use as long as it is not known what else passes it. Bodies at 7.25 Mbit/s must fit
/// a link of 10 Mbit/s; the rest is for headers of packets (5 %), short calls and control messages, of which a large
/// configuration has to arrive within a second or two.
pub const BODY_SHARE: f64 = 0.75;

/// Bytes per second that bodies may use on a link of `bits_per_sec`.
#[must_use]
pub fn body_rate(bits_per_sec: u64) -> f64 {
    (bits_per_sec as f64 / 8.0 * BODY_SHARE).max(1.0)
}
