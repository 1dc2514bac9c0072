//! Faults at random: whatever happens, no rule is broken, and when it is over
//! the fleet comes back to one version.

use std::fmt::Write;

use rand::seq::IndexedRandom;
use rand::{RngExt, SeedableRng};
use rand_xoshiro::Xoshiro256PlusPlus;
use stoatstep_scenario::{parse, run};

const SCRIPTS: u64 = 60;
const ZONES: usize = 3;
const PER_ZONE: usize = 3;
const INSTANCES: usize = ZONES * PER_ZONE;

/// First and last moment of a fault, in milliseconds.
const FROM_MS: u64 = 12_000;
const TO_MS: u64 = 40_000;

/// Largest error of a clock. Clocks of callers and executors may differ by 2 s.
const MAX_CLOCK_ERROR_MS: u64 = 1900;

/// What may happen in one script. Restarts and faults of the platform stay
/// apart: who restarts while the platform is out and everyone who knew of a
/// version is gone may go back, which `docs/design/spreading.md` states.
#[derive(Clone, Copy, Debug)]
enum Profile {
    Restarts,
    Platform,
}

struct Author {
    rng: Xoshiro256PlusPlus,
}

impl Author {
    fn instance(&mut self) -> String {
        format!("i{}", self.rng.random_range(1..=INSTANCES))
    }

    fn zone(&mut self) -> usize {
        self.rng.random_range(1..=ZONES)
    }

    fn span(&mut self) -> String {
        format!("{}ms", self.rng.random_range(100..6000))
    }

    fn change(&mut self) -> String {
        let by = self.instance();
        let one = self.rng.random_range(1..=INSTANCES);
        match self.rng.random_range(0..6) {
            0 => format!("accept service refundhall by {by}"),
            1 => format!("accept route limits service=refundhall by {by}"),
            2 => format!("delete service refundhall by {by}"),
            3 => format!("delete upstream floatdesk-{one} by {by}"),
            4 => format!("race {by} {} on route floats", self.instance()),
            _ => format!("accept upstream floatdesk-{one} slots=9 by {by}"),
        }
    }

    fn call(&mut self) -> String {
        let kind = ["read", "write", "claim", "plain"];
        let kind = kind.choose(&mut self.rng).copied().unwrap_or_default();
        let name = self.rng.random_range(1..=6);
        let from = self.instance();
        format!("call {kind} {kind}-{name} from {from}")
    }

    fn fault(&mut self, profile: Profile) -> String {
        let (a, b) = (self.instance(), self.instance());
        let (zone, span) = (self.zone(), self.span());
        let other = zone % ZONES + 1;
        let common = self.rng.random_range(0..10);
        match (common, profile) {
            (0, _) => format!("cut z{zone} from z{other} for {span}"),
            (1, _) => format!("freeze {a} for {span}"),
            (2, _) => format!("late {a} to {b} by {} for {span}", self.span()),
            (3, _) => format!("silent {a} to {b} for {span}"),
            (4, _) => {
                let how = ["lose", "damage"].choose(&mut self.rng).copied();
                format!("{} pushes for {span}", how.unwrap_or_default())
            }
            (5, Profile::Restarts) => format!("restart zone z{zone}"),
            (6, Profile::Restarts) => format!("drain {a}"),
            (7, Profile::Restarts) => format!("kill {a}"),
            (8, Profile::Restarts) => {
                let how = ["ahead", "back"].choose(&mut self.rng).copied();
                let by = self.rng.random_range(0..=MAX_CLOCK_ERROR_MS);
                format!("clock {a} {} {by}ms", how.unwrap_or_default())
            }
            (_, Profile::Restarts) => format!("restart {a}"),
            (5, Profile::Platform) => format!("platform down for {span}"),
            (6, Profile::Platform) => format!("platform slow 1500ms for {span}"),
            (7, Profile::Platform) => format!("platform pause for {span}"),
            (8, Profile::Platform) => format!("platform lose-answers for {span}"),
            (_, Profile::Platform) => format!("cut z{zone} from platform for {span}"),
        }
    }

    fn script(&mut self, profile: Profile) -> String {
        let mut text = format!("fleet zones={ZONES} per-zone={PER_ZONE} seeds=2 target=60ms\n");
        for _ in 0..self.rng.random_range(10..60) {
            let at = self.rng.random_range(FROM_MS..TO_MS);
            let deed = match self.rng.random_range(0..10) {
                0..2 => self.change(),
                2..7 => self.call(),
                _ => self.fault(profile),
            };
            writeln!(text, "at {at}ms {deed}").expect("text takes all");
        }
        text.push_str("at 60s restart i1\nat 70s accept service last by i1\n");
        text.push_str("expect by 100s newest everywhere\n");
        text.push_str("expect by 100s serving everywhere\n");
        text
    }
}

/// Callers and operators go on while zones lose each other, instances die,
/// freeze, drain and are replaced, connections go silent or late, or the
/// platform fails in its four ways. A broken rule is printed with the script
/// and the seed by which it comes back.
#[test]
fn no_rule_is_broken_by_faults_at_random() {
    for seed in 0..SCRIPTS {
        for profile in [Profile::Restarts, Profile::Platform] {
            let rng = Xoshiro256PlusPlus::seed_from_u64(seed);
            let text = Author { rng }.script(profile);
            let script = parse(&text).expect("the author knows the language");
            if let Err(lines) = run(&script) {
                panic!(
                    "script {seed} of {profile:?}:\n{}\n{text}",
                    lines.join("\n")
                );
            }
        }
    }
}
