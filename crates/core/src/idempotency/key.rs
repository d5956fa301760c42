//! Idempotency keys and their forms.

use std::fmt;
use std::time::Duration;

use crate::id::Incarnation;
use crate::registry::Incarnate;

/// Longest key, in bytes.
pub const MAX_KEY_BYTES: usize = 64;

/// Longest id of a daemon that issues keys, in bytes.
///
/// Prefix, dots, two times of 9 digits (enough until the year 5188) and a random number of 13 digits
/// take the rest of a key.
pub const MAX_ISSUER_BYTES: usize = MAX_KEY_BYTES - (ISSUED_PREFIX.len() + 3 + 2 * 9 + 13);

const ISSUED_PREFIX: &str = "bk1.";
const UUID_BYTES: usize = 36;
const BASE: u32 = 36;

/// What a key says about itself.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum KeyForm {
    /// Issued by a daemon, which alone may run it.
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

/// Why a text is not a key.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum KeyError {
    /// It is empty or longer than [`MAX_KEY_BYTES`].
    Length {
        /// Length in bytes.
        bytes: usize,
    },
    /// It has a character that is not visible ASCII.
    Character,
    /// It has the prefix of keys issued by daemons, but not their form.
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
    /// [`KeyError`] when the text is not a key; answered as `bad_key`.
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

    /// The key as the caller wrote it.
    #[must_use]
    pub fn as_str(&self) -> &str {
        &self.text
    }

    /// What the key says about itself.
    #[must_use]
    pub fn form(&self) -> &KeyForm {
        &self.form
    }

    /// Issue time since the Unix epoch, when the key has one.
    #[must_use]
    pub fn issued_at(&self) -> Option<Duration> {
        match self.form {
            KeyForm::Issued { issued_at, .. } | KeyForm::Timed { issued_at } => Some(issued_at),
            KeyForm::Opaque => None,
        }
    }
}

/// Issues a key that names `daemon` as its owner; `random` has to be unpredictable.
///
/// The numbers are written in base 36 to leave [`MAX_ISSUER_BYTES`] for the id of the daemon.
///
/// # Errors
///
/// [`KeyError::Length`] when the id is too long for a key.
pub fn issue(daemon: &Incarnate, wall: Duration, random: u64) -> Result<Key, KeyError> {
    let millis = u64::try_from(wall.as_millis()).unwrap_or(u64::MAX);
    Key::parse(&format!(
        "{ISSUED_PREFIX}{}.{}.{}.{}",
        daemon.id,
        base36(daemon.incarnation),
        base36(millis),
        base36(random)
    ))
}

fn base36(mut number: u64) -> String {
    let mut digits = Vec::new();
    loop {
        let digit = (number % u64::from(BASE)) as u32;
        digits.extend(char::from_digit(digit, BASE));
        number /= u64::from(BASE);
        if number == 0 {
            return digits.iter().rev().collect();
        }
    }
}

fn parse_issued(rest: &str) -> Option<KeyForm> {
    // The id may have dots, so the parts are taken from the end.
    let mut parts = rest.rsplitn(4, '.');
    let _random = number(parts.next()?)?;
    let millis = number(parts.next()?)?;
    let incarnation: Incarnation = number(parts.next()?)?;
    let id = parts.next().filter(|id| !id.is_empty())?.to_owned();
    Some(KeyForm::Issued {
        daemon: Incarnate { id, incarnation },
        issued_at: Duration::from_millis(millis),
    })
}

fn number(digits: &str) -> Option<u64> {
    let plain = digits.bytes().all(|byte| byte.is_ascii_alphanumeric());
    u64::from_str_radix(digits, BASE).ok().filter(|_| plain)
}

fn parse_uuid_v7(text: &str) -> Option<Duration> {
    let bytes = text.as_bytes();
    let hyphen = |index: usize| matches!(index, 8 | 13 | 18 | 23);
    let well_formed = bytes.len() == UUID_BYTES
        && bytes.iter().enumerate().all(|(index, byte)| {
            if hyphen(index) { *byte == b'-' } else { byte.is_ascii_hexdigit() }
        });
    if !well_formed || bytes[14] != b'7' || !b"89abAB".contains(&bytes[19]) {
        return None;
    }
    let high = u64::from_str_radix(&text[..8], 16).ok()?;
    let low = u64::from_str_radix(&text[9..13], 16).ok()?;
    Some(Duration::from_millis(high << 16 | low))
}
