//! Seam to the platform that the daemon runs on.
//!
//! The adapter reads what a platform's backend servers and supervisors send, and answers them in
//! their words. What follows from a message is decided by the daemon.

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
    /// It runs.
    Report {
        /// Its description.
        info: BackendInfo,
        /// Its order among other reports; without one the report counts as the newest.
        order: Option<Report>,
    },
    /// It ends.
    Leave {
        /// Its identifier.
        instance: InstanceId,
        /// Its start time, if it tells one.
        boot: Option<BootTime>,
    },
}

/// Translates between a platform and the daemon.
pub trait Adapter: Clone + Send + Sync + 'static {
    /// Reads a message of the backend server.
    ///
    /// # Errors
    ///
    /// The answer to a message that names no backend server to use.
    fn backend_message(&self, req: &Request<Bytes>) -> Result<BackendMessage, Reply>;

    /// Whether a request to the operators' listener asks if callers may be sent here.
    fn is_readiness_check(&self, req: &Request<Bytes>) -> bool;
}

/// Path of announcements.
const ANNOUNCE_PATH: &str = "/announce";

/// Path at which supervisors ask whether the daemon serves.
const READY_PATH: &str = "/ready";

/// The product's own interface.
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
