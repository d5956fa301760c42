//! Guards the faults of the relay that tests of silent and broken connections rely on.

use std::io::ErrorKind;
use std::time::{Duration, Instant};

use baobabreel_test_support::net::Relay;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

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
