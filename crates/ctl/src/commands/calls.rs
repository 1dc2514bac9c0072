//! `stoatctl calls`: adds up, from log lines, what callers got.

mod tally;

use std::collections::BTreeMap;
use std::fmt;
use std::io::{BufRead, stdin};
use std::time::Duration;

use serde::Serialize;
use stoatstep_settings::{EarlyExit, Program, Setting, Values};
use stoatstep_telemetry::fields;

use super::log_line::Line;
use crate::console::Console;
use crate::exit::Exit;
use crate::failure::Failure;
use crate::settings::{self, OUTPUT};
use crate::table::Table;
use tally::Tally;

const SPAN: Setting = Setting::new(
    "span",
    "TIME",
    "Length of the spans of time that are told apart.",
)
.default("1h");

pub(super) const PROGRAM: Program = Program {
    name: "stoatctl calls",
    about: "Adds up what callers got, by route and time, from daemons' log lines on standard input.",
    settings: &[SPAN, OUTPUT],
    operands: "",
};

pub(super) struct Options {
    span: Duration,
}

pub(super) fn options(mut values: Values) -> Result<Options, EarlyExit> {
    let span = settings::span(&mut values, SPAN.flag);
    values.finish()?;
    Ok(Options { span })
}

/// The calls of one route in one span of time.
#[derive(Serialize)]
struct Row {
    /// When the span began, as `HH:MM:SS`.
    from: String,
    route: String,
    #[serde(flatten)]
    tally: Tally,
}

/// What callers got.
#[derive(Serialize)]
struct Report {
    rows: Vec<Row>,
    /// Lines of the same kinds that the daemons left out.
    left_out: u64,
    /// Lines about calls whose time is none that daemons write.
    without_time: u64,
}

pub(super) fn run(options: &Options, console: &mut Console) -> Result<Exit, Failure> {
    let report = read(options.span, stdin().lock())?;
    let exit = if report.rows.is_empty() {
        Exit::Failure
    } else {
        Exit::Success
    };
    console.print(&report, &report)?;
    Ok(exit)
}

fn read(span: Duration, input: impl BufRead) -> Result<Report, Failure> {
    let seconds = span.as_secs().max(1);
    let mut tallies: BTreeMap<(u64, String), Tally> = BTreeMap::new();
    let (mut left_out, mut without_time) = (0, 0);
    for line in input.lines() {
        let Some(line) = Line::read(&line?) else {
            continue;
        };
        if !tally::is_about_a_call(&line) {
            continue;
        }
        let Some(second) = second_of_day(&line.ts) else {
            without_time += 1;
            continue;
        };
        left_out += line.number(fields::LEFT_OUT);
        let route = line.text(fields::ROUTE);
        let from = second / seconds * seconds;
        tallies.entry((from, route)).or_default().add(&line);
    }
    let rows = tallies.into_iter().map(|((from, route), tally)| Row {
        from: clock_time(from),
        route,
        tally,
    });
    Ok(Report {
        rows: rows.collect(),
        left_out,
        without_time,
    })
}

/// The second of the day in a time like `2026-12-02T12:00:01.300Z`.
fn second_of_day(ts: &str) -> Option<u64> {
    let (_, time) = ts.split_once('T')?;
    let mut parts = time.splitn(3, ':');
    let hours: u64 = parts.next()?.parse().ok()?;
    let minutes: u64 = parts.next()?.parse().ok()?;
    let seconds: u64 = parts.next()?.get(..2)?.parse().ok()?;
    Some((hours * 60 + minutes) * 60 + seconds)
}

fn clock_time(second: u64) -> String {
    let (hours, minutes, seconds) = (second / 3600, second / 60 % 60, second % 60);
    format!("{hours:02}:{minutes:02}:{seconds:02}")
}

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let mut table = Table::new(&tally::HEADER);
        for row in &self.rows {
            let named = [row.from.clone(), row.route.clone()];
            table.row(named.into_iter().chain(row.tally.cells()));
        }
        if table.is_empty() {
            return f.write_str("no line speaks of a call");
        }
        write!(f, "{table}")?;
        if self.left_out > 0 {
            write!(
                f,
                "\n{} lines of the same kinds were left out",
                self.left_out
            )?;
        }
        if self.without_time > 0 {
            write!(f, "\n{} lines about calls have no time", self.without_time)?;
        }
        Ok(())
    }
}
