//! What was sent, answered and run, in the order in which it happened.

use std::collections::HashMap;
use std::fs::File;
use std::io::Write;
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::time::Instant;

use crate::http::Headers;

pub struct Record {
    begun: Instant,
    file: Mutex<File>,
    runs: Mutex<HashMap<String, Vec<Headers>>>,
    run_times: Mutex<Vec<Instant>>,
    /// Times of the runs of each version of the upstreams' software.
    versions: Mutex<HashMap<String, Vec<Instant>>>,
}

impl Record {
    pub fn create(path: &Path) -> Arc<Self> {
        let file = File::create(path).expect("the case's folder is writable");
        Arc::new(Self {
            begun: Instant::now(),
            file: Mutex::new(file),
            runs: Mutex::default(),
            run_times: Mutex::default(),
            versions: Mutex::default(),
        })
    }

    pub fn line(&self, text: &str) {
        let at = self.begun.elapsed().as_secs_f64();
        let _ = writeln!(self.file.lock().unwrap(), "{at:8.3} {text}");
    }

    /// An upstream with this version of its software began to work on an attempt.
    pub fn ran(&self, attempt: &str, version: &str, headers: Headers) {
        let mut versions = self.versions.lock().unwrap();
        versions
            .entry(version.into())
            .or_default()
            .push(Instant::now());
        drop(versions);
        self.run_times.lock().unwrap().push(Instant::now());
        self.runs
            .lock()
            .unwrap()
            .entry(attempt.into())
            .or_default()
            .push(headers);
    }

    /// The most runs in any span of this length.
    pub fn most_runs(&self, span: std::time::Duration) -> usize {
        let times = self.run_times.lock().unwrap();
        let ends = times.iter().map(|begin| {
            times
                .iter()
                .filter(|it| **it >= *begin && it.duration_since(*begin) < span)
                .count()
        });
        ends.max().unwrap_or(0)
    }

    /// How many runs a version had between two times.
    pub fn runs_of(&self, version: &str, from: Instant, to: Instant) -> usize {
        let versions = self.versions.lock().unwrap();
        let times = versions.get(version).into_iter().flatten();
        times.filter(|it| (from..=to).contains(*it)).count()
    }

    /// The headers with which an attempt ran, once for each run.
    pub fn runs(&self, attempt: &str) -> Vec<Headers> {
        self.runs
            .lock()
            .unwrap()
            .get(attempt)
            .cloned()
            .unwrap_or_default()
    }
}
