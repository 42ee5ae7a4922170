//! The configuration that entries route by.

use std::collections::BTreeSet;
use std::sync::Arc;

use hickoryreel_base::name::Version;
use serde::Deserialize;
use serde::Serialize;

use crate::command::BundleId;
use crate::command::FULL_PACE;
use crate::command::Revision;

/// The configuration at one revision.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Config {
    pub revision: Revision,
    /// The bundle in force; `None` until the first one is rolled out.
    pub active: Option<PublishedBundle>,
    /// The bundle being rolled out, if any.
    pub candidate: Option<Candidate>,
    /// Versions that receive no new work.
    pub withdrawn: BTreeSet<Version>,
}

/// A bundle as published to entries.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PublishedBundle {
    pub bundle: BundleId,
    pub text: Arc<str>,
}

/// A bundle that is being rolled out.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Candidate {
    pub published: PublishedBundle,
    /// Share of requests that are routed by this bundle at full pace, in percent.
    pub percent: u8,
    /// The current step, counted from 1 in the bundle's list of steps; 0 before the first step.
    pub step: u32,
    pub paused: bool,
    /// Part of the share that takes new requests, from 0 to [`FULL_PACE`].
    pub pace: u8,
}

impl Candidate {
    /// Share of requests that are routed by the bundle at the current pace, from 0 to 1.
    pub fn share(&self) -> f64 {
        f64::from(self.percent) / 100.0 * f64::from(self.pace) / f64::from(FULL_PACE)
    }
}
