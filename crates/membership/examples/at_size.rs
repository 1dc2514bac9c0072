//! Simulates a fleet of the design size under virtual time, and prints the figures
//! that `docs/design/membership.md` quotes as one JSON line each.
//!
//! ```text
//! cargo run --release -p stoatstep-membership --example at_size
//! ```

#[allow(dead_code)]
#[path = "../tests/all/fleet.rs"]
mod fleet;

use std::time::{Duration, Instant};

use stoatstep_membership::{Input, MemberState, Row};

use fleet::{Fleet, TICK, key, member};

const ZONES: usize = 8;
const PER_ZONE: usize = 76;
const NODES: usize = ZONES * PER_ZONE;

/// Time limit of each wait.
const LIMIT: Duration = Duration::from_mins(1);

fn main() {
    let mut fleet = start();
    let joined = run_until(&mut fleet, Fleet::tables_agree);
    print("membership_start_agreed_s", joined.as_secs_f64(), "s");
    fleet.run(Duration::from_mins(1));
    measure_idle(&mut fleet);
    measure_departure(&mut fleet);
    measure_death(&mut fleet);
    measure_zone_restart(&mut fleet);
}

/// Starts a fleet in which each daemon knows what a narrow read of the roster shows: a
/// neighbour in its zone and single members of other zones.
fn start() -> Fleet {
    let mut fleet = Fleet::default();
    for zone in 0..ZONES {
        start_zone(&mut fleet, zone, 1000);
    }
    fleet
}

fn start_zone(fleet: &mut Fleet, zone: usize, birth: u64) {
    for n in 0..PER_ZONE {
        let neighbours = [
            member(zone, (n + 1) % PER_ZONE, 1000),
            member((zone + 1) % ZONES, 0, 1000),
            member(0, 0, 1000),
        ];
        let rows: Vec<Row> = neighbours.iter().map(Row::from).collect();
        fleet.start(member(zone, n, birth), &rows);
    }
}

/// Measures the idle traffic in bytes of bodies, without HTTP heads, and the share of a
/// core that the state machine of one member takes.
fn measure_idle(fleet: &mut Fleet) {
    const SECONDS: u32 = 20;
    fleet.bytes = 0;
    let began = Instant::now();
    fleet.run(Duration::from_secs(SECONDS.into()));
    let share = began.elapsed().as_secs_f64() / f64::from(SECONDS) / count(NODES);
    let bytes = count(fleet.bytes) / f64::from(SECONDS) / count(NODES);
    print("membership_rest_body_bytes_per_s", bytes, "B/s");
    print("membership_rest_core_share", share * 100.0, "%");
}

fn measure_departure(fleet: &mut Fleet) {
    let leaving = key(2, 3);
    fleet.input(leaving, Input::Leave);
    let known = run_until(fleet, |it| it.all_see(leaving, MemberState::Leaving));
    print("membership_departure_known_s", known.as_secs_f64(), "s");
}

fn measure_death(fleet: &mut Fleet) {
    let dead = key(5, 5);
    fleet.nodes.remove(&dead);
    let known = run_until(fleet, |it| it.all_see(dead, MemberState::Dead));
    print("membership_death_known_s", known.as_secs_f64(), "s");
}

fn measure_zone_restart(fleet: &mut Fleet) {
    let zone = 3;
    for n in 0..PER_ZONE {
        fleet.nodes.remove(&key(zone, n));
    }
    fleet.run(Duration::from_secs(10));
    fleet.bytes = 0;
    start_zone(fleet, zone, 900_000);
    let agreed = run_until(fleet, Fleet::tables_agree);
    let bytes = count(fleet.bytes) / count(NODES);
    print(
        "membership_zone_restart_agreed_s",
        agreed.as_secs_f64(),
        "s",
    );
    print("membership_zone_restart_body_bytes", bytes, "B");
}

fn run_until(fleet: &mut Fleet, done: impl Fn(&Fleet) -> bool) -> Duration {
    let began = fleet.now;
    while !done(fleet) && fleet.now < began + LIMIT {
        fleet.run(TICK);
    }
    fleet.now.saturating_sub(began)
}

fn count(n: usize) -> f64 {
    u32::try_from(n).map_or(f64::INFINITY, f64::from)
}

fn print(name: &str, value: f64, unit: &str) {
    println!(r#"{{"name":"{name}","value":{value:.4},"unit":"{unit}","count":{NODES}}}"#);
}
