//! Renders metrics in the text format of Prometheus.

use std::fmt::Write;

use crate::statsd::{Id, Metric, Table};

/// Renders all metrics of a table, ordered by name.
pub(crate) fn render(table: &Table) -> String {
    let mut text = String::new();
    for (id, metric) in &table.metrics {
        add_metric(&mut text, id, metric);
    }
    if table.dropped > 0 {
        add_line(&mut text, "stoatstep_metrics_dropped", "", table.dropped);
    }
    text
}

fn add_metric(text: &mut String, id: &Id, metric: &Metric) {
    let name = metric_name(&id.name);
    let labels = labels(&id.tags);
    match metric {
        Metric::Counter(value) | Metric::Gauge(value) => add_line(text, &name, &labels, value),
        Metric::Timer {
            count,
            sum_ms,
            max_ms,
        } => {
            add_line(text, &format!("{name}_count"), &labels, count);
            add_line(text, &format!("{name}_sum_ms"), &labels, sum_ms);
            add_line(text, &format!("{name}_max_ms"), &labels, max_ms);
        }
    }
}

fn add_line(text: &mut String, name: &str, labels: &str, value: impl std::fmt::Display) {
    // Writing into a string can't fail.
    let _ = writeln!(text, "{name}{labels} {value}");
}

/// Turns `name` into a name that Prometheus accepts. Characters other than ASCII letters, digits
/// and underscores become underscores, also colons, which Prometheus would allow.
fn metric_name(name: &str) -> String {
    let allowed = |c: char| c.is_ascii_alphanumeric() || c == '_';
    name.chars()
        .map(|c| if allowed(c) { c } else { '_' })
        .collect()
}

fn labels(tags: &str) -> String {
    if tags.is_empty() {
        return String::new();
    }
    let labels: Vec<String> = tags.split(',').map(label).collect();
    format!("{{{}}}", labels.join(","))
}

fn label(tag: &str) -> String {
    let (name, value) = tag.split_once(':').unwrap_or(("tag", tag));
    let value = value
        .replace('\\', "\\\\")
        .replace('"', "\\\"")
        .replace('\n', "\\n");
    format!("{}=\"{value}\"", metric_name(name))
}
