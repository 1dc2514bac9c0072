//! Starts fleets of several sizes under virtual time, all daemons at once, and prints the
//! costs of the start as one JSON line per figure, which `docs/design/large.md` quotes.
//!
//! ```text
//! cargo run --release -p stoatstep-membership --example start_at_size
//! ```

#[allow(dead_code)]
#[path = "../tests/all/fleet.rs"]
mod fleet;

use std::time::{Duration, Instant};

use rand::{RngExt, SeedableRng};
use rand_xoshiro::Xoshiro256PlusPlus;
use stoatstep_membership::{Action, AnnouncedTarget, Input, Row};

use fleet::{Fleet, TICK, key, member};

const ZONES: usize = 6;
const SIZES: [usize; 5] = [30, 100, 300, 610, 1000];

/// Time within which all processes start.
const START_SPREAD: Duration = Duration::from_millis(300);

/// Interval of a target's heartbeats; the first one arrives within it.
const HEARTBEAT: Duration = Duration::from_millis(1500);

/// Time from the start to the first calls.
const LEAD_TIME: Duration = Duration::from_secs(10);

/// Time over which idle traffic is measured.
const IDLE_TIME: Duration = Duration::from_secs(20);

fn main() {
    for size in SIZES {
        start(size);
    }
}

/// An event of one daemon while the fleet starts.
enum Event {
    /// The process starts: it announces itself and reads the earlier announcements.
    Start,
    /// The target's first heartbeat arrives.
    Heartbeat,
}

fn start(size: usize) {
    let mut rng = Xoshiro256PlusPlus::seed_from_u64(1);
    let mut events = Vec::new();
    for n in 0..size {
        let begins = START_SPREAD.mul_f64(rng.random());
        events.push((begins, n, Event::Start));
        events.push((
            begins + HEARTBEAT.mul_f64(rng.random()),
            n,
            Event::Heartbeat,
        ));
    }
    events.sort_by_key(|(at, ..)| *at);
    let mut fleet = Fleet::default();
    let mut roster: Vec<Row> = Vec::new();
    let mut agreed = None;
    let mut events = events.into_iter().peekable();
    let began = Instant::now();
    while fleet.now < LEAD_TIME {
        while let Some((_, n, event)) = events.next_if(|(at, ..)| *at <= fleet.now + TICK) {
            let (zone, n) = (n % ZONES, n / ZONES);
            match event {
                Event::Start => {
                    let me = member(zone, n, 1000);
                    roster.push(Row::from(&me));
                    fleet.start(me, &roster);
                }
                Event::Heartbeat => announce(&mut fleet, zone, n),
            }
        }
        fleet.run(TICK);
        if agreed.is_none()
            && fleet.nodes.len() == size
            && events.peek().is_none()
            && fleet.tables_agree()
        {
            agreed = Some(fleet.now);
        }
    }
    let took = began.elapsed();
    let changes = fleet.actions.iter();
    let changes = changes.filter(|(_, it)| matches!(it, Action::Changed(_)));
    print(
        size,
        "start_agreed_s",
        agreed.map_or(-1.0, |it| it.as_secs_f64()),
    );
    print(
        size,
        "start_mb_between_zones",
        megabytes(fleet.cross_zone_bytes),
    );
    print(size, "start_mb", megabytes(fleet.bytes));
    print(
        size,
        "start_changes_a_member",
        count(changes.count()) / count(size),
    );
    print(
        size,
        "start_core_ms_a_member",
        took.as_secs_f64() * 1000.0 / count(size),
    );
    measure_idle(&mut fleet, size);
    measure_change(&mut fleet, size);
}

fn announce(fleet: &mut Fleet, zone: usize, n: usize) {
    let announced = AnnouncedTarget {
        upstream: format!("i-{zone:04x}{n:04x}").into(),
        service: "floatdesk".into(),
        slots: 16,
        draining: false,
        software: "v1".into(),
    };
    fleet.input(key(zone, n), Input::TargetAnnounced(Some(announced)));
}

fn measure_idle(fleet: &mut Fleet, size: usize) {
    fleet.run(Duration::from_secs(20));
    let (all, cross) = (fleet.bytes, fleet.cross_zone_bytes);
    fleet.run(IDLE_TIME);
    let seconds = IDLE_TIME.as_secs_f64() * count(size);
    print(
        size,
        "rest_bytes_per_s_a_member",
        count(fleet.bytes - all) / seconds,
    );
    let cross = count(fleet.cross_zone_bytes - cross) / seconds;
    print(size, "rest_bytes_between_zones_per_s_a_member", cross);
}

/// Measures the cost of one change: a target announces that it is draining.
fn measure_change(fleet: &mut Fleet, size: usize) {
    let cross = fleet.cross_zone_bytes;
    let began = fleet.now;
    let announced = AnnouncedTarget {
        upstream: "i-0000-last".into(),
        service: "floatdesk".into(),
        slots: 16,
        draining: true,
        software: "v1".into(),
    };
    fleet.input(key(1, 1), Input::TargetAnnounced(Some(announced)));
    while !fleet.tables_agree() && fleet.now < began + LEAD_TIME {
        fleet.run(TICK);
    }
    print(
        size,
        "change_agreed_s",
        fleet.now.saturating_sub(began).as_secs_f64(),
    );
    fleet.run(LEAD_TIME);
    print(
        size,
        "change_kb_between_zones",
        megabytes(fleet.cross_zone_bytes - cross) * 1000.0,
    );
}

fn megabytes(bytes: usize) -> f64 {
    count(bytes) / 1e6
}

fn count(n: usize) -> f64 {
    u32::try_from(n).map_or(f64::INFINITY, f64::from)
}

fn print(size: usize, name: &str, value: f64) {
    println!(r#"{{"members":{size},"name":"{name}","value":{value:.3}}}"#);
}
