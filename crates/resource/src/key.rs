//! What resources are known by.

use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

use crate::validate::check_name;

/// The closed set of resource kinds.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Kind {
    /// See [`crate::Policy`].
    Policy,
    /// See [`crate::Service`].
    Service,
    /// See [`crate::Upstream`].
    Upstream,
    /// See [`crate::Route`].
    Route,
    /// See [`crate::Customer`].
    Customer,
}

impl Kind {
    /// Every kind, in the order in which references point backwards.
    pub const ALL: [Self; 5] = [
        Self::Policy,
        Self::Service,
        Self::Upstream,
        Self::Route,
        Self::Customer,
    ];

    /// The kind's name in files, URLs and messages.
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

/// Names one resource: its kind and its name within that kind.
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

/// The text names no kind of resource.
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

/// Why a text names no resource.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum KeyError {
    /// There is no slash between kind and name.
    NoSlash,
    /// The part before the slash is no kind.
    Kind(UnknownKind),
    /// The part after the slash is no name; the message says why.
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

/// Reads what [`Key`]'s `Display` writes, `KIND/NAME`.
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
