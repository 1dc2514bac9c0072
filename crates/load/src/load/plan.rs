//! Which calls are sent, from a seed.

use rand::{RngExt, SeedableRng};
use rand_xoshiro::Xoshiro256PlusPlus;
use smol_str::{SmolStr, ToSmolStr, format_smolstr};
use uuid::Uuid;

use crate::load::options::LoadOptions;

/// Position of a call in the schedule.
pub(crate) type CallNumber = u64;

/// Counts the attempts of one call from 1.
pub(crate) type AttemptNumber = u16;

/// What a call does to the target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Verb {
    /// Idempotent.
    Get,
    /// Must run at most once.
    Post,
}

/// One intent of a caller.
#[derive(Clone, Debug)]
pub(crate) struct Call {
    pub(crate) number: CallNumber,
    pub(crate) verb: Verb,
    pub(crate) path: SmolStr,
    pub(crate) tenant: SmolStr,
    pub(crate) class: SmolStr,
    pub(crate) key: Option<SmolStr>,
    run_id: SmolStr,
}

impl Call {
    /// Marks one attempt: unique over all runs of the program, since ledgers
    /// may hold earlier ones.
    pub(crate) fn marker(&self, attempt: AttemptNumber) -> SmolStr {
        format_smolstr!("{}-{}.{attempt}", self.run_id, self.number)
    }
}

/// Gives out the calls in their order.
#[derive(Debug)]
pub(crate) struct Plan {
    options: LoadOptions,
    rng: Xoshiro256PlusPlus,
    run_id: SmolStr,
    next: CallNumber,
}

impl Plan {
    pub(crate) fn new(options: LoadOptions) -> Self {
        Self {
            rng: Xoshiro256PlusPlus::seed_from_u64(options.seed),
            run_id: Uuid::now_v7().simple().to_smolstr(),
            next: 0,
            options,
        }
    }

    pub(crate) fn next(&mut self) -> Call {
        let number = self.next;
        self.next += 1;
        let options = &self.options;
        let rng = &mut self.rng;
        let post = rng.random_range(0..100) < options.post_percent;
        let (verb, paths) = if post {
            (Verb::Post, &options.post_paths)
        } else {
            (Verb::Get, &options.get_paths)
        };
        Call {
            number,
            verb,
            path: paths.pick(rng),
            tenant: options.tenants.pick(rng),
            class: options.classes.pick(rng),
            key: post.then(|| Uuid::now_v7().to_smolstr()),
            run_id: self.run_id.clone(),
        }
    }
}
