//! The report as a table for people or JSON lines for programs.

use std::collections::BTreeMap;
use std::io::{self, Write};

use serde::Serialize;
use smol_str::SmolStr;

use crate::load::audit::Audit;
use crate::load::report::{Report, Series, Tally};

#[derive(Serialize)]
struct Line<'a> {
    tenant: &'a str,
    class: &'a str,
    #[serde(flatten)]
    tally: &'a Tally,
    p50_ms: f64,
    p99_ms: f64,
    max_ms: f64,
}

#[derive(Serialize)]
struct RefusalLine<'a> {
    refusals: u64,
    refusal_p50_ms: f64,
    refusal_p99_ms: f64,
    schedule_lag_ms: f64,
    reasons: &'a BTreeMap<SmolStr, u64>,
}

impl<'a> Line<'a> {
    fn new(tenant: &'a str, class: &'a str, series: &'a Series) -> Self {
        Self {
            tenant,
            class,
            tally: &series.tally,
            p50_ms: series.latency.percentile_ms(50.0),
            p99_ms: series.latency.percentile_ms(99.0),
            max_ms: series.latency.max_ms(),
        }
    }
}

fn lines(report: &Report) -> impl Iterator<Item = Line<'_>> {
    let each = report.series.iter();
    let each = each.map(|((tenant, class), series)| Line::new(tenant, class, series));
    each.chain([Line::new("all", "all", &report.total)])
}

fn refusals(report: &Report) -> RefusalLine<'_> {
    RefusalLine {
        refusals: report.refusals.count(),
        refusal_p50_ms: report.refusals.percentile_ms(50.0),
        refusal_p99_ms: report.refusals.percentile_ms(99.0),
        schedule_lag_ms: report.schedule_lag.as_secs_f64() * 1e3,
        reasons: &report.reasons,
    }
}

/// One JSON object a line: each series, the refusals, the audit.
pub(crate) fn json(out: &mut impl Write, report: &Report, audit: Option<&Audit>) -> io::Result<()> {
    for line in lines(report) {
        writeln!(out, "{}", serde_json::to_string(&line)?)?;
    }
    writeln!(out, "{}", serde_json::to_string(&refusals(report))?)?;
    if let Some(audit) = audit {
        writeln!(out, "{}", serde_json::to_string(audit)?)?;
    }
    Ok(())
}

/// A table for people.
pub(crate) fn table(
    out: &mut impl Write,
    report: &Report,
    audit: Option<&Audit>,
) -> io::Result<()> {
    writeln!(
        out,
        "{:<20} {:<9} {:>8} {:>8} {:>8} {:>8} {:>6} {:>6} {:>9} {:>9} {:>9}",
        "tenant",
        "class",
        "calls",
        "answered",
        "not run",
        "unknown",
        "wrong",
        "lost",
        "p50 ms",
        "p99 ms",
        "max ms",
    )?;
    for line in lines(report) {
        let tally = line.tally;
        writeln!(
            out,
            "{:<20} {:<9} {:>8} {:>8} {:>8} {:>8} {:>6} {:>6} {:>9.2} {:>9.2} {:>9.2}",
            line.tenant,
            line.class,
            tally.calls,
            tally.answered,
            tally.not_run,
            tally.unknown,
            tally.wrong,
            tally.lost,
            line.p50_ms,
            line.p99_ms,
            line.max_ms,
        )?;
    }
    let refusals = refusals(report);
    writeln!(
        out,
        "refused attempts: {}, within {:.2} ms (p50) and {:.2} ms (p99)",
        refusals.refusals, refusals.refusal_p50_ms, refusals.refusal_p99_ms,
    )?;
    for (reason, count) in refusals.reasons {
        writeln!(out, "  {reason}: {count} attempts not answered")?;
    }
    if let Some(audit) = audit {
        writeln!(
            out,
            "ledgers: {} runs, {} keys run twice, {} untrue refusals, {} answers without a run, {} runs without an answer {}",
            audit.runs,
            audit.duplicates,
            audit.untrue_refusals,
            audit.missing,
            audit.unanswered_runs,
            audit.examples.join(" "),
        )?;
    }
    Ok(())
}
