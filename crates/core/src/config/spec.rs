//! Typed form bodies, by kind and schema version, and the rules that they must meet.
//!
//! Whether an entry is accepted depends on whether its forms can be read, so the rules of a schema
//! version must be the same in every release. A new rule needs a new schema version.

use std::fmt;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::MAX_SCHEMA;
use super::record::{Form, Kind, RecordKey};
use crate::id::{SchemaVersion, ServiceName};

/// Priority class of the requests of a route, lowest first. Admission that is `class_aware` sheds
/// lower classes first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Class {
    /// Long jobs.
    Bulk,
    /// Idempotent look-ups.
    Lookup,
    /// Non-idempotent work.
    Command,
    /// Short checks that other work waits for.
    Check,
}

/// State of a backend server as set by operators.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum BackendServerState {
    /// May get work.
    Enabled,
    /// Finishes its work and gets no new work.
    Draining,
    /// Gets no work.
    Disabled,
}

/// Share of the requests of a route.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct WeightedService {
    /// Service that gets this share.
    pub service: ServiceName,
    /// Weight relative to the other shares of the route.
    pub weight: u32,
}

/// Content of a route form, independent of its schema version.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RouteSpec {
    /// Host that must match, if any.
    pub host: Option<String>,
    /// Prefix of the path that must match.
    pub path_prefix: String,
    /// Method that must match, if any.
    pub method: Option<String>,
    /// Service that gets the requests.
    pub service: ServiceName,
    /// Service that gets them when `service` has no backend server that is able to serve.
    pub fallback: Option<ServiceName>,
    /// Services that share the requests by weight; `service` gets all of them when it is empty.
    pub split: Vec<WeightedService>,
    /// Class of the requests.
    pub class: Class,
    /// Whether it is safe to run a request more than once.
    pub idempotent: bool,
    /// Maximum time for one request, in milliseconds.
    pub timeout_ms: u64,
    /// Time within which an answer is fully useful to the caller, if known.
    pub target_latency: Option<Duration>,
    /// Maximum number of retries of one request.
    pub retries: u32,
    /// Whether a slow request may be hedged, that is, sent a second time.
    pub hedge: bool,
    /// Whether its requests need no API key although there are tenants.
    pub anonymous: bool,
}

/// Content of a service form.
#[derive(Debug, Clone, PartialEq)]
pub struct ServiceSpec {
    /// Maximum number of queued requests at each backend server.
    pub queue: u32,
    /// Share of the slots that bulk requests may hold, 0 to 1.
    pub bulk_share: f64,
    /// Time over which a new backend server is ramped up to full load, in milliseconds.
    pub slow_start_ms: u64,
    /// Path of the health endpoint of a backend server, if not the default.
    pub health_path: Option<String>,
}

/// Content of a backend server form.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct BackendServerPolicy {
    /// Service that the backend server belongs to.
    pub service: ServiceName,
    /// State set by operators.
    pub state: BackendServerState,
    /// Maximum number of slots that are used.
    pub max_slots: Option<u32>,
}

/// Parsed content of a form.
#[derive(Debug, Clone, PartialEq)]
pub enum Spec {
    /// A route.
    Route(RouteSpec),
    /// A service.
    Service(ServiceSpec),
    /// A backend server.
    BackendServer(BackendServerPolicy),
}

/// Why a form cannot be read.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SpecError(String);

impl fmt::Display for SpecError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

impl std::error::Error for SpecError {}

