//! Twice as many calls as the targets can run: what still gets answered, how
//! soon the rest is refused, who is starved, and what happens afterwards.

use std::time::Duration;

use futures_timer::Delay;
use ntex::rt::spawn;
use smol_str::SmolStr;

use crate::fleet::{Fleet, FleetError, Line, ServiceShape, Shape, TargetShape, Unit};
use crate::load::{BUCKET, Bucket, LoadOptions, Report, run as run_load};
use crate::measure::program::Scale;
use crate::measure::{as_f64, explain};

const SERVICE_TIME: Duration = Duration::from_millis(50);
const UPSTREAMS: usize = 8;
const SLOTS: u32 = 13;

/// Time at the start that doesn't count: queues fill, estimates settle.
const WARM_UP: Duration = Duration::from_secs(2);

/// Deadline of each call; a later answer is worth nothing.
const DEADLINE: Duration = Duration::from_secs(1);

/// Tenants with their share of the calls. The first one asks for far more than
/// its fair share, the others for less.
const TENANTS: [(&str, f64); 3] = [("hog", 0.8), ("mid", 0.1), ("small", 0.1)];

/// Goodput is back when so much of the offered load is answered...
const RECOVERED_SHARE: f64 = 0.9;

/// ...in this many buckets in a row.
const RECOVERED_BUCKETS: usize = 10;

/// Load before and after the burst, and the burst on top, by capacity.
const CALM: f64 = 0.5;
const BURST: f64 = 1.5;

/// The burst begins after this.
const BURST_START: Duration = Duration::from_secs(3);

fn shape() -> Shape {
    Shape::default()
        .services(vec![ServiceShape {
            name: "floatdesk".into(),
            upstreams: UPSTREAMS,
            slots: SLOTS,
        }])
        .target(TargetShape {
            service_time: SERVICE_TIME,
            service_spread: Duration::from_millis(20),
        })
}

/// Calls a second that all slots together can run.
#[allow(clippy::cast_precision_loss, reason = "a small constant")]
fn capacity() -> f64 {
    UPSTREAMS as f64 * f64::from(SLOTS) / SERVICE_TIME.as_secs_f64()
}

pub(crate) async fn run(scale: Scale) -> Result<(), FleetError> {
    let fleet = Fleet::start(shape()).await?;
    measure(&fleet, scale, None).await?;
    fleet.finish();
    let fleet = Fleet::start_plain(shape(), 4).await?;
    measure(&fleet, scale, Some("plain")).await?;
    fleet.finish();
    Ok(())
}

async fn measure(fleet: &Fleet, scale: Scale, suffix: Option<&str>) -> Result<(), FleetError> {
    let length = Duration::from_secs(scale.pick(6, 20));
    let burst = Duration::from_secs(scale.pick(4, 10));
    let mut lines = steady(fleet, length).await;
    Delay::new(DEADLINE).await;
    lines.push(recovery(fleet, burst).await?);
    for line in lines {
        line.suffixed(suffix).print()?;
    }
    Ok(())
}

fn load(fleet: &Fleet, rate: f64, length: Duration) -> LoadOptions {
    LoadOptions::new(fleet.callers())
        .rate(rate)
        .duration(length)
        .get_paths("/floatdesk".parse().expect("a valid mix"))
        .deadline(DEADLINE)
}

/// Twice the capacity from callers that ask once.
async fn steady(fleet: &Fleet, length: Duration) -> Vec<Line> {
    let tenants = "hog:8,mid:1,small:1".parse().expect("a valid mix");
    let rate = 2.0 * capacity();
    let options = load(fleet, rate, length).tenants(tenants);
    let report = run_load(options.patience(Duration::ZERO)).await;
    explain("overload", &report);
    let calls = report.total.tally.calls;
    let goodput = rate_between(&report.timeline, WARM_UP, length);
    vec![
        Line::new(
            "overload_goodput_ratio",
            goodput / capacity(),
            Unit::Ratio,
            calls,
        ),
        Line::new(
            "overload_refusal_p50_ms",
            report.refusals.percentile_ms(50.0),
            Unit::Millis,
            report.refusals.count(),
        ),
        Line::new(
            "overload_refusal_p99_ms",
            report.refusals.percentile_ms(99.0),
            Unit::Millis,
            report.refusals.count(),
        ),
        Line::new(
            "overload_tenant_min_share",
            least_share(&report, length),
            Unit::Ratio,
            calls,
        ),
        Line::new(
            "overload_answer_p99_ms",
            report.total.latency.percentile_ms(99.0),
            Unit::Millis,
            report.total.latency.count(),
        ),
    ]
}

