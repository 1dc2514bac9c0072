//! Resource files: TOML with `[[service]]`, `[[upstream]]`, `[[route]]`,
//! `[[policy]]` and `[[customer]]` tables.
//!
//! Several files make up one set. Everything that is wrong in any of them is
//! collected with its file, line, resource and field, and reported together.
//! See `docs/operators/resources.md` for the format.

mod kinds;
mod lines;
mod table;

use std::collections::BTreeMap;
use std::sync::Arc;

use smol_str::SmolStr;

use crate::finding::{Finding, Place};
use crate::key::Key;
use crate::state::{Held, State};
use crate::types::Resource;
use crate::validate::validate;
use lines::FieldLines;

/// One file's name, as findings give it, and its text.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SourceFile {
    /// Path as the operator named it.
    pub name: SmolStr,
    /// The whole text.
    pub text: String,
}

/// The resources of a set of files and where each field of them stands.
#[derive(Clone, Debug, Default)]
pub struct FileSet {
    resources: BTreeMap<Key, Resource>,
    lines: BTreeMap<Key, FieldLines>,
    findings: Vec<Finding>,
}

impl FileSet {
    /// Reads the files. A field that cannot be read becomes a finding and the
    /// rest of its resource is kept, so that one slip does not hide the next.
    #[must_use]
    pub fn read(files: &[SourceFile]) -> Self {
        let mut set = Self::default();
        for file in files {
            kinds::read_file(file, &mut set);
        }
        set
    }

    /// Every resource, ordered by key. Those with findings of their own hold
    /// defaults in place of what could not be read.
    pub fn resources(&self) -> impl Iterator<Item = &Resource> {
        self.resources.values()
    }

    /// What was wrong with the files themselves, in the order of the files.
    #[must_use]
    pub fn findings(&self) -> &[Finding] {
        &self.findings
    }

    /// Every finding of the files and of the state that they would make of
    /// `base`, each with its file and line where it has one, ordered by file
    /// and line.
    #[must_use]
    pub fn validate_over(&self, base: &State) -> Vec<Finding> {
        let of_state = validate(&self.over(base)).into_iter();
        let of_state = of_state.filter(|finding| !self.is_reported(&finding.place));
        let mut findings = self.findings.clone();
        findings.extend(of_state.map(|finding| self.locate(finding)));
        findings.sort();
        findings.dedup();
        findings
    }

    /// Every finding where the files are the whole configuration.
    #[must_use]
    pub fn validate(&self) -> Vec<Finding> {
        self.validate_over(&State::default())
    }

    /// Adds file and line to a finding that names a resource of these files;
    /// the daemon that found it never saw the files.
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

    /// Whether a field, or what it belongs to, could not be read. What stands
    /// there is a default then, and a finding about it would only confuse.
    fn is_reported(&self, place: &Place) -> bool {
        let mut places = self.findings.iter().map(|finding| &finding.place);
        places.any(|reported| reported.resource == place.resource && covers(reported, place))
    }

    fn over(&self, base: &State) -> State {
        let version = base.version() + 1;
        let kept = base
            .iter()
            .filter(|(key, _)| !self.resources.contains_key(key));
        let kept = kept.map(|(_, held)| held.clone());
        let own = self.resources.values().map(|resource| Held {
            revision: version,
            resource: Arc::new(resource.clone()),
        });
        // No key stands twice and no revision is ahead, by the lines above.
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

fn covers(outer: &Place, inner: &Place) -> bool {
    let (Some(outer), Some(inner)) = (&outer.field, &inner.field) else {
        return false;
    };
    let rest = inner.strip_prefix(outer.as_str());
    rest.is_some_and(|rest| rest.is_empty() || rest.starts_with(['.', '[']))
}
