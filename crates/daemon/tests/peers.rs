//! Messages to other daemons over connections that go silent.

use std::convert::Infallible;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::{Duration, Instant};

use baobabreel_daemon::proxy::PeerPool;
use bytes::Bytes;
use http::{Request, Response};
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
