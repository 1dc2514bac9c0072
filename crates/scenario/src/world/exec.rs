//! Runs tasks in virtual time on one thread.
//!
//! Time stands still while any task can go on, and jumps to the next timer when
//! none can. A run is therefore a function of its script and its seed alone.

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::future::Future;
use std::pin::{Pin, pin};
use std::rc::Rc;
use std::sync::{Arc, Mutex, PoisonError};
use std::task::{Context, Poll, Wake, Waker};

use stoatstep_membership::Time;

/// One life of an instance; every task belongs to one.
pub(crate) type Life = u64;

/// Owner of what no instance does: callers, operators, messages under way and
/// the platform.
pub(crate) const OUTSIDE: Life = 0;

type TaskId = u64;

#[derive(Default)]
struct Ready(Mutex<VecDeque<TaskId>>);

impl Ready {
    fn push(&self, id: TaskId) {
        let mut queue = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        queue.push_back(id);
    }

    fn pop(&self) -> Option<TaskId> {
        let mut queue = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        queue.pop_front()
    }
}

struct TaskWaker {
    id: TaskId,
    ready: Arc<Ready>,
}

impl Wake for TaskWaker {
    fn wake(self: Arc<Self>) {
        self.ready.push(self.id);
    }
}

struct Task {
    owner: Life,
    future: Pin<Box<dyn Future<Output = ()>>>,
}

#[derive(Default)]
struct Shared {
    now: Cell<Time>,
    next_id: Cell<TaskId>,
    tasks: RefCell<BTreeMap<TaskId, Task>>,
    timers: RefCell<BTreeMap<(Time, u64), Waker>>,
    frozen: RefCell<BTreeSet<Life>>,
    held: RefCell<Vec<TaskId>>,
    ended: RefCell<BTreeSet<Life>>,
    ready: Arc<Ready>,
}

/// Handle to the tasks and the clock; clones share both.
#[derive(Clone, Default)]
pub(crate) struct Executor(Rc<Shared>);

impl Executor {
    pub(crate) fn now(&self) -> Time {
        self.0.now.get()
    }

    pub(crate) fn spawn(&self, owner: Life, future: impl Future<Output = ()> + 'static) {
        if self.0.ended.borrow().contains(&owner) {
            return;
        }
        let id = self.next_id();
        let future = Box::pin(future);
        self.0.tasks.borrow_mut().insert(id, Task { owner, future });
        self.0.ready.push(id);
    }

    pub(crate) fn sleep(&self, time: Time) -> Sleep {
        Sleep {
            exec: self.clone(),
            due: self.now() + time,
            is_set: false,
        }
    }

    /// The result of `future`, or `None` where it takes longer than `bound`.
    pub(crate) async fn timeout<T>(
        &self,
        bound: Time,
        future: impl Future<Output = T>,
    ) -> Option<T> {
        first(future, self.sleep(bound)).await.ok()
    }

    /// Stops the tasks of a life between two steps, as SIGSTOP does. Their
    /// timers go on and fire late.
    pub(crate) fn freeze(&self, life: Life) {
        self.0.frozen.borrow_mut().insert(life);
    }

    pub(crate) fn thaw(&self, life: Life) {
        self.0.frozen.borrow_mut().remove(&life);
        for id in self.0.held.take() {
            self.0.ready.push(id);
        }
    }

    /// Ends every task of a life where it stands.
    pub(crate) fn kill(&self, life: Life) {
        self.0.ended.borrow_mut().insert(life);
        let mut tasks = self.0.tasks.borrow_mut();
        let of_life = tasks.extract_if(.., |_, task| task.owner == life);
        let killed: Vec<_> = of_life.collect();
        // Guards that run on drop may spawn, so the table must be free.
        drop(tasks);
        drop(killed);
    }

    /// Runs everything up to `until` and calls `after` each time that all tasks
    /// have come to rest.
    pub(crate) fn run_until(&self, until: Time, mut after: impl FnMut()) {
        loop {
            while let Some(id) = self.0.ready.pop() {
                self.poll(id);
            }
            after();
            let Some(due) = self.next_timer().filter(|due| *due <= until) else {
                break;
            };
            self.0.now.set(due.max(self.now()));
            self.fire();
        }
        self.0.now.set(until);
    }

