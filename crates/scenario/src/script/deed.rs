//! Reads what happens.

use smol_str::{SmolStr, format_smolstr};
use stoatstep_membership::Time;
use stoatstep_platform::FaultKind;
use stoatstep_resource::{Key, Kind, Resource, Route, Service, Upstream};

use super::words::Words;
use super::{CallKind, CallSpec, ClockError, Deed, Edit, Finding};
use crate::world::SERVICE;
use crate::world::net::LinkFault;

const DEFAULT_DEADLINE: Time = Time::from_secs(2);
const CONNECTIONS: u32 = 120;
const MOST_PER_SECOND: u32 = 5000;

pub(super) fn deed(words: &mut Words<'_>) -> Result<Deed, Finding> {
    match words.next("what happens")? {
        "accept" => accept(words),
        "delete" => delete(words),
        "race" => race(words),
        "cut" => cut(words),
        "kill" => words.place().map(Deed::Kill),
        "restart" => words.place().map(Deed::Restart),
        "freeze" => {
            let instance = words.instance()?;
            Ok(Deed::Freeze(instance, duration(words)?))
        }
        "clock" => clock(words),
        "drain" => words.instance().map(Deed::Drain),
        "platform" => platform(words),
        "lose" => {
            words.keyword("pushes")?;
            duration(words).map(Deed::LosePushes)
        }
        "damage" => {
            words.keyword("pushes")?;
            duration(words).map(Deed::DamagePushes)
        }
        "churn" => churn(words),
        "limit" => limit(words),
        "late" => link(words, true),
        "silent" => link(words, false),
        "call" => {
            let kind = call_kind(words)?;
            let name = words.name("the call's name")?;
            call_spec(words, kind, name).map(Deed::Call)
        }
        "load" => load(words),
        word => Err(words.wrong(format!("`{word}` is nothing that can happen"))),
    }
}

fn duration(words: &mut Words<'_>) -> Result<Time, Finding> {
    words.keyword("for")?;
    words.time()
}

/// `clock PLACE ahead D`, `clock PLACE back D` or `clock PLACE right`.
fn clock(words: &mut Words<'_>) -> Result<Deed, Finding> {
    let place = words.place()?;
    let error = match words.next("`ahead`, `back` or `right`")? {
        "ahead" => ClockError::Ahead(words.time()?),
        "back" => ClockError::Back(words.time()?),
        "right" => ClockError::None,
        word => {
            return Err(words.wrong(format!(
                "expected `ahead`, `back` or `right`, found `{word}`"
            )));
        }
    };
    Ok(Deed::Clock(place, error))
}

fn accept(words: &mut Words<'_>) -> Result<Deed, Finding> {
    let resource = match words.next("a kind of resource")? {
        "service" => Resource::Service(Service {
            name: words.name("a name")?,
            policy: None,
            health_path: None,
        }),
        "route" => {
            let name = words.name("a name")?;
            let service = words.option("service").unwrap_or(SERVICE);
            Resource::Route(Route {
                prefix: format_smolstr!("/{name}"),
                name,
                service: service.into(),
                policy: None,
                host: None,
                split: Vec::new(),
                idempotent: false,
                public: false,
            })
        }
        "upstream" => {
            let name = words.name("a name")?;
            let service = words.option("service").unwrap_or(SERVICE);
            let slots = words.option("slots").unwrap_or("13");
            Resource::Upstream(Upstream {
                name,
                service: service.into(),
                slots: words.parse_number(slots)?,
                connections: CONNECTIONS,
            })
        }
        word => return Err(words.wrong(format!("`{word}` is no kind to accept here"))),
    };
    words.keyword("by")?;
    Ok(Deed::Change {
        edit: Edit::Put(resource),
        by: words.instance()?,
    })
}

fn delete(words: &mut Words<'_>) -> Result<Deed, Finding> {
    let kind = words.next("a kind of resource")?;
    let kind: Kind = kind
        .parse()
        .map_err(|_| words.wrong("no kind of resource"))?;
    let name = words.name("a name")?;
    words.keyword("by")?;
    Ok(Deed::Change {
        edit: Edit::Delete(Key { kind, name }),
        by: words.instance()?,
    })
}

