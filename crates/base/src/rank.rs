//! Ranks, the priority classes of requests.

use derive_more::Display;
use serde::Deserialize;
use serde::Serialize;

/// Priority class of a request. Variants are ordered from highest to lowest priority.
#[derive(
    Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(rename_all = "snake_case")]
pub enum Rank {
    /// Someone is waiting for the answer.
    #[display("urgent")]
    Urgent,
    /// Ordinary work.
    #[display("normal")]
    Normal,
    /// Work that tolerates long waits.
    #[display("bulk")]
    Bulk,
}

impl Rank {
    /// All ranks, highest priority first.
    pub const ALL: [Self; 3] = [Self::Urgent, Self::Normal, Self::Bulk];

    /// Index in [`Self::ALL`], for arrays with one element per rank.
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
