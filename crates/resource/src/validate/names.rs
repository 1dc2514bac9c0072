//! Syntax of names and of path prefixes.

use super::limits::{MAX_NAME_LEN, MAX_PREFIX_LEN};

/// Checks that a name consists of lower-case letters and digits, with hyphens between them.
///
/// All names have the same syntax, so that none needs escaping in URLs, row keys and metric names.
///
/// # Errors
///
/// A message that says what is wrong.
pub fn check_name(name: &str) -> Result<(), String> {
    if name.is_empty() {
        return Err("is empty".to_owned());
    }
    if name.len() > MAX_NAME_LEN {
        return Err(format!("is longer than {MAX_NAME_LEN} characters"));
    }
    if let Some(other) = name.chars().find(|c| !is_name_char(*c)) {
        return Err(format!(
            "has {other:?}; only lower-case letters, digits and hyphens are allowed"
        ));
    }
    if name.starts_with('-') || name.ends_with('-') {
        return Err("starts or ends with a hyphen".to_owned());
    }
    Ok(())
}

/// Checks the prefix of a route or the path of a health check. Only one spelling of each path is
/// allowed, since two spellings of the same path could lead to different services.
pub(super) fn check_prefix(prefix: &str) -> Result<(), String> {
    if !prefix.starts_with('/') {
        return Err("must start with \"/\"".to_owned());
    }
    if prefix.len() > MAX_PREFIX_LEN {
        return Err(format!("is longer than {MAX_PREFIX_LEN} characters"));
    }
    if let Some(other) = prefix.chars().find(|c| !is_path_char(*c)) {
        return Err(format!("has {other:?}, which a prefix may not have"));
    }
    if prefix == "/" {
        return Ok(());
    }
    prefix[1..].split('/').try_for_each(check_segment)
}

fn check_segment(segment: &str) -> Result<(), String> {
    match segment {
        "" => Err("has an empty path segment or ends with \"/\"".to_owned()),
        "." | ".." => Err(format!("has the path segment {segment:?}")),
        _ => Ok(()),
    }
}

fn is_name_char(c: char) -> bool {
    c.is_ascii_lowercase() || c.is_ascii_digit() || c == '-'
}

fn is_path_char(c: char) -> bool {
    c.is_ascii_alphanumeric() || "/-._~!$&'()*+,;=:@".contains(c)
}
