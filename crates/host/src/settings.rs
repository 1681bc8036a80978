//! Settings in an INI file, all of which are checked before a program starts.
//!
//! Every program lists its keys with the kind and the default of each. Unknown sections and keys, wrong units, values
//! out of range and missing keys are errors that name the file, the key, the value and what is allowed.

use std::net::SocketAddr;

use indexmap::IndexMap;
use ini::Ini;
use smol_str::SmolStr;
use snafu::{ensure, OptionExt, ResultExt};

use crate::errors::{FileSnafu, KeySnafu, MissingSnafu, Result, SectionSnafu, ValueSnafu};

/// The kind of a value: its format and its range.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// Any text that is not empty.
    Text,
    /// An IP address and a port.
    Address,
    /// IP addresses with ports, separated by commas; may be empty.
    Addresses,
    /// A whole number.
    Count {
        /// The smallest allowed number.
        least: u64,
        /// The largest allowed number.
        most: u64,
    },
    /// A time with its unit, `ms` or `s`.
    Time {
        /// The shortest allowed time, in milliseconds.
        least_ms: u64,
        /// The longest allowed time, in milliseconds.
        most_ms: u64,
    },
    /// A size with its unit, `B`, `KiB` or `MiB`.
    Size {
        /// The smallest allowed size, in bytes.
        least: u64,
        /// The largest allowed size, in bytes.
        most: u64,
    },
    /// A number from 0 up, which may have a fraction.
    Fraction {
        /// The largest allowed number.
        most: u32,
    },
    /// Words, separated by commas; may be empty.
    Words,
    /// One of a list of words.
    Choice(&'static [&'static str]),
}

/// One key of a settings file.
#[derive(Clone, Copy, Debug)]
pub struct Key {
    /// The name of the section.
    pub section: &'static str,
    /// The name within the section.
    pub name: &'static str,
    /// The kind of the value.
    pub kind: Kind,
    /// The value if the file does not set the key; a key without a default is required.
    pub default: Option<&'static str>,
    /// The purpose of the key in one line, for the help text.
    pub about: &'static str,
}

impl Key {
    /// Creates a key; one without a default is required.
    ///
    /// # Examples
    ///
    /// ```
    /// use sardinemux_host::settings::{Key, Kind};
    ///
    /// const ZONE: Key = Key::new("instance", "zone", Kind::Text, None, "The zone.");
    /// assert_eq!(ZONE.name, "zone");
    /// ```
    pub const fn new(
        section: &'static str,
        name: &'static str,
        kind: Kind,
        default: Option<&'static str>,
        about: &'static str,
    ) -> Self {
        Self {
            section,
            name,
            kind,
            default,
            about,
        }
    }
}

/// The units of a time and their lengths in milliseconds.
const TIME_UNITS: [(&str, u64); 2] = [("ms", 1), ("s", 1_000)];

/// The units of a size and their sizes in bytes.
const SIZE_UNITS: [(&str, u64); 3] = [("KiB", 1 << 10), ("MiB", 1 << 20), ("B", 1)];

/// Parses a number with a unit, which may have a fraction, and rounds it to the base unit: milliseconds or bytes.
fn parse_quantity(text: &str, units: &[(&str, u64)]) -> Option<u64> {
    units.iter().find_map(|(unit, factor)| {
        let digits = text.strip_suffix(unit)?.trim_end();
        if let Ok(whole) = digits.parse::<u64>() {
            return whole.checked_mul(*factor);
        }
        let fraction = parse_fraction(digits)? * *factor as f64;
        Some(fraction.round() as u64)
    })
}

fn parse_fraction(text: &str) -> Option<f64> {
    let number: f64 = text.parse().ok()?;
    (number.is_finite() && number >= 0.0).then_some(number)
}

impl Kind {
    /// Creates the kind of a time between two bounds, in milliseconds.
    pub const fn time(least_ms: u64, most_ms: u64) -> Self {
        Self::Time { least_ms, most_ms }
    }

