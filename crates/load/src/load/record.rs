//! What a caller was told about one call.

use std::time::Duration;

use smol_str::SmolStr;

use crate::load::attempt::Reply;
use crate::load::plan::{AttemptNumber, Call, Verb};

/// How a call, or one attempt of it, ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Outcome {
    Answered,
    Wrong,
    NotRun,
    Unknown,
}

/// What a caller was told about one call.
#[derive(Clone, Debug)]
pub(crate) struct Record {
    pub(crate) verb: Verb,
    pub(crate) key: Option<SmolStr>,
    pub(crate) tenant: SmolStr,
    pub(crate) class: SmolStr,
    pub(crate) attempts: AttemptNumber,
    pub(crate) outcome: Outcome,
    /// From the moment at which the call was due until its end.
    pub(crate) latency: Duration,
    /// From sending to the refusal, for each refused attempt.
    pub(crate) refusals: Vec<Duration>,
    /// Markers of the attempts that the caller was told did not run.
    pub(crate) refused_markers: Vec<SmolStr>,
    /// Why attempts were not answered.
    pub(crate) reasons: Vec<SmolStr>,
    /// Marker of the answered attempt.
    pub(crate) answered_marker: Option<SmolStr>,
    maybe_ran: bool,
    call: Call,
}

impl Record {
    pub(crate) fn new(call: &Call) -> Self {
        Self {
            verb: call.verb,
            key: call.key.clone(),
            tenant: call.tenant.clone(),
            class: call.class.clone(),
            attempts: 0,
            outcome: Outcome::NotRun,
            latency: Duration::ZERO,
            refusals: Vec::new(),
            refused_markers: Vec::new(),
            reasons: Vec::new(),
            answered_marker: None,
            maybe_ran: false,
            call: call.clone(),
        }
    }

    pub(crate) fn note(
        &mut self,
        call: &Call,
        number: AttemptNumber,
        reply: &Reply,
        took: Duration,
    ) {
        self.attempts = number;
        self.outcome = Outcome::from(reply);
        match reply {
            Reply::NotRun { reason, .. } => {
                self.reasons.push(reason.clone());
                self.refusals.push(took);
                self.refused_markers.push(call.marker(number));
            }
            Reply::Unsent => self.refused_markers.push(call.marker(number)),
            Reply::Unknown { reason, .. } => {
                self.reasons.push(reason.clone());
                self.maybe_ran = true;
            }
            Reply::Answered => self.answered_marker = Some(call.marker(number)),
            Reply::Wrong(_) => {}
        }
    }

    /// The markers of all attempts.
    pub(crate) fn markers(&self) -> impl Iterator<Item = SmolStr> {
        (1..=self.attempts).map(|number| self.call.marker(number))
    }

    /// A refusal of the last attempt says nothing about an earlier one whose
    /// outcome is unknown, so the call as a whole stays unknown then.
    pub(crate) fn end(&mut self, latency: Duration) {
        self.latency = latency;
        if self.outcome == Outcome::NotRun && self.maybe_ran {
            self.outcome = Outcome::Unknown;
        }
    }
}
