//! Typed access to the fields of one TOML table, which reports every problem found.

use std::collections::BTreeSet;
use std::ops::Range;

use smol_str::{SmolStr, format_smolstr};
use toml::Spanned;
use toml::de::{DeTable, DeValue};

use super::lines::{FieldLines, LineIndex};
use crate::finding::{Finding, Place};
use crate::key::Key;

/// The file that a table is from.
pub(super) struct Source<'a> {
    pub(super) file: &'a SmolStr,
    pub(super) index: &'a LineIndex,
}

impl Source<'_> {
    pub(super) fn line(&self, span: &Range<usize>) -> u32 {
        self.index.line(span.start)
    }
}

/// Data shared by all tables of one resource.
pub(super) struct ResourceContext<'a> {
    pub(super) source: &'a Source<'a>,
    pub(super) key: Option<Key>,
    pub(super) lines: FieldLines,
    pub(super) findings: Vec<Finding>,
}

impl ResourceContext<'_> {
    pub(super) fn report(&mut self, line: u32, field: &SmolStr, message: String) {
        let place = Place {
            file: Some(self.source.file.clone()),
            line: Some(line),
            resource: self.key.clone(),
            field: (!field.is_empty()).then(|| field.clone()),
        };
        self.findings.push(Finding::new(place, message));
    }

    pub(super) fn has_finding(&self, field: &SmolStr) -> bool {
        let mut places = self.findings.iter().map(|finding| &finding.place);
        places.any(|place| place.field.as_ref() == Some(field))
    }
}

/// Reads the fields of one table of a resource, one by one. A field that cannot be read is reported
/// and gets the default value of its type, so that the other fields are checked too.
pub(super) struct TableReader<'a> {
    table: &'a DeTable<'a>,
    path: SmolStr,
    line: u32,
    taken: BTreeSet<&'static str>,
}

impl<'a> TableReader<'a> {
    pub(super) fn new(table: &'a DeTable<'a>, path: SmolStr, line: u32) -> Self {
        Self {
            table,
            path,
            line,
            taken: BTreeSet::new(),
        }
    }

    pub(super) fn text(&mut self, cx: &mut ResourceContext<'_>, name: &'static str) -> SmolStr {
        if !self.table.contains_key(name) {
            self.missing(cx, name);
        }
        self.optional_text(cx, name).unwrap_or_default()
    }

    pub(super) fn optional_text(
        &mut self,
        cx: &mut ResourceContext<'_>,
        name: &'static str,
    ) -> Option<SmolStr> {
        let value = self.take(cx, name)?;
        if let DeValue::String(text) = value.get_ref() {
            return Some(text.as_ref().into());
        }
        self.wrong_type(cx, name, value, "text in quotes");
        None
    }

    pub(super) fn number(&mut self, cx: &mut ResourceContext<'_>, name: &'static str) -> u32 {
        if !self.table.contains_key(name) {
            self.missing(cx, name);
        }
        self.optional_number(cx, name).unwrap_or_default()
    }

    pub(super) fn optional_number(
        &mut self,
        cx: &mut ResourceContext<'_>,
        name: &'static str,
    ) -> Option<u32> {
        let value = self.take(cx, name)?;
        let DeValue::Integer(digits) = value.get_ref() else {
            self.wrong_type(cx, name, value, "a whole number");
            return None;
        };
        let number = u32::from_str_radix(digits.as_str(), digits.radix());
        if number.is_err() {
            let message = format!("is {digits}; it must be from 0 to {}", u32::MAX);
            self.report(cx, name, value, message);
        }
        number.ok()
    }

    pub(super) fn flag(
        &mut self,
        cx: &mut ResourceContext<'_>,
        name: &'static str,
    ) -> Option<bool> {
        let value = self.take(cx, name)?;
        if let DeValue::Boolean(flag) = value.get_ref() {
            return Some(*flag);
        }
        self.wrong_type(cx, name, value, "true or false");
        None
    }

