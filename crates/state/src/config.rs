//! The configuration that entries route by.

use std::collections::BTreeSet;
use std::sync::Arc;

use hickoryreel_base::name::Version;
use serde::Deserialize;
use serde::Serialize;

use crate::command::BundleId;
use crate::command::FULL_PACE;
use crate::command::Revision;

/// Configuration in force at one revision.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Config {
    /// Revision of this configuration.
    pub revision: Revision,
    /// The bundle in force.
    pub active: Option<Published>,
    /// The bundle that is being rolled out.
    pub candidate: Option<Candidate>,
    /// Versions that receive no new work.
    pub withdrawn: BTreeSet<Version>,
}

/// A bundle as published to entries.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Published {
    /// The bundle.
    pub bundle: BundleId,
    /// Its text.
    pub text: Arc<str>,
}

/// A bundle under roll-out.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Candidate {
    /// The bundle.
    pub published: Published,
    /// Share of requests that follow it, in percent.
    pub percent: u8,
    /// The step it is in, counted from 1 in the bundle's list; 0 before the first step.
    pub step: u32,
    /// Whether the roll-out is paused.
    pub paused: bool,
    /// Parts of [`FULL_PACE`] of the share that take new requests.
    pub pace: u8,
}

impl Candidate {
    /// Share of requests that follow the bundle at the present pace, 0 to 1.
    pub fn share(&self) -> f64 {
        f64::from(self.percent) / 100.0 * f64::from(self.pace) / f64::from(FULL_PACE)
    }
}
