//! Daemons' log lines, as the commands that read them need them.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};
use serde_json::Value;

/// One log line.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub(super) struct Line {
    pub(super) ts: String,
    pub(super) msg: String,
    #[serde(flatten)]
    fields: BTreeMap<String, Value>,
}

impl Line {
    /// Lines of other programs are none, and what comes before a line's first brace (a
    /// name or time that a collector added) is passed over.
    pub(super) fn read(line: &str) -> Option<Self> {
        let json = &line[line.find('{')?..];
        serde_json::from_str(json).ok()
    }

    pub(super) fn text(&self, key: &str) -> String {
        match self.fields.get(key) {
            Some(Value::String(text)) => text.clone(),
            Some(value) => value.to_string(),
            None => String::new(),
        }
    }

    pub(super) fn number(&self, key: &str) -> u64 {
        self.fields
            .get(key)
            .and_then(Value::as_u64)
            .unwrap_or_default()
    }

    pub(super) fn flag(&self, key: &str) -> bool {
        self.fields.get(key) == Some(&Value::Bool(true))
    }
}
