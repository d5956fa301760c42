//! Client of the platform's append-only log.

use std::time::Duration;

use baobabreel_core::id::Offset;
use bytes::Bytes;
use eyre::{Result, WrapErr, bail};
use http::{Method, StatusCode};

use crate::transport::HttpClient;
use crate::wire::{Appended, ReadPage, RetainedRange};

/// Timeout of an append or a read; a read adds the time that it waits for a record.
const LOG_TIMEOUT: Duration = Duration::from_secs(3);

/// Result of a read.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ReadAnswer {
    /// Records from the requested offset onwards, possibly none.
    Page(ReadPage),
    /// Records at the requested offset are no longer retained.
    Expired(RetainedRange),
}

/// Error of an append.
#[derive(Debug)]
pub enum AppendError {
    /// The log refused the append; it did not take effect.
    Refused(eyre::Report),
    /// The answer was lost; the append may have taken effect.
    Unknown(eyre::Report),
}

impl std::fmt::Display for AppendError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::Refused(e) => write!(f, "failed to append: {e:#}"),
            Self::Unknown(e) => write!(f, "failed to learn whether the append took effect: {e:#}"),
        }
    }
}

impl std::error::Error for AppendError {}

/// HTTP client of the log.
#[derive(Debug, Clone)]
pub struct LogClient {
    http: HttpClient,
    url: String,
}

impl LogClient {
    /// Creates a client of the log at `url`, for example `http://127.0.0.1:7000`.
    pub fn new(http: HttpClient, url: impl Into<String>) -> Self {
        let url = url.into().trim_end_matches('/').to_owned();
        Self { http, url }
    }

    /// Base URL of the log.
    #[must_use]
    pub fn url(&self) -> &str {
        &self.url
    }

    /// Appends a record to a stream.
    ///
    /// # Errors
    ///
    /// [`AppendError::Refused`] if the record was certainly not appended, otherwise
    /// [`AppendError::Unknown`].
    pub async fn append(&self, stream: &str, data: &str) -> Result<Appended, AppendError> {
        let uri = format!("{}/streams/{stream}/records", self.url);
        let body = Bytes::copy_from_slice(data.as_bytes());
        let reply = self
            .http
            .send(Method::POST, &uri, body, LOG_TIMEOUT)
            .await
            .map_err(AppendError::Unknown)?;
        if reply.status != StatusCode::OK {
            let append_error = eyre::eyre!("the log answered {} to {uri}", reply.status);
            let is_not_appended =
                reply.status.is_client_error() || reply.status == StatusCode::SERVICE_UNAVAILABLE;
            return Err(if is_not_appended {
                AppendError::Refused(append_error)
            } else {
                AppendError::Unknown(append_error)
            });
        }
        serde_json::from_slice(&reply.body)
            .wrap_err("failed to parse the answer to an append")
            .map_err(AppendError::Unknown)
    }

    /// Reads at most `limit` records from offset `from` on; waits up to `wait` for the first one.
    ///
    /// # Errors
    ///
    /// The log cannot be reached or answers with an error.
    pub async fn read(
        &self,
        stream: &str,
        from: Offset,
        limit: usize,
        wait: Duration,
    ) -> Result<ReadAnswer> {
        let wait_ms = wait.as_millis();
        let uri = format!(
            "{}/streams/{stream}/records?from={from}&limit={limit}&wait_ms={wait_ms}",
            self.url
        );
        let reply = self.http.get(&uri, wait + LOG_TIMEOUT).await?;
        let parse_error = || format!("failed to parse the answer to {uri}");
        match reply.status {
            StatusCode::OK => {
                let page = serde_json::from_slice(&reply.body).wrap_err_with(parse_error)?;
                Ok(ReadAnswer::Page(page))
            }
            StatusCode::GONE => {
                let retained = serde_json::from_slice(&reply.body).wrap_err_with(parse_error)?;
                Ok(ReadAnswer::Expired(retained))
            }
            status => bail!("the log answered {status} to {uri}"),
        }
    }
}
