//! Guards the faults of the relay that tests of silent and broken connections rely on.

use std::io::ErrorKind;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use baobabreel_test_support::net::Relay;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpSocket, TcpStream};

/// Time after which bytes are taken not to come.
const SILENCE: Duration = Duration::from_millis(150);

/// Longest wait for a relay; only a failing test takes that long.
const LIMIT: Duration = Duration::from_secs(30);

async fn within<T>(wait: impl Future<Output = T>) -> T {
    tokio::time::timeout(LIMIT, wait).await.expect("the relay acts in time")
}

async fn start() -> Relay {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let target = listener.local_addr().unwrap();
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            tokio::spawn(async move {
                let (mut rx, mut tx) = stream.split();
                drop(tokio::io::copy(&mut rx, &mut tx).await);
            });
        }
    });
    Relay::start(target).await.unwrap()
}

async fn echo(stream: &mut TcpStream) -> std::io::Result<u8> {
    stream.write_u8(7).await?;
    stream.read_u8().await
}

/// Guards against a delay that is applied in one direction only, or not at all.
#[tokio::test]
async fn the_delay_applies_in_each_direction() {
    let relay = start().await;
    relay.set_delay(Duration::from_millis(30));
    let mut stream = TcpStream::connect(relay.addr()).await.unwrap();
    let sent = Instant::now();
    assert_eq!(within(echo(&mut stream)).await.unwrap(), 7);
    assert!(sent.elapsed() >= Duration::from_millis(60));
    let counters = relay.counters();
    assert_eq!((counters.to_target, counters.from_target, counters.open), (1, 1, 1));
}

/// Guards against a silent connection that is closed, which clients would notice at once.
#[tokio::test]
async fn silenced_connections_stay_open_and_new_ones_work() {
    let relay = start().await;
    let mut old = TcpStream::connect(relay.addr()).await.unwrap();
    assert_eq!(within(echo(&mut old)).await.unwrap(), 7);
    relay.silence_existing();
    tokio::time::timeout(SILENCE, echo(&mut old)).await.unwrap_err();
    let mut new = TcpStream::connect(relay.addr()).await.unwrap();
    assert_eq!(within(echo(&mut new)).await.unwrap(), 7);
}

/// Guards against bytes that are lost, instead of late, when a partition ends.
#[tokio::test]
async fn held_bytes_are_delivered_afterwards() {
    let relay = start().await;
    let mut stream = TcpStream::connect(relay.addr()).await.unwrap();
    relay.hold(true);
    stream.write_u8(9).await.unwrap();
    tokio::time::timeout(SILENCE, stream.read_u8()).await.unwrap_err();
    relay.hold(false);
    assert_eq!(within(stream.read_u8()).await.unwrap(), 9);
}

/// Guards against a refusal that is a closed connection, which proves less to a client.
#[tokio::test]
async fn cut_closes_and_refuse_refuses() {
    let relay = start().await;
    let mut stream = TcpStream::connect(relay.addr()).await.unwrap();
    assert_eq!(within(echo(&mut stream)).await.unwrap(), 7);
    within(relay.refuse(true)).await;
    assert_eq!(within(echo(&mut stream)).await.unwrap(), 7);
    let refused = TcpStream::connect(relay.addr()).await.unwrap_err();
    assert_eq!(refused.kind(), ErrorKind::ConnectionRefused);
    relay.cut();
    let cut = within(stream.read_u8()).await.unwrap_err();
    assert_eq!(cut.kind(), ErrorKind::UnexpectedEof);
    within(relay.refuse(false)).await;
    let mut stream = TcpStream::connect(relay.addr()).await.unwrap();
    assert_eq!(within(echo(&mut stream)).await.unwrap(), 7);
}

/// Guards against a rate that is not kept, or is kept over all connections instead of each.
#[tokio::test]
async fn each_connection_has_its_rate() {
    /// Bytes per second.
    const RATE: u32 = 100_000;
    /// Bytes of each connection, and the time that they take.
    const BYTES: usize = 20_000;
    const TIME: Duration = Duration::from_millis(200);
    /// Connections.
    const COUNT: u32 = 6;
    let relay = start().await;
    relay.set_rate(Some(RATE));
    let begin = Instant::now();
    let echoes = (0..COUNT).map(|_| echo_bytes(relay.addr(), BYTES));
    for echoed in futures_util::future::join_all(echoes).await {
        assert_eq!(echoed, BYTES);
    }
    let took = begin.elapsed();
    assert!(took >= TIME, "{took:?}");
    assert!(took < TIME * COUNT, "{took:?}");
}

async fn echo_bytes(addr: SocketAddr, count: usize) -> usize {
    let (mut rx, mut tx) = TcpStream::connect(addr).await.unwrap().into_split();
    let send = async move { tx.write_all(&vec![7; count]).await.unwrap() };
    let mut echoed = vec![0; count];
    let receive = async { within(rx.read_exact(&mut echoed)).await.unwrap() };
    tokio::join!(send, receive).1
}

/// Guards against a narrow relay that takes in what its other end does not read, which hides from a writer that
/// nobody reads.
#[tokio::test]
async fn narrow_relay_blocks_the_writer_of_an_end_that_does_not_read() {
    /// Bytes that fit, and a multiple of them that the buffers of the kernel may add.
    const ROOM: u32 = 8_192;
    const MOST: usize = 400_000;
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let relay = Relay::start_narrow(listener.local_addr().unwrap(), ROOM).await.unwrap();
    let socket = TcpSocket::new_v4().unwrap();
    socket.set_send_buffer_size(ROOM).unwrap();
    let mut near = socket.connect(relay.addr()).await.unwrap();
    let (mut far, _) = within(listener.accept()).await.unwrap();
    let mut sent = 0;
    while let Ok(length) = tokio::time::timeout(SILENCE, near.write(&[7; 1_024])).await {
        sent += length.unwrap();
        assert!(sent < MOST, "{sent} bytes were taken in");
    }
    assert!(sent >= ROOM as usize, "{sent}");
    near.shutdown().await.unwrap();
    let mut received = Vec::new();
    within(far.read_to_end(&mut received)).await.unwrap();
    assert_eq!(received.len(), sent);
}

/// Guards against bytes that are lost on the way when the end that sent them resets the connection.
#[tokio::test]
async fn bytes_sent_before_a_reset_arrive() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let relay = Relay::start(listener.local_addr().unwrap()).await.unwrap();
    relay.set_delay(Duration::from_millis(50));
    let mut near = TcpStream::connect(relay.addr()).await.unwrap();
    let (mut far, _) = within(listener.accept()).await.unwrap();
    far.write_all(&[7; 10]).await.unwrap();
    // The relay has read them by then.
    tokio::time::sleep(Duration::from_millis(20)).await;
    far.set_zero_linger().unwrap();
    drop(far);
    let mut received = Vec::new();
    within(near.read_to_end(&mut received)).await.unwrap();
    assert_eq!(received, [7; 10]);
}
