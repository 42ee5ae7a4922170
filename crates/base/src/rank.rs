//! Ranks of work, most urgent first.

use derive_more::Display;
use serde::Deserialize;
use serde::Serialize;

/// A rank of work. The order of the variants is the order of service.
#[derive(
    Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(rename_all = "snake_case")]
pub enum Rank {
    /// Someone waits for the answer.
    #[display("urgent")]
    Urgent,
    /// Ordinary work.
    #[display("normal")]
    Normal,
    /// Work that can wait.
    #[display("bulk")]
    Bulk,
}

impl Rank {
    /// All ranks, most urgent first.
    pub const ALL: [Self; 3] = [Self::Urgent, Self::Normal, Self::Bulk];

    /// Position in [`Self::ALL`], for tables indexed by rank.
    pub fn index(self) -> usize {
        self as usize
    }
}

impl std::str::FromStr for Rank {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        Self::ALL
            .into_iter()
            .find(|rank| rank.to_string() == text)
            .ok_or_else(|| format!("unknown rank {text:?}, expected urgent, normal or bulk"))
    }
}
