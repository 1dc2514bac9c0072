//! Tokens that tell operators and daemons from everybody else.

use std::fmt;
use std::str::FromStr;

use subtle::ConstantTimeEq;

/// Shortest token that is accepted.
const MIN_BYTES: usize = 16;

/// A token from the settings. It cannot be printed, and it is compared in
/// constant time: a comparison that ends at the first wrong byte would let a
/// caller on the same network find the token byte by byte from answer times.
#[derive(Clone)]
pub struct Secret(String);

/// Why a text is no [`Secret`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SecretError {
    /// It could be guessed.
    TooShort,
    /// It could not be sent in an HTTP header.
    NotPrintable,
}

impl Secret {
    /// Whether `offered` is this secret. Only the length can show in the time
    /// that it takes.
    #[must_use]
    pub fn matches(&self, offered: &[u8]) -> bool {
        self.0.as_bytes().ct_eq(offered).into()
    }

    /// The token itself, for the header of an outgoing request.
    #[must_use]
    pub fn expose(&self) -> &str {
        &self.0
    }
}

impl fmt::Debug for Secret {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Secret")
    }
}

impl FromStr for Secret {
    type Err = SecretError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        if !text.bytes().all(|byte| byte.is_ascii_graphic()) {
            return Err(SecretError::NotPrintable);
        }
        if text.len() < MIN_BYTES {
            return Err(SecretError::TooShort);
        }
        Ok(Self(text.to_owned()))
    }
}

impl fmt::Display for SecretError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::TooShort => write!(f, "at least {MIN_BYTES} characters are needed"),
            Self::NotPrintable => f.write_str("only printable ASCII without spaces is allowed"),
        }
    }
}

impl std::error::Error for SecretError {}
