//! Words of one line, taken one after the other.

use smol_str::SmolStr;
use stoatstep_membership::Time;

use super::{Finding, Fleet, Place};
use crate::world::{Index, ZoneIndex};

/// Longest time that a scenario may name; its run stays bounded by it.
const LONGEST: Time = Time::from_hours(1);

/// One line, from the first word that was not taken yet.
pub(super) struct Words<'a> {
    line: usize,
    list: Vec<(usize, &'a str)>,
    next: usize,
    end: usize,
    fleet: Fleet,
}

impl<'a> Words<'a> {
    pub(super) fn new(line: usize, text: &'a str, fleet: Fleet) -> Self {
        let text = text.split('#').next().unwrap_or_default();
        let is_start = |(i, _): &(usize, char)| {
            let before = text[..*i].chars().next_back();
            before.is_none_or(char::is_whitespace)
        };
        let starts = text.char_indices().filter(|(_, c)| !c.is_whitespace());
        let words = starts.filter(is_start).map(|(i, _)| {
            let word = text[i..].split(char::is_whitespace).next();
            (text[..i].chars().count() + 1, word.unwrap_or_default())
        });
        Self {
            line,
            list: words.collect(),
            next: 0,
            end: text.trim_end().chars().count() + 1,
            fleet,
        }
    }

    pub(super) fn is_empty(&self) -> bool {
        self.list.is_empty()
    }

    pub(super) fn peek(&self) -> Option<&'a str> {
        self.list.get(self.next).map(|(_, word)| *word)
    }

    pub(super) fn next(&mut self, what: &str) -> Result<&'a str, Finding> {
        let word = self.peek();
        self.next += 1;
        word.ok_or_else(|| self.wrong(format!("{what} is missing")))
    }

    /// A finding at the word taken last.
    pub(super) fn wrong(&self, message: impl Into<String>) -> Finding {
        let last = self.next.checked_sub(1).and_then(|i| self.list.get(i));
        Finding {
            line: self.line,
            column: last.map_or(self.end, |(column, _)| *column),
            message: message.into(),
        }
    }

    pub(super) fn keyword(&mut self, word: &str) -> Result<(), Finding> {
        let found = self.next(&format!("`{word}`"))?;
        if found == word {
            return Ok(());
        }
        Err(self.wrong(format!("expected `{word}`, found `{found}`")))
    }

    /// The value of `name=` where it is the next word.
    pub(super) fn option(&mut self, name: &str) -> Option<&'a str> {
        let word = self.peek()?.strip_prefix(name)?.strip_prefix('=')?;
        self.next += 1;
        Some(word)
    }

    pub(super) fn finish(&mut self) -> Result<(), Finding> {
        match self.peek() {
            None => Ok(()),
            Some(word) => {
                self.next += 1;
                Err(self.wrong(format!("`{word}` is one word too many")))
            }
        }
    }

    pub(super) fn name(&mut self, what: &str) -> Result<SmolStr, Finding> {
        self.next(what).map(SmolStr::new)
    }

    pub(super) fn number<T: std::str::FromStr>(&mut self) -> Result<T, Finding> {
        let word = self.next("a number")?;
        self.parse_number(word)
    }

    pub(super) fn parse_number<T: std::str::FromStr>(&self, word: &str) -> Result<T, Finding> {
        word.parse()
            .map_err(|_| self.wrong(format!("`{word}` is no number that fits here")))
    }

    pub(super) fn time(&mut self) -> Result<Time, Finding> {
        let word = self.next("a time")?;
        self.parse_time(word)
    }

    pub(super) fn parse_time(&self, word: &str) -> Result<Time, Finding> {
        let wrong = || self.wrong(format!("`{word}` is no time; write 800ms, 5s or 2m"));
        let unit = word.find(|c: char| !c.is_ascii_digit()).ok_or_else(wrong)?;
        let (digits, unit) = word.split_at(unit);
        let number: u32 = digits.parse().map_err(|_| wrong())?;
        let time = match unit {
            "ms" => Time::from_millis(number.into()),
            "s" => Time::from_secs(number.into()),
            "m" => Time::from_secs(u64::from(number) * 60),
            _ => return Err(wrong()),
        };
        if time > LONGEST {
            return Err(self.wrong("a scenario ends within an hour"));
        }
        Ok(time)
    }

    pub(super) fn instance(&mut self) -> Result<Index, Finding> {
        let word = self.next("an instance")?;
        self.parse_instance(word)
    }

    fn parse_instance(&self, word: &str) -> Result<Index, Finding> {
        let count = self.fleet.instances();
        numbered(word, 'i', count)
            .ok_or_else(|| self.wrong(format!("`{word}` is no instance; there are i1 to i{count}")))
    }

    pub(super) fn zone(&mut self) -> Result<ZoneIndex, Finding> {
        let word = self.next("a zone")?;
        let count = self.fleet.zones;
        numbered(word, 'z', count)
            .ok_or_else(|| self.wrong(format!("`{word}` is no zone; there are z1 to z{count}")))
    }

    /// `iN`, `zone zN` or `all`.
    pub(super) fn place(&mut self) -> Result<Place, Finding> {
        match self.next("`iN`, `zone zN` or `all`")? {
            "all" => Ok(Place::Everywhere),
            "zone" => self.zone().map(Place::Zone),
            word => self.parse_instance(word).map(Place::Instance),
        }
    }

    /// `everywhere`, `in zN` or `at iN`.
    pub(super) fn whereabouts(&mut self) -> Result<Place, Finding> {
        match self.next("`everywhere`, `in zN` or `at iN`")? {
            "everywhere" => Ok(Place::Everywhere),
            "in" => self.zone().map(Place::Zone),
            "at" => self.instance().map(Place::Instance),
            word => Err(self.wrong(format!(
                "expected `everywhere`, `in` or `at`, found `{word}`"
            ))),
        }
    }
}

fn numbered(word: &str, prefix: char, count: usize) -> Option<usize> {
    let number: usize = word.strip_prefix(prefix)?.parse().ok()?;
    (1..=count).contains(&number).then(|| number - 1)
}
