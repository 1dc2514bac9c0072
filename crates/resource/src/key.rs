//! Kinds and keys of resources.

use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

use crate::validate::check_name;

/// The kinds of resource; the set is closed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Kind {
    /// The kind of a [`crate::Policy`].
    Policy,
    /// The kind of a [`crate::Service`].
    Service,
    /// The kind of an [`crate::Upstream`].
    Upstream,
    /// The kind of a [`crate::Route`].
    Route,
    /// The kind of a [`crate::Customer`].
    Customer,
}

impl Kind {
    /// Every kind, ordered such that a resource refers only to kinds before its own.
    pub const ALL: [Self; 5] = [
        Self::Policy,
        Self::Service,
        Self::Upstream,
        Self::Route,
        Self::Customer,
    ];

    /// Returns the kind's name in files, URLs and messages.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Policy => "policy",
            Self::Service => "service",
            Self::Upstream => "upstream",
            Self::Route => "route",
            Self::Customer => "customer",
        }
    }
}

impl fmt::Display for Kind {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

/// Identifies one resource by its kind and its name within that kind.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Key {
    /// The resource's kind.
    pub kind: Kind,
    /// The resource's name.
    pub name: SmolStr,
}

impl fmt::Display for Key {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.kind, self.name)
    }
}

/// Error of parsing a text that is not the name of a [`Kind`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct UnknownKind;

impl fmt::Display for UnknownKind {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("the kinds are policy, service, upstream, route and customer")
    }
}

impl std::error::Error for UnknownKind {}

impl FromStr for Kind {
    type Err = UnknownKind;

    fn from_str(text: &str) -> Result<Self, UnknownKind> {
        let mut kinds = Self::ALL.into_iter();
        kinds.find(|kind| kind.as_str() == text).ok_or(UnknownKind)
    }
}

/// Why a text could not be parsed as a [`Key`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum KeyError {
    /// There is no slash between kind and name.
    NoSlash,
    /// The part before the slash is not a kind.
    Kind(UnknownKind),
    /// The part after the slash is not a valid name; the message says why.
    Name(String),
}

impl fmt::Display for KeyError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::NoSlash => f.write_str("a key is written KIND/NAME"),
            Self::Kind(error) => error.fmt(f),
            Self::Name(message) => write!(f, "the name {message}"),
        }
    }
}

impl std::error::Error for KeyError {}

/// Parses `KIND/NAME`, which is what the [`fmt::Display`] implementation writes.
impl FromStr for Key {
    type Err = KeyError;

    fn from_str(text: &str) -> Result<Self, KeyError> {
        let (kind, name) = text.split_once('/').ok_or(KeyError::NoSlash)?;
        let kind = kind.parse().map_err(KeyError::Kind)?;
        check_name(name).map_err(KeyError::Name)?;
        let name = name.into();
        Ok(Self { kind, name })
    }
}
