//! Pages and sources point only at pages that exist.

use std::fs;
use std::path::{Path, PathBuf};

use stoatstep_calls::Reason;

const ROOT: &str = env!("CARGO_MANIFEST_DIR");

/// Folders at the root that hold no source of ours.
const SKIPPED: [&str; 3] = ["target", ".git", ".work"];

/// Adds the files with this extension at or below `path`.
fn add_files(path: &Path, extension: &str, found: &mut Vec<PathBuf>) {
    if path.is_dir() {
        for entry in fs::read_dir(path).expect("a readable folder") {
            add_files(&entry.expect("an entry").path(), extension, found);
        }
    } else if path.extension().is_some_and(|it| it == extension) {
        found.push(path.to_owned());
    }
}

fn all_files(extension: &str) -> Vec<PathBuf> {
    let mut found = Vec::new();
    for entry in fs::read_dir(ROOT).expect("a readable folder") {
        let path = entry.expect("an entry").path();
        if !SKIPPED.iter().any(|it| path.ends_with(it)) {
            add_files(&path, extension, &mut found);
        }
    }
    found
}

/// Targets of `[text](target)` that are files of this repository.
fn links(page: &str) -> Vec<&str> {
    let ends = page.split("](").skip(1);
    ends.filter_map(|rest| rest.split_once(')'))
        .map(|(target, _)| target)
        .filter(|target| !target.contains("://") && !target.starts_with('#'))
        .map(|target| target.split('#').next().unwrap_or(target))
        .collect()
}

/// Words such as `docs/concepts/calls.md` in a source.
fn mentions(source: &str) -> Vec<&str> {
    let is_path = |c: char| c.is_ascii_alphanumeric() || "/-_.".contains(c);
    source
        .split(|c: char| !is_path(c))
        .map(|word| word.trim_end_matches('.'))
        .filter(|word| word.starts_with("docs/") && has_extension(word, "md"))
        .collect()
}

fn has_extension(path: &str, extension: &str) -> bool {
    Path::new(path)
        .extension()
        .is_some_and(|it| it == extension)
}

#[test]
fn every_link_between_pages_leads_somewhere() {
    let mut dangling = Vec::new();
    for path in all_files("md") {
        let page = fs::read_to_string(&path).expect("a page");
        let folder = path.parent().expect("a folder");
        let missing = links(&page)
            .into_iter()
            .filter(|it| !folder.join(it).exists());
        dangling.extend(missing.map(|it| format!("{}: {it}", path.display())));
    }
    assert!(dangling.is_empty(), "{dangling:#?}");
}

#[test]
fn every_page_that_a_source_names_exists() {
    let mut dangling = Vec::new();
    for path in all_files("rs") {
        let source = fs::read_to_string(&path).expect("a source");
        let exists = |it: &&str| Path::new(ROOT).join(it).exists();
        let missing = mentions(&source).into_iter().filter(|it| !exists(it));
        dangling.extend(missing.map(|it| format!("{}: {it}", path.display())));
    }
    assert!(dangling.is_empty(), "{dangling:#?}");
}

#[test]
fn index_of_the_book_names_every_page() {
    let docs = Path::new(ROOT).join("docs");
    let index = fs::read_to_string(docs.join("README.md")).expect("the index");
    let mut pages = Vec::new();
    add_files(&docs, "md", &mut pages);
    let named: Vec<PathBuf> = links(&index).iter().map(|it| docs.join(it)).collect();
    let missing: Vec<_> = pages
        .iter()
        .filter(|page| **page != docs.join("README.md") && !named.contains(page))
        .collect();
    assert!(missing.is_empty(), "{missing:#?}");
}

/// An operator looks up the word that callers were given. A reason without its
/// row leaves them to guess whether a claim may be sent again.
#[test]
fn every_reason_of_a_refusal_is_explained() {
    let page = include_str!("../../docs/operators/calls.md");
    let is_missing = |reason: &&Reason| !page.contains(&format!("`{}`", reason.as_str()));
    let missing: Vec<_> = Reason::ALL.iter().filter(is_missing).collect();
    assert!(missing.is_empty(), "{missing:?}");
}
