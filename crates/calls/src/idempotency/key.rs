//! Idempotency keys.

use std::fmt;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use smol_str::{SmolStr, ToSmolStr};
use stoatstep_resource::{CustomerName, ServiceName};
use uuid::Uuid;
use xxhash_rust::xxh3::xxh3_64;

use crate::ids::WallTime;

/// Maximum length of a key.
const MAX_LEN: usize = 64;

/// Version number of UUIDs that contain their creation time.
const TIMED_UUID_VERSION: usize = 7;

/// The text of an idempotency key, as sent by the caller.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum KeyText {
    /// A UUID of version 7, in lower case with hyphens.
    Timed {
        /// The UUID.
        text: SmolStr,
        /// Creation time by the clock of the caller that made the key.
        created: WallTime,
    },
    /// Any other text. Its creation time is unknown.
    Plain(SmolStr),
}

impl KeyText {
    /// Returns the text of the key.
    #[must_use]
    pub fn text(&self) -> &SmolStr {
        match self {
            Self::Timed { text, .. } | Self::Plain(text) => text,
        }
    }

    /// Returns a pseudo-random number that depends only on the text of the key.
    #[must_use]
    pub fn draw(&self) -> u32 {
        let hash = xxh3_64(self.text().as_bytes());
        u32::try_from(hash >> 32).unwrap_or_default()
    }

    /// Returns when the key was made, if it states that.
    #[must_use]
    pub fn created(&self) -> Option<WallTime> {
        match self {
            Self::Timed { created, .. } => Some(*created),
            Self::Plain(_) => None,
        }
    }
}

impl TryFrom<&str> for KeyText {
    type Error = KeyError;

    fn try_from(text: &str) -> Result<Self, Self::Error> {
        if text.is_empty() {
            return Err(KeyError::Empty);
        }
        if text.len() > MAX_LEN {
            return Err(KeyError::TooLong(text.len()));
        }
        if !text.bytes().all(|byte| byte.is_ascii_graphic()) {
            return Err(KeyError::NotGraphic);
        }
        Ok(timed(text).unwrap_or_else(|| Self::Plain(text.into())))
    }
}

fn timed(text: &str) -> Option<KeyText> {
    let uuid = Uuid::try_parse(text).ok()?;
    if uuid.get_version_num() != TIMED_UUID_VERSION {
        return None;
    }
    let (secs, nanos) = uuid.get_timestamp()?.to_unix();
    Some(KeyText::Timed {
        text: uuid.to_smolstr(),
        created: Duration::new(secs, nanos),
    })
}

/// Why a text is not a valid idempotency key.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum KeyError {
    /// The header is present but empty.
    Empty,
    /// The text is too long. Holds its length in characters.
    TooLong(usize),
    /// The text contains spaces, control characters or non-ASCII bytes.
    NotGraphic,
}

impl fmt::Display for KeyError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Empty => f.write_str("idempotency-key is empty"),
            Self::TooLong(len) => {
                write!(f, "idempotency-key has {len} characters, at most {MAX_LEN}")
            }
            Self::NotGraphic => {
                f.write_str("idempotency-key must be printable ASCII without spaces")
            }
        }
    }
}

impl std::error::Error for KeyError {}

/// An idempotency key within its scope: keys of two tenants or two services are
/// different keys even if their texts are equal.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct IdempotencyKey {
    /// The service that the call is for.
    pub service: ServiceName,
    /// The tenant that sends the call.
    pub tenant: CustomerName,
    /// The text of the key.
    pub key: KeyText,
}

impl IdempotencyKey {
    /// Returns the name of the key within its service, used for hashing and for the
    /// claim row.
    #[must_use]
    pub fn name(&self) -> SmolStr {
        smol_str::format_smolstr!("{}/{}", self.tenant, self.key.text())
    }
}
