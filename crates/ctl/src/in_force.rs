//! Whether a version is in force everywhere.

use std::time::{Duration, Instant};

use ntex::time::{Millis, sleep};
use stoatstep_resource::Version;
use stoatstep_resource::wire::{MemberState, MemberStatus, StatusAnswer};

use crate::client::{Client, Request};
use crate::failure::Failure;

/// Pauses between looks at the status. The first ones are short, since most
/// changes are in force within a fraction of a second.
const FIRST_PAUSE: Duration = Duration::from_millis(25);
const LONGEST_PAUSE: Duration = Duration::from_millis(400);

/// An instance that does not yet serve by a version, and why.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Holdout {
    pub(crate) instance: String,
    pub(crate) version: Version,
    pub(crate) reason: String,
}

/// Result of waiting.
pub(crate) enum Waited {
    /// In force on every instance after this time.
    Everywhere(Duration),
    /// The time was over with these instances missing.
    NotYet(Vec<Holdout>),
}

/// Every instance that should serve by `version` or a newer one and does not.
/// Instances that left or are gone serve no calls and are not waited for; a
/// silent one may still serve, so it is.
pub(crate) fn holdouts(status: &StatusAnswer, version: Version) -> Vec<Holdout> {
    let mut holdouts = Vec::new();
    if status.version_in_force < version {
        holdouts.push(Holdout {
            instance: status.instance.to_string(),
            version: status.version_in_force,
            reason: reason(status, &status.instance, version, MemberState::Alive),
        });
    }
    let others = status.members.iter().filter(|member| {
        let serves = matches!(member.state, MemberState::Alive | MemberState::Suspect);
        serves && member.version < version && member.instance != status.instance
    });
    holdouts.extend(others.map(|member| holdout(status, member, version)));
    holdouts
}

fn holdout(status: &StatusAnswer, member: &MemberStatus, version: Version) -> Holdout {
    Holdout {
        instance: member.instance.to_string(),
        version: member.version,
        reason: reason(status, &member.instance, version, member.state),
    }
}

fn reason(status: &StatusAnswer, instance: &str, version: Version, state: MemberState) -> String {
    let mut quarantine = status.quarantine.iter();
    let refused = quarantine
        .find(|it| it.version >= version && it.instances.iter().any(|other| other == instance));
    match (refused, state) {
        (Some(refused), _) => format!("refused version {}: {}", refused.version, refused.reason),
        (None, MemberState::Suspect) => "was silent lately".to_owned(),
        (None, _) => "has not reported it yet".to_owned(),
    }
}

/// Waits until `version` is in force everywhere. `since` is when the change was
/// sent, so that the time given is never shorter than the true one.
pub(crate) async fn wait(
    client: &mut Client,
    version: Version,
    since: Instant,
    limit: Duration,
) -> Result<Waited, Failure> {
    let until = Instant::now() + limit;
    let mut pause = FIRST_PAUSE;
    loop {
        let reply = client.send(&Request::get("/v1/status")).await?;
        let holdouts = holdouts(&reply.json()?, version);
        if holdouts.is_empty() {
            return Ok(Waited::Everywhere(since.elapsed()));
        }
        if Instant::now() + pause >= until {
            return Ok(Waited::NotYet(holdouts));
        }
        sleep(Millis::from(pause)).await;
        pause = (pause * 2).min(LONGEST_PAUSE);
    }
}
