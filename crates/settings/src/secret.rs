//! Tokens that authenticate operators and daemons.

use std::fmt;
use std::str::FromStr;

use subtle::ConstantTimeEq;

/// Minimum length of a token.
const MIN_BYTES: usize = 16;

/// A token from the settings.
///
/// Its `Debug` output does not show it, and it is compared in constant time: from the response
/// times of a comparison that ends at the first wrong byte, a caller on the same network could find
/// out the token byte by byte.
#[derive(Clone)]
pub struct Secret(String);

/// Why a text is not accepted as a [`Secret`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SecretError {
    /// The text is so short that it could be guessed.
    TooShort,
    /// The text could not be sent in an HTTP header.
    NotPrintable,
}

impl Secret {
    /// Returns whether `offered` equals this secret. The time taken reveals at most the length.
    #[must_use]
    pub fn matches(&self, offered: &[u8]) -> bool {
        self.0.as_bytes().ct_eq(offered).into()
    }

    /// Returns the token itself, for the header of an outgoing request.
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
