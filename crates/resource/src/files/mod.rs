//! Resource files: TOML with `[[service]]`, `[[upstream]]`, `[[route]]`,
//! `[[policy]]` and `[[customer]]` tables.
//!
//! Several files make up one set. The problems of all files are collected, each with its file,
//! line, resource and field, and reported together. See `docs/operators/resources.md` for the
//! format.

mod kinds;
mod lines;
mod table;

use std::collections::BTreeMap;
use std::sync::Arc;

use smol_str::SmolStr;

use crate::finding::{Finding, Place};
use crate::key::Key;
use crate::state::{State, VersionedResource};
use crate::types::Resource;
use crate::validate::validate;
use lines::FieldLines;

/// Name and text of one resource file.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SourceFile {
    /// Path as the operator gave it; findings repeat it.
    pub name: SmolStr,
    /// Content of the file.
    pub text: String,
}

/// The resources of a set of files, with the line of each of their fields.
#[derive(Clone, Debug, Default)]
pub struct FileSet {
    resources: BTreeMap<Key, Resource>,
    lines: BTreeMap<Key, FieldLines>,
    findings: Vec<Finding>,
}

impl FileSet {
    /// Reads the files. A field that cannot be read becomes a finding, and the rest of its resource
    /// is kept, so that one mistake does not hide others.
    #[must_use]
    pub fn read(files: &[SourceFile]) -> Self {
        let mut set = Self::default();
        for file in files {
            kinds::read_file(file, &mut set);
        }
        set
    }

    /// Iterates over every resource, ordered by key. Fields that could not be read hold default
    /// values.
    pub fn resources(&self) -> impl Iterator<Item = &Resource> {
        self.resources.values()
    }

    /// Returns the findings of reading the files, in the order of the files.
    #[must_use]
    pub fn findings(&self) -> &[Finding] {
        &self.findings
    }

    /// Returns the findings of the files and of the state that results from adding their resources
    /// to `base`. Each has its file and line, if known, and they are ordered by file and line.
    #[must_use]
    pub fn validate_over(&self, base: &State) -> Vec<Finding> {
        let from_state = validate(&self.merged_with(base)).into_iter();
        let from_state = from_state.filter(|finding| !self.is_reported(&finding.place));
        let mut findings = self.findings.clone();
        findings.extend(from_state.map(|finding| self.locate(finding)));
        findings.sort();
        findings.dedup();
        findings
    }

    /// Returns the findings if the files are the whole configuration.
    #[must_use]
    pub fn validate(&self) -> Vec<Finding> {
        self.validate_over(&State::default())
    }

    /// Adds the file and the line to a finding about a resource of these files. A finding from a
    /// daemon lacks them, because daemons do not have the files.
    #[must_use]
    pub fn locate(&self, mut finding: Finding) -> Finding {
        let place = &mut finding.place;
        let lines = place.resource.as_ref().and_then(|key| self.lines.get(key));
        if let (None, Some(lines)) = (&place.file, lines) {
            place.file = Some(lines.file.clone());
            place.line = Some(lines.line_of(place.field.as_deref()));
        }
        finding
    }

    /// Returns whether the field at `place`, or one that contains it, could not be read. The field
    /// then holds a default value, and a finding about that value would be confusing.
    fn is_reported(&self, place: &Place) -> bool {
        let mut places = self.findings.iter().map(|finding| &finding.place);
        places.any(|reported| reported.resource == place.resource && covers(reported, place))
    }

    /// Returns the state that results from adding the resources of the files to `base`.
    fn merged_with(&self, base: &State) -> State {
        let version = base.version() + 1;
        let kept = base
            .iter()
            .filter(|(key, _)| !self.resources.contains_key(key));
        let kept = kept.map(|(_, held)| held.clone());
        let own = self.resources.values().map(|resource| VersionedResource {
            revision: version,
            resource: Arc::new(resource.clone()),
        });
        // Cannot fail: the lines above admit no duplicate keys and no newer revisions.
        State::from_snapshot(version, kept.chain(own)).unwrap_or_default()
    }

    fn add(&mut self, resource: Resource, lines: FieldLines) {
        let key = resource.key();
        if let Some(first) = self.lines.get(&key) {
            let message = format!("stands at {}:{} already", first.file, first.line);
            let place = Place {
                file: Some(lines.file),
                line: Some(lines.line),
                resource: Some(key),
                field: None,
            };
            self.findings.push(Finding::new(place, message));
            return;
        }
        self.lines.insert(key.clone(), lines);
        self.resources.insert(key, resource);
    }
}

/// Returns whether the field of `inner` is that of `outer` or part of it.
fn covers(outer: &Place, inner: &Place) -> bool {
    let (Some(outer), Some(inner)) = (&outer.field, &inner.field) else {
        return false;
    };
    let rest = inner.strip_prefix(outer.as_str());
    rest.is_some_and(|rest| rest.is_empty() || rest.starts_with(['.', '[']))
}
