//! Weighted choices, as the command line writes them.

use std::fmt;
use std::str::FromStr;

use rand::RngExt;
use rand_xoshiro::Xoshiro256PlusPlus;
use smol_str::SmolStr;

/// Names with weights, written `larkfield:3,st-brigids:1`; a weight of 1 may
/// be left out.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Mix {
    items: Vec<(SmolStr, u32)>,
    total: u32,
}

/// Why a text is not a [`Mix`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum MixError {
    /// No name is given, or one is empty.
    Empty,
    /// A weight is not a whole number above 0.
    Weight(String),
}

impl fmt::Display for MixError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Empty => f.write_str("a name is missing"),
            Self::Weight(text) => write!(f, "weight {text:?} is not a number above 0"),
        }
    }
}

impl std::error::Error for MixError {}

impl FromStr for Mix {
    type Err = MixError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let items = text.split(',').map(item).collect::<Result<Vec<_>, _>>()?;
        let total = items.iter().map(|(_, weight)| weight).sum();
        Ok(Self { items, total })
    }
}

impl Mix {
    pub(crate) fn pick(&self, rng: &mut Xoshiro256PlusPlus) -> SmolStr {
        let mut rest = rng.random_range(0..self.total);
        for (name, weight) in &self.items {
            if rest < *weight {
                return name.clone();
            }
            rest -= weight;
        }
        unreachable!("the weights add up to the total")
    }
}

fn item(text: &str) -> Result<(SmolStr, u32), MixError> {
    let (name, weight) = text.split_once(':').unwrap_or((text, "1"));
    if name.is_empty() {
        return Err(MixError::Empty);
    }
    match weight.parse() {
        Ok(weight) if weight > 0 => Ok((name.into(), weight)),
        _ => Err(MixError::Weight(weight.to_owned())),
    }
}
