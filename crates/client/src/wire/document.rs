//! Encoding of configuration documents that daemons send to each other.
//!
//! Documents are compressed: their many routes resemble each other, and a relay sends a document to
//! several daemons at once, possibly over a slow link.

use std::io::{Read, Write};

use baobabreel_core::config::Document;
use bytes::Bytes;
use flate2::Compression;
use flate2::read::DeflateDecoder;
use flate2::write::DeflateEncoder;
use serde::{Deserialize, Serialize};

use super::control::{CodecError, decode, encode};

/// Largest document after decompression, in bytes.
const MAX_DOCUMENT_BYTES: u64 = 64 << 20;

/// Encoded and compressed document.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PackedDocument(Bytes);

impl TryFrom<&Document> for PackedDocument {
    type Error = CodecError;

    fn try_from(document: &Document) -> Result<Self, Self::Error> {
        let compress_error = |e| CodecError::new("failed to compress", &e);
        let mut encoder = DeflateEncoder::new(Vec::new(), Compression::fast());
        encoder.write_all(&encode(document)?).map_err(compress_error)?;
        Ok(Self(encoder.finish().map_err(compress_error)?.into()))
    }
}

impl TryFrom<&PackedDocument> for Document {
    type Error = CodecError;

    fn try_from(packed: &PackedDocument) -> Result<Self, Self::Error> {
        let mut data = Vec::new();
        DeflateDecoder::new(packed.0.as_ref())
            .take(MAX_DOCUMENT_BYTES)
            .read_to_end(&mut data)
            .map_err(|e| CodecError::new("failed to decompress", &e))?;
        decode(&data)
    }
}
