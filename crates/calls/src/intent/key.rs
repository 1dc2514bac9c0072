//! Idempotency keys.

use std::fmt;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use smol_str::{SmolStr, ToSmolStr};
use stoatstep_resource::{CustomerName, ServiceName};
use uuid::Uuid;
use xxhash_rust::xxh3::xxh3_64;

use crate::ids::Wall;

/// Longest text of a key.
const LONGEST: usize = 64;

/// Version number of UUIDs that state their creation time.
const TIMED_UUID: usize = 7;

/// An idempotency key as the caller wrote it.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum KeyText {
    /// A UUID of version 7, in lower case with hyphens.
    Timed {
        /// The UUID.
        text: SmolStr,
        /// When its maker's clock says it was made.
        created: Wall,
    },
    /// Any other text: nothing says when it was made.
    Plain(SmolStr),
}

impl KeyText {
    /// The text that names the key.
    #[must_use]
    pub fn text(&self) -> &SmolStr {
        match self {
            Self::Timed { text, .. } | Self::Plain(text) => text,
        }
    }

    /// A number drawn for the key, the same wherever and whenever it is drawn.
    #[must_use]
    pub fn draw(&self) -> u32 {
        let hash = xxh3_64(self.text().as_bytes());
        u32::try_from(hash >> 32).unwrap_or_default()
    }

    /// When the key was made, if it says so.
    #[must_use]
    pub fn created(&self) -> Option<Wall> {
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
        if text.len() > LONGEST {
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
    if uuid.get_version_num() != TIMED_UUID {
        return None;
    }
    let (secs, nanos) = uuid.get_timestamp()?.to_unix();
    Some(KeyText::Timed {
        text: uuid.to_smolstr(),
        created: Duration::new(secs, nanos),
    })
}

/// Why a key is not one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum KeyError {
    /// The header is there and empty.
    Empty,
    /// It has this many characters.
    TooLong(usize),
    /// It has spaces, control characters or bytes beyond ASCII.
    NotGraphic,
}

impl fmt::Display for KeyError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Empty => f.write_str("idempotency-key is empty"),
            Self::TooLong(len) => {
                write!(f, "idempotency-key has {len} characters, at most {LONGEST}")
            }
            Self::NotGraphic => {
                f.write_str("idempotency-key must be printable ASCII without spaces")
            }
        }
    }
}

impl std::error::Error for KeyError {}

/// A key in its scope: two tenants or two services never share one.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct IntentKey {
    /// The service that the call is for.
    pub service: ServiceName,
    /// The tenant that sends it.
    pub tenant: CustomerName,
    /// The key.
    pub key: KeyText,
}

impl IntentKey {
    /// Name of the key within its service, for hashing and for the claim row.
    #[must_use]
    pub fn name(&self) -> SmolStr {
        smol_str::format_smolstr!("{}/{}", self.tenant, self.key.text())
    }
}
