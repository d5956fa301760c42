//! Description of a backend server.

use std::net::SocketAddr;

use baobabreel_core::id::{InstanceId, Release, ServiceName};
use baobabreel_core::membership::MemberState;
use baobabreel_core::registration::BootTime;

use crate::proxy::pool::Protocol;

/// A backend server as it announced itself.
#[derive(Debug, Clone)]
pub struct BackendInfo {
    /// Service that it belongs to.
    pub service: ServiceName,
    /// Address that it accepts requests on.
    pub address: SocketAddr,
    /// HTTP version that it accepts.
    pub protocol: Protocol,
    /// Number of requests that it runs at once.
    pub slots: u32,
    /// Membership state that it announced.
    pub state: MemberState,
    /// Instance identifier that it reported, if any.
    pub instance: Option<InstanceId>,
    /// Start time that it reported, if any.
    pub boot: Option<BootTime>,
    /// Release that it reported, if any.
    pub release: Option<Release>,
}

impl BackendInfo {
    /// Whether `newer` describes the same start of the same backend server; an unknown start time may be any.
    pub(super) fn may_be_same_start(&self, newer: &Self) -> bool {
        self.address == newer.address
            && self.protocol == newer.protocol
            && self.instance == newer.instance
            && (self.boot.is_none() || self.boot == newer.boot)
    }
}