/// Maximum route timeout, in milliseconds.
const MAX_TIMEOUT_MS: u64 = 600_000;
/// Maximum number of retries of one request. More would only multiply load under failure.
const MAX_RETRIES: u32 = 10;
/// Maximum queue length. A longer queue cannot be drained within a route's timeout.
const MAX_QUEUE: u32 = 10_000;
/// Maximum slow start time, in milliseconds.
const MAX_SLOW_START_MS: u64 = 600_000;
const DEFAULT_QUEUE: u32 = 32;
const DEFAULT_BULK_SHARE: f64 = 0.5;
const DEFAULT_SLOW_START_MS: u64 = 5_000;
const DEFAULT_RETRIES: u32 = 1;

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct RouteV1 {
    path_prefix: String,
    service: ServiceName,
    idempotent: bool,
    timeout_ms: u64,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct RouteV2 {
    host: Option<String>,
    path_prefix: String,
    method: Option<String>,
    service: ServiceName,
    fallback: Option<ServiceName>,
    class: Class,
    timeout_ms: u64,
    #[serde(default = "default_retries")]
    retries: u32,
    #[serde(default)]
    hedge: bool,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct ServiceV1 {
    #[serde(default = "default_queue")]
    queue: u32,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct ServiceV2 {
    #[serde(default = "default_queue")]
    queue: u32,
    #[serde(default = "default_bulk_share")]
    bulk_share: f64,
    #[serde(default = "default_slow_start")]
    slow_start_ms: u64,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct BackendServerV1 {
    service: ServiceName,
    #[serde(default = "default_enabled")]
    enabled: bool,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct BackendServerV2 {
    service: ServiceName,
    state: BackendServerState,
    max_slots: Option<u32>,
}

fn default_queue() -> u32 {
    DEFAULT_QUEUE
}

fn default_bulk_share() -> f64 {
    DEFAULT_BULK_SHARE
}

fn default_slow_start() -> u64 {
    DEFAULT_SLOW_START_MS
}

fn default_retries() -> u32 {
    DEFAULT_RETRIES
}

fn default_enabled() -> bool {
    true
}

impl From<RouteV1> for RouteSpec {
    fn from(route: RouteV1) -> Self {
        let class = if route.idempotent { Class::Lookup } else { Class::Command };
        Self {
            host: None,
            path_prefix: route.path_prefix,
            method: None,
            service: route.service,
            fallback: None,
            split: Vec::new(),
            class,
            idempotent: route.idempotent,
            timeout_ms: route.timeout_ms,
            target_latency: None,
            retries: DEFAULT_RETRIES,
            hedge: false,
            anonymous: false,
        }
    }
}

impl From<RouteV2> for RouteSpec {
    fn from(route: RouteV2) -> Self {
        Self {
            host: route.host.map(|host| host.to_ascii_lowercase()),
            path_prefix: route.path_prefix,
            method: route.method,
            service: route.service,
            fallback: route.fallback,
            split: Vec::new(),
            class: route.class,
            idempotent: matches!(route.class, Class::Lookup | Class::Check),
            timeout_ms: route.timeout_ms,
            target_latency: None,
            retries: route.retries,
            hedge: route.hedge,
            anonymous: false,
        }
    }
}

impl From<ServiceV1> for ServiceSpec {
    fn from(service: ServiceV1) -> Self {
        Self {
            queue: service.queue,
            bulk_share: DEFAULT_BULK_SHARE,
            slow_start_ms: DEFAULT_SLOW_START_MS,
            health_path: None,
        }
    }
}

impl From<ServiceV2> for ServiceSpec {
    fn from(service: ServiceV2) -> Self {
        Self {
            queue: service.queue,
            bulk_share: service.bulk_share,
            slow_start_ms: service.slow_start_ms,
            health_path: None,
        }
    }
}

impl From<BackendServerV1> for BackendServerPolicy {
    fn from(server: BackendServerV1) -> Self {
        let state =
            if server.enabled { BackendServerState::Enabled } else { BackendServerState::Disabled };
        Self { service: server.service, state, max_slots: None }
    }
}

impl From<BackendServerV2> for BackendServerPolicy {
    fn from(server: BackendServerV2) -> Self {
        Self { service: server.service, state: server.state, max_slots: server.max_slots }
    }
}

impl RouteSpec {
    /// Whether a request of this route may run more than once.
    #[must_use]
    pub fn is_idempotent(&self) -> bool {
        self.idempotent
    }

    /// Service for one request; `random` selects a share of a split by weight.
    #[must_use]
    pub fn pick_service(&self, random: u64) -> &ServiceName {
        let total: u64 = self.split.iter().map(|part| u64::from(part.weight)).sum();
        if total == 0 {
            return &self.service;
        }
        let mut remaining = random % total;
        for part in &self.split {
            match remaining.checked_sub(u64::from(part.weight)) {
                Some(rest) => remaining = rest,
                None => return &part.service,
            }
        }
        &self.service
    }

    fn check(&self) -> Result<(), SpecError> {
        let visible = |text: &str| text.bytes().all(|b| b.is_ascii_graphic());
        let path = &self.path_prefix;
        require(path.starts_with('/'), || "`path_prefix` does not start with `/`".to_owned())?;
        require(visible(path) && !path.contains(['?', '#']), || {
            "`path_prefix` has characters that a path cannot have".to_owned()
        })?;
        let host = self.host.as_deref();
        require(host.is_none_or(|h| !h.is_empty() && visible(h)), || {
            "`host` is empty or has characters that a host cannot have".to_owned()
        })?;
        let upper = |m: &str| !m.is_empty() && m.bytes().all(|b| b.is_ascii_uppercase());
        require(self.method.as_deref().is_none_or(upper), || {
            "`method` is not in capital letters".to_owned()
        })?;
        require((1..=MAX_TIMEOUT_MS).contains(&self.timeout_ms), || {
            format!("`timeout_ms` is not between 1 and {MAX_TIMEOUT_MS}")
        })?;
        require(self.retries <= MAX_RETRIES, || format!("`retries` is above {MAX_RETRIES}"))?;
        require(!self.hedge || self.is_idempotent(), || {
            "`hedge` needs class `lookup` or `check`".to_owned()
        })
    }
}

impl ServiceSpec {
    fn check(&self) -> Result<(), SpecError> {
        require(self.queue <= MAX_QUEUE, || format!("`queue` is above {MAX_QUEUE}"))?;
        require(self.bulk_share > 0.0 && self.bulk_share <= 1.0, || {
            "`bulk_share` is not above 0 and at most 1".to_owned()
        })?;
        require(self.slow_start_ms <= MAX_SLOW_START_MS, || {
            format!("`slow_start_ms` is above {MAX_SLOW_START_MS}")
        })
    }
}

fn require(condition: bool, message: impl FnOnce() -> String) -> Result<(), SpecError> {
    if condition { Ok(()) } else { Err(SpecError(message())) }
}

impl Spec {
    /// Reads a form of a record.
    ///
    /// # Errors
    ///
    /// The schema version is unknown, the body does not fit it, a value is out of range, or the
    /// body refers to a record that the form's `refs` do not list.
    pub fn read(key: &RecordKey, schema: SchemaVersion, form: &Form) -> Result<Self, SpecError> {
        let spec = Self::parse(key.kind, schema, &form.body)?;
        spec.check_values()?;
        match spec.refs().find(|to| !form.refs.contains(to)) {
            Some(to) => Err(SpecError(format!("`refs` does not list {to}"))),
            None => Ok(spec),
        }
    }

    fn parse(
        kind: Kind,
        schema: SchemaVersion,
        body: &serde_json::Value,
    ) -> Result<Self, SpecError> {
        fn get<'a, T: Deserialize<'a>>(body: &'a serde_json::Value) -> Result<T, SpecError> {
            T::deserialize(body).map_err(|e| SpecError(e.to_string()))
        }
        Ok(match (kind, schema) {
            (Kind::Route, 1) => Self::Route(get::<RouteV1>(body)?.into()),
            (Kind::Route, 2) => Self::Route(get::<RouteV2>(body)?.into()),
            (Kind::Service, 1) => Self::Service(get::<ServiceV1>(body)?.into()),
            (Kind::Service, 2) => Self::Service(get::<ServiceV2>(body)?.into()),
            (Kind::BackendServer, 1) => Self::BackendServer(get::<BackendServerV1>(body)?.into()),
            (Kind::BackendServer, 2) => Self::BackendServer(get::<BackendServerV2>(body)?.into()),
            _ => {
                return Err(SpecError(format!("schema {schema} is not one of 1 to {MAX_SCHEMA}")));
            }
        })
    }

    fn check_values(&self) -> Result<(), SpecError> {
        match self {
            Self::Route(route) => route.check(),
            Self::Service(service) => service.check(),
            Self::BackendServer(server) => {
                require(server.max_slots != Some(0), || "`max_slots` is 0".to_owned())
            }
        }
    }

    /// Records that the body refers to.
    pub fn refs(&self) -> impl Iterator<Item = RecordKey> + use<> {
        let services: Vec<&ServiceName> = match self {
            Self::Route(route) => {
                std::iter::once(&route.service).chain(route.fallback.as_ref()).collect()
            }
            Self::Service(_) => Vec::new(),
            Self::BackendServer(server) => vec![&server.service],
        };
        let keys: Vec<RecordKey> =
            services.into_iter().map(|name| RecordKey::new(Kind::Service, name.clone())).collect();
        keys.into_iter()
    }
}