    /// Returns a description of the allowed values, for error messages and the help text.
    pub fn describe(self) -> String {
        match self {
            Self::Text => "a text that is not empty".to_owned(),
            Self::Address => "an address as ip:port".to_owned(),
            Self::Addresses => "addresses as ip:port, separated by commas".to_owned(),
            Self::Count { least, most } => format!("a whole number from {least} to {most}"),
            Self::Time { least_ms, most_ms } => {
                format!("a time in ms or s, from {least_ms}ms to {most_ms}ms")
            }
            Self::Size { least, most } => {
                format!("a size in B, KiB or MiB, from {least}B to {most}B")
            }
            Self::Fraction { most } => format!("a number from 0 to {most}"),
            Self::Words => "words, separated by commas".to_owned(),
            Self::Choice(words) => format!("one of {}", words.join(", ")),
        }
    }

    /// Returns whether a value is of this kind and within its range.
    ///
    /// # Examples
    ///
    /// ```
    /// use sardinemux_host::settings::Kind;
    ///
    /// let kind = Kind::Time { least_ms: 1, most_ms: 5_000 };
    /// assert!(kind.accepts("2s"));
    /// assert!(!kind.accepts("2"));
    /// assert!(!kind.accepts("2min"));
    /// ```
    pub fn accepts(self, text: &str) -> bool {
        let between = |value: Option<u64>, least: u64, most: u64| {
            value.is_some_and(|value| value >= least && value <= most)
        };
        match self {
            Self::Text => !text.is_empty(),
            Self::Address => text.parse::<SocketAddr>().is_ok(),
            Self::Addresses => parse_addresses(text).is_some(),
            Self::Count { least, most } => between(text.parse().ok(), least, most),
            Self::Time { least_ms, most_ms } => {
                between(parse_quantity(text, &TIME_UNITS), least_ms, most_ms)
            }
            Self::Size { least, most } => between(parse_quantity(text, &SIZE_UNITS), least, most),
            Self::Fraction { most } => {
                parse_fraction(text).is_some_and(|number| number <= f64::from(most))
            }
            Self::Words => !text.contains(['\n', '\r']),
            Self::Choice(words) => words.contains(&text),
        }
    }
}

fn parse_addresses(text: &str) -> Option<Vec<SocketAddr>> {
    let parts = text.split(',').map(str::trim);
    parts
        .filter(|part| !part.is_empty())
        .map(|part| part.parse().ok())
        .collect()
}

/// The checked values of a settings file.
#[derive(Clone, Debug, Default)]
pub struct Values {
    file: String,
    values: IndexMap<(SmolStr, SmolStr), (Kind, SmolStr)>,
}

impl Values {
    /// Reads and checks a settings file.
    ///
    /// # Errors
    ///
    /// `Error::File`, `Error::Section`, `Error::Key`, `Error::Value` or `Error::Missing`.
    pub fn load(file: &str, keys: &[Key]) -> Result<Self> {
        let ini = Ini::load_from_file(file).context(FileSnafu { file })?;
        Self::from_ini(file, &ini, keys)
    }

    /// Reads and checks settings from a text; `file` is the name in error messages.
    ///
    /// # Errors
    ///
    /// As [`Values::load`].
    ///
    /// # Examples
    ///
    /// ```
    /// use sardinemux_host::settings::{Key, Kind, Values};
    ///
    /// let keys = [Key {
    ///     section: "peer",
    ///     name: "period",
    ///     kind: Kind::Time { least_ms: 1, most_ms: 10_000 },
    ///     default: None,
    ///     about: "The time between two exchanges.",
    /// }];
    /// let values = Values::parse("router.ini", "[peer]\nperiod = 2s\n", &keys)?;
    /// assert_eq!(values.number("peer", "period")?, 2_000);
    /// assert!(Values::parse("router.ini", "[peer]\nperiod = 2\n", &keys).is_err());
    /// # Ok::<(), sardinemux_host::prelude::Error>(())
    /// ```
    pub fn parse(file: &str, text: &str, keys: &[Key]) -> Result<Self> {
        let parsed = Ini::load_from_str(text).map_err(ini::Error::Parse);
        let ini = parsed.context(FileSnafu { file })?;
        Self::from_ini(file, &ini, keys)
    }

