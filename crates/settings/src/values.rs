//! Typed access to the values of settings.

use std::collections::BTreeMap;
use std::fmt::Display;
use std::str::FromStr;

use crate::command_line::CommandLine;
use crate::finding::{EarlyExit, Finding};
use crate::program::{Program, Setting};

/// Replaces bytes that are not valid UTF-8 in the values of variables.
const REPLACEMENT: char = char::REPLACEMENT_CHARACTER;

/// The values of a program's settings, and the findings about them so far.
#[derive(Debug)]
pub struct Values {
    settings: &'static [Setting],
    texts: BTreeMap<&'static str, String>,
    switches: BTreeMap<&'static str, bool>,
    operands: Vec<String>,
    findings: Vec<Finding>,
}

impl Values {
    pub(crate) fn new(
        program: &Program,
        command_line: CommandLine,
        env: impl Fn(&str) -> Option<String>,
    ) -> Self {
        let mut values = Self {
            settings: program.settings,
            texts: BTreeMap::new(),
            switches: BTreeMap::new(),
            operands: command_line.operands,
            findings: command_line.findings,
        };
        let mut flags = command_line.flags;
        for setting in program.settings {
            let variable = env(&setting.variable()).filter(|text| !text.is_empty());
            let flag = flags.remove(setting.flag);
            if setting.is_switch() {
                values.add_switch(setting, flag.is_some(), variable.as_deref());
            } else {
                values.add_text(setting, flag, variable);
            }
        }
        values
    }

    /// Returns the value of a required setting. If it is missing or invalid, the result is `None`
    /// and [`Values::finish`] reports it.
    ///
    /// # Panics
    ///
    /// If the program's table lacks the setting, which is a mistake in the program.
    pub fn required<T>(&mut self, flag: &str) -> Option<T>
    where
        T: FromStr,
        T::Err: Display,
    {
        let setting = self.setting(flag);
        if !self.texts.contains_key(setting.flag) {
            if !self.has_finding(setting) {
                self.report(setting, "is required");
            }
            return None;
        }
        self.optional(flag)
    }

    /// Returns the value of an optional setting, or `None` if it is absent. If it is invalid, the
    /// result is `None` too and [`Values::finish`] reports it.
    ///
    /// # Panics
    ///
    /// If the program's table lacks the setting, which is a mistake in the program.
    pub fn optional<T>(&mut self, flag: &str) -> Option<T>
    where
        T: FromStr,
        T::Err: Display,
    {
        let setting = self.setting(flag);
        let text = self.texts.get(setting.flag)?;
        match text.parse() {
            Ok(value) => Some(value),
            Err(error) => {
                let message = parse_message(setting, text, &error);
                self.report(setting, message);
                None
            }
        }
    }

    /// Returns whether a switch is on.
    ///
    /// # Panics
    ///
    /// If the program's table lacks the setting, which is a mistake in the program.
    #[must_use]
    pub fn switch(&self, flag: &str) -> bool {
        let setting = self.setting(flag);
        self.switches.get(setting.flag).copied().unwrap_or(false)
    }

    /// Returns the arguments that are not flags, in their order.
    #[must_use]
    pub fn operands(&self) -> &[String] {
        &self.operands
    }

    /// Adds a finding about a setting, for checks that concern several settings.
    ///
    /// # Panics
    ///
    /// If the program's table lacks the setting, which is a mistake in the program.
    pub fn reject(&mut self, flag: &str, message: impl Into<String>) {
        let setting = self.setting(flag);
        self.report(setting, message);
    }

    /// Returns whether all settings were valid.
    ///
    /// # Errors
    ///
    /// [`EarlyExit::Findings`] with all findings, if there are any.
    pub fn finish(self) -> Result<(), EarlyExit> {
        if self.findings.is_empty() {
            Ok(())
        } else {
            Err(EarlyExit::Findings(self.findings))
        }
    }

    fn setting(&self, flag: &str) -> &'static Setting {
        self.settings
            .iter()
            .find(|setting| setting.flag == flag)
            .unwrap_or_else(|| panic!("setting --{flag} is not in the program's table"))
    }

    fn report(&mut self, setting: &Setting, message: impl Into<String>) {
        self.findings.push(Finding {
            place: setting.place(),
            message: message.into(),
        });
    }

    fn has_finding(&self, setting: &Setting) -> bool {
        let place = setting.place();
        self.findings.iter().any(|finding| finding.place == place)
    }

    fn add_switch(&mut self, setting: &'static Setting, flag: bool, variable: Option<&str>) {
        let on = match variable {
            _ if flag => true,
            None | Some("0" | "false" | "no" | "off") => false,
            Some("1" | "true" | "yes" | "on") => true,
            Some(_) => {
                self.report(setting, "must be true or false");
                false
            }
        };
        self.switches.insert(setting.flag, on);
    }

    fn add_text(
        &mut self,
        setting: &'static Setting,
        flag: Option<String>,
        variable: Option<String>,
    ) {
        let default = || setting.default.map(str::to_owned);
        let Some(text) = flag.or(variable).or_else(default) else {
            return;
        };
        if text.is_empty() {
            self.report(setting, "is empty");
        } else if text.contains(REPLACEMENT) {
            self.report(setting, "is not valid UTF-8");
        } else {
            self.texts.insert(setting.flag, text);
        }
    }
}

/// Returns the message of a finding about an invalid value. Many parse errors quote their input, so
/// the error of a secret setting is omitted if it contains the value.
fn parse_message(setting: &Setting, text: &str, error: &impl Display) -> String {
    let reason = error.to_string();
    if !setting.is_secret() {
        return format!("{text:?} is not valid: {reason}");
    }
    if reason.contains(text) {
        return "is not valid".to_owned();
    }
    format!("is not valid: {reason}")
}
