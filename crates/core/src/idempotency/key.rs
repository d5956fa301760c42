//! Parsing and issuing of idempotency keys.

use std::fmt;
use std::time::Duration;

use crate::id::Incarnation;
use crate::registry::Incarnate;

/// Longest key, in bytes.
pub const MAX_KEY_BYTES: usize = 64;

/// Longest id of a daemon that issues keys, in bytes.
///
/// The rest of a key holds the prefix, three dots, the incarnation and the issue time with 9 digits
/// each (enough until the year 5188), and a random number of 13 digits.
pub const MAX_ISSUER_BYTES: usize = MAX_KEY_BYTES - (ISSUED_PREFIX.len() + 3 + 2 * 9 + 13);

const ISSUED_PREFIX: &str = "bk1.";
const UUID_BYTES: usize = 36;

/// Radix of the numbers in an issued key.
const RADIX: u32 = 36;

/// Format of a key, with the data that the key contains.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum KeyForm {
    /// Issued by a daemon; only that daemon may run it.
    Issued {
        /// The daemon that issued the key.
        daemon: Incarnate,
        /// Issue time since the Unix epoch.
        issued_at: Duration,
    },
    /// UUID version 7.
    Timed {
        /// Issue time since the Unix epoch.
        issued_at: Duration,
    },
    /// Any other text.
    Opaque,
}

/// Why a text is not a valid idempotency key.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum KeyError {
    /// It is empty or longer than [`MAX_KEY_BYTES`].
    Length {
        /// Length in bytes.
        bytes: usize,
    },
    /// It has a character that is not visible ASCII.
    Character,
    /// It has the prefix of keys issued by daemons, but not their format.
    Issued,
}

impl fmt::Display for KeyError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("failed to read idempotency key: ")?;
        match self {
            Self::Length { bytes } => {
                write!(f, "{bytes} bytes long, allowed are 1 to {MAX_KEY_BYTES}")
            }
            Self::Character => f.write_str("only visible ASCII characters are allowed"),
            Self::Issued => f.write_str("starts with `bk1.` but was not issued by a daemon"),
        }
    }
}

impl std::error::Error for KeyError {}

/// A valid idempotency key.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Key {
    text: String,
    form: KeyForm,
}

impl Key {
    /// Parses the value of the `idempotency-key` header.
    ///
    /// # Errors
    ///
    /// [`KeyError`] if the text is not a valid key; the caller gets `bad_key`.
    pub fn parse(text: &str) -> Result<Self, KeyError> {
        let bytes = text.len();
        if bytes == 0 || bytes > MAX_KEY_BYTES {
            return Err(KeyError::Length { bytes });
        }
        if !text.bytes().all(|byte| byte.is_ascii_graphic()) {
            return Err(KeyError::Character);
        }
        let form = if let Some(rest) = text.strip_prefix(ISSUED_PREFIX) {
            parse_issued(rest).ok_or(KeyError::Issued)?
        } else if let Some(issued_at) = parse_uuid_v7(text) {
            KeyForm::Timed { issued_at }
        } else {
            KeyForm::Opaque
        };
        Ok(Self { text: text.to_owned(), form })
    }

    /// The key as the caller sent it.
    #[must_use]
    pub fn as_str(&self) -> &str {
        &self.text
    }

    /// Format of the key, with the data that the key contains.
    #[must_use]
    pub fn form(&self) -> &KeyForm {
        &self.form
    }

    /// Issue time since the Unix epoch, if the key contains one.
    #[must_use]
    pub fn issued_at(&self) -> Option<Duration> {
        match self.form {
            KeyForm::Issued { issued_at, .. } | KeyForm::Timed { issued_at } => Some(issued_at),
            KeyForm::Opaque => None,
        }
    }
}

/// Issues a key that names `daemon` as its owner; `random` must be unpredictable.
///
/// Numbers are written in base 36 to leave [`MAX_ISSUER_BYTES`] for the id of the daemon.
///
/// # Errors
///
/// [`KeyError::Length`] when the id is too long for a key.
pub fn issue(daemon: &Incarnate, wall: Duration, random: u64) -> Result<Key, KeyError> {
    let millis = u64::try_from(wall.as_millis()).unwrap_or(u64::MAX);
    Key::parse(&format!(
        "{ISSUED_PREFIX}{}.{}.{}.{}",
        daemon.id,
        to_base36(daemon.incarnation),
        to_base36(millis),
        to_base36(random)
    ))
}

fn to_base36(mut number: u64) -> String {
    let mut digits = Vec::new();
    loop {
        let digit = (number % u64::from(RADIX)) as u32;
        digits.extend(char::from_digit(digit, RADIX));
        number /= u64::from(RADIX);
        if number == 0 {
            return digits.iter().rev().collect();
        }
    }
}

fn parse_issued(rest: &str) -> Option<KeyForm> {
    // The id may contain dots, so the parts are split off from the end.
    let mut parts = rest.rsplitn(4, '.');
    let _random = parse_base36(parts.next()?)?;
    let millis = parse_base36(parts.next()?)?;
    let incarnation: Incarnation = parse_base36(parts.next()?)?;
    let id = parts.next().filter(|id| !id.is_empty())?.to_owned();
    Some(KeyForm::Issued {
        daemon: Incarnate { id, incarnation },
        issued_at: Duration::from_millis(millis),
    })
}

/// Parses a number as [`to_base36`] writes it, but in either letter case; unlike `from_str_radix`,
/// it accepts no sign.
fn parse_base36(digits: &str) -> Option<u64> {
    let is_alphanumeric = digits.bytes().all(|byte| byte.is_ascii_alphanumeric());
    u64::from_str_radix(digits, RADIX).ok().filter(|_| is_alphanumeric)
}

/// Issue time of a UUID of version 7, since the Unix epoch; `None` for any other text.
fn parse_uuid_v7(text: &str) -> Option<Duration> {
    let bytes = text.as_bytes();
    let is_hyphen = |index: usize| matches!(index, 8 | 13 | 18 | 23);
    let well_formed = bytes.len() == UUID_BYTES
        && bytes.iter().enumerate().all(|(index, byte)| {
            if is_hyphen(index) { *byte == b'-' } else { byte.is_ascii_hexdigit() }
        });
    // Byte 14 holds the version, byte 19 the variant.
    if !well_formed || bytes[14] != b'7' || !b"89abAB".contains(&bytes[19]) {
        return None;
    }
    let high = u64::from_str_radix(&text[..8], 16).ok()?;
    let low = u64::from_str_radix(&text[9..13], 16).ok()?;
    Some(Duration::from_millis(high << 16 | low))
}