fn churn(words: &mut Words<'_>) -> Result<Deed, Finding> {
    let per_second = per_second(words)?;
    let time = duration(words)?;
    words.keyword("by")?;
    Ok(Deed::Churn {
        per_second,
        time,
        by: words.instance()?,
    })
}

fn race(words: &mut Words<'_>) -> Result<Deed, Finding> {
    let first = words.instance()?;
    let second = words.instance()?;
    words.keyword("on")?;
    words.keyword("route")?;
    Ok(Deed::Race {
        first,
        second,
        route: words.name("the route")?,
    })
}

fn cut(words: &mut Words<'_>) -> Result<Deed, Finding> {
    let zone = words.zone()?;
    words.keyword("from")?;
    if words.peek() == Some("platform") {
        words.keyword("platform")?;
        return Ok(Deed::CutPlatform(zone, duration(words)?));
    }
    let other = words.zone()?;
    if other == zone {
        return Err(words.wrong("a zone can't be cut from itself"));
    }
    Ok(Deed::CutZones(zone, other, duration(words)?))
}

fn platform(words: &mut Words<'_>) -> Result<Deed, Finding> {
    let mut delay = Time::ZERO;
    let kind = match words.next("a fault")? {
        "down" => FaultKind::Down,
        "pause" => FaultKind::Pause,
        "lose-answers" => FaultKind::LoseAnswers,
        "slow" => {
            delay = words.time()?;
            FaultKind::Slow
        }
        word => {
            let message =
                format!("`{word}` is no fault; there are down, slow, pause, lose-answers");
            return Err(words.wrong(message));
        }
    };
    Ok(Deed::Platform {
        kind,
        delay,
        time: duration(words)?,
    })
}

fn link(words: &mut Words<'_>, is_late: bool) -> Result<Deed, Finding> {
    let from = words.instance()?;
    words.keyword("to")?;
    let to = words.instance()?;
    let fault = if is_late {
        words.keyword("by")?;
        LinkFault::Late(words.time()?)
    } else {
        LinkFault::Silent
    };
    Ok(Deed::Link {
        from,
        to,
        fault,
        time: duration(words)?,
    })
}

/// `limit iN to R per second` or `limit iN to none`.
fn limit(words: &mut Words<'_>) -> Result<Deed, Finding> {
    let instance = words.instance()?;
    words.keyword("to")?;
    let word = words.next("a rate or `none`")?;
    if word == "none" {
        return Ok(Deed::Limit(instance, None));
    }
    let limit = words.parse_number(word)?;
    words.keyword("per")?;
    words.keyword("second")?;
    Ok(Deed::Limit(instance, Some(limit)))
}

fn call_kind(words: &mut Words<'_>) -> Result<CallKind, Finding> {
    Ok(match words.next("a kind of call")? {
        "read" => CallKind::Read,
        "write" => CallKind::Write,
        "claim" => CallKind::Claim,
        "plain" => CallKind::Plain,
        word => {
            let message =
                format!("`{word}` is no kind of call; there are read, write, claim, plain");
            return Err(words.wrong(message));
        }
    })
}

fn call_spec(words: &mut Words<'_>, kind: CallKind, name: SmolStr) -> Result<CallSpec, Finding> {
    words.keyword("from")?;
    let from = words.instance()?;
    let tenant = words.option("tenant").unwrap_or("default").into();
    let deadline = match words.option("deadline") {
        Some(value) => words.parse_time(value)?,
        None => DEFAULT_DEADLINE,
    };
    Ok(CallSpec {
        kind,
        name,
        from,
        tenant,
        deadline,
    })
}

fn per_second(words: &mut Words<'_>) -> Result<u32, Finding> {
    let per_second = words.number()?;
    if !(1..=MOST_PER_SECOND).contains(&per_second) {
        return Err(words.wrong("a rate is 1 to 5000 a second"));
    }
    words.keyword("per")?;
    words.keyword("second")?;
    Ok(per_second)
}

fn load(words: &mut Words<'_>) -> Result<Deed, Finding> {
    let kind = call_kind(words)?;
    if matches!(kind, CallKind::Claim | CallKind::Plain) {
        return Err(words.wrong("a load has no keys; write read or write"));
    }
    let name = words.name("the load's name")?;
    let per_second = per_second(words)?;
    let time = duration(words)?;
    Ok(Deed::Load {
        call: call_spec(words, kind, name)?,
        per_second,
        time,
    })
}
