//! Bytes of one connection of a relay.

use std::io;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Mutex, PoisonError};
use std::time::{Duration, Instant};

use bytes::{Bytes, BytesMut};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpSocket, TcpStream};
use tokio::sync::{mpsc, watch};

use super::room::Room;
use super::{Counters, Rules, SharedLink};
use crate::timer;

/// Chunk with the time of its delivery; an empty chunk is the end of the stream.
type Chunk = (Instant, Bytes);

/// Forwards both directions until both have ended.
pub(super) async fn forward(
    id: u64,
    near: TcpStream,
    (target, room): (SocketAddr, Room),
    rules: watch::Receiver<Rules>,
    (counters, link): (&Counters, &SharedLink),
) {
    let Ok(far) = connect(target, room).await else {
        return;
    };
    // Delays of Nagle's algorithm would add to the delay that is set.
    drop((near.set_nodelay(true), far.set_nodelay(true)));
    let (near_rx, near_tx) = near.into_split();
    let (far_rx, far_tx) = far.into_split();
    let there = direction(
        id,
        (near_rx, far_tx),
        room,
        rules.clone(),
        (&counters.to_target, &link.to_target),
    );
    let back =
        direction(id, (far_rx, near_tx), room, rules, (&counters.from_target, &link.from_target));
    // Only the end of the relay is an error.
    drop(tokio::try_join!(there, back));
}

async fn connect(target: SocketAddr, room: Room) -> io::Result<TcpStream> {
    let socket = if target.is_ipv4() { TcpSocket::new_v4()? } else { TcpSocket::new_v6()? };
    room.apply(&socket)?;
    socket.connect(target).await
}

async fn direction(
    id: u64,
    (rx, tx): (OwnedReadHalf, OwnedWriteHalf),
    room: Room,
    rules: watch::Receiver<Rules>,
    (delivered, link_free_at): (&AtomicU64, &Mutex<Option<Instant>>),
) -> io::Result<()> {
    let (chunk_tx, chunk_rx) = mpsc::channel(room.chunks);
    let read = read(rx, room, rules.clone(), chunk_tx, link_free_at);
    let write = write(id, tx, rules, chunk_rx, delivered);
    tokio::try_join!(read, write).map(|_| ())
}

async fn read(
    mut rx: OwnedReadHalf,
    room: Room,
    rules: watch::Receiver<Rules>,
    chunks: mpsc::Sender<Chunk>,
    link_free_at: &Mutex<Option<Instant>>,
) -> io::Result<()> {
    let mut free_at = Instant::now();
    loop {
        let mut chunk = BytesMut::with_capacity(room.chunk_bytes);
        // What came before a reset is on its way, and arrives.
        let end = !matches!(rx.read_buf(&mut chunk).await, Ok(length) if length > 0);
        let Rules { delay, rate, shared_rate, .. } = *rules.borrow();
        free_at = free_at.max(Instant::now())
            + rate.map_or(Duration::ZERO, |rate| transfer_time(chunk.len(), rate));
        if let Some(rate) = shared_rate {
            let mut link_free_at = link_free_at.lock().unwrap_or_else(PoisonError::into_inner);
            let now = Instant::now();
            free_at = link_free_at.unwrap_or(now).max(now) + transfer_time(chunk.len(), rate);
            *link_free_at = Some(free_at);
        }
        if chunks.send((free_at + delay, chunk.freeze())).await.is_err() || end {
            return Ok(());
        }
    }
}

/// Time that a number of bytes takes at a rate in bytes per second.
fn transfer_time(bytes: usize, rate: u32) -> Duration {
    Duration::from_secs_f64(bytes as f64 / f64::from(rate.max(1)))
}

async fn write(
    id: u64,
    mut tx: OwnedWriteHalf,
    mut rules: watch::Receiver<Rules>,
    mut chunks: mpsc::Receiver<Chunk>,
    delivered: &AtomicU64,
) -> io::Result<()> {
    let mut is_open = true;
    while let Some((deliver_at, chunk)) = chunks.recv().await {
        timer::sleep_until(deliver_at).await;
        let passing =
            rules.wait_for(|rules| !rules.hold && id > rules.silenced_up_to).await.is_ok();
        if !passing {
            return Err(io::Error::other("relay stopped"));
        }
        if !is_open {
            continue;
        }
        delivered.fetch_add(chunk.len() as u64, Ordering::Relaxed);
        // Once this end has closed, the other direction brings that to the other end, after what was sent before.
        is_open = if chunk.is_empty() {
            tx.shutdown().await.is_ok()
        } else {
            tx.write_all(&chunk).await.is_ok()
        };
    }
    Ok(())
}
