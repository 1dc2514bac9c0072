//! Property tests of what is believed of the local target, with late heartbeats, restarts,
//! departures and answers in any order.

use std::collections::BTreeSet;
use std::time::Duration;

use proptest::collection::vec;
use proptest::prelude::*;
use stoatstep_membership::{Heartbeat, LocalTarget, StartMillis, generation_id, target_id_of};

const INTERVAL: Duration = Duration::from_secs(1);

/// Heartbeats of the present generation after which it has to be believed: the first of them
/// may come while a former generation counts as live.
const RENEWALS: u32 = 5;

#[derive(Clone, Copy, Debug)]
enum Event {
    /// The present generation sends a heartbeat, which arrives at once.
    Beat,
    /// The present generation sends a heartbeat, which a partition holds up.
    HoldBeat,
    /// A heartbeat that was held up arrives.
    LateBeat(usize),
    /// The present generation announces its drain, or its departure with or without its start
    /// time, and gets an acknowledgement.
    Drain,
    Leave {
        states_start: bool,
    },
    /// The present generation ends, and another one starts at its address.
    Restart(Restart),
    /// The daemon asks the target about the generation that awaits a confirmation.
    Ask,
    /// The target's answer arrives.
    Answer,
    /// The daemon restarts and knows nothing.
    DaemonRestart,
    Wait(u64),
}

/// How the next generation differs from the one before.
#[derive(Clone, Copy, Debug)]
enum Restart {
    NewId,
    NewIdStatesStart,
    /// The clock was set back before the start.
    NewIdEarlierStart,
    SameIdLaterStart,
}

fn event() -> impl Strategy<Value = Event> {
    let restart = prop_oneof![
        Just(Restart::NewId),
        Just(Restart::NewIdStatesStart),
        Just(Restart::NewIdEarlierStart),
        Just(Restart::SameIdLaterStart),
    ];
    prop_oneof![
        6 => Just(Event::Beat),
        3 => Just(Event::HoldBeat),
        4 => any::<usize>().prop_map(Event::LateBeat),
        1 => Just(Event::Drain),
        1 => any::<bool>().prop_map(|states_start| Event::Leave { states_start }),
        3 => restart.prop_map(Event::Restart),
        4 => Just(Event::Ask),
        4 => Just(Event::Answer),
        1 => Just(Event::DaemonRestart),
        3 => (100_u64..4_000).prop_map(Event::Wait),
    ]
}

/// Time for which the daemon waits for an answer.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(1);

/// One generation of the target, as it is in truth.
struct Present {
    id: String,
    born: Option<StartMillis>,
    sequence: u64,
    is_draining: bool,
}

impl Present {
    fn generation(&self) -> String {
        generation_id(&self.id, self.born).to_string()
    }
}

/// An answer of the target that is on its way.
struct Answer {
    asked_at: Duration,
    asked: String,
    actual: String,
    is_healthy: bool,
}

struct World {
    target: LocalTarget,
    now: Duration,
    present: Present,
    /// Number of generations so far.
    generations: u64,
    held_up: Vec<Heartbeat>,
    answer: Option<Answer>,
    /// Generations whose drain or departure was acknowledged.
    acked: BTreeSet<String>,
    /// Those of them that this process of the daemon has acknowledged.
    acked_by_process: BTreeSet<String>,
}

impl World {
    fn new() -> Self {
        Self {
            target: LocalTarget::new(INTERVAL),
            now: Duration::ZERO,
            present: Present {
                id: "t0".into(),
                born: None,
                sequence: 0,
                is_draining: false,
            },
            generations: 1,
            held_up: Vec::new(),
            answer: None,
            acked: BTreeSet::new(),
            acked_by_process: BTreeSet::new(),
        }
    }

    fn next_heartbeat(&mut self) -> Heartbeat {
        let present = &mut self.present;
        present.sequence += 1;
        Heartbeat {
            upstream: generation_id(&present.id, present.born),
            born: present.born,
            service: "floatdesk".into(),
            software: "v1".into(),
            slots: 13,
            sequence: present.sequence,
            draining: present.is_draining,
            cold: Duration::ZERO,
        }
    }

    fn beat(&mut self) {
        let heartbeat = self.next_heartbeat();
        self.receive(heartbeat);
    }

    fn receive(&mut self, heartbeat: Heartbeat) {
        if heartbeat.draining {
            self.acknowledge(heartbeat.upstream.to_string());
        }
        self.target.record_heartbeat(heartbeat, self.now);
    }

