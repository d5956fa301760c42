//! HTTP/1.1 client for control traffic.
//!
//! The data path does not use it. Control requests are small and may be slow; the sender sets a
//! timeout for each.

use std::time::Duration;

use bytes::Bytes;
use eyre::{Result, WrapErr, bail};
use http::{HeaderMap, Method, Request, StatusCode, Uri};
use http_body_util::{BodyExt, Full, LengthLimitError, Limited};
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::{TokioExecutor, TokioTimer};

/// Largest accepted answer body, in bytes.
const MAX_ANSWER_BYTES: usize = 16 * 1024 * 1024;

/// Timeout for establishing a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);

/// Idle time after which the kernel sends TCP keepalive probes, in whole seconds. They detect a
/// connection that goes silent for good while an answer is awaited, 3 s after its last byte. A request
/// that the other end has not acknowledged is not probed for; the timeout of the request ends it.
const KEEPALIVE_IDLE: Duration = Duration::from_secs(1);

/// Time between two keepalive probes, in whole seconds: the kernel takes no fractions.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);

/// Unanswered keepalive probes after which the connection is closed.
const KEEPALIVE_RETRIES: u32 = 2;

/// Error: the answer is larger than 16 MiB.
#[derive(Debug)]
pub struct AnswerTooLarge;

impl std::fmt::Display for AnswerTooLarge {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "the answer is larger than {MAX_ANSWER_BYTES} bytes")
    }
}

impl std::error::Error for AnswerTooLarge {}

/// Error: no answer came within the timeout.
#[derive(Debug)]
pub struct TimedOut(Duration);

impl std::fmt::Display for TimedOut {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "no answer within {:?}", self.0)
    }
}

impl std::error::Error for TimedOut {}

/// Whether an error of [`HttpClient`], possibly with context, is [`TimedOut`].
#[must_use]
pub fn is_timed_out(error: &eyre::Report) -> bool {
    error.chain().any(|cause| cause.is::<TimedOut>())
}

/// Whether an error of [`HttpClient`], possibly with context, is [`AnswerTooLarge`].
#[must_use]
pub fn is_too_large(error: &eyre::Report) -> bool {
    error.chain().any(|cause| cause.is::<AnswerTooLarge>())
}

/// Answer to a control request.
#[derive(Debug)]
pub struct Reply {
    /// HTTP status code.
    pub status: StatusCode,
    /// Headers.
    pub headers: HeaderMap,
    /// Whole body.
    pub body: Bytes,
}

/// HTTP client with a connection pool.
#[derive(Debug, Clone)]
pub struct HttpClient {
    inner: Client<HttpConnector, Full<Bytes>>,
    name: Option<String>,
    token: Option<String>,
}

impl Default for HttpClient {
    fn default() -> Self {
        Self::new()
    }
}

impl HttpClient {
    /// Creates a client that keeps idle connections for later requests.
    #[must_use]
    pub fn new() -> Self {
        Self::with_idle_connections(usize::MAX)
    }

    /// Creates a client that opens a connection for each request. An idle connection may have gone silent
    /// meanwhile, and a request on it then waits for its timeout in vain.
    #[must_use]
    pub fn without_reuse() -> Self {
        Self::with_idle_connections(0)
    }

    fn with_idle_connections(max_idle: usize) -> Self {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        connector.set_connect_timeout(Some(CONNECT_TIMEOUT));
        connector.set_keepalive(Some(KEEPALIVE_IDLE));
        connector.set_keepalive_interval(Some(KEEPALIVE_INTERVAL));
        connector.set_keepalive_retries(Some(KEEPALIVE_RETRIES));
        let inner = Client::builder(TokioExecutor::new())
            .pool_timer(TokioTimer::new())
            .pool_idle_timeout(Duration::from_secs(15))
            .pool_max_idle_per_host(max_idle)
            .build(connector);
        Self { inner, name: None, token: None }
    }

    /// Sends `name` in the `x-client` header of each request.
    #[must_use]
    pub fn with_name(mut self, name: impl Into<String>) -> Self {
        self.name = Some(name.into());
        self
    }

    /// Sends `token` as bearer token of each request.
    #[must_use]
    pub fn with_token(mut self, token: Option<String>) -> Self {
        self.token = token;
        self
    }

    /// Sends a request and reads the whole answer.
    ///
    /// # Errors
    ///
    /// The URI is malformed, the connection fails, the answer is larger than 16 MiB (see
    /// [`is_too_large`]), or `timeout` passes (see [`is_timed_out`]). The request may have taken
    /// effect unless the connection was refused.
    pub async fn send(
        &self,
        method: Method,
        uri: &str,
        body: Bytes,
        timeout: Duration,
    ) -> Result<Reply> {
        let target: Uri =
            uri.parse().wrap_err_with(|| format!("failed to parse the URI `{uri}`"))?;
        let mut req = Request::builder().method(method).uri(target);
        if let Some(name) = &self.name {
            req = req.header("x-client", name);
        }
        if let Some(token) = &self.token {
            req = req.header(http::header::AUTHORIZATION, format!("Bearer {token}"));
        }
        let req = req.body(Full::new(body)).wrap_err("failed to build the request")?;
        let exchange = async {
            let res = self.inner.request(req).await?;
            let (parts, body) = res.into_parts();
            match Limited::new(body, MAX_ANSWER_BYTES).collect().await {
                Ok(body) => Ok(Reply {
                    status: parts.status,
                    headers: parts.headers,
                    body: body.to_bytes(),
                }),
                Err(e) if e.is::<LengthLimitError>() => Err(AnswerTooLarge.into()),
                Err(e) => bail!("failed to read the answer: {e}"),
            }
        };
        let reply = tokio::time::timeout(timeout, exchange).await;
        reply
            .unwrap_or_else(|_| Err(TimedOut(timeout).into()))
            .wrap_err_with(|| format!("failed to reach {uri}"))
    }

    /// Sends a GET request.
    ///
    /// # Errors
    ///
    /// See [`HttpClient::send`].
    pub async fn get(&self, uri: &str, timeout: Duration) -> Result<Reply> {
        self.send(Method::GET, uri, Bytes::new(), timeout).await
    }
}
