//! Line numbers: from a byte's offset, and of a resource's fields.

use std::collections::BTreeMap;

use smol_str::SmolStr;

/// Where the lines of a text begin.
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

    /// The line of a byte, counted from 1.
    pub(super) fn line(&self, offset: usize) -> u32 {
        let before = self.line_ends.partition_point(|end| *end < offset);
        u32::try_from(before + 1).unwrap_or(u32::MAX)
    }
}

/// Where one resource and each of its fields stand.
#[derive(Clone, Debug)]
pub(super) struct FieldLines {
    pub(super) file: SmolStr,
    pub(super) line: u32,
    pub(super) fields: BTreeMap<SmolStr, u32>,
}

impl FieldLines {
    /// The line of a field; of what it belongs to where the field itself is
    /// absent.
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
