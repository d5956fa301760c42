//! Requests and answers as bytes, for what well-behaved libraries do not send.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use baobabreel_client::transport::HttpClient;
use bytes::Bytes;
use http::{HeaderMap, Method, Request, StatusCode};
use http_body_util::{BodyExt, Full};
use hyper::client::conn::http2;
use hyper_util::rt::{TokioExecutor, TokioIo};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

use crate::LIMIT;

/// Most bytes of a request head that [`RawBackend`] reads.
const MAX_HEAD: usize = 64 * 1024;

/// Time without progress after which a write to a connection whose other end has sent its end is
/// given up.
const STUCK_AFTER_END: Duration = Duration::from_secs(1);

/// Answer as a caller sees it.
#[derive(Debug)]
pub struct RawAnswer {
    /// Status; absent when no head came.
    pub status: Option<StatusCode>,
    /// Headers.
    pub headers: HeaderMap,
    /// Body, as far as it came.
    pub body: Bytes,
    /// Whether the end of the body came.
    pub whole: bool,
}

impl RawAnswer {
    /// Text of a header; empty when it is absent.
    #[must_use]
    pub fn header(&self, name: &str) -> &str {
        let value = self.headers.get(name).and_then(|value| value.to_str().ok());
        value.unwrap_or_default()
    }

    /// Status as a number; 0 when no head came.
    #[must_use]
    pub fn code(&self) -> u16 {
        self.status.map_or(0, |status| status.as_u16())
    }

    /// Reads an answer from all the bytes of a connection that [`exchange`] returned.
    pub async fn parse(bytes: Vec<u8>) -> Self {
        let (caller, mut server) = tokio::io::duplex(MAX_HEAD);
        let answer = async move {
            // The answer is taken only after a request.
            if server.read_u8().await.is_ok() {
                drop(server.write_all(&bytes).await);
            }
        };
        tokio::spawn(answer);
        let (mut sender, conn) =
            hyper::client::conn::http1::handshake(TokioIo::new(caller)).await.expect("it listens");
        tokio::spawn(async move { drop(conn.await) });
        match within(sender.send_request(Request::new(Full::<Bytes>::default()))).await {
            Ok(response) => within(Self::read(response)).await,
            Err(_) => Self::none(),
        }
    }

    async fn read<B>(response: http::Response<B>) -> Self
    where
        B: BodyExt<Data = Bytes> + Unpin,
    {
        let (parts, mut body) = response.into_parts();
        let mut data = Vec::new();
        let mut whole = true;
        while let Some(frame) = body.frame().await {
            match frame {
                Ok(frame) => data.extend(frame.into_data().unwrap_or_default()),
                Err(_) => {
                    whole = false;
                    break;
                }
            }
        }
        Self { status: Some(parts.status), headers: parts.headers, body: Bytes::from(data), whole }
    }

    fn none() -> Self {
        Self { status: None, headers: HeaderMap::new(), body: Bytes::new(), whole: false }
    }
}

/// Request for [`h1`] and [`h2`].
///
/// # Panics
///
/// A part of it is malformed.
fn request(
    to: SocketAddr,
    path: &str,
    headers: &[(&str, &str)],
    body: Bytes,
) -> Request<Full<Bytes>> {
    let method = match body.is_empty() {
        true => Method::GET,
        false => Method::POST,
    };
    let uri = format!("http://{to}{path}");
    let mut req = Request::builder().method(method).uri(uri);
    for (name, value) in headers {
        req = req.header(*name, *value);
    }
    req.body(Full::new(body)).expect("a request")
}

/// Sends a request over a new HTTP/1.1 connection: GET, or POST when there is a body.
pub async fn h1(
    to: SocketAddr,
    path: &str,
    headers: &[(&str, &str)],
    body: impl Into<Bytes>,
) -> RawAnswer {
    let mut req = request(to, path, headers, body.into());
    let authority = to.to_string();
    req.headers_mut().entry("host").or_insert(authority.parse().expect("a host"));
    let exchange = async {
        let stream = TcpStream::connect(to).await.ok()?;
        let io = TokioIo::new(stream);
        let (mut sender, conn) = hyper::client::conn::http1::handshake(io).await.ok()?;
        tokio::spawn(async move { drop(conn.await) });
        Some(RawAnswer::read(sender.send_request(req).await.ok()?).await)
    };
    within(exchange).await.unwrap_or_else(RawAnswer::none)
}

/// Sends a request over a new HTTP/2 connection: GET, or POST when there is a body.
pub async fn h2(
    to: SocketAddr,
    path: &str,
    headers: &[(&str, &str)],
    body: impl Into<Bytes>,
) -> RawAnswer {
    let req = request(to, path, headers, body.into());
    let exchange = async {
        let stream = TcpStream::connect(to).await.ok()?;
        let handshake = http2::handshake(TokioExecutor::new(), TokioIo::new(stream));
        let (mut sender, conn) = handshake.await.ok()?;
        tokio::spawn(async move { drop(conn.await) });
        Some(RawAnswer::read(sender.send_request(req).await.ok()?).await)
    };
    within(exchange).await.unwrap_or_else(RawAnswer::none)
}

async fn within<T>(exchange: impl Future<Output = T>) -> T {
    let done = tokio::time::timeout(LIMIT, exchange).await;
    done.expect("the exchange ends")
}

