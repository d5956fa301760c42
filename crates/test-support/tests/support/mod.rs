//! HTTP client and announcement sink of the tests.

#![allow(dead_code, reason = "each test binary uses a part")]

use std::convert::Infallible;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use bytes::Bytes;
use eyre::WrapErr;
use http::{HeaderMap, Request, Response, StatusCode};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::service::service_fn;
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::{TokioExecutor, TokioIo};

/// Client with a pool of its own.
pub type Http = Client<HttpConnector, Full<Bytes>>;

/// Whole answer.
#[derive(Debug)]
pub struct Answer {
    pub status: StatusCode,
    pub headers: HeaderMap,
    pub text: String,
}

impl Answer {
    pub fn json(&self) -> serde_json::Value {
        serde_json::from_str(&self.text).expect("the answer is JSON")
    }
}

/// Longest wait for a condition; only a failing test takes that long.
const LIMIT: Duration = Duration::from_secs(60);

pub async fn until(condition: impl Fn() -> bool) {
    let wait = async {
        while !condition() {
            tokio::time::sleep(Duration::from_millis(2)).await;
        }
    };
    tokio::time::timeout(LIMIT, wait).await.expect("the condition is met in time");
}

pub fn client() -> Http {
    Client::builder(TokioExecutor::new()).build_http()
}

pub async fn send(
    http: &Http,
    method: &str,
    url: &str,
    headers: &[(&str, &str)],
    body: &str,
) -> eyre::Result<Answer> {
    let mut req = Request::builder().method(method).uri(url);
    for (name, value) in headers {
        req = req.header(*name, *value);
    }
    let req = req.body(Full::new(Bytes::copy_from_slice(body.as_bytes())))?;
    let (parts, body) = http.request(req).await.wrap_err("failed to send")?.into_parts();
    let body = body.collect().await.wrap_err("failed to read the answer")?.to_bytes();
    let text = String::from_utf8_lossy(&body).into_owned();
    Ok(Answer { status: parts.status, headers: parts.headers, text })
}

/// Listener that keeps the announcements that it gets, in place of a daemon.
pub struct AnnouncementSink {
    pub url: String,
    received: Arc<Mutex<Vec<serde_json::Value>>>,
}

impl AnnouncementSink {
    pub async fn start() -> Self {
        let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
        let url = format!("http://{}", listener.local_addr().unwrap());
        let received = Arc::new(Mutex::new(Vec::new()));
        tokio::spawn(keep_announcements(listener, Arc::clone(&received)));
        AnnouncementSink { url, received }
    }

    pub fn received(&self) -> Vec<serde_json::Value> {
        self.received.lock().unwrap().clone()
    }
}

async fn keep_announcements(
    listener: tokio::net::TcpListener,
    received: Arc<Mutex<Vec<serde_json::Value>>>,
) {
    while let Ok((stream, _)) = listener.accept().await {
        let received = Arc::clone(&received);
        let service = service_fn(move |req: Request<Incoming>| {
            let received = Arc::clone(&received);
            async move {
                assert_eq!((req.method().as_str(), req.uri().path()), ("POST", "/announce"));
                let body = req.into_body().collect().await.unwrap().to_bytes();
                received.lock().unwrap().push(serde_json::from_slice(&body).unwrap());
                Ok::<_, Infallible>(Response::new(Full::new(Bytes::new())))
            }
        });
        let http = hyper::server::conn::http1::Builder::new();
        tokio::spawn(http.serve_connection(TokioIo::new(stream), service));
    }
}
