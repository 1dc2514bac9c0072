//! `stoatctl explain`: tells from log lines what became of one request.

use std::fmt;
use std::io::{BufRead, stdin};

use serde::Serialize;
use stoatstep_settings::{EarlyExit, Program, Values};
use stoatstep_telemetry::fields;

use super::log_line::Line;
use super::operands;
use crate::console::Console;
use crate::exit::Exit;
use crate::failure::Failure;
use crate::settings::OUTPUT;

pub(super) const PROGRAM: Program = Program {
    name: "stoatctl explain",
    about: "Tells what became of a request, from daemons' log lines on standard input.",
    settings: &[OUTPUT],
    operands: "REQUEST",
};

pub(super) struct Options {
    request: String,
}

pub(super) fn options(values: Values) -> Result<Options, EarlyExit> {
    let request = operands::one(&values, "the id of a request is needed");
    let request = operands::finish(values, request)?;
    Ok(Options { request })
}

/// What became of one request, in order.
#[derive(Serialize)]
struct Report {
    request: String,
    lines: Vec<Line>,
    /// Lines of the same kinds that the daemons left out.
    left_out: u64,
}

pub(super) fn run(options: &Options, console: &mut Console) -> Result<Exit, Failure> {
    let report = read(&options.request, stdin().lock())?;
    let exit = if report.lines.is_empty() {
        Exit::Failure
    } else {
        Exit::Success
    };
    console.print(&report, &report)?;
    Ok(exit)
}

fn read(request: &str, input: impl BufRead) -> Result<Report, Failure> {
    let mut report = Report {
        request: request.to_owned(),
        lines: Vec::new(),
        left_out: 0,
    };
    for line in input.lines() {
        let line = line?;
        if !line.contains(request) {
            continue;
        }
        let Some(line) = Line::read(&line) else {
            continue;
        };
        if line.text(fields::REQUEST) == request {
            report.left_out += line.number(fields::LEFT_OUT);
            report.lines.push(line);
        }
    }
    // The daemons' clocks differ by little; within a daemon the order is exact.
    report.lines.sort_by(|a, b| a.ts.cmp(&b.ts));
    Ok(report)
}

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        if self.lines.is_empty() {
            return write!(
                f,
                "{}: no line speaks of it; it may have been left out under a flood, or the \
                 logs of its entry are missing",
                self.request
            );
        }
        writeln!(f, "{}", self.request)?;
        for line in &self.lines {
            writeln!(f, "{}  {}", line.ts, sentence(line))?;
        }
        if self.left_out > 0 {
            writeln!(f, "{} lines of the same kinds were left out", self.left_out)?;
        }
        write!(f, "=> {}", self.conclusion())
    }
}

impl Report {
    /// What is known of a request that did not become a call, or that has no end.
    fn conclusion_without_end(&self) -> String {
        let said = |msg: &str| self.lines.iter().find(|it| it.msg == msg);
        if let Some(line) = said("request refused") {
            return format!("it did not run: {}", meaning(&line.text(fields::REASON)));
        }
        if said("call cut off").is_some() {
            return "its daemon exited before it ended; it may have run".to_owned();
        }
        if said("caller left").is_some() {
            return "its caller left before it ended; it may have run".to_owned();
        }
        "its entry has no line of its end: the daemon died, or its lines are missing".to_owned()
    }

    /// What the caller may rely on.
    fn conclusion(&self) -> String {
        let ended = self.lines.iter().rfind(|it| it.msg == "call ended");
        let Some(ended) = ended else {
            return self.conclusion_without_end();
        };
        let reason = meaning(&ended.text(fields::REASON));
        match ended.text(fields::OUTCOME).as_str() {
            "not-run" => format!("it did not run and never will: {reason}"),
            "unknown" => format!("it may have run, and its answer is lost: {reason}"),
            _ if ended.number(fields::STATUS) >= 500 => {
                "its target answered with a failure".to_owned()
            }
            _ if ended.flag(fields::LATE) => late(ended),
            _ => "it was answered in time".to_owned(),
        }
    }
}

/// The part of a late answer's time that was the largest.
fn late(ended: &Line) -> String {
    let (queue, target) = (
        ended.number(fields::QUEUE_US),
        ended.number(fields::TARGET_US),
    );
    let rest = ended
        .number(fields::TOTAL_US)
        .saturating_sub(queue + target);
    let parts = [
        (queue, "waiting for a slot"),
        (target, "at its target"),
        (rest, "in daemons and on the way, earlier attempts included"),
    ];
    let (us, place) = parts.into_iter().max().unwrap_or_default();
    format!(
        "it was answered late; most of its time, {} ms, was spent {place}",
        us / 1000
    )
}

