//! Health of versions: placeholder until the policy branch is merged.

use hickoryreel_base::name::Version;

/// State of a roll-out step.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// The evidence suffices for the next step.
    Healthy,
    /// The version is worse than the one it replaces.
    Bad(u8),
}

/// Health of the versions that are being rolled out.
#[derive(Default)]
pub struct Health;

impl Health {
    /// What is known.
    pub fn verdict(&self, _: u64, _: u32, _: &Version, _: Option<&Version>, _: u32) -> Verdict {
        Verdict::Healthy
    }
}
