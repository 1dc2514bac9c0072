//! Problems found in a configuration, and their locations.

use std::fmt;

use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

use crate::key::Key;

/// Location of a finding. Unknown parts are absent: the daemon knows the resource and the field,
/// and only the operators' tool knows the file and the line.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Place {
    /// Path of the file as the operator gave it.
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
    /// Creates the place of a field of a resource.
    #[must_use]
    pub fn field(resource: Key, field: impl Into<SmolStr>) -> Self {
        Self {
            resource: Some(resource),
            field: Some(field.into()),
            ..Self::default()
        }
    }

    /// Creates the place of a resource as a whole.
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

/// One problem in a configuration. Findings are collected and reported together, so that an
/// operator can fix all of them at once.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Finding {
    /// Where the problem is.
    #[serde(default)]
    pub place: Place,
    /// What is wrong and what is allowed instead.
    pub message: String,
}

impl Finding {
    /// Creates a finding at `place`.
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
