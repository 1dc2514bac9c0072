//! Typed access to one TOML table that reports everything wrong with it.

use std::collections::BTreeSet;
use std::ops::Range;

use smol_str::{SmolStr, format_smolstr};
use toml::Spanned;
use toml::de::{DeTable, DeValue};

use super::lines::{FieldLines, LineIndex};
use crate::finding::{Finding, Place};
use crate::key::Key;

/// The text behind a table.
pub(super) struct Source<'a> {
    pub(super) file: &'a SmolStr,
    pub(super) index: &'a LineIndex,
}

impl Source<'_> {
    pub(super) fn line(&self, span: &Range<usize>) -> u32 {
        self.index.line(span.start)
    }
}

/// What the tables of one resource share.
pub(super) struct Record<'a> {
    pub(super) source: &'a Source<'a>,
    pub(super) key: Option<Key>,
    pub(super) lines: FieldLines,
    pub(super) findings: Vec<Finding>,
}

impl Record<'_> {
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

/// One table of a resource, whose fields are taken one by one. A field that
/// could not be read is reported and gets the type's default, so that the
/// other fields are still checked in the same go.
pub(super) struct Reader<'a> {
    table: &'a DeTable<'a>,
    path: SmolStr,
    line: u32,
    taken: BTreeSet<&'static str>,
}

impl<'a> Reader<'a> {
    pub(super) fn new(table: &'a DeTable<'a>, path: SmolStr, line: u32) -> Self {
        Self {
            table,
            path,
            line,
            taken: BTreeSet::new(),
        }
    }

    pub(super) fn text(&mut self, cx: &mut Record<'_>, name: &'static str) -> SmolStr {
        if !self.table.contains_key(name) {
            self.missing(cx, name);
        }
        self.optional_text(cx, name).unwrap_or_default()
    }

    pub(super) fn optional_text(
        &mut self,
        cx: &mut Record<'_>,
        name: &'static str,
    ) -> Option<SmolStr> {
        let value = self.take(cx, name)?;
        if let DeValue::String(text) = value.get_ref() {
            return Some(text.as_ref().into());
        }
        self.wrong_type(cx, name, value, "text in quotes");
        None
    }

    pub(super) fn number(&mut self, cx: &mut Record<'_>, name: &'static str) -> u32 {
        if !self.table.contains_key(name) {
            self.missing(cx, name);
        }
        self.optional_number(cx, name).unwrap_or_default()
    }

    pub(super) fn optional_number(
        &mut self,
        cx: &mut Record<'_>,
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

    pub(super) fn flag(&mut self, cx: &mut Record<'_>, name: &'static str) -> Option<bool> {
        let value = self.take(cx, name)?;
        if let DeValue::Boolean(flag) = value.get_ref() {
            return Some(*flag);
        }
        self.wrong_type(cx, name, value, "true or false");
        None
    }

    /// A table within this one.
    pub(super) fn table(&mut self, cx: &mut Record<'_>, name: &'static str) -> Option<Reader<'a>> {
        let value = self.take(cx, name)?;
        if let DeValue::Table(table) = value.get_ref() {
            let line = cx.source.line(&value.span());
            return Some(Reader::new(table, self.path_of(name), line));
        }
        self.wrong_type(cx, name, value, "a table");
        None
    }

    /// A list of tables within this one; `None` stands for an entry that is no
    /// table, so that the others keep their places in the list.
    pub(super) fn tables(
        &mut self,
        cx: &mut Record<'_>,
        name: &'static str,
    ) -> Vec<Option<Reader<'a>>> {
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

    /// A list of texts within this table, each with its place and line.
    pub(super) fn texts(
        &mut self,
        cx: &mut Record<'_>,
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
            let place = format_smolstr!("{}[{i}]", self.path_of(name));
            let line = cx.source.line(&entry.span());
            if let DeValue::String(text) = entry.get_ref() {
                texts.push((place, line, text.as_ref()));
            } else {
                let found = entry.get_ref().type_str();
                cx.report(line, &place, format!("must be text in quotes, not {found}"));
            }
        }
        texts
    }

    /// Reports every field that nobody took. A misspelt optional field would
    /// otherwise be silently without effect.
    pub(super) fn finish(self, cx: &mut Record<'_>) {
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
        cx: &mut Record<'_>,
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

    fn missing(&self, cx: &mut Record<'_>, name: &str) {
        cx.report(self.line, &self.path_of(name), "is missing".to_owned());
    }

    fn wrong_type(
        &self,
        cx: &mut Record<'_>,
        name: &str,
        value: &Spanned<DeValue<'_>>,
        wanted: &str,
    ) {
        let found = value.get_ref().type_str();
        self.report(cx, name, value, format!("must be {wanted}, not {found}"));
    }

    fn report(
        &self,
        cx: &mut Record<'_>,
        name: &str,
        value: &Spanned<DeValue<'_>>,
        message: String,
    ) {
        let line = cx.source.line(&value.span());
        cx.report(line, &self.path_of(name), message);
    }
}

fn entry_reader<'a>(
    cx: &mut Record<'_>,
    path: SmolStr,
    entry: &'a Spanned<DeValue<'a>>,
) -> Option<Reader<'a>> {
    let line = cx.source.line(&entry.span());
    cx.lines.fields.insert(path.clone(), line);
    if let DeValue::Table(table) = entry.get_ref() {
        return Some(Reader::new(table, path, line));
    }
    let message = format!("must be a table, not {}", entry.get_ref().type_str());
    cx.report(line, &path, message);
    None
}
