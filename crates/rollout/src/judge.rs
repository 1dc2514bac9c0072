//! Decides whether a version is bad, from the answers of targets of both sides.
//!
//! The new side is compared with the old one on the same route and over the same time, so that a
//! burst of calls, a shared dependency that fails, or callers that disconnect affect both sides
//! alike. The test computes how likely the observed number of failures or slow runs would be if the
//! new version were no worse than the old one plus an allowance. A bad target is distinguished
//! from a bad version by the other canaries: without the worst canary, the others must still be
//! worse than the old side.

use std::collections::{BTreeMap, BTreeSet};

use smol_str::SmolStr;

use crate::tally::{Evidence, RunCounts};

/// Significance level: a probability below it is taken to rule out chance. A roll-out of 15 s is
/// evaluated some 50 times, on a few routes, for two kinds of regression over two spans. Since the
/// evaluations share most of their evidence, fewer than one good version in 1,000 is rejected by
/// chance.
const SIGNIFICANCE: f64 = 1e-5;

/// Significance level for the canaries without the worst one. Without this test, a canary that
/// fails for reasons of its own would reject a good version. A majority vote of the targets in its
/// place rejected 84 of 1,000 simulated good versions with one such target.
const SIGNIFICANCE_OF_OTHERS: f64 = 1e-4;

/// Minimum number of bad runs for a rejection. A handful can come from one broken connection.
const MIN_BAD_RUNS: u32 = 6;

/// Allowance by which the new side may be worse than the old one: a factor, and a part of all runs.
const ALLOWED_FACTOR: f64 = 1.5;
const ALLOWED_PART: f64 = 0.04;

/// Number of run-time classes above the old side's median class from which a run counts as slow,
/// which is 3.4 times as long. Targets of one version differ by less than that, even when nearly
/// full, and bad versions are several times slower.
const SLOW_CLASSES: usize = 3;

/// Minimum number of runs from which each canary has to be worse than the old side by itself. If a
/// sixth of all targets are slow, two of three canaries may be, and a good version would be
/// rejected.
const MIN_CANARY_RUNS: u32 = 4;

/// Minimum number of runs of the new side for a verdict, if the service is called regularly.
const MIN_RUNS: u32 = 8;

/// Number of runs of the old side below which the service counts as rarely called: the canaries'
/// part of so few calls would not give enough runs for a verdict.
const RARELY_CALLED: u32 = 40;

/// How a version is worse than the old one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum RegressionKind {
    /// Too many of its answers are failures.
    Failures,
    /// Too many of its answers take several times as long.
    Slowness,
}

impl RegressionKind {
    /// Returns the name that is written to logs.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Failures => "failures",
            Self::Slowness => "slowness",
        }
    }
}

/// A regression of the new version that chance does not explain.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Regression {
    /// The kind of regression.
    pub kind: RegressionKind,
    /// The route that shows it; `None` if it shows over all routes together.
    pub route: Option<SmolStr>,
    /// Number of bad runs and of all runs of the new side.
    pub new: (u32, u32),
    /// Number of bad runs and of all runs of the old side.
    pub old: (u32, u32),
}

/// The result of comparing both sides.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// No regression was found.
    Good,
    /// The new side had too few runs for a verdict.
    Unclear,
    /// The version is worse than the old one.
    Bad(Regression),
}

/// Compares the evidence of each canary with the evidence of some targets of the old side.
#[must_use]
pub fn judge(new: &[Evidence], old: &[Evidence]) -> Verdict {
    if let Some(regression) = find_regression(new, old) {
        return Verdict::Bad(regression);
    }
    let runs = |side: &[Evidence]| -> u32 {
        let routes = side.iter().flat_map(|it| &it.routes);
        routes.map(|it| it.whole.runs).sum()
    };
    if runs(new) < MIN_RUNS && runs(old) >= RARELY_CALLED {
        return Verdict::Unclear;
    }
    Verdict::Good
}

/// The time over which evidence is compared.
#[derive(Clone, Copy, Debug)]
enum Span {
    Whole,
    Recent,
}

fn find_regression(new: &[Evidence], old: &[Evidence]) -> Option<Regression> {
    let whole = Sides::of(new, old, Span::Whole);
    let recent = Sides::of(new, old, Span::Recent);
    let kinds = [RegressionKind::Failures, RegressionKind::Slowness];
    whole.routes().into_iter().find_map(|route| {
        kinds.into_iter().find_map(|kind| {
            let whole = whole.counts(kind, route);
            if !whole.do_canaries_agree() {
                return None;
            }
            let recent = recent.counts(kind, route);
            let counts = [recent, whole].into_iter().find(Counts::is_bad)?;
            Some(Regression {
                kind,
                route: route.cloned(),
                new: total(&counts.each),
                old: counts.old,
            })
        })
    })
}

type Routes<'a> = BTreeMap<&'a SmolStr, RunCounts>;

/// Runs of both sides over one span of time.
struct Sides<'a> {
    /// One entry for each canary.
    new: Vec<Routes<'a>>,
    old: Routes<'a>,
}

