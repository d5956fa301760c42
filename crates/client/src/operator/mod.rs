//! Client of the endpoints that a daemon serves to operators.

use std::time::Duration;

use eyre::{Result, WrapErr, bail};
use http::StatusCode;
use serde::de::DeserializeOwned;

use crate::transport::HttpClient;
use crate::wire::{ExplainDoc, MemberDoc, RecordsDoc, StatusDoc};

/// Timeout of a request.
const OPERATOR_TIMEOUT: Duration = Duration::from_secs(3);

/// Request that [`OperatorClient::explain`] asks about.
#[derive(Debug, Clone, Default)]
pub struct ExplainQuery {
    /// Path without the query.
    pub path: String,
    /// Method; `GET` when absent.
    pub method: Option<String>,
    /// Host without port.
    pub host: Option<String>,
    /// Idempotency key.
    pub key: Option<String>,
}

/// Client of the operators' listener of one daemon.
#[derive(Debug, Clone)]
pub struct OperatorClient {
    http: HttpClient,
    url: String,
}

impl OperatorClient {
    /// Creates a client of the daemon whose operators' listener is at `url`.
    pub fn new(http: HttpClient, url: impl Into<String>) -> Self {
        let url = url.into().trim_end_matches('/').to_owned();
        Self { http, url }
    }

    /// Base URL of the daemon.
    #[must_use]
    pub fn url(&self) -> &str {
        &self.url
    }

    async fn get<T: DeserializeOwned>(&self, path: &str) -> Result<T> {
        let uri = format!("{}{path}", self.url);
        let reply = self.http.get(&uri, OPERATOR_TIMEOUT).await?;
        if reply.status != StatusCode::OK {
            bail!("the daemon answered {} to {uri}", reply.status);
        }
        serde_json::from_slice(&reply.body)
            .wrap_err_with(|| format!("failed to parse the answer to {uri}"))
    }

    /// Returns the state of the daemon.
    ///
    /// # Errors
    ///
    /// The daemon cannot be reached, or answers with an error.
    pub async fn status(&self) -> Result<StatusDoc> {
        self.get("/status").await
    }

    /// Returns the states of all daemons of the mesh, as collected by this daemon. `Err` holds the
    /// member entry of a daemon whose state is missing.
    ///
    /// # Errors
    ///
    /// The daemon cannot be reached, or answers with an error.
    pub async fn mesh_status(&self) -> Result<Vec<Result<StatusDoc, MemberDoc>>> {
        self.get("/mesh").await
    }

    /// Returns the records of the daemon's configuration.
    ///
    /// # Errors
    ///
    /// The daemon cannot be reached, or answers with an error.
    pub async fn records(&self) -> Result<RecordsDoc> {
        self.get("/records").await
    }

    /// Returns the members that the daemon knows, in the states that it sees.
    ///
    /// # Errors
    ///
    /// The daemon cannot be reached, or answers with an error.
    pub async fn members(&self) -> Result<Vec<MemberDoc>> {
        self.get("/members").await
    }

    /// Returns which record and backend server a request would use, and why.
    ///
    /// # Errors
    ///
    /// The daemon cannot be reached, or answers with an error.
    pub async fn explain(&self, query: &ExplainQuery) -> Result<ExplainDoc> {
        let mut path = format!("/explain?path={}", percent_encode(&query.path));
        for (name, value) in [("method", &query.method), ("host", &query.host), ("key", &query.key)]
        {
            if let Some(value) = value {
                path.push_str(&format!("&{name}={}", percent_encode(value)));
            }
        }
        self.get(&path).await
    }
}

/// Percent-encodes text for a query string; `/` stays as it is.
#[must_use]
pub fn percent_encode(text: &str) -> String {
    let is_unescaped =
        |b: u8| b.is_ascii_alphanumeric() || matches!(b, b'-' | b'.' | b'_' | b'~' | b'/');
    text.bytes()
        .map(|b| if is_unescaped(b) { char::from(b).to_string() } else { format!("%{b:02X}") })
        .collect()
}
