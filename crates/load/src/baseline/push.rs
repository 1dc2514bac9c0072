//! One server pushes every change to every daemon.

use std::io::{self, Read, Write};
use std::net::{TcpListener, TcpStream};
use std::sync::mpsc::{Receiver, Sender, channel};
use std::thread;
use std::time::{Duration, Instant};

use stoatstep_resource::wire::DeltaWire;
use stoatstep_resource::{Resource, State};

use crate::fleet::{FleetError, Net, Shape};

/// Stack of a receiver's thread, which only copies bytes.
const STACK: usize = 64 << 10;

/// A push must reach everybody within this.
const LIMIT: Duration = Duration::from_secs(20);

/// Which loopback address the server takes.
const ADDRESS: u8 = 200;

/// The server, with a connection to a receiver for each daemon. A receiver
/// counts what it gets and does no more, so that this baseline looks better
/// than it could be.
pub(crate) struct PushServer {
    streams: Vec<TcpStream>,
    arrivals: Receiver<Instant>,
    state: State,
}

impl PushServer {
    pub(crate) fn start(shape: &Shape) -> Result<Self, FleetError> {
        let addr = Net::of_this_process().extra(ADDRESS);
        let listener = TcpListener::bind(addr)?;
        let (tx, arrivals) = channel();
        let mut streams = Vec::new();
        for _ in 0..shape.daemon_count() {
            let tx = tx.clone();
            let receiver = thread::Builder::new().stack_size(STACK);
            receiver.spawn(move || receive(TcpStream::connect(addr), &tx))?;
            let (stream, _) = listener.accept()?;
            stream.set_nodelay(true)?;
            streams.push(stream);
        }
        let state = State::default();
        let first = state.delta(shape.resources(), Vec::new());
        let state = state.apply(&first);
        Ok(Self {
            streams,
            arrivals,
            state: state.map_err(|error| FleetError::Io(error.to_string()))?,
        })
    }

    /// Pushes a change and gives the time until the last receiver has it.
    pub(crate) fn change(&mut self, change: Vec<Resource>) -> Result<Duration, FleetError> {
        let delta = self.state.delta(change, Vec::new());
        let next = self.state.apply(&delta);
        self.state = next.map_err(|error| FleetError::Io(error.to_string()))?;
        let wire = DeltaWire::from(&delta);
        let body = rmp_serde::to_vec(&wire).expect("plain data always encodes");
        let length = u32::try_from(body.len()).expect("a delta is small");
        let accepted = Instant::now();
        for stream in &mut self.streams {
            stream.write_all(&length.to_be_bytes())?;
            stream.write_all(&body)?;
        }
        let mut last = accepted;
        for _ in 0..self.streams.len() {
            let arrival = self.arrivals.recv_timeout(LIMIT);
            last = last.max(arrival.map_err(|error| FleetError::Timeout(error.to_string()))?);
        }
        Ok(last.saturating_duration_since(accepted))
    }
}

/// Tells when each message was there whole, until the server is gone.
fn receive(stream: io::Result<TcpStream>, tx: &Sender<Instant>) {
    let Ok(mut stream) = stream else { return };
    let mut length = [0; 4];
    while stream.read_exact(&mut length).is_ok() {
        let mut body = vec![0; u32::from_be_bytes(length) as usize];
        if stream.read_exact(&mut body).is_err() || tx.send(Instant::now()).is_err() {
            return;
        }
    }
}
