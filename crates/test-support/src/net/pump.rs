//! Bytes of one connection of a relay.

use std::io;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Instant;

use bytes::{Bytes, BytesMut};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::sync::{mpsc, watch};

use super::{Counters, Rules};
use crate::timer;

/// Most bytes read at once.
const CHUNK: usize = 16 * 1024;
/// Chunks on their way in one direction (4 MiB, more than 1 Gbit/s at a delay of 30 ms).
const CHUNKS_ON_THE_WAY: usize = 256;

/// Chunk with the time of its delivery; an empty chunk is the end of the stream.
type Chunk = (Instant, Bytes);

/// Forwards both directions until both have ended or one has failed.
pub(super) async fn forward(
    id: u64,
    near: TcpStream,
    target: SocketAddr,
    rules: watch::Receiver<Rules>,
    counters: &Counters,
) {
    let Ok(far) = TcpStream::connect(target).await else {
        return;
    };
    // Delays of Nagle's algorithm would add to the delay that is set.
    drop((near.set_nodelay(true), far.set_nodelay(true)));
    let (near_rx, near_tx) = near.into_split();
    let (far_rx, far_tx) = far.into_split();
    let there = direction(id, near_rx, far_tx, rules.clone(), &counters.to_target);
    let back = direction(id, far_rx, near_tx, rules, &counters.from_target);
    // Either error ends the connection, which is all that the two ends can see of it.
    drop(tokio::try_join!(there, back));
}

async fn direction(
    id: u64,
    rx: OwnedReadHalf,
    tx: OwnedWriteHalf,
    rules: watch::Receiver<Rules>,
    delivered: &AtomicU64,
) -> io::Result<()> {
    let (chunk_tx, chunk_rx) = mpsc::channel(CHUNKS_ON_THE_WAY);
    let read = read(rx, rules.clone(), chunk_tx);
    let write = write(id, tx, rules, chunk_rx, delivered);
    tokio::try_join!(read, write).map(|_| ())
}

async fn read(
    mut rx: OwnedReadHalf,
    rules: watch::Receiver<Rules>,
    chunks: mpsc::Sender<Chunk>,
) -> io::Result<()> {
    loop {
        let mut chunk = BytesMut::with_capacity(CHUNK);
        rx.read_buf(&mut chunk).await?;
        let end = chunk.is_empty();
        let deliver_at = Instant::now() + rules.borrow().delay;
        if chunks.send((deliver_at, chunk.freeze())).await.is_err() || end {
            return Ok(());
        }
    }
}

async fn write(
    id: u64,
    mut tx: OwnedWriteHalf,
    mut rules: watch::Receiver<Rules>,
    mut chunks: mpsc::Receiver<Chunk>,
    delivered: &AtomicU64,
) -> io::Result<()> {
    while let Some((deliver_at, chunk)) = chunks.recv().await {
        timer::sleep_until(deliver_at).await;
        let passing =
            rules.wait_for(|rules| !rules.hold && id > rules.silenced_up_to).await.is_ok();
        if !passing {
            return Err(io::Error::other("relay stopped"));
        }
        if chunk.is_empty() {
            return tx.shutdown().await;
        }
        delivered.fetch_add(chunk.len() as u64, Ordering::Relaxed);
        tx.write_all(&chunk).await?;
    }
    Ok(())
}
