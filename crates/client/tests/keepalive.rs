//! Keepalive options of the connections that the client opens, as the kernel has them.

use std::net::SocketAddr;
use std::os::fd::{BorrowedFd, RawFd};
use std::time::Duration;

use baobabreel_client::transport::HttpClient;
use rustix::net::{getpeername, sockopt};
use tokio::io::AsyncReadExt;
use tokio::net::TcpListener;

/// Longest time from the last byte of a silent connection until the kernel closes it.
const SILENCE_LIMIT: Duration = Duration::from_secs(3);

/// Timeout of the requests, which get no answer.
const TIMEOUT: Duration = Duration::from_secs(30);

/// Descriptors of the sockets of this process.
fn sockets() -> Vec<RawFd> {
    let entries = std::fs::read_dir("/proc/self/fd").expect("the descriptors of this process");
    let is_socket = |entry: &std::fs::DirEntry| {
        std::fs::read_link(entry.path()).is_ok_and(|to| to.to_string_lossy().starts_with("socket:"))
    };
    let sockets = entries.flatten().filter(is_socket);
    sockets.filter_map(|entry| entry.file_name().to_str()?.parse().ok()).collect()
}

/// Socket of this process that is connected to `peer`.
fn socket_to(peer: SocketAddr) -> BorrowedFd<'static> {
    let is_connected = |socket: &BorrowedFd<'_>| {
        let address = getpeername(socket).ok().flatten();
        address.and_then(|address| SocketAddr::try_from(address).ok()) == Some(peer)
    };
    // SAFETY: the test has one thread and awaits nothing while it uses the sockets, so none is
    // closed meanwhile.
    let mut borrowed = sockets().into_iter().map(|fd| unsafe { BorrowedFd::borrow_raw(fd) });
    borrowed.find(is_connected).expect("a connection")
}

/// Time after which the kernel closes a connection that has gone silent; absent if it never does.
fn silence_limit(socket: BorrowedFd<'_>) -> Option<Duration> {
    let probes = sockopt::tcp_keepcnt(socket).expect("an option");
    let idle = sockopt::tcp_keepidle(socket).expect("an option");
    let interval = sockopt::tcp_keepintvl(socket).expect("an option");
    let is_on = sockopt::socket_keepalive(socket).expect("an option");
    is_on.then(|| idle + interval * probes)
}

async fn assert_silence_is_found(client: HttpClient) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let server = listener.local_addr().expect("an address");
    let uri = format!("http://{server}/news");
    let request = tokio::spawn(async move { client.get(&uri, TIMEOUT).await });
    let (mut accepted, _) = listener.accept().await.expect("a connection");
    accepted.read_u8().await.expect("a request");
    let found = silence_limit(socket_to(server));
    request.abort();
    assert!(found.is_some_and(|found| found <= SILENCE_LIMIT), "found after {found:?}");
}

/// Guards against keepalive options that the kernel refuses, which leave the defaults of the system
/// in force: a silent connection is then found after many minutes.
#[tokio::test]
async fn kernel_closes_a_silent_connection_in_seconds() {
    assert_silence_is_found(HttpClient::new()).await;
    assert_silence_is_found(HttpClient::without_reuse()).await;
}
