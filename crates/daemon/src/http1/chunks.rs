//! Decoder of bodies that come in chunks.

use bytes::{Buf, Bytes, BytesMut};

/// Longest line with the size of a chunk, or with a trailer, in bytes.
const MAX_LINE_BYTES: usize = 4 * 1024;

/// Trailers that a body may have; they are read over.
const MAX_TRAILERS: usize = 64;

/// Piece of a body.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Piece {
    /// Bytes of the body.
    Data(Bytes),
    /// The body is whole.
    End,
    /// More bytes are needed.
    Missing,
}

/// The body is not made of chunks.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct BadChunk;

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum State {
    Size,
    Data(u64),
    DataEnd,
    Trailers(usize),
    Done,
}

/// Decoder of one body.
#[derive(Debug)]
pub struct ChunkDecoder {
    state: State,
}

impl Default for ChunkDecoder {
    fn default() -> Self {
        Self { state: State::Size }
    }
}

impl ChunkDecoder {
    /// Takes the next piece of the body from the front of `buf`.
    ///
    /// # Errors
    ///
    /// The bytes are not such a body.
    pub fn next(&mut self, buf: &mut BytesMut) -> Result<Piece, BadChunk> {
        loop {
            match self.state {
                State::Size => {
                    let Some(line) = take_line(buf)? else { return Ok(Piece::Missing) };
                    let size = parse_size(&line)?;
                    self.state = if size == 0 { State::Trailers(0) } else { State::Data(size) };
                }
                State::Data(left) => {
                    if buf.is_empty() {
                        return Ok(Piece::Missing);
                    }
                    let data = take_at_most(buf, left);
                    let left = left - data.len() as u64;
                    self.state = if left == 0 { State::DataEnd } else { State::Data(left) };
                    return Ok(Piece::Data(data));
                }
                State::DataEnd => {
                    let Some(line) = take_line(buf)? else { return Ok(Piece::Missing) };
                    if !line.is_empty() {
                        return Err(BadChunk);
                    }
                    self.state = State::Size;
                }
                State::Trailers(count) => {
                    let Some(line) = take_line(buf)? else { return Ok(Piece::Missing) };
                    if line.is_empty() {
                        self.state = State::Done;
                    } else if count == MAX_TRAILERS {
                        return Err(BadChunk);
                    } else {
                        self.state = State::Trailers(count + 1);
                    }
                }
                State::Done => return Ok(Piece::End),
            }
        }
    }
}

/// Takes up to `most` bytes from the front of `buf`.
pub fn take_at_most(buf: &mut BytesMut, most: u64) -> Bytes {
    let most = usize::try_from(most).unwrap_or(usize::MAX);
    buf.split_to(buf.len().min(most)).freeze()
}

/// Takes a line without its end.
fn take_line(buf: &mut BytesMut) -> Result<Option<BytesMut>, BadChunk> {
    let Some(at) = buf.iter().take(MAX_LINE_BYTES).position(|byte| *byte == b'\n') else {
        return if buf.len() >= MAX_LINE_BYTES { Err(BadChunk) } else { Ok(None) };
    };
    let mut line = buf.split_to(at);
    buf.advance(1);
    // A line that ends without a carriage return is where readers disagree.
    if line.last() != Some(&b'\r') {
        return Err(BadChunk);
    }
    line.truncate(at - 1);
    Ok(Some(line))
}

fn parse_size(line: &[u8]) -> Result<u64, BadChunk> {
    let digits = line.split(|byte| *byte == b';').next().unwrap_or_default().trim_ascii_end();
    if digits.is_empty() || !digits.iter().all(u8::is_ascii_hexdigit) {
        return Err(BadChunk);
    }
    let text = std::str::from_utf8(digits).ok().ok_or(BadChunk)?;
    u64::from_str_radix(text, 16).ok().ok_or(BadChunk)
}
