//! Runs the test cases in `tests/resources`, which the README there describes.

use std::path::Path;

use stoatstep_resource::{FileSet, SourceFile};

fn findings(path: &Path, text: String) -> Vec<String> {
    let name = path.file_name().unwrap_or_default().to_string_lossy();
    let file = SourceFile {
        name: name.as_ref().into(),
        text,
    };
    let findings = FileSet::read(&[file]).validate();
    findings.iter().map(ToString::to_string).collect()
}

fn case(path: &Path, text: String) -> datatest_stable::Result<()> {
    let expected_path = path.with_extension("findings");
    let expected = match path.parent() {
        Some(dir) if dir.ends_with("valid") => String::new(),
        _ => std::fs::read_to_string(expected_path)?,
    };
    let expected: Vec<&str> = expected.lines().collect();
    assert_eq!(findings(path, text), expected);
    Ok(())
}

datatest_stable::harness! {
    { test = case, root = "tests/resources", pattern = r"\.toml$" },
}
