//! Simulation of whole roll-outs of a service in virtual time, with many seeds for each kind of
//! version.
//!
//! The service has 69 targets of 6 slots, four fifths of them in use, and two routes, one of which
//! has a tenth of the calls. Every target differs in speed. The roll-out lasts 15 s and is
//! evaluated twice a second from the evidence of five targets of the new side and six of the old
//! one.

use std::time::Duration;

use rand::{RngExt, SeedableRng};
use rand_xoshiro::Xoshiro256PlusPlus;
use smol_str::SmolStr;
use stoatstep_rollout::{
    Canaries, Order, Plan, Progress, RegressionKind, RouteMix, Step, Tally, Verdict, judge,
};

const OLD: usize = 69;
const CALLS_PER_S: f64 = 1_500.0;
const LASTS: Duration = Duration::from_secs(15);
const BEGUN: Duration = Duration::from_secs(1_000);
const SEEDS: u64 = 1_000;

/// Number of canaries, and of targets of the old side whose evidence is used.
const CANARIES: usize = 5;
const ASKED: usize = 6;

/// Part of the calls that goes to the rare route.
const RARE: f64 = 0.1;

/// What is wrong with the version, or with single targets.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Kind {
    Good,
    /// One of the canaries fails two calls in five.
    OneGrey,
    /// A sixth of all targets, of either side, are five times as slow.
    SomeSlow,
    /// A tenth of the calls of either side fails, because a dependency is short of capacity.
    ShortService,
    Fails,
    Slow,
    OneRoute,
    Late,
    UnderLoad,
}

struct Target {
    tally: Tally,
    speed: f64,
    is_new: bool,
    fails_often: bool,
    is_slow: bool,
}

struct Run {
    kind: Kind,
    rng: Xoshiro256PlusPlus,
    at: Duration,
    step: Step,
}

impl Run {
    /// Runs the calls that the target gets in one evaluation interval.
    fn serve(&mut self, target: &mut Target, per_s: f64, span: Duration) {
        let mean = per_s * span.as_secs_f64();
        let whole = mean.floor();
        let more = self.rng.random_bool(mean - whole);
        let mut left = whole + f64::from(u8::from(more));
        while left >= 1.0 {
            left -= 1.0;
            self.call(target);
        }
    }

    fn call(&mut self, target: &mut Target) {
        let part = if target.is_new {
            self.part_of_rare()
        } else {
            RARE
        };
        let rare = self.rng.random_bool(part);
        let is_bad = target.is_new && self.is_bad(rare) && self.rng.random_bool(0.5);
        let mut ms = 200.0 * target.speed * self.rng.random_range(0.4..1.8);
        if target.is_slow {
            ms *= 5.0;
        }
        let mut fails = self.rng.random_bool(0.01);
        fails |= target.fails_often && self.rng.random_bool(0.4);
        fails |= self.kind == Kind::ShortService && self.rng.random_bool(0.1);
        if is_bad && self.kind == Kind::Slow {
            ms *= 8.0;
        } else {
            fails |= is_bad;
        }
        let route: SmolStr = if rare { "rare" } else { "usual" }.into();
        let took = Duration::from_secs_f64(ms / 1_000.0);
        target.tally.record(&route, fails, took, self.at);
    }

    /// Returns the part of the rare route among the calls that are tried.
    fn part_of_rare(&self) -> f64 {
        let mut mix = RouteMix::default();
        for call in 0..100 {
            let route = if call < 10 { "rare" } else { "usual" };
            mix.record_call(&route.into());
        }
        if self.step == Step::Trial {
            RARE * mix.weight("rare")
        } else {
            RARE
        }
    }

    /// Returns whether calls of the new version may fail or be slow now.
    fn is_bad(&self, rare: bool) -> bool {
        match self.kind {
            Kind::Good | Kind::OneGrey | Kind::SomeSlow | Kind::ShortService => false,
            Kind::Fails | Kind::Slow => true,
            Kind::OneRoute => rare,
            Kind::Late => self.at > Duration::from_secs(5),
            Kind::UnderLoad => self.step == Step::Load || self.step == Step::All,
        }
    }
}