    fn from_ini(file: &str, ini: &Ini, keys: &[Key]) -> Result<Self> {
        for (section, properties) in ini {
            let section = section.unwrap_or("");
            if section.is_empty() && properties.is_empty() {
                continue;
            }
            check_section(file, section, keys)?;
            for (name, value) in properties {
                check_key(file, section, name, value, keys)?;
            }
        }
        let mut values = IndexMap::new();
        for key in keys {
            let given = ini.get_from(Some(key.section), key.name);
            let value = given.or(key.default).context(MissingSnafu {
                file,
                section: key.section,
                key: key.name,
                allowed: key.kind.describe(),
            })?;
            values.insert(
                (key.section.into(), key.name.into()),
                (key.kind, value.into()),
            );
        }
        let file = file.to_owned();
        Ok(Self { file, values })
    }

    /// Returns the path of the settings file.
    pub fn file(&self) -> &str {
        &self.file
    }

    fn value(&self, section: &str, name: &str) -> Result<&(Kind, SmolStr)> {
        let key = (SmolStr::from(section), SmolStr::from(name));
        self.values.get(&key).context(MissingSnafu {
            file: self.file.clone(),
            section,
            key: name,
            allowed: "a key that the program lists",
        })
    }

    /// Returns the value of a key as text, whatever its kind is.
    ///
    /// # Errors
    ///
    /// `Error::Missing` for a key that the program does not list.
    pub fn text(&self, section: &str, name: &str) -> Result<SmolStr> {
        Ok(self.value(section, name)?.1.clone())
    }

    /// Returns an address.
    ///
    /// # Errors
    ///
    /// `Error::Missing` for a key that the program does not list, `Error::Value` for one whose value is of another
    /// kind.
    pub fn address(&self, section: &str, name: &str) -> Result<SocketAddr> {
        let (kind, value) = self.value(section, name)?;
        value.parse().ok().context(ValueSnafu {
            file: self.file.clone(),
            section,
            key: name,
            value: value.to_string(),
            allowed: kind.describe(),
        })
    }

    /// Returns a list of addresses.
    ///
    /// # Errors
    ///
    /// As [`Values::address`].
    pub fn addresses(&self, section: &str, name: &str) -> Result<Vec<SocketAddr>> {
        let (kind, value) = self.value(section, name)?;
        parse_addresses(value).context(ValueSnafu {
            file: self.file.clone(),
            section,
            key: name,
            value: value.to_string(),
            allowed: kind.describe(),
        })
    }

    /// Returns a count, a time in milliseconds or a size in bytes.
    ///
    /// # Errors
    ///
    /// As [`Values::address`].
    pub fn number(&self, section: &str, name: &str) -> Result<u64> {
        let (kind, value) = self.value(section, name)?;
        let number = match kind {
            Kind::Time { .. } => parse_quantity(value, &TIME_UNITS),
            Kind::Size { .. } => parse_quantity(value, &SIZE_UNITS),
            _ => value.parse().ok(),
        };
        number.context(ValueSnafu {
            file: self.file.clone(),
            section,
            key: name,
            value: value.to_string(),
            allowed: kind.describe(),
        })
    }
}

impl Values {
    /// Returns a number that may have a fraction.
    ///
    /// # Errors
    ///
    /// As [`Values::address`].
    pub fn fraction(&self, section: &str, name: &str) -> Result<f64> {
        let (kind, value) = self.value(section, name)?;
        parse_fraction(value).context(ValueSnafu {
            file: self.file.clone(),
            section,
            key: name,
            value: value.to_string(),
            allowed: kind.describe(),
        })
    }
}

fn check_section(file: &str, section: &str, keys: &[Key]) -> Result<()> {
    let mut sections: Vec<&str> = keys.iter().map(|key| key.section).collect();
    sections.dedup();
    ensure!(
        sections.contains(&section),
        SectionSnafu {
            file,
            section,
            allowed: sections.join(", ")
        }
    );
    Ok(())
}

fn check_key(file: &str, section: &str, name: &str, value: &str, keys: &[Key]) -> Result<()> {
    let of_section = keys.iter().filter(|key| key.section == section);
    let names: Vec<&str> = of_section.map(|key| key.name).collect();
    let key = keys
        .iter()
        .find(|key| key.section == section && key.name == name)
        .context(KeySnafu {
            file,
            section,
            key: name,
            value,
            allowed: names.join(", "),
        })?;
    ensure!(
        key.kind.accepts(value),
        ValueSnafu {
            file,
            section,
            key: name,
            value,
            allowed: key.kind.describe()
        }
    );
    Ok(())
}