    /// Reads a nested table.
    pub(super) fn table(
        &mut self,
        cx: &mut ResourceContext<'_>,
        name: &'static str,
    ) -> Option<TableReader<'a>> {
        let value = self.take(cx, name)?;
        if let DeValue::Table(table) = value.get_ref() {
            let line = cx.source.line(&value.span());
            return Some(TableReader::new(table, self.path_of(name), line));
        }
        self.wrong_type(cx, name, value, "a table");
        None
    }

    /// Reads a list of tables. An entry that is not a table is `None`, so that the others keep
    /// their indexes.
    pub(super) fn tables(
        &mut self,
        cx: &mut ResourceContext<'_>,
        name: &'static str,
    ) -> Vec<Option<TableReader<'a>>> {
        let Some(value) = self.take(cx, name) else {
            return Vec::new();
        };
        let DeValue::Array(entries) = value.get_ref() else {
            self.wrong_type(cx, name, value, "a list of tables");
            return Vec::new();
        };
        let path = self.path_of(name);
        let entries = entries.iter().enumerate();
        entries
            .map(|(i, entry)| entry_reader(cx, format_smolstr!("{path}[{i}]"), entry))
            .collect()
    }

    /// Reads a list of strings, each with its field path and line.
    pub(super) fn texts(
        &mut self,
        cx: &mut ResourceContext<'_>,
        name: &'static str,
    ) -> Vec<(SmolStr, u32, &'a str)> {
        let Some(value) = self.take(cx, name) else {
            return Vec::new();
        };
        let DeValue::Array(entries) = value.get_ref() else {
            self.wrong_type(cx, name, value, "a list of texts");
            return Vec::new();
        };
        let mut texts = Vec::new();
        for (i, entry) in entries.iter().enumerate() {
            let path = format_smolstr!("{}[{i}]", self.path_of(name));
            let line = cx.source.line(&entry.span());
            if let DeValue::String(text) = entry.get_ref() {
                texts.push((path, line, text.as_ref()));
            } else {
                let found = entry.get_ref().type_str();
                cx.report(line, &path, format!("must be text in quotes, not {found}"));
            }
        }
        texts
    }

    /// Reports every field that was not read. A misspelt optional field would otherwise be ignored
    /// silently.
    pub(super) fn finish(self, cx: &mut ResourceContext<'_>) {
        for (name, _) in self.table {
            if !self.taken.contains(name.get_ref().as_ref()) {
                let line = cx.source.line(&name.span());
                let known: Vec<&str> = self.taken.iter().copied().collect();
                let message = format!("is unknown; the fields are {}", known.join(", "));
                cx.report(line, &self.path_of(name.get_ref()), message);
            }
        }
    }

    fn take(
        &mut self,
        cx: &mut ResourceContext<'_>,
        name: &'static str,
    ) -> Option<&'a Spanned<DeValue<'a>>> {
        self.taken.insert(name);
        let (key, value) = self.table.get_key_value(name)?;
        let line = cx.source.line(&key.span());
        cx.lines.fields.insert(self.path_of(name), line);
        Some(value)
    }

    fn path_of(&self, name: &str) -> SmolStr {
        if self.path.is_empty() {
            name.into()
        } else {
            format_smolstr!("{}.{name}", self.path)
        }
    }

    fn missing(&self, cx: &mut ResourceContext<'_>, name: &str) {
        cx.report(self.line, &self.path_of(name), "is missing".to_owned());
    }

    fn wrong_type(
        &self,
        cx: &mut ResourceContext<'_>,
        name: &str,
        value: &Spanned<DeValue<'_>>,
        wanted: &str,
    ) {
        let found = value.get_ref().type_str();
        self.report(cx, name, value, format!("must be {wanted}, not {found}"));
    }

    fn report(
        &self,
        cx: &mut ResourceContext<'_>,
        name: &str,
        value: &Spanned<DeValue<'_>>,
        message: String,
    ) {
        let line = cx.source.line(&value.span());
        cx.report(line, &self.path_of(name), message);
    }
}

fn entry_reader<'a>(
    cx: &mut ResourceContext<'_>,
    path: SmolStr,
    entry: &'a Spanned<DeValue<'a>>,
) -> Option<TableReader<'a>> {
    let line = cx.source.line(&entry.span());
    cx.lines.fields.insert(path.clone(), line);
    if let DeValue::Table(table) = entry.get_ref() {
        return Some(TableReader::new(table, path, line));
    }
    let message = format!("must be a table, not {}", entry.get_ref().type_str());
    cx.report(line, &path, message);
    None
}
