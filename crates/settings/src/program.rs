//! Declaration of a program's settings, and the help text generated from it.

use std::ffi::OsString;
use std::fmt::Write;

use crate::command_line;
use crate::finding::EarlyExit;
use crate::values::Values;

/// Prefix of the environment variables of all settings.
const VARIABLE_PREFIX: &str = "STOATSTEP_";

/// Settings whose flag contains this text are secret; see [`Setting::is_secret`].
const SECRET_MARKER: &str = "token";

/// One setting, which can be given as a flag or as an environment variable.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Setting {
    /// Name of the flag, without the leading dashes.
    pub flag: &'static str,
    /// Placeholder of the value in the help text; empty for a switch, which takes no value.
    pub value: &'static str,
    /// Value that is used if neither the flag nor the variable is given.
    pub default: Option<&'static str>,
    /// One sentence for the help text.
    pub help: &'static str,
}

impl Setting {
    /// Creates a setting that takes a value and has no default.
    #[must_use]
    pub const fn new(flag: &'static str, value: &'static str, help: &'static str) -> Self {
        Self {
            flag,
            value,
            default: None,
            help,
        }
    }

    /// Creates a switch, which is off unless its flag is given or its variable turns it on.
    #[must_use]
    pub const fn switch(flag: &'static str, help: &'static str) -> Self {
        Self::new(flag, "", help)
    }

    /// Sets the value that is used if none is given. [`Values::required`] reports an absent setting
    /// without a default as missing.
    #[must_use]
    pub const fn default(mut self, default: &'static str) -> Self {
        self.default = Some(default);
        self
    }

    /// Returns the name of the environment variable, such as `STOATSTEP_PEER_ADDR` for
    /// `--peer-addr`.
    #[must_use]
    pub fn variable(&self) -> String {
        let name = self.flag.to_ascii_uppercase().replace('-', "_");
        format!("{VARIABLE_PREFIX}{name}")
    }

    /// Returns whether the setting is a switch, which takes no value.
    #[must_use]
    pub const fn is_switch(&self) -> bool {
        self.value.is_empty()
    }

    /// Returns whether the value must never be printed. A token in a finding would end up in the
    /// log of whatever started the program, which people can read who may not act as operators.
    #[must_use]
    pub fn is_secret(&self) -> bool {
        self.flag.contains(SECRET_MARKER)
    }
}

/// A program and its settings.
#[derive(Clone, Copy, Debug)]
pub struct Program {
    /// Name of the binary.
    pub name: &'static str,
    /// One sentence for the help text.
    pub about: &'static str,
    /// Every setting of the program.
    pub settings: &'static [Setting],
    /// Usage text of the operands, which are the arguments that are not flags; empty if the program
    /// takes none.
    pub operands: &'static str,
}

impl Program {
    /// Reads the settings from the arguments and the environment of this process.
    ///
    /// # Errors
    ///
    /// [`EarlyExit::Help`] or [`EarlyExit::Version`] if that was requested. Findings about wrong
    /// settings are returned by [`Values::finish`].
    pub fn read(&self) -> Result<Values, EarlyExit> {
        let lookup = |name: &str| {
            let text = std::env::var_os(name)?;
            Some(text.to_string_lossy().into_owned())
        };
        self.read_from(std::env::args_os().skip(1), lookup)
    }

    /// Reads the settings from the given arguments, without the program's name, and environment. An
    /// empty variable counts as absent, because scripts commonly clear a variable that way.
    ///
    /// # Errors
    ///
    /// [`EarlyExit::Help`] or [`EarlyExit::Version`] if that was requested.
    pub fn read_from(
        &self,
        args: impl IntoIterator<Item = OsString>,
        env: impl Fn(&str) -> Option<String>,
    ) -> Result<Values, EarlyExit> {
        let parsed = command_line::read(self, args)?;
        Ok(Values::new(self, parsed, env))
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