/// Of all tenants the least that one got of what is its due: what it asked
/// for, or its fair share of the capacity where that is less.
fn least_share(report: &Report, length: Duration) -> f64 {
    let fair = capacity() / as_f64(TENANTS.len() as u64);
    let shares = TENANTS.map(|(tenant, demand)| {
        let due = (demand * 2.0 * capacity()).min(fair);
        answered(report, tenant) / length.as_secs_f64() / due
    });
    shares.into_iter().fold(f64::INFINITY, f64::min)
}

fn answered(report: &Report, tenant: &str) -> f64 {
    let place = (SmolStr::new(tenant), SmolStr::new("standard"));
    let series = report.series.get(&place);
    series.map_or(0.0, |series| as_f64(series.tally.answered))
}

/// A calm load of half the capacity with a burst to twice of it on top, from
/// callers that try again: after the burst, are the calm calls answered, or do
/// the retries keep the overload up?
async fn recovery(fleet: &Fleet, burst: Duration) -> Result<Line, FleetError> {
    const AFTER: Duration = Duration::from_secs(12);
    let calm_rate = CALM * capacity();
    let length = BURST_START + burst + AFTER;
    let patience = Duration::from_secs(4);
    let calm = load(fleet, calm_rate, length).patience(patience);
    let wave = load(fleet, BURST * capacity(), burst)
        .patience(patience)
        .seed(2);
    let calm = spawn(run_load(calm));
    Delay::new(BURST_START).await;
    let wave = run_load(wave).await;
    let ended_early = |_| FleetError::Io("the load ended early".to_owned());
    let calm = calm.await.map_err(ended_early)?;
    let burst_end = BURST_START + burst;
    let recovered = recovered(&calm.timeline, burst_end, calm_rate);
    let seconds = recovered.map_or(f64::NAN, |it| it.as_secs_f64());
    let count = calm.total.tally.calls + wave.total.tally.calls;
    Ok(Line::new(
        "overload_recovery_s",
        seconds,
        Unit::Seconds,
        count,
    ))
}

/// Time from the end of the burst until the goodput is back to stay.
fn recovered(timeline: &[Bucket], burst_end: Duration, rate: f64) -> Option<Duration> {
    let wanted = rate * BUCKET.as_secs_f64() * RECOVERED_SHARE;
    let first = bucket_index(burst_end);
    let after = timeline.get(first..)?;
    let windows = after.windows(RECOVERED_BUCKETS).enumerate();
    let mut good = windows.filter(|(_, window)| {
        let sum: u64 = window.iter().map(|bucket| bucket.answered).sum();
        as_f64(sum) >= wanted * as_f64(RECOVERED_BUCKETS as u64)
    });
    let (index, _) = good.next()?;
    Some(BUCKET * u32::try_from(index).ok()?)
}

/// Answers a second between two moments of the timeline.
fn rate_between(timeline: &[Bucket], from: Duration, to: Duration) -> f64 {
    let buckets = timeline.get(bucket_index(from)..bucket_index(to));
    let buckets = buckets.unwrap_or_default();
    let answered: u64 = buckets.iter().map(|bucket| bucket.answered).sum();
    as_f64(answered) / to.saturating_sub(from).as_secs_f64()
}

fn bucket_index(moment: Duration) -> usize {
    let index = moment.as_millis() / BUCKET.as_millis();
    usize::try_from(index).unwrap_or(usize::MAX)
}
