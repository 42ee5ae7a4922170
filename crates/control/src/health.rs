//! Health of the versions that are being rolled out, from ratings and from closed records.
//!
//! The sequential tests are soft state of the leader: a new leader starts them anew, which only
//! makes a step last longer.

use std::collections::BTreeMap;
use std::time::Instant;

use hickoryreel_base::name::Version;
use hickoryreel_policy::health::Settings;
use hickoryreel_policy::health::Signal;
use hickoryreel_policy::health::Test;
use hickoryreel_state::command::BundleId;
use parking_lot::Mutex;

pub use hickoryreel_policy::health::Verdict;

/// Which version is judged, and where its roll-out stands.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Subject {
    /// The bundle that is being rolled out.
    pub bundle: BundleId,
    /// The step it is in.
    pub step: u32,
    /// The version.
    pub version: Version,
    /// The version it replaces.
    pub replaces: Option<Version>,
    /// Requests of one step before its health is known.
    pub exposure_budget: u32,
}

/// Health of the versions that are being rolled out.
#[derive(Debug)]
pub struct Health {
    /// Origin of the times that the tests see.
    origin: Instant,
    tests: Mutex<BTreeMap<Version, (Subject, Test)>>,
}

impl Default for Health {
    fn default() -> Self {
        Self { origin: Instant::now(), tests: Mutex::default() }
    }
}

impl Health {
    /// The verdict on a version. The first question starts its test; a later step continues it.
    pub fn verdict(&self, subject: &Subject) -> Verdict {
        let mut tests = self.tests.lock();
        tests.retain(|_, (known, _)| known.bundle == subject.bundle);
        let (known, test) = tests.entry(subject.version.clone()).or_insert_with(|| {
            let standard = Settings::default();
            let settings = Settings { exposure_budget: subject.exposure_budget, ..standard };
            (subject.clone(), Test::new(settings))
        });
        if known.step != subject.step {
            known.step = subject.step;
            test.next_step();
        }
        test.verdict(self.origin.elapsed())
    }

    /// Whether a version is being judged.
    pub fn is_judging(&self) -> bool {
        !self.tests.lock().is_empty()
    }

    /// Forgets all tests.
    pub fn clear(&self) {
        self.tests.lock().clear();
    }

    /// Notes that a request was opened on `version`.
    pub fn served(&self, version: &Version) {
        if let Some((_, test)) = self.tests.lock().get_mut(version) {
            test.on_served();
        }
    }

    /// Takes in a signal of `version`.
    pub fn observe(&self, version: &Version, signal: Signal) {
        for (subject, test) in self.tests.lock().values_mut() {
            if subject.version == *version {
                test.observe(signal, self.origin.elapsed());
            } else if subject.replaces.as_ref() == Some(version) {
                test.observe_baseline(signal);
            }
        }
    }
}
