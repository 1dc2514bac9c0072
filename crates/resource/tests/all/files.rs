//! Reading sets of resource files.

use std::collections::BTreeMap;

use proptest::prelude::*;
use stoatstep_resource::wire::ResourceWire;
use stoatstep_resource::{FileSet, Finding, Key, Kind, Place, SourceFile};

use crate::support::{any_resource, service, state_of};

fn file(name: &str, text: &str) -> SourceFile {
    SourceFile {
        name: name.into(),
        text: text.to_owned(),
    }
}

fn texts(findings: &[Finding]) -> Vec<String> {
    findings.iter().map(ToString::to_string).collect()
}

#[test]
fn findings_of_all_files_come_together() {
    let files = [
        file("a.toml", "[[service]]\nname = \"floatdesk\"\n"),
        file("b.toml", "[[service]]\nname = \"floatdesk\"\n"),
        file(
            "c.toml",
            "\n[[route]]\nname = \"r\"\nprefix = \"/\"\nservice = \"x\"\n",
        ),
    ];
    let findings = FileSet::read(&files).validate();
    assert_eq!(
        texts(&findings),
        [
            "b.toml:1: service/floatdesk: stands at a.toml:1 already",
            "c.toml:5: route/r: service: service/x does not exist",
        ]
    );
}

#[test]
fn files_may_refer_to_what_the_daemons_hold() {
    let text = "[[route]]\nname = \"r\"\nprefix = \"/\"\nservice = \"floatdesk\"\n";
    let files = FileSet::read(&[file("a.toml", text)]);
    assert_eq!(files.validate().len(), 1);
    let held = state_of(vec![service("floatdesk")]);
    assert_eq!(files.validate_over(&held), Vec::new());
}

#[test]
fn daemon_findings_get_file_and_line() {
    let text = "[[policy]]\nname = \"p\"\ntimeout = \"1s\"\nlimits = [\n  { tenant = \"a\" },\n]\n";
    let files = FileSet::read(&[file("p.toml", text)]);
    let key = Key {
        kind: Kind::Policy,
        name: "p".into(),
    };
    let line_of = |field: &str| {
        let finding = Finding::new(Place::field(key.clone(), field), "wrong");
        files.locate(finding).place.line
    };
    assert_eq!(line_of("timeout"), Some(3));
    assert_eq!(line_of("limits[0].tenant"), Some(5));
    assert_eq!(line_of("limits[0].weight"), Some(5));
    assert_eq!(line_of("limits[7].weight"), Some(4));
    assert_eq!(line_of("retry.attempts"), Some(1));
}

proptest! {
    // Resource files and the JSON of the API must have the same fields with the same meaning.
    #[test]
    fn files_read_every_field_of_the_api(resource in any_resource()) {
        let mut json = serde_json::to_value(ResourceWire::from(&resource)).unwrap();
        json.as_object_mut().unwrap().remove("kind");
        let tables = BTreeMap::from([(resource.kind().as_str(), [json])]);
        let set = FileSet::read(&[file("a.toml", &toml::to_string(&tables).unwrap())]);
        prop_assert_eq!(set.findings(), []);
        prop_assert_eq!(set.resources().collect::<Vec<_>>(), [&resource]);
    }
}
