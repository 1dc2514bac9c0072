//! Stand-in of the requesters on a machine.

use std::time::Duration;

use crate::Record;
use crate::fleet::Machine;
use crate::http;

/// How a request ended for its requester.
#[derive(Clone, Debug)]
pub struct Ended {
    pub id: String,
    /// Status of the answer; 0 if the connection ended without one.
    pub status: u16,
    /// The time after which the requester is told to come back.
    pub retry_after: Option<Duration>,
}

/// Sends one request to the daemon of a machine, and waits for its answer as long as it states.
pub fn send(
    machine: &Machine,
    (method, path): (&str, &str),
    id: &str,
    timeout: Duration,
    body: &str,
    record: &Record,
) -> Ended {
    let stated = timeout.as_millis().to_string();
    let headers = [
        ("Host", "petty.example"),
        ("X-Attempt-Id", id),
        ("X-Timeout-Ms", stated.as_str()),
    ];
    record.line(&format!("requester on {} sends {id} ({method} {path})", machine.name));
    let wait = timeout + Duration::from_millis(200);
    let answer = http::call(machine.outbound, &format!("{method} {path}"), &headers, body.as_bytes(), wait);
    let ended = match &answer {
        Ok(answer) => Ended {
            id: id.to_owned(),
            status: answer.status(),
            retry_after: answer
                .header("retry-after")
                .and_then(|it| it.parse().ok())
                .and_then(|it| Duration::try_from_secs_f64(it).ok()),
        },
        Err(_) => Ended { id: id.to_owned(), status: 0, retry_after: None },
    };
    let after = ended.retry_after.map_or(String::new(), |it| format!(", Retry-After {:.3}", it.as_secs_f64()));
    let answered = match ended.status {
        0 => "no answer".to_owned(),
        status => format!("{status}{after}"),
    };
    record.line(&format!("requester on {} gets {answered} for {id}", machine.name));
    ended
}
