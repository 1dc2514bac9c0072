//! Tests that no late copy of an earlier answer passes for a refusal of a request that ran.

use std::collections::VecDeque;

use proptest::prelude::*;
use stoatstep_calls::ConnectionAnswers;

/// Requests that are sent in one run, each maybe several times.
const REQUESTS: u8 = 4;

#[test]
fn a_new_connection_identifies_every_answer() {
    assert!(ConnectionAnswers::default().identifies("c1"));
}

/// Guards against a copy of a request's own refusal that answers its next send.
#[test]
fn a_request_that_may_be_sent_again_is_not_new_on_its_connection() {
    let mut answers = ConnectionAnswers::default();
    answers.record(Some(b"c1"), false);
    assert!(!answers.is_new("c1") && !answers.identifies("c1"));
    assert!(answers.is_new("c2") && answers.identifies("c2"));
}

/// Guards against a copy of an answer without an id that answers any other request.
#[test]
fn a_connection_identifies_nothing_after_an_answer_without_an_id() {
    for is_last in [true, false] {
        let mut answers = ConnectionAnswers::default();
        answers.record(None, is_last);
        assert!(!answers.identifies("c1"));
        assert!(answers.is_new("c1"));
    }
}

#[test]
fn named_answers_after_which_nothing_is_sent_again_leave_a_connection_usable() {
    let mut answers = ConnectionAnswers::default();
    for call in 0..1_000 {
        answers.record(Some(format!("c{call}").as_bytes()), true);
    }
    assert!(answers.identifies("c1") && !answers.is_full());
}

#[test]
fn a_connection_is_full_before_a_request_is_forgotten() {
    let mut answers = ConnectionAnswers::default();
    let mut call = 0;
    while !answers.is_full() {
        answers.record(Some(format!("c{call}").as_bytes()), false);
        call += 1;
    }
    assert!((0..call).all(|it| !answers.is_new(&format!("c{it}"))));
}

/// What the target does with a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Run {
    Refused,
    Failed,
    Succeeded,
}

/// An answer as it is on the wire.
#[derive(Clone, Debug)]
struct Sent {
    request_id: Option<String>,
    run: Run,
}

/// One send of a request.
#[derive(Clone, Debug)]
struct Step {
    request: u8,
    run: Run,
    is_named: bool,
    /// Which earlier answers on the connection it sends once more before this one.
    copies: Vec<prop::sample::Index>,
    /// Whether copies state their lengths, so that the daemon finds the answer behind them.
    is_framed: bool,
}

/// A connection of the model, with the answers that the daemon has not read yet.
#[derive(Default)]
struct Connection {
    answers: ConnectionAnswers,
    sent: Vec<Sent>,
    unread: VecDeque<Sent>,
}

/// Reads alternate with claims, by the number of the request.
fn is_claim(request: u8) -> bool {
    request.is_multiple_of(2)
}

impl Connection {
    /// Whether the daemon may send this request here.
    fn fits(&self, request: u8, id: &str) -> bool {
        let answers = &self.answers;
        let is_fit = if is_claim(request) {
            answers.identifies(id)
        } else {
            answers.is_new(id)
        };
        is_fit && !answers.is_full()
    }

    /// Has the target answer a request, maybe after copies of earlier answers.
    fn answer(&mut self, step: &Step, id: &str) {
        if !self.sent.is_empty() {
            let copies = step.copies.iter().map(|it| it.get(&self.sent).clone());
            self.unread.extend(copies);
        }
        let answer = Sent {
            request_id: step.is_named.then(|| id.to_owned()),
            run: step.run,
        };
        self.sent.push(answer.clone());
        self.unread.push_back(answer);
    }

    /// The next answer on the connection that doesn't belong to another request; `None` if one
    /// that does hides where the next one starts.
    fn read(&mut self, id: &str, is_framed: bool) -> Option<Sent> {
        let is_foreign = |it: &Sent| it.request_id.as_deref().is_some_and(|it| it != id);
        let mut answer = self.unread.pop_front().expect("each request is answered");
        while is_foreign(&answer) {
            if !is_framed {
                return None;
            }
            answer = self.unread.pop_front().expect("each request is answered");
        }
        let stated = answer.request_id.as_deref();
        self.answers
            .record(stated.map(str::as_bytes), answer.run == Run::Succeeded);
        Some(answer)
    }
}

fn step() -> impl Strategy<Value = Step> {
    let run = prop_oneof![Just(Run::Refused), Just(Run::Failed), Just(Run::Succeeded)];
    let copies = prop::collection::vec(any::<prop::sample::Index>(), 0..3);
    let parts = (0..REQUESTS, run, any::<bool>(), copies, any::<bool>());
    parts.prop_map(|(request, run, is_named, copies, is_framed)| Step {
        request,
        run,
        is_named,
        copies,
        is_framed,
    })
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(2_000))]

    /// Guards against a claim that ran and is taken for refused, whichever earlier answers the
    /// target repeats, named or not, and however late.
    #[test]
    fn a_claim_that_ran_is_never_taken_for_refused(
        steps in prop::collection::vec(step(), 1..60),
    ) {
        let mut idle: Vec<Connection> = Vec::new();
        let mut has_ended = [false; REQUESTS as usize];
        for step in steps {
            let id = format!("c{}", step.request);
            let has_ended = &mut has_ended[usize::from(step.request)];
            if *has_ended {
                continue;
            }
            let place = idle.iter().rposition(|it| it.fits(step.request, &id));
            let mut connection = place.map(|it| idle.remove(it)).unwrap_or_default();
            connection.answer(&step, &id);
            let answer = connection.read(&id, step.is_framed);
            let told = answer.as_ref().map(|it| it.run);
            if answer.is_some() {
                idle.push(connection);
            }
            let is_taken_for_refused = told == Some(Run::Refused);
            if is_claim(step.request) {
                let ran = step.run != Run::Refused;
                prop_assert!(!(ran && is_taken_for_refused), "{id} ran and was taken for refused");
                *has_ended = !is_taken_for_refused;
            } else {
                *has_ended = told == Some(Run::Succeeded);
            }
        }
    }
}
