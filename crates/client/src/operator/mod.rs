//! Client of a daemon's operators' endpoints.

use std::time::Duration;

use eyre::{Result, WrapErr, bail};
use http::StatusCode;
use serde::de::DeserializeOwned;

use crate::transport::HttpClient;
use crate::wire::{ExplainDoc, MemberDoc, RecordsDoc, StatusDoc};

/// Time for one request.
const OPERATOR_TIMEOUT: Duration = Duration::from_secs(3);

/// Parts of a request that is to be explained.
#[derive(Debug, Clone, Default)]
pub struct ExplainQuery {
    /// Path without query.
    pub path: String,
    /// Method; `GET` when absent.
    pub method: Option<String>,
    /// Host without port.
    pub host: Option<String>,
    /// Idempotency key.
    pub key: Option<String>,
}

/// Client of one daemon.
#[derive(Debug, Clone)]
pub struct OperatorClient {
    http: HttpClient,
    url: String,
}

impl OperatorClient {
    /// Makes a client of the daemon whose listener for operators is at `url`.
    pub fn new(http: HttpClient, url: impl Into<String>) -> Self {
        let url = url.into().trim_end_matches('/').to_owned();
        Self { http, url }
    }

    /// Address of the daemon.
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
            .wrap_err_with(|| format!("failed to read the answer to {uri}"))
    }

    /// State of the daemon.
    ///
    /// # Errors
    ///
    /// The daemon cannot be reached, or answers with an error.
    pub async fn status(&self) -> Result<StatusDoc> {
        self.get("/status").await
    }

    /// States of all daemons of the mesh, as the asked one collects them.
    ///
    /// # Errors
    ///
    /// The daemon cannot be reached, or answers with an error.
    pub async fn mesh_status(&self) -> Result<Vec<Result<StatusDoc, MemberDoc>>> {
        self.get("/mesh").await
    }

    /// Records of the daemon's configuration.
    ///
    /// # Errors
    ///
    /// The daemon cannot be reached, or answers with an error.
    pub async fn records(&self) -> Result<RecordsDoc> {
        self.get("/records").await
    }

    /// Members as the daemon sees them.
    ///
    /// # Errors
    ///
    /// The daemon cannot be reached, or answers with an error.
    pub async fn members(&self) -> Result<Vec<MemberDoc>> {
        self.get("/members").await
    }

    /// Which record and backend server a request would use, and why.
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

/// Encodes text for a query string.
#[must_use]
pub fn percent_encode(text: &str) -> String {
    let plain = |b: u8| b.is_ascii_alphanumeric() || matches!(b, b'-' | b'.' | b'_' | b'~' | b'/');
    text.bytes()
        .map(|b| if plain(b) { char::from(b).to_string() } else { format!("%{b:02X}") })
        .collect()
}
