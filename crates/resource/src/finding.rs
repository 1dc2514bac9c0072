//! What is wrong with a configuration, and where.

use std::fmt;

use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

use crate::key::Key;

/// Where a finding belongs. A part that is not known is absent: the daemon
/// knows resource and field, and only the operator's side knows file and line.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Place {
    /// Path of the file as the operator named it.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub file: Option<SmolStr>,
    /// Line in the file, counted from 1.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub line: Option<u32>,
    /// The resource.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub resource: Option<Key>,
    /// Path of the field within the resource, for instance `limits[2].weight`.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub field: Option<SmolStr>,
}

impl Place {
    /// A place within a resource.
    #[must_use]
    pub fn field(resource: Key, field: impl Into<SmolStr>) -> Self {
        Self {
            resource: Some(resource),
            field: Some(field.into()),
            ..Self::default()
        }
    }

    /// A resource as a whole.
    #[must_use]
    pub fn resource(resource: Key) -> Self {
        Self {
            resource: Some(resource),
            ..Self::default()
        }
    }
}

impl fmt::Display for Place {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let mut separator = "";
        if let Some(file) = &self.file {
            write!(f, "{file}")?;
            if let Some(line) = self.line {
                write!(f, ":{line}")?;
            }
            separator = ": ";
        }
        if let Some(resource) = &self.resource {
            write!(f, "{separator}{resource}")?;
            separator = ": ";
        }
        if let Some(field) = &self.field {
            write!(f, "{separator}{field}")?;
        }
        Ok(())
    }
}

/// One thing that is wrong. Findings are collected and reported together, so
/// that an operator mends a file in one go and not one error at a time.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Finding {
    /// Where it is.
    #[serde(default)]
    pub place: Place,
    /// What is wrong and what would be right.
    pub message: String,
}

impl Finding {
    /// A finding at `place`.
    #[must_use]
    pub fn new(place: Place, message: impl Into<String>) -> Self {
        Self {
            place,
            message: message.into(),
        }
    }
}

impl fmt::Display for Finding {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        if self.place != Place::default() {
            write!(f, "{}: ", self.place)?;
        }
        f.write_str(&self.message)
    }
}

impl std::error::Error for Finding {}