    fn poll(&self, id: TaskId) {
        // Taken out meanwhile, since the task may spawn others or be killed by
        // what it does.
        let Some(mut task) = self.0.tasks.borrow_mut().remove(&id) else {
            return;
        };
        if self.0.frozen.borrow().contains(&task.owner) {
            self.0.tasks.borrow_mut().insert(id, task);
            self.0.held.borrow_mut().push(id);
            return;
        }
        let ready = Arc::clone(&self.0.ready);
        let waker = Waker::from(Arc::new(TaskWaker { id, ready }));
        let mut cx = Context::from_waker(&waker);
        let is_pending = task.future.as_mut().poll(&mut cx).is_pending();
        let has_ended = self.0.ended.borrow().contains(&task.owner);
        if is_pending && !has_ended {
            self.0.tasks.borrow_mut().insert(id, task);
        }
    }

    fn next_timer(&self) -> Option<Time> {
        let timers = self.0.timers.borrow();
        timers.first_key_value().map(|((due, _), _)| *due)
    }

    fn fire(&self) {
        let mut timers = self.0.timers.borrow_mut();
        while let Some(timer) = timers.first_entry() {
            if timer.key().0 > self.now() {
                break;
            }
            timer.remove().wake();
        }
    }

    fn next_id(&self) -> u64 {
        let id = self.0.next_id.get();
        self.0.next_id.set(id + 1);
        id
    }
}

/// Ends at its time.
pub(crate) struct Sleep {
    exec: Executor,
    due: Time,
    is_set: bool,
}

impl Future for Sleep {
    type Output = ();

    fn poll(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<()> {
        if self.exec.now() >= self.due {
            return Poll::Ready(());
        }
        if !self.is_set {
            self.is_set = true;
            let key = (self.due, self.exec.next_id());
            let mut timers = self.exec.0.timers.borrow_mut();
            timers.insert(key, cx.waker().clone());
        }
        Poll::Pending
    }
}

/// Waits for whichever ends first and drops the other.
pub(crate) async fn first<A, B>(
    a: impl Future<Output = A>,
    b: impl Future<Output = B>,
) -> Result<A, B> {
    let mut a = pin!(a);
    let mut b = pin!(b);
    std::future::poll_fn(|cx| {
        if let Poll::Ready(value) = a.as_mut().poll(cx) {
            return Poll::Ready(Ok(value));
        }
        b.as_mut().poll(cx).map(Err)
    })
    .await
}

struct Channel<T> {
    value: Option<T>,
    is_closed: bool,
    waker: Option<Waker>,
}

/// Sends one value; dropping it unsent closes the channel.
pub(crate) struct Sender<T>(Rc<RefCell<Channel<T>>>);

/// Receives the value, or `None` once the channel is closed.
pub(crate) struct Receiver<T>(Rc<RefCell<Channel<T>>>);

pub(crate) fn oneshot<T>() -> (Sender<T>, Receiver<T>) {
    let channel = Channel {
        value: None,
        is_closed: false,
        waker: None,
    };
    let channel = Rc::new(RefCell::new(channel));
    (Sender(Rc::clone(&channel)), Receiver(channel))
}

impl<T> Sender<T> {
    pub(crate) fn send(self, value: T) {
        self.0.borrow_mut().value = Some(value);
    }
}

impl<T> Drop for Sender<T> {
    fn drop(&mut self) {
        let mut channel = self.0.borrow_mut();
        channel.is_closed = true;
        let waker = channel.waker.take();
        drop(channel);
        if let Some(waker) = waker {
            waker.wake();
        }
    }
}

impl<T> Future for Receiver<T> {
    type Output = Option<T>;

    fn poll(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Option<T>> {
        let mut channel = self.0.borrow_mut();
        if let Some(value) = channel.value.take() {
            return Poll::Ready(Some(value));
        }
        if channel.is_closed {
            return Poll::Ready(None);
        }
        channel.waker = Some(cx.waker().clone());
        Poll::Pending
    }
}
