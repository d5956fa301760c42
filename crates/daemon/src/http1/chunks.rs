//! Decoder for request bodies in the chunked transfer coding.

use bytes::{Buf, Bytes, BytesMut};

/// Longest chunk-size or trailer line, in bytes.
const MAX_LINE_BYTES: usize = 4 * 1024;

/// Most trailer fields of a body; they are discarded.
const MAX_TRAILERS: usize = 64;

/// Result of one decoding step.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Decoded {
    /// Bytes of the body.
    Data(Bytes),
    /// The body is complete.
    End,
    /// The buffer has to be filled before decoding can continue.
    NeedsInput,
}

/// The bytes are not a valid chunked body.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct InvalidChunk;

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum State {
    /// The next line has the size of a chunk.
    Size,
    /// This many bytes of the chunk are left.
    Data(u64),
    /// The line end after the data of a chunk comes next.
    DataEnd,
    /// Trailer fields follow; this many have been read.
    Trailers(usize),
    /// The body is complete.
    Done,
}

/// Decoder for one body.
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
    /// Decodes the next part of the body and removes it from the front of `buf`.
    ///
    /// # Errors
    ///
    /// The bytes are not a valid chunked body.
    pub fn next(&mut self, buf: &mut BytesMut) -> Result<Decoded, InvalidChunk> {
        loop {
            match self.state {
                State::Size => {
                    let Some(line) = take_line(buf)? else { return Ok(Decoded::NeedsInput) };
                    let size = parse_size(&line)?;
                    self.state = if size == 0 { State::Trailers(0) } else { State::Data(size) };
                }
                State::Data(left) => {
                    if buf.is_empty() {
                        return Ok(Decoded::NeedsInput);
                    }
                    let data = take_at_most(buf, left);
                    let left = left - data.len() as u64;
                    self.state = if left == 0 { State::DataEnd } else { State::Data(left) };
                    return Ok(Decoded::Data(data));
                }
                State::DataEnd => {
                    let Some(line) = take_line(buf)? else { return Ok(Decoded::NeedsInput) };
                    if !line.is_empty() {
                        return Err(InvalidChunk);
                    }
                    self.state = State::Size;
                }
                State::Trailers(count) => {
                    let Some(line) = take_line(buf)? else { return Ok(Decoded::NeedsInput) };
                    if line.is_empty() {
                        self.state = State::Done;
                    } else if count == MAX_TRAILERS {
                        return Err(InvalidChunk);
                    } else {
                        self.state = State::Trailers(count + 1);
                    }
                }
                State::Done => return Ok(Decoded::End),
            }
        }
    }
}

/// Removes up to `max` bytes from the front of `buf` and returns them.
pub fn take_at_most(buf: &mut BytesMut, max: u64) -> Bytes {
    let max = usize::try_from(max).unwrap_or(usize::MAX);
    buf.split_to(buf.len().min(max)).freeze()
}

/// Removes a line from the front of `buf` and returns it without its line end; `None` if the line is
/// incomplete.
fn take_line(buf: &mut BytesMut) -> Result<Option<BytesMut>, InvalidChunk> {
    let Some(at) = buf.iter().take(MAX_LINE_BYTES).position(|byte| *byte == b'\n') else {
        return if buf.len() >= MAX_LINE_BYTES { Err(InvalidChunk) } else { Ok(None) };
    };
    let mut line = buf.split_to(at);
    buf.advance(1);
    // HTTP implementations disagree on whether a bare line feed ends a line, which allows request
    // smuggling.
    if line.last() != Some(&b'\r') {
        return Err(InvalidChunk);
    }
    line.truncate(at - 1);
    Ok(Some(line))
}

/// Parses the hexadecimal size of a chunk; chunk extensions are ignored.
fn parse_size(line: &[u8]) -> Result<u64, InvalidChunk> {
    let digits = line.split(|byte| *byte == b';').next().unwrap_or_default().trim_ascii_end();
    if digits.is_empty() || !digits.iter().all(u8::is_ascii_hexdigit) {
        return Err(InvalidChunk);
    }
    let text = std::str::from_utf8(digits).ok().ok_or(InvalidChunk)?;
    u64::from_str_radix(text, 16).ok().ok_or(InvalidChunk)
}