/// Sends bytes, closes the sending side if `close`, and returns what came until the other end
/// closed.
///
/// # Panics
///
/// The connection is refused, or the other end does not close it within [`LIMIT`].
pub async fn exchange(to: SocketAddr, bytes: &[u8], close: bool) -> Vec<u8> {
    let mut stream = TcpStream::connect(to).await.expect("it listens");
    let mut answer = Vec::new();
    within(async {
        // The other end may close before it has read everything.
        if stream.write_all(bytes).await.is_ok() && close {
            drop(stream.shutdown().await);
        }
        drop(stream.read_to_end(&mut answer).await);
    })
    .await;
    answer
}

/// Backend server that answers each request with the same bytes and then closes the connection.
#[derive(Debug)]
pub struct RawBackend {
    shared: Arc<Mutex<Shared>>,
}

#[derive(Debug, Default)]
struct Shared {
    answer: Vec<(Vec<u8>, Duration)>,
    /// Sent after the answer again and again, each with the pause after it.
    endless_rest: Option<(Vec<u8>, Duration)>,
    /// When the other end closed the connection of the last endless answer.
    endless_closed_at: Option<Instant>,
    last_head: String,
}

fn lock(shared: &Mutex<Shared>) -> MutexGuard<'_, Shared> {
    shared.lock().unwrap_or_else(PoisonError::into_inner)
}

impl RawBackend {
    /// Starts it and announces it to a daemon as ready every 500 ms.
    ///
    /// # Panics
    ///
    /// No port is free.
    pub async fn start(service: &str, announce: SocketAddr) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let address = listener.local_addr().expect("an address");
        let shared: Arc<Mutex<Shared>> = Arc::default();
        let served = Arc::clone(&shared);
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                tokio::spawn(serve(stream, Arc::clone(&served)));
            }
        });
        let body = format!(
            "{{\"service\":\"{service}\",\"address\":\"{address}\",\"slots\":10,\
             \"state\":\"ready\",\"running\":0,\"load\":0.0}}"
        );
        tokio::spawn(async move {
            let http = HttpClient::new();
            let uri = format!("http://{announce}/announce");
            loop {
                let body = Bytes::from(body.clone());
                drop(http.send(Method::POST, &uri, body, LIMIT).await);
                tokio::time::sleep(Duration::from_millis(500)).await;
            }
        });
        Self { shared }
    }

    /// Sets the parts of the answer, each with the pause after it.
    pub fn answer_with(&self, parts: &[(&str, Duration)]) {
        let parts = parts.iter().map(|(text, pause)| (text.as_bytes().to_vec(), *pause));
        let mut shared = lock(&self.shared);
        shared.answer = parts.collect();
        shared.endless_rest = None;
    }

    /// Sets an answer that begins with `start` and goes on with `rest`, again and again with `pause`
    /// between, until the other end closes the connection.
    pub fn answer_endlessly(&self, start: &str, rest: &str, pause: Duration) {
        let mut shared = lock(&self.shared);
        shared.answer = vec![(start.as_bytes().to_vec(), Duration::ZERO)];
        shared.endless_rest = Some((rest.as_bytes().to_vec(), pause));
        shared.endless_closed_at = None;
    }

    /// When the other end closed the connection of the endless answer, if it has.
    #[must_use]
    pub fn endless_closed_at(&self) -> Option<Instant> {
        lock(&self.shared).endless_closed_at
    }

    /// Head of the last request that does not ask about its health, in lower case.
    #[must_use]
    pub fn last_head(&self) -> String {
        lock(&self.shared).last_head.clone()
    }
}

async fn serve(mut stream: TcpStream, shared: Arc<Mutex<Shared>>) {
    let mut head: Vec<u8> = Vec::new();
    let mut buf = [0; 4096];
    while !head.windows(4).any(|end| end == b"\r\n\r\n") && head.len() < MAX_HEAD {
        match stream.read(&mut buf).await {
            Ok(0) | Err(_) => return,
            Ok(length) => head.extend(&buf[..length]),
        }
    }
    let (parts, endless_rest) = {
        let mut shared = lock(&shared);
        let head = String::from_utf8_lossy(&head).to_lowercase();
        if !head.starts_with("get /health ") {
            shared.last_head = head;
        }
        (shared.answer.clone(), shared.endless_rest.clone())
    };
    for (bytes, pause) in parts {
        if stream.write_all(&bytes).await.is_err() {
            return;
        }
        tokio::time::sleep(pause).await;
    }
    if let Some((rest, pause)) = endless_rest {
        let closed_at = write_until_closed(stream, &rest, pause).await;
        lock(&shared).endless_closed_at = Some(closed_at);
        return;
    }
    drop(stream.shutdown().await);
}

/// Writes `rest` again and again; returns when the other end closed the connection.
///
/// The end of its direction is seen at once, while a write that waits for it to read may fail much
/// later, at a probe of the kernel. The end counts if the other end takes nothing after it.
async fn write_until_closed(stream: TcpStream, rest: &[u8], pause: Duration) -> Instant {
    let (mut read, mut write) = stream.into_split();
    let mut end = tokio::spawn(async move {
        drop(read.read_u8().await);
        Instant::now()
    });
    let mut written_at = Instant::now();
    let mut ended_at = None;
    loop {
        tokio::select! {
            written = write.write_all(rest) => {
                if written.is_err() {
                    break;
                }
                written_at = Instant::now();
                tokio::time::sleep(pause).await;
            }
            ended = &mut end, if ended_at.is_none() => ended_at = ended.ok(),
            () = tokio::time::sleep(STUCK_AFTER_END), if ended_at.is_some() => break,
        }
    }
    let failed_at = Instant::now();
    ended_at.filter(|ended_at| *ended_at > written_at).unwrap_or(failed_at)
}
