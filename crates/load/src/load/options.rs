//! What the load is made of.

use std::net::SocketAddr;
use std::time::Duration;

use crate::load::mix::Mix;

/// What the load is made of; built from the addresses with a setter for
/// whatever differs from the defaults.
#[derive(Clone, Debug)]
pub struct LoadOptions {
    pub(crate) targets: Vec<SocketAddr>,
    pub(crate) rate: f64,
    pub(crate) duration: Duration,
    pub(crate) get_paths: Mix,
    pub(crate) post_paths: Mix,
    pub(crate) post_percent: u32,
    pub(crate) tenants: Mix,
    pub(crate) classes: Mix,
    pub(crate) deadline: Duration,
    pub(crate) patience: Duration,
    pub(crate) bytes: usize,
    pub(crate) seed: u64,
}

impl LoadOptions {
    /// Load on these caller ports: 100 calls a second for 10 seconds.
    ///
    /// # Panics
    ///
    /// Never: the default names are valid.
    #[must_use]
    pub fn new(targets: Vec<SocketAddr>) -> Self {
        let one = |name: &str| name.parse().expect("a plain name is a mix of one");
        Self {
            targets,
            rate: 100.0,
            duration: Duration::from_secs(10),
            get_paths: one("/"),
            post_paths: one("/"),
            post_percent: 0,
            tenants: one("default"),
            classes: one("standard"),
            deadline: Duration::from_secs(1),
            patience: Duration::from_secs(5),
            bytes: 0,
            seed: 1,
        }
    }

    /// Sets the calls a second, over all addresses; 100 by default.
    #[must_use]
    pub fn rate(mut self, rate: f64) -> Self {
        self.rate = rate;
        self
    }

    /// Sets how long calls are sent; 10 seconds by default.
    #[must_use]
    pub fn duration(mut self, duration: Duration) -> Self {
        self.duration = duration;
        self
    }

    /// Sets the paths of GET calls; `/` by default.
    #[must_use]
    pub fn get_paths(mut self, paths: Mix) -> Self {
        self.get_paths = paths;
        self
    }

    /// Sets the paths of POST calls; `/` by default. Each such call has an
    /// idempotency key and must run at most once.
    #[must_use]
    pub fn post_paths(mut self, paths: Mix) -> Self {
        self.post_paths = paths;
        self
    }

    /// Sets the share of POST calls, in percent; 0 by default.
    #[must_use]
    pub fn post_percent(mut self, percent: u32) -> Self {
        self.post_percent = percent.min(100);
        self
    }

    /// Sets the tenants; `default` alone by default.
    #[must_use]
    pub fn tenants(mut self, tenants: Mix) -> Self {
        self.tenants = tenants;
        self
    }

    /// Sets the classes; `standard` alone by default.
    #[must_use]
    pub fn classes(mut self, classes: Mix) -> Self {
        self.classes = classes;
        self
    }

    /// Sets the deadline that each attempt carries; 1 second by default.
    #[must_use]
    pub fn deadline(mut self, deadline: Duration) -> Self {
        self.deadline = deadline;
        self
    }

    /// Sets how long a caller goes on trying after refusals and unknown
    /// outcomes; 5 seconds by default, zero for a single attempt.
    #[must_use]
    pub fn patience(mut self, patience: Duration) -> Self {
        self.patience = patience;
        self
    }

    /// Sets the padding that each answer is asked for; none by default.
    #[must_use]
    pub fn bytes(mut self, bytes: usize) -> Self {
        self.bytes = bytes;
        self
    }

    /// Sets the seed of all choices; 1 by default.
    #[must_use]
    pub fn seed(mut self, seed: u64) -> Self {
        self.seed = seed;
        self
    }
}
