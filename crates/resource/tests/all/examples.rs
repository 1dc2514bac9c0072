//! The examples that the documentation refers to are valid and complete.

use std::path::Path;

use stoatstep_resource::{FileSet, Resource, SourceFile};

fn upstreams(site: &str) -> Vec<(String, u32, u32)> {
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../examples");
    let mut files = Vec::new();
    for entry in std::fs::read_dir(root.join(site)).unwrap() {
        let path = entry.unwrap().path();
        files.push(SourceFile {
            name: path.to_string_lossy().as_ref().into(),
            text: std::fs::read_to_string(&path).unwrap(),
        });
    }
    let set = FileSet::read(&files);
    assert_eq!(set.validate(), Vec::new());
    let upstreams = set.resources().filter_map(|resource| match resource {
        Resource::Upstream(it) => Some((it.service.to_string(), it.slots, it.connections)),
        _ => None,
    });
    upstreams.collect()
}

fn count(upstreams: &[(String, u32, u32)], service: &str, slots: u32) -> usize {
    let wanted = (service.to_owned(), slots, 120);
    upstreams.iter().filter(|it| **it == wanted).count()
}

#[test]
fn chalkbox() {
    let upstreams = upstreams("chalkbox");
    assert_eq!(count(&upstreams, "floatdesk", 13), 8);
    assert_eq!(count(&upstreams, "refundhall", 13), 4);
    assert_eq!(upstreams.len(), 12);
}

#[test]
fn magnolia() {
    let upstreams = upstreams("magnolia");
    assert_eq!(count(&upstreams, "donor-desk", 9), 7);
    assert_eq!(count(&upstreams, "estate-ledger", 9), 3);
    assert_eq!(upstreams.len(), 10);
}
