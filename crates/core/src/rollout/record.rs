//! Orders of operators, and what is kept of a roll-out.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::id::{Offset, Release, ServiceName};

/// Order of an operator to move the traffic of a service to another release.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RolloutOrder {
    /// Service.
    pub service: ServiceName,
    /// Release that is to get the traffic.
    pub target: Release,
    /// Time within which the roll-out has to end.
    pub within: Duration,
    /// Offset of the order's record, which tells apart orders for the same release.
    pub offset: Offset,
    /// How often the store had come back from an older copy when the order was appended; 0 if that is not known.
    pub generation: u64,
}

/// State of a roll-out as operators see it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RolloutState {
    /// Not yet decided.
    Running,
    /// The new release has all the traffic.
    Succeeded,
    /// The old release has all the traffic.
    RolledBack,
}

/// Phase of a roll-out; later phases are greater. A roll-out ends in only one of the last two.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RolloutPhase {
    /// A small part of the requests goes to the new release.
    Canary,
    /// A larger part goes there, to show how the release bears load.
    Ramp,
    /// All requests go there, and the old release finishes its work.
    Promoting,
    /// The roll-out ended with the new release.
    Succeeded,
    /// The roll-out ended with the old release.
    RolledBack,
}

impl RolloutPhase {
    /// Whether the roll-out has ended.
    #[must_use]
    pub fn is_final(self) -> bool {
        self >= Self::Succeeded
    }

    /// State that operators see.
    #[must_use]
    pub fn state(self) -> RolloutState {
        match self {
            Self::Canary | Self::Ramp | Self::Promoting => RolloutState::Running,
            Self::Succeeded => RolloutState::Succeeded,
            Self::RolledBack => RolloutState::RolledBack,
        }
    }
}

/// What is kept of the newest roll-out of a service.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RolloutRecord {
    /// Service.
    pub service: ServiceName,
    /// Release that is to get the traffic.
    pub target: Release,
    /// Release that had the traffic before; `None` if its backend servers name none.
    pub base: Option<Release>,
    /// Offset of the order's record.
    pub offset: Offset,
    /// How often the store had come back from an older copy, as far as known from orders.
    pub generation: u64,
    /// Milliseconds within which the roll-out has to end.
    pub within_ms: u64,
    /// Wall-clock time of the start in milliseconds since the Unix epoch.
    pub started_ms: u64,
    /// Phase.
    pub phase: RolloutPhase,
}

impl RolloutRecord {
    /// Record of a roll-out that begins after `previous` one of the service.
    #[must_use]
    pub fn begin(
        order: &RolloutOrder,
        previous: Option<&Self>,
        base: Option<Release>,
        started_ms: u64,
    ) -> Self {
        Self {
            service: order.service.clone(),
            target: order.target.clone(),
            base,
            offset: order.offset,
            generation: order.generation.max(previous.map_or(0, |record| record.generation)),
            within_ms: u64::try_from(order.within.as_millis()).unwrap_or(u64::MAX),
            started_ms,
            phase: RolloutPhase::Canary,
        }
    }

    /// Whether this record belongs to `order`.
    #[must_use]
    pub fn is_of(&self, order: &RolloutOrder) -> bool {
        self.target == order.target && self.offset == order.offset
    }

    /// Whether `order` was given after the one of this record. A store that came back from an older copy gives
    /// offsets out again.
    #[must_use]
    pub fn is_before(&self, order: &RolloutOrder) -> bool {
        let is_reused = self.target != order.target && self.generation < order.generation;
        self.offset < order.offset || is_reused
    }

    /// Whether `other` belongs to the same roll-out.
    #[must_use]
    pub fn is_same_order(&self, other: &Self) -> bool {
        self.target == other.target && self.offset == other.offset
    }

    /// Whether this record is newer than `other`, about the same service.
    #[must_use]
    pub fn supersedes(&self, other: &Self) -> bool {
        if self.is_same_order(other) {
            return self.phase > other.phase && !other.phase.is_final();
        }
        (self.generation, self.offset) > (other.generation, other.offset)
    }

    /// Time within which the roll-out has to end.
    #[must_use]
    pub fn within(&self) -> Duration {
        Duration::from_millis(self.within_ms)
    }
}
