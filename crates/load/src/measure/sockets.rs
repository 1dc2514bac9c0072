//! Bytes at one process's sockets as the kernel hands them over, which is
//! independent of what the process counts itself.

use std::collections::BTreeMap;
use std::fs;
use std::path::Path;
use std::time::Duration;

use futures_timer::Delay;

use crate::fleet::{FleetError, Process};
use crate::measure::as_f64;

/// System calls that move bytes over a socket.
const CALLS: &str = "trace=sendto,recvfrom,sendmsg,recvmsg,read,write,readv,writev";

/// Time for the tracer to let go and to write its file.
const END: Duration = Duration::from_secs(3);

/// Ports of the harness's fleets whose traffic is control: other daemons, and
/// the platform.
const PORTS: [&str; 2] = [":7002", ":7000"];

/// Counts for `length` what a process sends and receives on control ports;
/// nothing where the machine has no tracer.
pub(crate) async fn traced_bytes(
    process: u32,
    length: Duration,
    folder: &Path,
) -> Result<Option<f64>, FleetError> {
    let out = folder.join("sockets.trace");
    let args = [
        "-f".to_owned(),
        "-qq".to_owned(),
        "-yy".to_owned(),
        "-s0".to_owned(),
        "-e".to_owned(),
        CALLS.to_owned(),
        "-p".to_owned(),
        process.to_string(),
        "-o".to_owned(),
        out.display().to_string(),
    ];
    let log = folder.join("sockets.log");
    let Ok(mut tracer) = Process::start(Path::new("/usr/bin/strace"), &args, &log) else {
        return Ok(None);
    };
    Delay::new(length).await;
    tracer.terminate();
    tracer.exit(END).await;
    let sum = control_bytes(&fs::read_to_string(out)?);
    Ok((sum > 0).then(|| as_f64(sum)))
}

/// Sums up what a trace of `strace -f -yy` shows on control ports. A call during which another thread made one stands on two
/// lines, the connection on the first and the result on the second.
#[must_use]
pub fn control_bytes(trace: &str) -> u64 {
    let mut unfinished = BTreeMap::new();
    let mut sum = 0;
    for line in trace.lines() {
        let Some((thread, call)) = line.split_once(' ') else {
            continue;
        };
        let is_second = call.trim_start().starts_with("<...");
        let counts = match unfinished.remove(thread) {
            Some(is_control) if is_second => is_control,
            _ => is_control(call),
        };
        if call.ends_with("<unfinished ...>") {
            unfinished.insert(thread, counts);
        } else if counts {
            sum += moved(call).unwrap_or(0);
        }
    }
    sum
}

/// Whether the call is on a connection to or from a control port.
fn is_control(line: &str) -> bool {
    let Some(ends) = line
        .split_once("<TCP:[")
        .and_then(|it| it.1.split_once(']'))
    else {
        return false;
    };
    let mut ends = ends.0.split("->");
    ends.any(|end| PORTS.iter().any(|port| end.ends_with(port)))
}

/// Bytes that the call moved; a call that failed moved none.
fn moved(line: &str) -> Option<u64> {
    let result = line.rsplit_once(" = ")?.1;
    result.split_whitespace().next()?.parse().ok()
}
