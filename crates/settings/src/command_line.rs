//! Splits the command line into flags and operands.

use std::collections::BTreeMap;
use std::ffi::{OsStr, OsString};

use lexopt::{Arg, Parser};

use crate::finding::{Finding, Place, Stop};
use crate::program::{Program, Setting};

/// What the command line says.
#[derive(Debug, Default)]
pub(crate) struct Given {
    /// Texts of the flags; a switch has an empty text.
    pub(crate) flags: BTreeMap<&'static str, String>,
    pub(crate) operands: Vec<String>,
    pub(crate) findings: Vec<Finding>,
}

/// An argument without the borrow of the parser that gave it.
enum Word {
    Flag(String),
    Operand(OsString),
}

/// Reads all arguments, so that one wrong flag doesn't hide the next.
pub(crate) fn read(
    program: &Program,
    args: impl IntoIterator<Item = OsString>,
) -> Result<Given, Stop> {
    let args: Vec<OsString> = args.into_iter().collect();
    let mut parser = Parser::from_args(args);
    let mut given = Given::default();
    while let Some(word) = next(&mut parser, &mut given) {
        match word {
            Word::Flag(name) if name == "help" || name == "h" => {
                return Err(Stop::Help(program.help_text()));
            }
            Word::Flag(name) if name == "version" || name == "V" => {
                return Err(Stop::Version(program.version_text()));
            }
            Word::Flag(name) => match program.find(&name) {
                Some(setting) if setting.is_switch() => given.switch(setting, &mut parser),
                Some(setting) => given.value(setting, &mut parser),
                None => given.unknown(program, &name, &mut parser),
            },
            Word::Operand(text) => given.operand(program, &text),
        }
    }
    Ok(given)
}

fn next(parser: &mut Parser, given: &mut Given) -> Option<Word> {
    loop {
        let error = match parser.next() {
            Ok(None) => return None,
            Ok(Some(Arg::Long(name))) => return Some(Word::Flag(name.to_owned())),
            Ok(Some(Arg::Short(name))) => return Some(Word::Flag(name.to_string())),
            Ok(Some(Arg::Value(text))) => return Some(Word::Operand(text)),
            Err(error) => error.to_string(),
        };
        given.add(Place::Argument("arguments".to_owned()), error);
    }
}

impl Given {
    fn add(&mut self, place: Place, message: impl Into<String>) {
        let message = message.into();
        self.findings.push(Finding { place, message });
    }

    fn switch(&mut self, setting: &'static Setting, parser: &mut Parser) {
        if parser.optional_value().is_some() {
            self.add(setting.place(), "takes no value");
        }
        self.keep(setting, String::new());
    }

    fn value(&mut self, setting: &'static Setting, parser: &mut Parser) {
        let value = parser.values().ok().and_then(|mut values| values.next());
        match value {
            Some(text) => match text.into_string() {
                Ok(text) => self.keep(setting, text),
                Err(_) => self.add(setting.place(), "is not valid UTF-8"),
            },
            None => self.add(setting.place(), "needs a value"),
        }
    }

    fn keep(&mut self, setting: &'static Setting, text: String) {
        if self.flags.insert(setting.flag, text).is_some() {
            self.add(setting.place(), "is given more than once");
        }
    }

    /// A misspelled `--operator-tokn SECRET` leaves its value behind as an
    /// operand. Where the program takes none, reporting that operand would
    /// print a secret, so what follows an unknown flag is passed over; the
    /// flag's own finding is enough to mend the line.
    fn unknown(&mut self, program: &Program, name: &str, parser: &mut Parser) {
        let dashes = if name.chars().count() == 1 { "-" } else { "--" };
        self.add(
            Place::Argument(format!("{dashes}{name}")),
            "is no setting of this program",
        );
        let inline = parser.optional_value().is_some();
        if !inline && program.operands.is_empty() {
            let _ = parser.values().ok().and_then(|mut values| values.next());
        }
    }

    fn operand(&mut self, program: &Program, text: &OsStr) {
        match text.to_str() {
            Some(text) if !program.operands.is_empty() => self.operands.push(text.to_owned()),
            Some(text) => self.add(Place::Argument(text.to_owned()), "is not expected"),
            None => self.add(
                Place::Argument(text.to_string_lossy().into_owned()),
                "is not valid UTF-8",
            ),
        }
    }
}

impl Setting {
    /// The place of a finding about this setting.
    pub(crate) fn place(&self) -> Place {
        Place::Setting {
            flag: self.flag,
            variable: self.variable(),
        }
    }
}