impl<'a> Sides<'a> {
    fn of(new: &'a [Evidence], old: &'a [Evidence], span: Span) -> Self {
        let of_target = |it| by_route(std::slice::from_ref(it), span);
        Self {
            new: new.iter().map(of_target).collect(),
            old: by_route(old, span),
        }
    }

    /// Returns what is tested: each route, and all routes together (`None`), where a bad version
    /// shows sooner than on any single one.
    fn routes(&self) -> Vec<Option<&'a SmolStr>> {
        let named: BTreeSet<&SmolStr> = self.new.iter().flat_map(BTreeMap::keys).copied().collect();
        named.into_iter().map(Some).chain([None]).collect()
    }

    fn counts(&self, kind: RegressionKind, route: Option<&SmolStr>) -> Counts {
        let of = |target: &Routes<'_>| count(kind, route, target, &self.old);
        Counts {
            each: self.new.iter().map(of).collect(),
            old: of(&self.old),
        }
    }
}

fn by_route(evidence: &[Evidence], span: Span) -> Routes<'_> {
    let mut routes = Routes::new();
    for part in evidence.iter().flat_map(|it| &it.routes) {
        let run_counts = match span {
            Span::Whole => &part.whole,
            Span::Recent => &part.recent,
        };
        routes.entry(&part.route).or_default().add(run_counts);
    }
    routes
}

/// Number of bad runs and of all runs.
type Count = (u32, u32);

/// The counts that one test compares.
struct Counts {
    /// One entry for each canary.
    each: Vec<Count>,
    old: Count,
}

impl Counts {
    /// Returns whether chance is ruled out, with all canaries and without the worst one.
    fn is_bad(&self) -> bool {
        let all = total(&self.each);
        let allowed = allowed(self.old);
        if all.0 < MIN_BAD_RUNS || tail_probability(all, allowed) >= SIGNIFICANCE {
            return false;
        }
        let others = without_worst(&self.each);
        others.is_none_or(|it| tail_probability(it, allowed) < SIGNIFICANCE_OF_OTHERS)
    }

    /// Returns whether all canaries but one have a minimum number of runs and each of those is
    /// worse than the old side. The one without runs may be cut off from the network.
    fn do_canaries_agree(&self) -> bool {
        let allowed = allowed(self.old);
        let counted = self.each.iter().filter(|it| it.1 >= MIN_CANARY_RUNS);
        let (compared, worse) = counted.fold((0, 0), |(compared, worse), it| {
            (compared + 1, worse + usize::from(ratio(*it) > allowed))
        });
        let required = self.each.len().saturating_sub(1).max(1);
        compared >= required && worse == compared
    }
}

fn total(counts: &[Count]) -> Count {
    counts
        .iter()
        .fold((0, 0), |sum, it| (sum.0 + it.0, sum.1 + it.1))
}

/// Sums the counts without the target that has the most bad runs; `None` for a single target.
fn without_worst(each: &[Count]) -> Option<Count> {
    if each.len() < 2 {
        return None;
    }
    let worst = each.iter().max()?;
    let all = total(each);
    Some((all.0 - worst.0, all.1 - worst.1))
}

fn count(
    kind: RegressionKind,
    route: Option<&SmolStr>,
    target: &Routes<'_>,
    old: &Routes<'_>,
) -> Count {
    let is_included = |name: &&SmolStr| route.is_none_or(|it| it == *name);
    let mut bad = 0;
    let mut runs = 0;
    for (name, run_counts) in target.iter().filter(|(name, _)| is_included(name)) {
        match kind {
            RegressionKind::Failures => bad += run_counts.failures,
            RegressionKind::Slowness => {
                // Without runs of the old side there is no reference for what is slow.
                let Some(median) = old.get(*name).and_then(RunCounts::median_class) else {
                    continue;
                };
                bad += run_counts.slower_than(median + SLOW_CLASSES);
            }
        }
        runs += run_counts.runs;
    }
    (bad, runs)
}

/// The part of bad runs that the new side may have, from Laplace's estimate of the old side's: one
/// bad run and one good run are added, so that a side without bad runs is not taken to be perfect.
fn allowed((bad, runs): Count) -> f64 {
    let known = (f64::from(bad) + 1.0) / (f64::from(runs) + 2.0);
    (known * ALLOWED_FACTOR + ALLOWED_PART).min(1.0)
}

fn ratio((bad, runs): Count) -> f64 {
    f64::from(bad) / f64::from(runs.max(1))
}

/// The probability that at least `bad` of `runs` runs are bad if each is with probability
/// `allowed`.
fn tail_probability((bad, runs): Count, allowed: f64) -> f64 {
    if allowed >= 1.0 {
        return 1.0;
    }
    // Sums the terms of the binomial distribution, each computed from the one before it. The terms
    // are kept as logarithms, since the first ones would underflow.
    let odds = (allowed / (1.0 - allowed)).ln();
    let mut term = f64::from(runs) * (1.0 - allowed).ln();
    let mut sum = 0.0;
    for count in 0..=runs {
        if count >= bad {
            sum += term.exp();
        }
        let (left, next) = (f64::from(runs - count), f64::from(count + 1));
        if left > 0.0 {
            term += (left / next).ln() + odds;
        }
    }
    sum
}
