//! Reports messages of the target that are not believed or do not decode.

use std::fmt::Display;

use smol_str::{SmolStr, ToSmolStr, format_smolstr};
use stoatstep_membership::{Contradiction, Heartbeat};
use stoatstep_telemetry::fields;

use crate::node::Node;

/// Largest number of characters of a value in the log line. Another program may have sent it.
const MAX_LOGGED: usize = 100;

/// A field of a heartbeat with the value that it has, and the one that is known.
pub(super) struct Disbelief {
    field: &'static str,
    stated: SmolStr,
    known: SmolStr,
}

impl Disbelief {
    /// The heartbeat names another service than the known one.
    pub(super) fn of_service(beat: &Heartbeat, known: &str) -> Self {
        Self {
            field: fields::SERVICE,
            stated: beat.service.clone(),
            known: known.into(),
        }
    }

    /// The heartbeat contradicts what is known; `None` if it only says once more that its sender
    /// leaves.
    pub(super) fn new(beat: &Heartbeat, contradiction: &Contradiction) -> Option<Self> {
        let (field, stated, known) = match contradiction {
            Contradiction::Departed if beat.draining => return None,
            Contradiction::Departed => (
                fields::LEAVING,
                beat.draining.to_smolstr(),
                true.to_smolstr(),
            ),
            Contradiction::Sequence(known) => (
                fields::SEQUENCE,
                beat.sequence.to_smolstr(),
                known.to_smolstr(),
            ),
            Contradiction::StartTime(known) => {
                ("start_time", optional(beat.born), optional(*known))
            }
            Contradiction::Generation(known) => {
                (fields::UPSTREAM, beat.upstream.clone(), known.clone())
            }
            Contradiction::RuledOut(known) => (
                fields::UPSTREAM,
                beat.upstream.clone(),
                known.clone().unwrap_or_default(),
            ),
        };
        Some(Self {
            field,
            stated,
            known,
        })
    }
}

fn optional(value: Option<u64>) -> SmolStr {
    value.map_or_else(SmolStr::default, |it| it.to_smolstr())
}

fn shortened(text: &str) -> SmolStr {
    match text.char_indices().nth(MAX_LOGGED) {
        Some((end, _)) => format_smolstr!("{}...", &text[..end]),
        None => text.into(),
    }
}

/// Counts and logs a heartbeat that is not believed.
pub(super) fn report(node: &Node, upstream: &str, disbelief: &Disbelief) {
    node.journal.count("heartbeats.not_believed");
    let now = node.clock.now();
    let Some(suppressed) = node.journal.admits("heartbeat not believed", now) else {
        return;
    };
    slog::warn!(node.log, "heartbeat not believed"; fields::UPSTREAM => %shortened(upstream),
        fields::FIELD => disbelief.field, fields::STATED => %shortened(&disbelief.stated),
        fields::KNOWN => %shortened(&disbelief.known), fields::LEFT_OUT => suppressed);
}

/// Counts and logs a message under a target's id that does not decode.
pub(crate) fn report_undecodable(node: &Node, upstream: &str, err: &dyn Display) {
    node.journal.count("heartbeats.not_understood");
    let now = node.clock.now();
    let Some(suppressed) = node.journal.admits("heartbeat not understood", now) else {
        return;
    };
    slog::warn!(node.log, "heartbeat not understood"; fields::UPSTREAM => %shortened(upstream),
        fields::ERROR => %shortened(&err.to_smolstr()), fields::LEFT_OUT => suppressed);
}
