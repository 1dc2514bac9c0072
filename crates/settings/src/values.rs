//! Typed access to the settings that were given.

use std::collections::BTreeMap;
use std::fmt::Display;
use std::str::FromStr;

use crate::command_line::Given;
use crate::finding::{Finding, Stop};
use crate::program::{Program, Setting};

/// What takes the place of bytes that are not UTF-8.
const REPLACEMENT: char = char::REPLACEMENT_CHARACTER;

/// The settings as given, and what was found wrong so far.
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
        given: Given,
        env: impl Fn(&str) -> Option<String>,
    ) -> Self {
        let mut values = Self {
            settings: program.settings,
            texts: BTreeMap::new(),
            switches: BTreeMap::new(),
            operands: given.operands,
            findings: given.findings,
        };
        let mut flags = given.flags;
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

    /// The value of a setting that must be there. `None` where it is missing
    /// or wrong, which [`Values::finish`] then reports.
    ///
    /// # Panics
    ///
    /// Where the program doesn't list the setting, a mistake in the program.
    pub fn required<T>(&mut self, flag: &str) -> Option<T>
    where
        T: FromStr,
        T::Err: Display,
    {
        let setting = self.setting(flag);
        if !self.texts.contains_key(setting.flag) {
            if !self.has_finding(setting) {
                self.add(setting, "is required");
            }
            return None;
        }
        self.optional(flag)
    }

    /// The value of a setting that may be absent. A value that is there but
    /// wrong is `None` too, and [`Values::finish`] reports it.
    ///
    /// # Panics
    ///
    /// Where the program doesn't list the setting, a mistake in the program.
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
                self.add(setting, message);
                None
            }
        }
    }

    /// Whether a switch is on.
    ///
    /// # Panics
    ///
    /// Where the program doesn't list the setting, a mistake in the program.
    #[must_use]
    pub fn switch(&self, flag: &str) -> bool {
        let setting = self.setting(flag);
        self.switches.get(setting.flag).copied().unwrap_or(false)
    }

    /// The arguments that are no flags, in their order.
    #[must_use]
    pub fn operands(&self) -> &[String] {
        &self.operands
    }

    /// Adds a finding that only shows when several settings are seen
    /// together.
    ///
    /// # Panics
    ///
    /// Where the program doesn't list the setting, a mistake in the program.
    pub fn reject(&mut self, flag: &str, message: impl Into<String>) {
        let setting = self.setting(flag);
        self.add(setting, message);
    }

    /// Ends the reading.
    ///
    /// # Errors
    ///
    /// [`Stop::Findings`] with every finding so far, where there is one.
    pub fn finish(self) -> Result<(), Stop> {
        if self.findings.is_empty() {
            Ok(())
        } else {
            Err(Stop::Findings(self.findings))
        }
    }

    fn setting(&self, flag: &str) -> &'static Setting {
        self.settings
            .iter()
            .find(|setting| setting.flag == flag)
            .unwrap_or_else(|| panic!("setting --{flag} is not in the program's table"))
    }

    fn add(&mut self, setting: &Setting, message: impl Into<String>) {
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
                self.add(setting, "must be true or false");
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
            self.add(setting, "is empty");
        } else if text.contains(REPLACEMENT) {
            self.add(setting, "is not valid UTF-8");
        } else {
            self.texts.insert(setting.flag, text);
        }
    }
}

/// Many parse errors quote what they were given. For a secret that would put
/// it on the screen, so an error that repeats the value is not shown.
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
