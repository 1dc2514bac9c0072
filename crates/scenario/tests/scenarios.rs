//! Runs the files in `tests/scenarios` at the root of the repository. The
//! language is described in `docs/contributing/testing.md`.

use std::path::Path;

use stoatstep_scenario::{parse, run};

fn scenario(path: &Path) -> datatest_stable::Result<()> {
    let text = std::fs::read_to_string(path)?;
    let file = path.file_name().unwrap_or_default().to_string_lossy();
    let place = |finding: &stoatstep_scenario::Finding| format!("{file}:{finding}");
    let script = parse(&text).map_err(|findings| {
        let lines: Vec<_> = findings.iter().map(place).collect();
        lines.join("\n")
    })?;
    run(&script).map_err(|lines| format!("{file}:\n{}", lines.join("\n")))?;
    Ok(())
}

datatest_stable::harness! {
    { test = scenario, root = "../../tests/scenarios", pattern = r"\.scn$" },
}
