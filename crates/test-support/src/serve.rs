//! Plumbing shared by the HTTP stand-ins: accept loop, bodies and abrupt ends of connections.

use std::convert::Infallible;
use std::fmt;
use std::io;
use std::net::SocketAddr;
use std::sync::Mutex;
use std::time::Duration;

use bytes::Bytes;
use eyre::WrapErr;
use http::{HeaderMap, Request, Response, StatusCode};
use http_body_util::combinators::UnsyncBoxBody;
use http_body_util::{BodyExt, Full, StreamBody};
use hyper::body::{Frame, Incoming};
use hyper::service::service_fn;
use hyper_util::rt::{TokioExecutor, TokioIo, TokioTimer};
use hyper_util::server::conn::auto;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::oneshot;
use tokio::task::{JoinHandle, JoinSet};

/// Body of an answer of a stand-in.
pub(crate) type Body = UnsyncBoxBody<Bytes, io::Error>;

/// Time between the first half of an answer and its cut.
///
/// hyper drops what it has not flushed when a body fails, so the first half needs time to be sent.
const CUT_DELAY: Duration = Duration::from_millis(20);

/// Error that makes hyper close the connection without an answer.
#[derive(Debug)]
pub(crate) struct CloseConnection;

impl fmt::Display for CloseConnection {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("connection closed by a fault setting")
    }
}

impl std::error::Error for CloseConnection {}

/// Requests of one stand-in.
pub(crate) trait Handler: Clone + Send + Sync + 'static {
    /// Whether a new connection is served (it is closed otherwise).
    fn admits_connection(&self) -> bool;

    /// Answers one request; an error closes the connection without an answer.
    fn handle(
        &self,
        req: Request<Incoming>,
    ) -> impl Future<Output = Result<Response<Body>, CloseConnection>> + Send;
}

/// Running accept loop; dropping it ends the loop and closes all its connections.
#[derive(Debug)]
pub(crate) struct Server {
    addr: SocketAddr,
    running: Mutex<Option<(oneshot::Sender<()>, JoinHandle<()>)>>,
}

impl Server {
    /// Binds `listen` and serves `handler` on it.
    pub(crate) async fn start<H: Handler>(
        listener: TcpListener,
        handler: H,
    ) -> eyre::Result<Server> {
        let addr = listener.local_addr().wrap_err("failed to read the listening address")?;
        let (stop_tx, stop_rx) = oneshot::channel();
        let task = tokio::spawn(accept_loop(listener, handler, stop_rx));
        Ok(Server { addr, running: Mutex::new(Some((stop_tx, task))) })
    }

    /// Address that it listens on.
    pub(crate) fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Closes the listener and all connections, and returns when that is done.
    pub(crate) async fn stop(&self) {
        let running = lock(&self.running).take();
        if let Some((stop_tx, task)) = running {
            drop(stop_tx);
            // A panic of the loop has been printed already; there is nothing left to stop.
            drop(task.await);
        }
    }
}

/// Binds a listener of a stand-in.
pub(crate) async fn bind(listen: SocketAddr) -> eyre::Result<TcpListener> {
    TcpListener::bind(listen).await.wrap_err_with(|| format!("failed to listen on {listen}"))
}

async fn accept_loop<H: Handler>(
    listener: TcpListener,
    handler: H,
    mut stop_rx: oneshot::Receiver<()>,
) {
    let mut connections = JoinSet::new();
    loop {
        tokio::select! {
            _ = &mut stop_rx => break,
            Some(_) = connections.join_next() => {}
            accepted = listener.accept() => {
                if let Ok((stream, _)) = accepted
                    && handler.admits_connection()
                {
                    connections.spawn(serve_connection(stream, handler.clone()));
                }
            }
        }
    }
    drop(listener);
    connections.shutdown().await;
}

async fn serve_connection<H: Handler>(stream: TcpStream, handler: H) {
    // Delays of Nagle's algorithm would show up as latency of the stand-in.
    drop(stream.set_nodelay(true));
    let service = service_fn(move |req| {
        let handler = handler.clone();
        async move { handler.handle(req).await }
    });
    let mut builder = auto::Builder::new(TokioExecutor::new());
    builder.http1().timer(TokioTimer::new());
    let served = builder.serve_connection(TokioIo::new(stream), service).await;
    // Broken connections are part of what the stand-ins are for.
    drop(served);
}

/// Body that holds `bytes`.
pub(crate) fn full(bytes: impl Into<Bytes>) -> Body {
    Full::new(bytes.into()).map_err(|never: Infallible| match never {}).boxed_unsync()
}

/// Answer with a JSON body.
pub(crate) fn json(status: StatusCode, value: &impl serde::Serialize) -> Response<Body> {
    let text = serde_json::to_vec(value).expect("answers of stand-ins are plain JSON values");
    let mut answer = Response::new(full(text));
    *answer.status_mut() = status;
    answer
        .headers_mut()
        .insert(http::header::CONTENT_TYPE, http::HeaderValue::from_static("application/json"));
    answer
}

/// Answer that carries an error text.
pub(crate) fn error(status: StatusCode, message: &str) -> Response<Body> {
    json(status, &serde_json::json!({ "error": message }))
}

/// Turns an answer into one that announces its whole length and breaks off after half of it.
pub(crate) async fn cut_in_the_middle(answer: Response<Body>) -> Response<Body> {
    let (mut parts, body) = answer.into_parts();
    let bytes = body.collect().await.map(|all| all.to_bytes()).unwrap_or_default();
    parts.headers.insert(http::header::CONTENT_LENGTH, bytes.len().into());
    let half = bytes.slice(..bytes.len() / 2);
    let frames = futures_util::stream::unfold(Some(half), |half| async move {
        match half {
            Some(half) => Some((Ok(Frame::data(half)), None)),
            None => {
                tokio::time::sleep(CUT_DELAY).await;
                Some((Err(io::Error::other("answer cut by a fault setting")), None))
            }
        }
    });
    Response::from_parts(parts, StreamBody::new(frames).boxed_unsync())
}

/// Text of a header, if it is there and readable.
pub(crate) fn header<'h>(headers: &'h HeaderMap, name: &str) -> Option<&'h str> {
    headers.get(name)?.to_str().ok()
}

/// Number in a header, if it is there and readable.
pub(crate) fn number<T: std::str::FromStr>(headers: &HeaderMap, name: &str) -> Option<T> {
    header(headers, name)?.trim().parse().ok()
}

/// Locks a mutex, also after a panic of another holder.
pub(crate) fn lock<T>(mutex: &Mutex<T>) -> std::sync::MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(std::sync::PoisonError::into_inner)
}

/// 64-bit FNV-1a checksum, in hexadecimal.
pub fn checksum(bytes: &[u8]) -> String {
    let mut hash: u64 = 0xcbf2_9ce4_8422_2325;
    for byte in bytes {
        hash = (hash ^ u64::from(*byte)).wrapping_mul(0x0000_0100_0000_01b3);
    }
    format!("{hash:016x}")
}
