//! Room for bytes on the way through a relay.

use std::io;

use tokio::net::TcpSocket;

/// Most bytes read at once, unless less fits.
const CHUNK_BYTES: usize = 16 * 1024;

/// Chunks on their way in one direction (4 MiB, more than 1 Gbit/s at a delay of 30 ms), unless less fits.
const CHUNKS: usize = 256;

/// Chunks on their way in one direction if little fits.
const FEW_CHUNKS: usize = 2;

/// How many bytes fit into each direction of a connection.
#[derive(Debug, Clone, Copy)]
pub(super) struct Room {
    /// Most bytes read at once.
    pub(super) chunk_bytes: usize,
    /// Most chunks on their way.
    pub(super) chunks: usize,
    /// Size of the buffers of the sockets; the kernel chooses if it is not set.
    socket_bytes: Option<u32>,
}

impl Default for Room {
    fn default() -> Self {
        Self { chunk_bytes: CHUNK_BYTES, chunks: CHUNKS, socket_bytes: None }
    }
}

impl Room {
    /// Room for about `bytes`: a quarter in each socket, the rest between them.
    pub(super) fn of_bytes(bytes: u32) -> Self {
        let chunk_bytes = (bytes as usize / (2 * FEW_CHUNKS)).max(1);
        Self { chunk_bytes, chunks: FEW_CHUNKS, socket_bytes: Some(bytes / 4) }
    }

    /// Sets the buffers of a socket that is not connected yet.
    pub(super) fn apply(self, socket: &TcpSocket) -> io::Result<()> {
        if let Some(bytes) = self.socket_bytes {
            socket.set_recv_buffer_size(bytes)?;
            socket.set_send_buffer_size(bytes)?;
        }
        Ok(())
    }
}
