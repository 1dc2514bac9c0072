//! Reads what is expected.

use smol_str::SmolStr;
use stoatstep_calls::Reason;

use super::words::Words;
use super::{CallEnd, ChangeEnd, Condition, Finding};

pub(super) fn condition(words: &mut Words<'_>) -> Result<Condition, Finding> {
    match words.next("a condition")? {
        "version" => {
            let version = words.number()?;
            Ok(Condition::Version(version, words.whereabouts()?))
        }
        "newest" => words.whereabouts().map(Condition::Newest),
        "head" => words.number().map(Condition::Head),
        "serving" => words.whereabouts().map(Condition::Serving),
        "members" => {
            let members = words.number()?;
            Ok(Condition::Members(members, words.whereabouts()?))
        }
        "platform-reads" => {
            words.keyword("below")?;
            let reads = words.number()?;
            words.keyword("per")?;
            words.keyword("second")?;
            Ok(Condition::PlatformReadsBelow(reads))
        }
        "changes" => changes(words),
        "call" => call(words),
        word => Err(words.wrong(format!("`{word}` is nothing to expect"))),
    }
}

fn changes(words: &mut Words<'_>) -> Result<Condition, Finding> {
    let end = match words.next("how changes ended")? {
        "accepted" => ChangeEnd::Accepted,
        "conflict" => ChangeEnd::Conflict,
        "invalid" => ChangeEnd::Invalid,
        word => {
            let message = format!("`{word}` is no end; there are accepted, conflict, invalid");
            return Err(words.wrong(message));
        }
    };
    Ok(Condition::Changes(end, words.number()?))
}

fn call(words: &mut Words<'_>) -> Result<Condition, Finding> {
    let name = words.name("a call's name")?;
    let end = match words.next("how it ended")? {
        "ran" => {
            let times = words.number()?;
            return Ok(Condition::Ran { name, times });
        }
        "answered" if words.peek() == Some("at-least") => {
            words.keyword("at-least")?;
            let percent = words.number()?;
            words.keyword("percent")?;
            return Ok(Condition::AnsweredAtLeast { name, percent });
        }
        "answered" => CallEnd::Answered,
        "not-run" => CallEnd::NotRun,
        "unknown" => CallEnd::Unknown,
        "broken" => CallEnd::Broken,
        word => {
            let message =
                format!("`{word}` is no end; there are answered, not-run, unknown, broken and ran");
            return Err(words.wrong(message));
        }
    };
    let reason = match words.peek() {
        Some(_) => Some(reason(words)?),
        None => None,
    };
    Ok(Condition::Outcome { name, end, reason })
}

fn reason(words: &mut Words<'_>) -> Result<SmolStr, Finding> {
    let word = words.name("a reason")?;
    if Reason::ALL.iter().any(|it| it.as_str() == word) {
        return Ok(word);
    }
    Err(words.wrong(format!("`{word}` is no reason")))
}
