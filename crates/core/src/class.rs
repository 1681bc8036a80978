//! The classes of work, with their scheduling weights and engine priorities.

use serde::{Deserialize, Serialize};

/// The class of work that a request belongs to.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Class {
    /// A booking, payment, publish or refund.
    Transaction,
    /// An availability check or a library look-up.
    Lookup,
    /// An interactive chat.
    Chat,
    /// A slot suggestion or a tag suggestion.
    Suggestion,
    /// An overnight review or a season plan.
    Review,
}

/// Every class, most urgent first.
pub const ALL: [Class; 5] = [
    Class::Transaction,
    Class::Lookup,
    Class::Chat,
    Class::Suggestion,
    Class::Review,
];

impl Class {
    /// Returns the name that callers and metrics use.
    ///
    /// # Examples
    ///
    /// ```
    /// use sardinemux_core::class::Class;
    ///
    /// assert_eq!(Class::parse("review"), Some(Class::Review));
    /// assert_eq!(Class::Review.name(), "review");
    /// ```
    pub fn name(self) -> &'static str {
        match self {
            Self::Transaction => "transaction",
            Self::Lookup => "lookup",
            Self::Chat => "chat",
            Self::Suggestion => "suggestion",
            Self::Review => "review",
        }
    }

    /// Returns the class with the given name.
    pub fn parse(name: &str) -> Option<Self> {
        ALL.into_iter().find(|class| class.name() == name)
    }

    /// Returns the index of the class in [`ALL`].
    pub fn index(self) -> usize {
        self as usize
    }

    /// Returns the scheduling weight of the class among the classes of one organisation.
    pub fn weight(self) -> f64 {
        match self {
            Self::Transaction => 16.0,
            Self::Lookup => 8.0,
            Self::Chat => 4.0,
            Self::Suggestion => 2.0,
            Self::Review => 1.0,
        }
    }

    /// Returns the priority that is sent to engines; a smaller one is served first.
    pub fn priority(self) -> u8 {
        self as u8
    }
}
