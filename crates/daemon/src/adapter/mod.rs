//! Interface to the platform that the daemon runs on.
//!
//! An adapter parses the messages of a platform's backend servers and supervisors and formats the
//! responses. How the daemon reacts to a message does not depend on the platform.

use baobabreel_core::id::InstanceId;
use baobabreel_core::registration::{BootTime, Report};
use bytes::Bytes;
use http::{Method, Request, StatusCode};

use crate::control::Announcement;
use crate::listeners::Reply;
use crate::proxy::BackendInfo;

/// Message of the backend server beside the daemon.
#[derive(Debug)]
pub enum BackendMessage {
    /// The backend server is running.
    Report {
        /// Description of the backend server.
        info: BackendInfo,
        /// Position of the report among others; without one the report counts as the newest.
        order: Option<Report>,
    },
    /// The backend server is shutting down.
    Leave {
        /// Identifier of the instance.
        instance: InstanceId,
        /// Start time of the instance, if the message has one.
        boot: Option<BootTime>,
    },
}

/// Translates between the protocol of a platform and the daemon.
pub trait Adapter: Clone + Send + Sync + 'static {
    /// Parses a message of the backend server.
    ///
    /// # Errors
    ///
    /// The response to a message that is invalid or names no backend server that can be used.
    fn backend_message(&self, req: &Request<Bytes>) -> Result<BackendMessage, Reply>;

    /// Whether a request to the operators' listener is a readiness check.
    fn is_readiness_check(&self, req: &Request<Bytes>) -> bool;
}

/// Path to which a backend server posts its announcements.
const ANNOUNCE_PATH: &str = "/announce";

/// Path of the readiness check for supervisors.
const READY_PATH: &str = "/ready";

/// Adapter for the native protocol of the daemon.
#[derive(Debug, Clone, Copy, Default)]
pub struct NativeAdapter;

impl Adapter for NativeAdapter {
    fn backend_message(&self, req: &Request<Bytes>) -> Result<BackendMessage, Reply> {
        if req.method() != Method::POST || req.uri().path() != ANNOUNCE_PATH {
            return Err(Reply::error(StatusCode::NOT_FOUND, "the path is POST /announce"));
        }
        let announcement: Announcement = serde_json::from_slice(req.body())
            .map_err(|e| Reply::error(StatusCode::BAD_REQUEST, &e.to_string()))?;
        Ok(BackendMessage::Report { info: announcement.into(), order: None })
    }

    fn is_readiness_check(&self, req: &Request<Bytes>) -> bool {
        req.method() == Method::GET && req.uri().path() == READY_PATH
    }
}
