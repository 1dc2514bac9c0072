//! Resource files from the disk of whoever runs the program.

use std::fs;
use std::io;
use std::path::{Path, PathBuf};

use stoatstep_resource::{FileSet, Finding, Place, SourceFile};

use crate::exit::Exit;
use crate::failure::Failure;

/// Largest file that is read. The largest state allowed is smaller.
const MAX_FILE_BYTES: u64 = 8 * 1024 * 1024;

const EXTENSION: &str = "toml";

/// Reads files, and of folders each `.toml` file directly within. All that
/// cannot be read is reported together.
pub(crate) fn load(paths: &[String]) -> Result<FileSet, Failure> {
    let mut findings = Vec::new();
    let mut files = Vec::new();
    for path in expand(paths, &mut findings) {
        match read(&path) {
            Ok(text) => files.push(SourceFile {
                name: path.to_string_lossy().into(),
                text,
            }),
            Err(error) => findings.push(finding(&path, &error.to_string())),
        }
    }
    if findings.is_empty() {
        return Ok(FileSet::read(&files));
    }
    let exit = Exit::Usage;
    Err(Failure::Refused { exit, findings })
}

fn expand(paths: &[String], findings: &mut Vec<Finding>) -> Vec<PathBuf> {
    let mut files = Vec::new();
    for path in paths.iter().map(Path::new) {
        if !path.is_dir() {
            files.push(path.to_owned());
            continue;
        }
        match list(path) {
            Ok(found) if found.is_empty() => {
                findings.push(finding(path, "the folder has no .toml file"));
            }
            Ok(found) => files.extend(found),
            Err(error) => findings.push(finding(path, &error.to_string())),
        }
    }
    files
}

fn list(dir: &Path) -> io::Result<Vec<PathBuf>> {
    let mut files = Vec::new();
    for entry in fs::read_dir(dir)? {
        let path = entry?.path();
        if path.extension().is_some_and(|it| it == EXTENSION) {
            files.push(path);
        }
    }
    files.sort();
    Ok(files)
}

fn read(path: &Path) -> io::Result<String> {
    if fs::metadata(path)?.len() > MAX_FILE_BYTES {
        let message = format!("the file is larger than {MAX_FILE_BYTES} bytes");
        return Err(io::Error::other(message));
    }
    fs::read_to_string(path)
}

fn finding(path: &Path, message: &str) -> Finding {
    let place = Place {
        file: Some(path.to_string_lossy().into()),
        ..Place::default()
    };
    Finding::new(place, message)
}