    fn leave(&mut self, states_start: bool) {
        let born = self.present.born.filter(|_| states_start);
        // A notice without a start time names a generation that reported itself.
        if !states_start {
            self.beat();
        }
        let leaving = self.target.departing_generation(&self.present.id, born);
        self.target.record_departure(&leaving);
        self.present.is_draining = true;
        self.acknowledge(self.present.generation());
    }

    fn acknowledge(&mut self, generation: String) {
        self.acked.insert(generation.clone());
        self.acked_by_process.insert(generation);
    }

    /// Whether a call would reach a generation whose departure was acknowledged. One that names
    /// another target id than that of the present generation is refused by it.
    fn calls_departed(&self) -> bool {
        self.accepting().is_some_and(|accepting| {
            let reaches_present = target_id_of(&accepting) == self.present.id;
            self.acked_by_process.contains(&accepting)
                || reaches_present && self.acked.contains(&self.present.generation())
        })
    }

    fn restart(&mut self, restart: Restart) {
        let start = 1_000 * self.generations;
        let id = format!("t{}", self.generations);
        let (id, born) = match restart {
            Restart::NewId => (id, None),
            Restart::NewIdStatesStart => (id, Some(start)),
            Restart::NewIdEarlierStart => (id, Some(1)),
            Restart::SameIdLaterStart => (self.present.id.clone(), Some(start)),
        };
        self.generations += 1;
        self.present = Present {
            id,
            born,
            sequence: 0,
            is_draining: false,
        };
    }

    fn ask(&mut self) {
        if self.answer.is_some() {
            return;
        }
        let asked = self.target.unconfirmed(self.now);
        self.answer = asked.map(|asked| Answer {
            asked_at: self.now,
            asked: asked.upstream.to_string(),
            actual: self.present.id.clone(),
            is_healthy: !self.present.is_draining,
        });
    }

    fn receive_answer(&mut self) {
        let answer = self.answer.take();
        let Some(answer) = answer.filter(|it| self.now <= it.asked_at + ANSWER_TIMEOUT) else {
            return;
        };
        self.target.record_answer(&answer.asked, &answer.actual);
        if answer.is_healthy && target_id_of(&answer.asked) == answer.actual {
            self.target.confirm(&answer.asked);
        }
    }

    fn apply(&mut self, event: Event) {
        match event {
            Event::Beat => self.beat(),
            Event::HoldBeat => {
                let heartbeat = self.next_heartbeat();
                self.held_up.push(heartbeat);
            }
            Event::LateBeat(at) => {
                if !self.held_up.is_empty() {
                    let late = self.held_up.remove(at % self.held_up.len());
                    self.receive(late);
                }
            }
            Event::Drain => {
                self.present.is_draining = true;
                self.beat();
            }
            Event::Leave { states_start } => self.leave(states_start),
            Event::Restart(restart) => self.restart(restart),
            Event::Ask => self.ask(),
            Event::Answer => self.receive_answer(),
            Event::DaemonRestart => {
                self.target = LocalTarget::new(INTERVAL);
                self.answer = None;
                self.acked_by_process.clear();
            }
            Event::Wait(ms) => self.now += Duration::from_millis(ms),
        }
    }

    fn accepting(&self) -> Option<String> {
        let heartbeat = self.target.accepting_heartbeat(self.now);
        heartbeat.map(|it| it.upstream.to_string())
    }

    /// The present generation goes on reporting itself, and answers what it is asked.
    fn become_calm(&mut self) {
        self.receive_answer();
        for _ in 0..RENEWALS {
            self.now += INTERVAL;
            self.beat();
            for _ in 0..2 {
                self.ask();
                self.receive_answer();
            }
        }
    }
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(20_000))]

    /// Guards against a single late message that decides for good which generation is current,
    /// and against an acknowledged departure that is forgotten.
    #[test]
    fn the_present_generation_is_believed_once_it_goes_on_reporting(
        events in vec(event(), 0..60),
    ) {
        let mut world = World::new();
        for event in events {
            world.apply(event);
            prop_assert!(!world.calls_departed());
        }
        world.become_calm();
        let present = world.present.generation();
        let is_open = !world.acked.contains(&present);
        prop_assert_eq!(world.accepting(), is_open.then_some(present));
    }
}
