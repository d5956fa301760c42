//! Canonical JSON texts and their digests.
//!
//! A text is canonical when object keys are sorted, there is no white space, and reading it and
//! writing it again gives the same bytes. The last condition does not hold for every number: the
//! JSON parser may get the last digits of a float wrong, so floats in bodies are rounded to
//! [`FLOAT_DIGITS`] significant digits when a form is read. Otherwise a reader that starts from a
//! snapshot could compute a different digest than the writer of the snapshot.

use std::fmt;
use std::io;
use std::str::FromStr;

use serde::{Deserialize, Deserializer, Serialize};
use serde_json::{Map, Number, Value};
use sha2::{Digest as _, Sha256};

/// Significant digits kept of a float in a body. A double holds 15; one is left for parser error.
const FLOAT_DIGITS: usize = 14;
/// Floats with a smaller magnitude are read as zero; they are subnormal or close to it.
const SMALLEST_FLOAT: f64 = 1e-300;
const DIGEST_BYTES: usize = 32;

/// SHA-256 digest; written as 64 hexadecimal digits.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct Digest([u8; DIGEST_BYTES]);

impl Digest {
    /// Digest of the canonical JSON of a value whose maps are sorted.
    pub(super) fn of<T: Serialize>(value: &T) -> Self {
        let mut writer = HashWriter(Sha256::new());
        serde_json::to_writer(&mut writer, value).expect("snapshot keys serialize as strings");
        Self(writer.0.finalize().into())
    }

    /// The 32 bytes of the digest.
    #[must_use]
    pub fn as_bytes(&self) -> &[u8; DIGEST_BYTES] {
        &self.0
    }
}

impl From<[u8; DIGEST_BYTES]> for Digest {
    fn from(bytes: [u8; DIGEST_BYTES]) -> Self {
        Self(bytes)
    }
}

impl fmt::Display for Digest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.iter().try_for_each(|byte| write!(f, "{byte:02x}"))
    }
}

impl From<Digest> for String {
    fn from(digest: Digest) -> Self {
        digest.to_string()
    }
}

/// The text is not 64 hexadecimal digits.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ParseDigestError;

impl fmt::Display for ParseDigestError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("a digest has 64 lower-case hexadecimal digits")
    }
}

impl std::error::Error for ParseDigestError {}

impl FromStr for Digest {
    type Err = ParseDigestError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let digit = |b: u8| match b {
            b'0'..=b'9' => Ok(b - b'0'),
            b'a'..=b'f' => Ok(b - b'a' + 10),
            _ => Err(ParseDigestError),
        };
        if text.len() != 2 * DIGEST_BYTES {
            return Err(ParseDigestError);
        }
        let mut bytes = [0; DIGEST_BYTES];
        for (byte, pair) in bytes.iter_mut().zip(text.as_bytes().chunks_exact(2)) {
            *byte = digit(pair[0])? << 4 | digit(pair[1])?;
        }
        Ok(Self(bytes))
    }
}

impl TryFrom<String> for Digest {
    type Error = ParseDigestError;

    fn try_from(text: String) -> Result<Self, Self::Error> {
        text.parse()
    }
}

struct HashWriter(Sha256);

impl io::Write for HashWriter {
    fn write(&mut self, buf: &[u8]) -> io::Result<usize> {
        self.0.update(buf);
        Ok(buf.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// Deserializes a body and converts it to canonical form.
pub(super) fn read_body<'de, D: Deserializer<'de>>(deserializer: D) -> Result<Value, D::Error> {
    Value::deserialize(deserializer).map(canonicalize)
}

/// Sorts object keys and rounds floats; the recursion depth is bounded by the JSON parser (128
/// levels).
fn canonicalize(value: Value) -> Value {
    match value {
        Value::Number(number) if number.is_f64() => Value::Number(round_float(number)),
        Value::Array(items) => items.into_iter().map(canonicalize).collect(),
        Value::Object(map) => {
            let mut pairs: Vec<(String, Value)> = map.into_iter().collect();
            pairs.sort_by(|a, b| a.0.cmp(&b.0));
            let pairs = pairs.into_iter().map(|(key, v)| (key, canonicalize(v)));
            Value::Object(pairs.collect::<Map<_, _>>())
        }
        other => other,
    }
}

fn round_float(number: Number) -> Number {
    let Some(float) = number.as_f64() else {
        return number;
    };
    if float.abs() < SMALLEST_FLOAT {
        return Number::from_f64(0.0).unwrap_or(number);
    }
    let text = format!("{float:.*e}", FLOAT_DIGITS - 1);
    let rounded = text.parse().ok().and_then(Number::from_f64);
    rounded.unwrap_or(number)
}
