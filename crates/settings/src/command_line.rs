//! Parses the command line into flags and operands.

use std::collections::BTreeMap;
use std::ffi::{OsStr, OsString};

use lexopt::{Arg, Parser};

use crate::finding::{EarlyExit, Finding, Place};
use crate::program::{Program, Setting};

/// Result of parsing the command line.
#[derive(Debug, Default)]
pub(crate) struct CommandLine {
    /// Values of the flags by name; the value of a switch is empty.
    pub(crate) flags: BTreeMap<&'static str, String>,
    pub(crate) operands: Vec<String>,
    pub(crate) findings: Vec<Finding>,
}

/// A flag or an operand that does not borrow from the parser, unlike [`Arg`].
enum OwnedArg {
    Flag(String),
    Operand(OsString),
}

/// Parses all arguments, so that one wrong flag does not hide others.
pub(crate) fn read(
    program: &Program,
    args: impl IntoIterator<Item = OsString>,
) -> Result<CommandLine, EarlyExit> {
    let args: Vec<OsString> = args.into_iter().collect();
    let mut parser = Parser::from_args(args);
    let mut parsed = CommandLine::default();
    while let Some(argument) = next_argument(&mut parser, &mut parsed) {
        match argument {
            OwnedArg::Flag(name) if name == "help" || name == "h" => {
                return Err(EarlyExit::Help(program.help_text()));
            }
            OwnedArg::Flag(name) if name == "version" || name == "V" => {
                return Err(EarlyExit::Version(program.version_text()));
            }
            OwnedArg::Flag(name) => match program.find(&name) {
                Some(setting) if setting.is_switch() => parsed.add_switch(setting, &mut parser),
                Some(setting) => parsed.add_value(setting, &mut parser),
                None => parsed.report_unknown(program, &name, &mut parser),
            },
            OwnedArg::Operand(text) => parsed.add_operand(program, &text),
        }
    }
    Ok(parsed)
}

fn next_argument(parser: &mut Parser, parsed: &mut CommandLine) -> Option<OwnedArg> {
    loop {
        let error = match parser.next() {
            Ok(None) => return None,
            Ok(Some(Arg::Long(name))) => return Some(OwnedArg::Flag(name.to_owned())),
            Ok(Some(Arg::Short(name))) => return Some(OwnedArg::Flag(name.to_string())),
            Ok(Some(Arg::Value(text))) => return Some(OwnedArg::Operand(text)),
            Err(error) => error.to_string(),
        };
        parsed.report(Place::Argument("arguments".to_owned()), error);
    }
}

impl CommandLine {
    fn report(&mut self, place: Place, message: impl Into<String>) {
        let message = message.into();
        self.findings.push(Finding { place, message });
    }

    fn add_switch(&mut self, setting: &'static Setting, parser: &mut Parser) {
        if parser.optional_value().is_some() {
            self.report(setting.place(), "takes no value");
        }
        self.insert_flag(setting, String::new());
    }

    fn add_value(&mut self, setting: &'static Setting, parser: &mut Parser) {
        let value = parser.values().ok().and_then(|mut values| values.next());
        match value {
            Some(text) => match text.into_string() {
                Ok(text) => self.insert_flag(setting, text),
                Err(_) => self.report(setting.place(), "is not valid UTF-8"),
            },
            None => self.report(setting.place(), "needs a value"),
        }
    }

    fn insert_flag(&mut self, setting: &'static Setting, text: String) {
        if self.flags.insert(setting.flag, text).is_some() {
            self.report(setting.place(), "is given more than once");
        }
    }

    /// Reports an unknown flag. If the program takes no operands, the argument that follows is
    /// skipped: after a misspelt `--operator-tokn SECRET` it would be reported as an unexpected
    /// operand, which would print the secret. The finding about the flag suffices to correct it.
    fn report_unknown(&mut self, program: &Program, name: &str, parser: &mut Parser) {
        let dashes = if name.chars().count() == 1 { "-" } else { "--" };
        self.report(
            Place::Argument(format!("{dashes}{name}")),
            "is no setting of this program",
        );
        let inline = parser.optional_value().is_some();
        if !inline && program.operands.is_empty() {
            let _ = parser.values().ok().and_then(|mut values| values.next());
        }
    }

    fn add_operand(&mut self, program: &Program, text: &OsStr) {
        match text.to_str() {
            Some(text) if !program.operands.is_empty() => self.operands.push(text.to_owned()),
            Some(text) => self.report(Place::Argument(text.to_owned()), "is not expected"),
            None => self.report(
                Place::Argument(text.to_string_lossy().into_owned()),
                "is not valid UTF-8",
            ),
        }
    }
}

impl Setting {
    /// Returns the place of a finding about this setting.
    pub(crate) fn place(&self) -> Place {
        Place::Setting {
            flag: self.flag,
            variable: self.variable(),
        }
    }
}
