//! What a program can be told, and the help text made from it.

use std::ffi::OsString;
use std::fmt::Write;

use crate::command_line;
use crate::finding::Stop;
use crate::values::Values;

/// What every environment variable of a setting begins with.
const VARIABLE_PREFIX: &str = "STOATSTEP_";

/// Settings whose name has this part hold a secret; see [`Setting::is_secret`].
const SECRET_PART: &str = "token";

/// One setting, which is a flag and an environment variable at once.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Setting {
    /// Name of the flag, without the leading dashes.
    pub flag: &'static str,
    /// Placeholder of the value in the help text; empty for a switch, which
    /// takes no value.
    pub value: &'static str,
    /// Value used where neither flag nor variable is given.
    pub default: Option<&'static str>,
    /// One sentence for the help text.
    pub help: &'static str,
}

impl Setting {
    /// A setting that takes a value and has no default.
    #[must_use]
    pub const fn new(flag: &'static str, value: &'static str, help: &'static str) -> Self {
        Self {
            flag,
            value,
            default: None,
            help,
        }
    }

    /// A switch: off unless its flag is given, or its variable says so.
    #[must_use]
    pub const fn switch(flag: &'static str, help: &'static str) -> Self {
        Self::new(flag, "", help)
    }

    /// Sets the value used where none is given. Without this call an absent
    /// setting is missing, which [`Values::required`] reports.
    #[must_use]
    pub const fn default(mut self, default: &'static str) -> Self {
        self.default = Some(default);
        self
    }

    /// Name of the environment variable: `--peer-addr` is
    /// `STOATSTEP_PEER_ADDR`.
    #[must_use]
    pub fn variable(&self) -> String {
        let name = self.flag.to_ascii_uppercase().replace('-', "_");
        format!("{VARIABLE_PREFIX}{name}")
    }

    /// Whether the setting takes no value.
    #[must_use]
    pub const fn is_switch(&self) -> bool {
        self.value.is_empty()
    }

    /// Whether the value must never be printed. A token in a finding would
    /// end up in the logs of whatever started the program, readable by people
    /// who may not act as operators.
    #[must_use]
    pub fn is_secret(&self) -> bool {
        self.flag.contains(SECRET_PART)
    }
}

/// A program's name and all that it can be told.
#[derive(Clone, Copy, Debug)]
pub struct Program {
    /// Name of the binary.
    pub name: &'static str,
    /// One sentence for the help text.
    pub about: &'static str,
    /// Every setting of the program.
    pub settings: &'static [Setting],
    /// Usage text of the operands, which are the arguments that are no flags;
    /// empty where the program takes none.
    pub operands: &'static str,
}

impl Program {
    /// Reads this process's arguments and environment.
    ///
    /// # Errors
    ///
    /// [`Stop::Help`] or [`Stop::Version`] where that was asked for. Wrong
    /// settings are kept for [`Values::finish`].
    pub fn read(&self) -> Result<Values, Stop> {
        let lookup = |name: &str| {
            let text = std::env::var_os(name)?;
            Some(text.to_string_lossy().into_owned())
        };
        self.read_from(std::env::args_os().skip(1), lookup)
    }

    /// Reads the given arguments, the program's own name not among them, and
    /// the given environment. An empty variable counts as absent, which is
    /// how scripts commonly clear one.
    ///
    /// # Errors
    ///
    /// As for [`Program::read`].
    pub fn read_from(
        &self,
        args: impl IntoIterator<Item = OsString>,
        env: impl Fn(&str) -> Option<String>,
    ) -> Result<Values, Stop> {
        let given = command_line::read(self, args)?;
        Ok(Values::new(self, given, env))
    }

    pub(crate) fn find(&self, flag: &str) -> Option<&'static Setting> {
        self.settings.iter().find(|setting| setting.flag == flag)
    }

    pub(crate) fn version_text(&self) -> String {
        format!("{} {}", self.name, env!("CARGO_PKG_VERSION"))
    }

    pub(crate) fn help_text(&self) -> String {
        let mut text = format!("{}\n\nUsage: {} [settings]", self.about, self.name);
        if !self.operands.is_empty() {
            text.push(' ');
            text.push_str(self.operands);
        }
        text.push_str("\n\nSettings, each a flag or a variable; the flag wins:\n");
        for setting in self.settings {
            add_setting(&mut text, setting);
        }
        text.push_str("  --help, -h\n      Print this text.\n");
        text.push_str("  --version, -V\n      Print the version.");
        text
    }
}

fn add_setting(text: &mut String, setting: &Setting) {
    let gap = if setting.is_switch() { "" } else { " " };
    let default = setting
        .default
        .map(|default| format!(" [default: {default}]"))
        .unwrap_or_default();
    // Writing into a string cannot fail.
    let _ = write!(
        text,
        "  --{}{gap}{} ({})\n      {}{default}\n",
        setting.flag,
        setting.value,
        setting.variable(),
        setting.help,
    );
}
