//! Crowds of clients that do not behave: they do not read, stop sending, or send ahead, and come back as soon as
//! their connection is closed.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use bytes::Bytes;
use http::Request;
use http_body_util::Full;
use hyper::client::conn::http2;
use hyper_util::rt::{TokioExecutor, TokioIo};
use tokio::io::{AsyncReadExt, AsyncWriteExt, Interest};
use tokio::net::{TcpSocket, TcpStream};
use tokio::sync::Semaphore;
use tokio::task::JoinSet;

/// Receive buffer of a client that does not read, in bytes; little, so that responses wait at the daemon.
const RECEIVE_BUFFER_BYTES: u32 = 4 * 1_024;

/// Connections that are opened at once; more would overflow the backlog of the kernel and wait for retransmits.
const CONNECTING: usize = 16;

/// Pause of a client before it connects again.
const RECONNECT_PAUSE: Duration = Duration::from_millis(50);

/// Streams that a client opens on each HTTP/2 connection.
const STREAMS: usize = 50;

/// What each client of a crowd does on a connection.
#[derive(Debug, Clone)]
pub enum Habit {
    /// Sends these bytes so many times and reads nothing.
    ReadNothing(Bytes, usize),
    /// Sends the first bytes, then the second ones again and again with a pause after each, and reads nothing.
    Trickle(Bytes, Bytes, Duration),
    /// Sends these bytes again and again, and reads one byte after each pause.
    ReadSlowly(Bytes, Duration),
    /// Sends these bytes and resets the connection.
    Reset(Bytes),
    /// Sends these bytes, ends its direction of the connection and reads nothing.
    HalfClose(Bytes),
    /// Sends this request on many HTTP/2 streams and reads no response body.
    Streams(Request<Full<Bytes>>),
}

/// Clients that stay until they are dropped.
#[derive(Debug)]
pub struct Crowd {
    clients: JoinSet<()>,
    connections: Arc<AtomicUsize>,
}

impl Crowd {
    /// Starts so many clients with a habit.
    #[must_use]
    pub fn start(to: SocketAddr, clients: usize, habit: &Habit) -> Self {
        let connecting = Arc::new(Semaphore::new(CONNECTING));
        let connections = Arc::new(AtomicUsize::new(0));
        let mut crowd = JoinSet::new();
        for _ in 0..clients {
            let (connecting, habit) = (Arc::clone(&connecting), habit.clone());
            let connections = Arc::clone(&connections);
            crowd.spawn(async move {
                loop {
                    let permit = connecting.acquire().await;
                    let connected = connect(to).await;
                    drop(permit);
                    if let Some(stream) = connected {
                        connections.fetch_add(1, Ordering::Relaxed);
                        misbehave(stream, &habit).await;
                    }
                    tokio::time::sleep(RECONNECT_PAUSE).await;
                }
            });
        }
        Self { clients: crowd, connections }
    }

    /// Connections that were opened so far.
    #[must_use]
    pub fn connections(&self) -> usize {
        self.connections.load(Ordering::Relaxed)
    }

    /// Number of clients.
    #[must_use]
    pub fn clients(&self) -> usize {
        self.clients.len()
    }
}

/// Connects with a small receive buffer; `None` if the daemon does not take the connection.
async fn connect(to: SocketAddr) -> Option<TcpStream> {
    let socket = TcpSocket::new_v4().expect("a socket");
    socket.set_recv_buffer_size(RECEIVE_BUFFER_BYTES).expect("a small buffer");
    socket.connect(to).await.ok()
}

/// Follows the habit until the daemon closes the connection.
async fn misbehave(mut stream: TcpStream, habit: &Habit) {
    match habit {
        Habit::ReadNothing(bytes, times) => {
            for _ in 0..*times {
                if stream.write_all(bytes).await.is_err() {
                    return;
                }
            }
            wait_until_closed(&stream).await;
        }
        Habit::Trickle(first, rest, pause) => {
            let mut sent = stream.write_all(first).await;
            while sent.is_ok() {
                tokio::time::sleep(*pause).await;
                sent = stream.write_all(rest).await;
            }
        }
        Habit::ReadSlowly(bytes, pause) => {
            let (mut read, mut write) = stream.split();
            let read = async {
                while read.read_u8().await.is_ok() {
                    tokio::time::sleep(*pause).await;
                }
            };
            let write = async { while write.write_all(bytes).await.is_ok() {} };
            tokio::join!(read, write);
        }
        Habit::Reset(bytes) => {
            drop(stream.write_all(bytes).await);
            stream.set_zero_linger().expect("a connection that is reset at its end");
        }
        Habit::HalfClose(bytes) => {
            if stream.write_all(bytes).await.is_ok() && stream.shutdown().await.is_ok() {
                wait_until_closed(&stream).await;
            }
        }
        Habit::Streams(request) => open_streams(stream, request).await,
    }
}

/// Waits until the daemon resets the connection, or ends it without a byte that is unread.
async fn wait_until_closed(stream: &TcpStream) {
    while let Ok(ready) = stream.ready(Interest::READABLE | Interest::ERROR).await {
        if ready.is_read_closed() || ready.is_error() {
            return;
        }
        tokio::time::sleep(RECONNECT_PAUSE).await;
    }
}

async fn open_streams(stream: TcpStream, request: &Request<Full<Bytes>>) {
    let handshake = http2::Builder::new(TokioExecutor::new())
        .initial_stream_window_size(1)
        .handshake(TokioIo::new(stream));
    let Ok((mut sender, conn)) = handshake.await else { return };
    let mut streams: JoinSet<()> = JoinSet::new();
    for _ in 0..STREAMS {
        let response = sender.send_request(request.clone());
        streams.spawn(async move {
            let _response = response.await;
            std::future::pending().await
        });
    }
    // Ends with the connection; its error is what a crowd is to expect.
    drop(conn.await);
}
