//! Requests on connections to a target that repeats answers late.
//!
//! The target answers each request, and may first send a copy of any earlier answer on the same
//! connection. It may leave the request's id out of an answer. The daemon reads one answer for each
//! request, past those that state another request's id, and sends refused requests again.

use std::collections::VecDeque;

use stoatstep_calls::ConnectionAnswers;

use crate::invariant::Invariant;
use crate::safeguard::{Safeguard, Safeguards};
use crate::search::Spec;

/// The requests. All but the last are claims, which must not run twice.
const REQUESTS: usize = 3;

/// Number of a request.
type RequestIndex = usize;

fn is_claim(request: RequestIndex) -> bool {
    request + 1 < REQUESTS
}

/// Bounds of a [`LateCopySpec`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LateCopyBounds {
    /// Connections that are open at a time.
    pub connections: usize,
    /// Times that requests are sent, all together.
    pub sends: u8,
}

/// Specification of which answer belongs to a request.
#[derive(Clone, Copy, Debug)]
pub struct LateCopySpec {
    bounds: LateCopyBounds,
    safeguards: Safeguards,
}

/// What the target does with a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum TargetRun {
    /// It does not run it.
    Refused,
    /// It runs it and answers with a failure.
    Failed,
    /// It runs it and answers with a success.
    Succeeded,
}

/// An answer on the wire.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct Answer {
    request: RequestIndex,
    run: TargetRun,
    is_named: bool,
}

/// What the daemon learns from the answer that it reads.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum Told {
    Refused,
    /// This request's answer, which goes on to the caller.
    Answered(RequestIndex),
    Lost,
}

#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
struct Connection {
    answers: ConnectionAnswers,
    sent: Vec<Answer>,
    unread: VecDeque<Answer>,
}

/// Everything that later steps depend on.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct LateCopyState {
    idle: Vec<Connection>,
    sends: u8,
    has_ended: [bool; REQUESTS],
    violated: Option<Invariant>,
}

/// A request is sent, and the daemon reads an answer for it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LateCopyStep {
    request: RequestIndex,
    /// Which idle connection is used; none for a new one.
    connection: Option<usize>,
    run: TargetRun,
    is_named: bool,
    /// Which earlier answer on the connection comes first once more.
    copy: Option<usize>,
}

impl LateCopySpec {
    /// Creates a specification with these bounds and safeguards.
    #[must_use]
    pub fn new(bounds: LateCopyBounds, safeguards: Safeguards) -> Self {
        Self { bounds, safeguards }
    }

    /// Whether the request may be sent on this connection.
    fn fits(&self, request: RequestIndex, connection: &Connection) -> bool {
        let answers = &connection.answers;
        let is_new =
            answers.is_new(&id(request)) || !self.safeguards.has(Safeguard::SentOnceOnConnection);
        let needs_names = is_claim(request) && self.safeguards.has(Safeguard::NamedConnection);
        is_new && !(needs_names && answers.has_unnamed())
    }

    fn send(&self, state: &mut LateCopyState, step: &LateCopyStep) {
        let mut connection = match step.connection {
            Some(index) => state.idle.remove(index),
            None => Connection::default(),
        };
        state.sends += 1;
        let copy = step.copy.map(|it| connection.sent[it]);
        let own = Answer {
            request: step.request,
            run: step.run,
            is_named: step.is_named,
        };
        connection.unread.extend(copy.into_iter().chain([own]));
        connection.sent.push(own);
        let (told, is_kept) = self.read(&mut connection, step.request);
        if is_kept && state.idle.len() < self.bounds.connections {
            state.idle.push(connection);
        }
        state.violated = violation(step, told);
        state.has_ended[step.request] = match told {
            Told::Refused => false,
            Told::Lost => is_claim(step.request),
            Told::Answered(_) => is_claim(step.request) || step.run == TargetRun::Succeeded,
        };
    }

    /// Reads the answer for a request. Returns what it tells, and whether the connection is kept.
    fn read(&self, connection: &mut Connection, request: RequestIndex) -> (Told, bool) {
        let is_foreign = |it: &Answer| it.is_named && it.request != request;
        let mut answer = connection.unread.pop_front();
        while self.safeguards.has(Safeguard::ForeignAnswersDropped)
            && answer.as_ref().is_some_and(is_foreign)
        {
            answer = connection.unread.pop_front();
        }
        let Some(answer) = answer else {
            return (Told::Lost, false);
        };
        let stated = answer.is_named.then(|| id(answer.request));
        let is_last = answer.run == TargetRun::Succeeded && answer.is_named;
        let stated = stated.as_deref().map(str::as_bytes);
        connection.answers.record(stated, is_last);
        match answer.run {
            TargetRun::Refused => (Told::Refused, true),
            // A success without an id is not passed on.
            TargetRun::Succeeded if !answer.is_named => (Told::Lost, true),
            TargetRun::Succeeded => (Told::Answered(answer.request), true),
            TargetRun::Failed => {
                let closes = self.safeguards.has(Safeguard::UnnamedFailureCloses);
                (Told::Answered(answer.request), answer.is_named || !closes)
            }
        }
    }
}

fn id(request: RequestIndex) -> String {
    format!("r{request}")
}

fn violation(step: &LateCopyStep, told: Told) -> Option<Invariant> {
    let ran = step.run != TargetRun::Refused;
    match told {
        Told::Refused if ran && is_claim(step.request) => Some(Invariant::NotRunIsTrue),
        Told::Answered(request) if request != step.request => Some(Invariant::OwnAnswer),
        _ => None,
    }
}

impl Spec for LateCopySpec {
    type State = LateCopyState;
    type Step = LateCopyStep;

    fn start(&self) -> LateCopyState {
        LateCopyState {
            idle: Vec::new(),
            sends: 0,
            has_ended: [false; REQUESTS],
            violated: None,
        }
    }

    fn steps(&self, state: &LateCopyState) -> Vec<(LateCopyStep, LateCopyState)> {
        let mut steps = Vec::new();
        if state.sends == self.bounds.sends {
            return steps;
        }
        for request in (0..REQUESTS).filter(|it| !state.has_ended[*it]) {
            let idle = state.idle.iter().enumerate();
            let fitting = idle.filter(|(_, it)| self.fits(request, it));
            let places = fitting.map(|(index, it)| (Some(index), it.sent.len()));
            for (connection, answers) in places.chain([(None, 0)]) {
                let copies = (0..answers).map(Some).chain([None]);
                for (copy, run, is_named) in copies.flat_map(answers_with_copy) {
                    let step = LateCopyStep {
                        request,
                        connection,
                        run,
                        is_named,
                        copy,
                    };
                    let mut next = state.clone();
                    self.send(&mut next, &step);
                    steps.push((step, next));
                }
            }
        }
        steps
    }

    fn violated(&self, state: &LateCopyState) -> Option<Invariant> {
        state.violated
    }
}

/// All answers that a target may give behind this copy.
fn answers_with_copy(copy: Option<usize>) -> Vec<(Option<usize>, TargetRun, bool)> {
    let runs = [TargetRun::Refused, TargetRun::Failed, TargetRun::Succeeded];
    let named = |run| [true, false].map(|is_named| (copy, run, is_named));
    runs.into_iter().flat_map(named).collect()
}
