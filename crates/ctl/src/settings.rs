//! Settings that several commands share.

use std::fmt;
use std::net::SocketAddr;
use std::str::FromStr;
use std::time::Duration;

use stoatstep_resource::{Key, KeyError, OperationId, Revision};
use stoatstep_settings::{HumanDuration, Secret, Setting, Values};

use crate::console::Output;

pub(crate) const DAEMON: Setting = Setting::new(
    "daemon",
    "IP:PORT[,IP:PORT...]",
    "Operator port of a daemon; several are tried in turn.",
);
pub(crate) const TOKEN: Setting = Setting::new(
    "operator-token",
    "TOKEN",
    "The operators' token; better as a variable.",
);
pub(crate) const TIMEOUT: Setting = Setting::new(
    "timeout",
    "TIME",
    "How long to go on trying, over all daemons together.",
)
.default("10s");
pub(crate) const OUTPUT: Setting = Setting::new(
    "output",
    "table|json",
    "Tables for people or JSON for programs.",
)
.default("table");
pub(crate) const OPERATION: Setting = Setting::new(
    "operation",
    "ID",
    "Id of this change. Running again with the same id cannot apply it twice; \
     made up where absent.",
);
pub(crate) const EXPECT: Setting = Setting::new(
    "expect",
    "KIND/NAME=REVISION[,...]",
    "Change only if these resources are still at these revisions; absent or 0: \
     must not exist.",
);
pub(crate) const WAIT: Setting = Setting::switch(
    "wait",
    "Wait until the change is in force everywhere and print how long it took.",
);
pub(crate) const WAIT_TIMEOUT: Setting = Setting::new(
    "wait-timeout",
    "TIME",
    "How long to wait until it is in force everywhere.",
)
.default("30s");

/// Where the daemons are and how to talk to them.
#[derive(Clone, Debug)]
pub(crate) struct Remote {
    pub(crate) daemons: Vec<SocketAddr>,
    pub(crate) token: Secret,
    pub(crate) timeout: Duration,
}

impl Remote {
    /// Takes the settings; `None` where one is wrong, which `values` reports.
    pub(crate) fn required(values: &mut Values) -> Option<Self> {
        let daemons = values.required::<Daemons>(DAEMON.flag);
        let token = values.required::<Secret>(TOKEN.flag);
        let timeout = timeout(values);
        Some(Self {
            daemons: daemons?.0,
            token: token?,
            timeout,
        })
    }

    /// As [`Remote::required`], for commands that also work by themselves.
    pub(crate) fn optional(values: &mut Values) -> Option<Self> {
        let daemons = values.optional::<Daemons>(DAEMON.flag)?;
        let token = values.required::<Secret>(TOKEN.flag);
        let timeout = timeout(values);
        Some(Self {
            daemons: daemons.0,
            token: token?,
            timeout,
        })
    }
}

fn timeout(values: &mut Values) -> Duration {
    span(values, TIMEOUT.flag)
}

/// A time that has a default.
pub(crate) fn span(values: &mut Values, flag: &str) -> Duration {
    let span = values.required::<HumanDuration>(flag);
    span.map(Duration::from).unwrap_or_default()
}

pub(crate) fn output(values: &mut Values) -> Output {
    values.required(OUTPUT.flag).unwrap_or_default()
}

/// The operation id given, or a new one.
pub(crate) fn operation(values: &mut Values) -> OperationId {
    let given = values.optional::<OperationId>(OPERATION.flag);
    given.unwrap_or_else(|| uuid::Uuid::now_v7().to_string().into())
}

struct Daemons(Vec<SocketAddr>);

impl FromStr for Daemons {
    type Err = <SocketAddr as FromStr>::Err;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let parts = text.split(',').map(str::trim);
        let addrs: Result<Vec<_>, _> = parts.map(str::parse).collect();
        addrs.map(Self)
    }
}

/// Revisions that must still hold.
#[derive(Clone, Debug, Default)]
pub(crate) struct Expected(Vec<(Key, Revision)>);

/// Why a text is no [`Expected`].
#[derive(Clone, Debug)]
pub(crate) enum ExpectedError {
    NoRevision,
    Key(KeyError),
}

impl fmt::Display for ExpectedError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::NoRevision => f.write_str("write KIND/NAME=REVISION, such as route/claims=7"),
            Self::Key(error) => error.fmt(f),
        }
    }
}

impl FromStr for Expected {
    type Err = ExpectedError;

    fn from_str(text: &str) -> Result<Self, ExpectedError> {
        let parts = text.split(',').map(str::trim);
        let entries: Result<Vec<_>, _> = parts.map(expected_entry).collect();
        entries.map(Self)
    }
}

fn expected_entry(text: &str) -> Result<(Key, Revision), ExpectedError> {
    let (key, revision) = text.split_once('=').ok_or(ExpectedError::NoRevision)?;
    let key = key.parse().map_err(ExpectedError::Key)?;
    let revision = match revision {
        "absent" => 0,
        digits => digits.parse().map_err(|_| ExpectedError::NoRevision)?,
    };
    Ok((key, revision))
}

impl Expected {
    pub(crate) fn of(&self, key: &Key) -> Option<Revision> {
        let mut entries = self.0.iter();
        entries
            .find(|(expected, _)| expected == key)
            .map(|(_, revision)| *revision)
    }

    /// Keys that are expected but not part of the change; most likely they are
    /// misspelt, and the guard that was meant would silently not be there.
    pub(crate) fn strangers<'a>(&'a self, change: &'a [Key]) -> impl Iterator<Item = &'a Key> {
        let keys = self.0.iter().map(|(key, _)| key);
        keys.filter(|key| !change.contains(key))
    }
}
