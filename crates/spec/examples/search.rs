//! Searches every case with all safeguards, then searches a case without each safeguard, and prints
//! the results. `docs/design/model-checking.md` shows the output.

use std::time::Instant;

use stoatstep_spec::cases::{CASES, Case, SAFEGUARD_CASES};
use stoatstep_spec::{Safeguards, Summary};

fn main() {
    println!("all safeguards:");
    println!(
        "{:<34} {:>9} {:>5} {:>7}  result",
        "case", "states", "depth", "s"
    );
    for case in CASES {
        let started = Instant::now();
        let summary = case.search(Safeguards::all());
        print(*case, &summary, started);
    }
    println!("\nwithout one:");
    for (safeguard, case) in SAFEGUARD_CASES {
        let started = Instant::now();
        let summary = case.search(Safeguards::without(*safeguard));
        print!("{:<17} ", format!("{safeguard:?}"));
        print(*case, &summary, started);
    }
}

fn print(case: Case, summary: &Summary, started: Instant) {
    let seconds = started.elapsed().as_secs_f64();
    let extent = if summary.is_truncated {
        "within the bound"
    } else {
        "all states"
    };
    let result = match &summary.violation {
        Some((invariant, steps)) => format!("violated in {} steps: {invariant}", steps.len()),
        None => format!("holds, {extent}"),
    };
    let name = format!("{case:?}");
    let Summary { states, depth, .. } = summary;
    println!("{name:<34} {states:>9} {depth:>5} {seconds:>7.2}  {result}");
}
