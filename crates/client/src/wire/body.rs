//! Messages about large request bodies, which are sent only after the daemon at the other end has granted them.

use baobabreel_core::config::Class;
use baobabreel_core::id::{RouteName, ServiceName, TenantName};
use serde::{Deserialize, Serialize};

use super::LoadWire;

/// Asks a daemon to grant a large body to its backend server; the answer is a [`BodyAnswer`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct BodyQuery {
    /// Random identifier of the grant, which the call carries.
    pub id: u64,
    /// Route that the entry daemon matched.
    pub route: RouteName,
    /// Service of the chosen backend server.
    pub service: ServiceName,
    /// Length of the body, as announced or expected.
    pub bytes: u64,
    /// Class of the request.
    pub class: Class,
    /// Tenant of the request, if it has one.
    pub tenant: Option<TenantName>,
    /// Time left in which the response is of use, in milliseconds.
    pub remaining_ms: u64,
    /// Time until the entry daemon can start to send, in milliseconds.
    pub not_before_ms: u64,
    /// Longest wait that the entry daemon accepts before it has asked others, in milliseconds.
    pub max_wait_ms: Option<u64>,
}

/// Answer to a [`BodyQuery`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum BodyAnswer {
    /// The bytes are reserved for a short time.
    Granted {
        /// Time until the body is to start, in milliseconds.
        start_ms: u64,
        /// Rate at which it is to be sent.
        bytes_per_sec: u64,
    },
    /// The body would be granted with a longer wait than the entry daemon accepts.
    Wait {
        /// Time until it could start, in milliseconds.
        wait_ms: u64,
        /// Load of the backend server.
        load: LoadWire,
    },
    /// The body cannot arrive and run in time.
    Refused {
        /// Time after which there is room, in milliseconds.
        retry_after_ms: u64,
        /// Load of the backend server.
        load: LoadWire,
    },
    /// No backend server of the service is able to serve here.
    NotServing,
}
