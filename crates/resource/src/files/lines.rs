//! Line numbers of byte offsets and of the fields of a resource.

use std::collections::BTreeMap;

use smol_str::SmolStr;

/// Offsets of the line ends of a text.
pub(super) struct LineIndex {
    line_ends: Vec<usize>,
}

impl LineIndex {
    pub(super) fn new(text: &str) -> Self {
        let newlines = text.bytes().enumerate().filter(|(_, byte)| *byte == b'\n');
        Self {
            line_ends: newlines.map(|(offset, _)| offset).collect(),
        }
    }

    /// Returns the line of the byte at `offset`, counted from 1.
    pub(super) fn line(&self, offset: usize) -> u32 {
        let before = self.line_ends.partition_point(|end| *end < offset);
        u32::try_from(before + 1).unwrap_or(u32::MAX)
    }
}

/// File and line of one resource, and the line of each of its fields by field path.
#[derive(Clone, Debug)]
pub(super) struct FieldLines {
    pub(super) file: SmolStr,
    pub(super) line: u32,
    pub(super) fields: BTreeMap<SmolStr, u32>,
}

impl FieldLines {
    /// Returns the line of a field or, if it is absent, of the innermost field that would contain
    /// it.
    pub(super) fn line_of(&self, field: Option<&str>) -> u32 {
        let mut path = field.unwrap_or_default();
        while !path.is_empty() {
            if let Some(line) = self.fields.get(path) {
                return *line;
            }
            path = path.rfind(['.', '[']).map_or("", |end| &path[..end]);
        }
        self.line
    }
}
