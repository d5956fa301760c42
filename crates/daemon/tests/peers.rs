//! Messages to other daemons over connections that go silent, and to daemons that refuse them.

use std::convert::Infallible;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::{Duration, Instant};

use baobabreel_daemon::proxy::{PeerError, PeerPool};
use bytes::Bytes;
use http::{Request, Response, StatusCode};
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::server::conn::http2;
use hyper::service::service_fn;
use hyper_util::rt::{TokioExecutor, TokioIo};
use tokio::net::TcpListener;

/// Longest time for a notice to arrive; half of the time within which a change has to be in force.
const NOTICE_LIMIT: Duration = Duration::from_secs(1);

/// Starts a peer that leaves the messages on its first connection without an answer; returns its address and the
/// number of connections that it has accepted.
async fn start_peer() -> (SocketAddr, Arc<AtomicUsize>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let addr = listener.local_addr().expect("a local address");
    let connections = Arc::new(AtomicUsize::new(0));
    let accepted = Arc::clone(&connections);
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            let is_silent = accepted.fetch_add(1, Ordering::SeqCst) == 0;
            let service = service_fn(move |_: Request<Incoming>| async move {
                if is_silent {
                    std::future::pending::<()>().await;
                }
                Ok::<_, Infallible>(Response::new(Full::new(Bytes::from_static(b"taken"))))
            });
            let builder = http2::Builder::new(TokioExecutor::new());
            tokio::spawn(builder.serve_connection(TokioIo::new(stream), service));
        }
    });
    (addr, connections)
}

/// Guards against a notice of a change that is lost with the connection over which it went.
#[tokio::test]
async fn notice_on_a_connection_that_went_silent_is_sent_again() {
    let (addr, connections) = start_peer().await;
    let pool = PeerPool::new(None, &Arc::default());
    let begin = Instant::now();
    let answer = pool.notice(addr, "/peer/v1/document-notice", b"news".to_vec()).await;
    let time = begin.elapsed();
    assert_eq!(answer.expect("the second connection is served"), "taken");
    assert!(time < NOTICE_LIMIT, "answered after {time:?}");
    assert_eq!(connections.load(Ordering::SeqCst), 2);
}

/// Starts a peer that answers each message with this status.
async fn start_refusing_peer(status: StatusCode) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let addr = listener.local_addr().expect("a local address");
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            let service = service_fn(move |_: Request<Incoming>| async move {
                let mut res = Response::new(Full::new(Bytes::new()));
                *res.status_mut() = status;
                Ok::<_, Infallible>(res)
            });
            let builder = http2::Builder::new(TokioExecutor::new());
            tokio::spawn(builder.serve_connection(TokioIo::new(stream), service));
        }
    });
    addr
}

/// Guards against a daemon with no room for a message that is taken for an older one which does not know it: a large
/// body would be sent to it without a grant.
#[tokio::test]
async fn only_an_older_daemon_does_not_know_a_message() {
    let pool = PeerPool::new(None, &Arc::default());
    for (status, is_unknown) in [
        (StatusCode::NOT_FOUND, true),
        (StatusCode::SERVICE_UNAVAILABLE, false),
        (StatusCode::FORBIDDEN, false),
        (StatusCode::INTERNAL_SERVER_ERROR, false),
    ] {
        let addr = start_refusing_peer(status).await;
        let answer = pool.control(addr, "/peer/v1/body-grant", Vec::new(), NOTICE_LIMIT).await;
        let e = answer.expect_err("the message is refused");
        assert!(matches!(e, PeerError::Refused(_)), "{status}: {e}");
        assert_eq!(e.is_unknown_message(), is_unknown, "{status}");
    }
}
