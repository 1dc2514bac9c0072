//! Sends the calls when they are due and waits for all of them to end.

use std::cell::{Cell, RefCell};
use std::future::poll_fn;
use std::rc::Rc;
use std::task::Poll;
use std::time::{Duration, Instant};

use futures_timer::Delay;
use rand::SeedableRng;
use rand_xoshiro::Xoshiro256PlusPlus;

use crate::load::attempt::Sender;
use crate::load::caller::Caller;
use crate::load::options::LoadOptions;
use crate::load::plan::Plan;
use crate::load::report::Report;

/// A load that has fallen behind lets answers in after so many calls.
const BURST: u32 = 32;

/// How often the end looks for calls still under way.
const END_POLL: Duration = Duration::from_millis(5);

/// Runs the load on the current ntex runtime.
///
/// # Panics
///
/// Never: no task outlives the load.
pub async fn run(options: LoadOptions) -> Report {
    let sender = Sender::new(options.deadline, options.bytes).await;
    let caller = Caller::new(sender, options.targets.clone(), options.patience);
    let caller = Rc::new(caller);
    let report = Rc::new(RefCell::new(Report::default()));
    let under_way = Rc::new(Cell::new(0_u64));
    let (rate, duration, seed) = (options.rate, options.duration, options.seed);
    let mut plan = Plan::new(options);
    let mut lag = Duration::ZERO;
    let mut burst = 0;
    let start = Instant::now();
    for index in 0.. {
        let offset = Duration::from_secs_f64(f64::from(index) / rate);
        if offset >= duration {
            break;
        }
        let due = start + offset;
        if let Some(wait) = due.checked_duration_since(Instant::now()) {
            Delay::new(wait).await;
            burst = 0;
        }
        burst += 1;
        if burst % BURST == 0 {
            yield_now().await;
        }
        lag = lag.max(due.elapsed());
        let call = plan.next();
        let rng = Xoshiro256PlusPlus::seed_from_u64(seed ^ call.number.wrapping_mul(0x9e37_79b9));
        let (caller, report, under_way) = (caller.clone(), report.clone(), under_way.clone());
        under_way.set(under_way.get() + 1);
        ntex::rt::spawn(async move {
            let record = caller.call(call, due, rng).await;
            report.borrow_mut().add(record, start.elapsed());
            under_way.set(under_way.get() - 1);
        });
    }
    while under_way.get() > 0 {
        Delay::new(END_POLL).await;
    }
    let mut report = report.take();
    report.schedule_lag = lag;
    report
}

async fn yield_now() {
    let mut yielded = false;
    poll_fn(|cx| {
        if yielded {
            return Poll::Ready(());
        }
        yielded = true;
        cx.waker().wake_by_ref();
        Poll::Pending
    })
    .await;
}