fn sentence(line: &Line) -> String {
    let ms = |key: &str| line.number(key) / 1000;
    let upstream = line.text(fields::UPSTREAM);
    let arrived = if line.flag(fields::ARRIVED) {
        "its target got to see it"
    } else {
        "its target never saw it"
    };
    match line.msg.as_str() {
        "call ended" => {
            let zone = if line.flag(fields::OTHER_ZONE) {
                " in another zone"
            } else {
                ""
            };
            let customer = match line.text(fields::CUSTOMER) {
                name if name.is_empty() => String::new(),
                name => format!(" for customer {name}"),
            };
            format!(
                "entry: {}{customer} by route {} of version {}, {} attempts, last at {upstream}{zone}; \
                 {} ms in all, {} in queues, {} at targets; given {} ms, objective {} ms",
                outcome(line),
                line.text(fields::ROUTE),
                line.text(fields::VERSION),
                line.text(fields::ATTEMPTS),
                ms(fields::TOTAL_US),
                ms(fields::QUEUE_US),
                ms(fields::TARGET_US),
                line.text(fields::GIVEN_MS),
                line.text(fields::OBJECTIVE_MS),
            )
        }
        "attempt failed" => format!(
            "entry: attempt at {upstream} brought no answer after {} ms: {}; {arrived}",
            ms(fields::TOOK_US),
            meaning(&line.text(fields::REASON))
        ),
        "run failed" => format!(
            "executor of {upstream}: {}; {arrived}; {} ms in the queue, {} at the target; \
             {} running and {} waiting then",
            meaning(&line.text(fields::REASON)),
            ms(fields::QUEUE_US),
            ms(fields::TARGET_US),
            line.text(fields::RUNNING),
            line.text(fields::QUEUED),
        ),
        "caller left" => format!(
            "entry: its caller left after {} ms{}",
            ms(fields::TOTAL_US),
            stage(line)
        ),
        "call cut off" => format!(
            "entry: the daemon exited after {} ms, without an answer{}",
            ms(fields::TOTAL_US),
            stage(line)
        ),
        "large answer ended" => format!(
            "executor: {} of {} bytes of its answer sent ({}, {}); it waited {} ms for the uplink, \
             which needed {} ms for what went first, and took {} ms",
            line.text(fields::SENT_BYTES),
            line.text(fields::BYTES),
            line.text(fields::END),
            line.text(fields::BAND),
            ms(fields::WAIT_US),
            ms(fields::AHEAD_US),
            ms(fields::SENDING_US),
        ),
        "request refused" => format!(
            "entry: refused when it came, by version {}: {}",
            line.text(fields::VERSION),
            meaning(&line.text(fields::REASON))
        ),
        "target ejected" => format!(
            "entry: with it, {upstream} was left out for {} ms",
            line.text(fields::FOR_MS)
        ),
        "answer not believed" => format!(
            "executor of {upstream}: an answer to another request came where its own was due: {} is \
             {} in place of {}",
            line.text(fields::FIELD),
            line.text(fields::STATED),
            line.text(fields::EXPECTED),
        ),
        "retry budget spent" => "entry: not tried again, the retry budget was spent".to_owned(),
        other => other.to_owned(),
    }
}

/// How far a call had got that was not answered.
fn stage(line: &Line) -> String {
    let upstream = line.text(fields::UPSTREAM);
    match line.text(fields::STAGE).as_str() {
        "placing" => ", at no target".to_owned(),
        "asked" => format!(", while {upstream} had it"),
        "receiving" => format!(
            ", when {} bytes of the answer of {upstream} had arrived",
            line.text(fields::RECEIVED_BYTES)
        ),
        "settling" => format!(", when the link for {upstream} was lost"),
        _ => String::new(),
    }
}

fn outcome(line: &Line) -> String {
    match line.text(fields::OUTCOME).as_str() {
        "answered" => format!("answered with status {}", line.text(fields::STATUS)),
        other => format!("{other} ({})", line.text(fields::REASON)),
    }
}

/// What a reason means, in words.
fn meaning(reason: &str) -> String {
    let text = match reason {
        "overload" => "queues were too long for it to be answered in time",
        "throttled" => "most calls of its route fail for want of something that they need",
        "draining" => "the target or its daemon was leaving",
        "not-ready" => "the daemon had no configuration yet",
        "unauthenticated" => "no customer holds its key, or it showed none that is understood",
        "unconfirmed" => "the daemon could not tell whether its key was taken away",
        "over-quota" => "its customer's quota was used up",
        "quota-unknown" => "the daemon that holds its customer's quota did not answer",
        "no-route" => "no route matched its host and path",
        "no-upstream" => "no target of its service could be reached",
        "deadline" => "it could not finish before its deadline",
        "shed" => "the target refused it without running it",
        "revoked" => "it was called back before it started",
        "lost-answer" => "the target's answer was lost or broken",
        "timed-out" => "its deadline passed while it ran",
        other => other,
    };
    text.to_owned()
}