/// The outcome of one roll-out: how the version was found bad, if it was, and the part of the
/// service's calls that the new side got by then.
struct Outcome {
    regression_kind: Option<RegressionKind>,
    exposed: f64,
}

fn roll_out(kind: Kind, seed: u64) -> Outcome {
    let mut rng = Xoshiro256PlusPlus::seed_from_u64(seed);
    let mut targets: Vec<Target> = (0..CANARIES + ASKED)
        .map(|n| Target {
            tally: Tally::default(),
            speed: [0.6, 1.0, 1.4][rng.random_range(0..3)],
            is_new: n < CANARIES,
            fails_often: kind == Kind::OneGrey && n == 0,
            is_slow: kind == Kind::SomeSlow && rng.random_bool(1.0 / 6.0),
        })
        .collect();
    let names = (0..OLD).map(|it| format!("n{it}").into());
    let load = Canaries::choose(seed, names, OLD).load();
    let order = Order {
        id: seed,
        service: "floatdesk".into(),
        target: "v2".into(),
        lasts: LASTS,
    };
    let progress = Progress::ordered(order, Duration::ZERO, BEGUN);
    let plan = Plan::new(LASTS, 0.1, load);
    let span = Duration::from_millis(500);
    let mut run = Run {
        kind,
        rng,
        at: Duration::ZERO,
        step: Step::Trial,
    };
    let mut exposed = 0.0;
    while run.at < LASTS {
        run.step = plan.due(&progress, BEGUN + run.at);
        let share = match run.step {
            Step::Trial => 0.015,
            Step::Load => load,
            _ => 1.0,
        };
        exposed += share * span.as_secs_f64() / LASTS.as_secs_f64();
        for target in &mut targets {
            let per_s = match (target.is_new, run.step) {
                (true, Step::All) | (false, Step::Trial | Step::Load) => {
                    CALLS_PER_S / f64::from(u32::try_from(OLD).expect("few"))
                }
                (true, _) => CALLS_PER_S * share / 5.0,
                (false, _) => 0.0,
            };
            run.serve(target, per_s, span);
        }
        run.at += span;
        let (new, old): (Vec<_>, Vec<_>) = targets.iter().partition(|it| it.is_new);
        let evidence = |side: Vec<&Target>| -> Vec<_> {
            side.iter().map(|it| it.tally.evidence(0, run.at)).collect()
        };
        if let Verdict::Bad(regression) = judge(&evidence(new), &evidence(old)) {
            return Outcome {
                regression_kind: Some(regression.kind),
                exposed,
            };
        }
    }
    Outcome {
        regression_kind: None,
        exposed,
    }
}

/// Returns the number of roll-outs of this kind that were found bad, and the largest exposure of
/// those.
fn count_rejected(kind: Kind) -> (u64, f64) {
    let mut bad = 0;
    let mut worst: f64 = 0.0;
    for seed in 0..SEEDS {
        let outcome = roll_out(kind, seed);
        if outcome.regression_kind.is_some() {
            bad += 1;
            worst = worst.max(outcome.exposed);
        }
    }
    println!("{kind:?}: {bad} of {SEEDS} found bad, exposure at most {worst:.4}");
    (bad, worst)
}

/// Fewer than one in 1,000 versions that are as good as the old one may be rolled back: none of
/// these, even if single targets, or a dependency of both sides, fail.
#[test]
fn good_versions_are_not_rejected() {
    for kind in [
        Kind::Good,
        Kind::OneGrey,
        Kind::ShortService,
        Kind::SomeSlow,
    ] {
        let (bad, _) = count_rejected(kind);
        assert_eq!(bad, 0, "{kind:?}");
    }
}

/// Each version fails or is slow in one of the ways in which versions are bad. Every one must be
/// found before it had its part of the calls.
#[test]
fn bad_versions_are_found_within_the_exposure() {
    for kind in [
        Kind::Fails,
        Kind::Slow,
        Kind::OneRoute,
        Kind::Late,
        Kind::UnderLoad,
    ] {
        let (bad, worst) = count_rejected(kind);
        assert_eq!(bad, SEEDS, "{kind:?}");
        assert!(worst < 0.1, "{kind:?}: {worst}");
    }
}
