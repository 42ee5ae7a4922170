//! Health of the versions that are being rolled out, based on ratings and closed records.
//!
//! The sequential tests are soft state of the leader. A new leader starts them from the beginning,
//! which only makes the current step take longer.

use std::collections::BTreeMap;
use std::time::Instant;

use hickoryreel_base::name::Version;
use hickoryreel_policy::health::Settings;
use hickoryreel_policy::health::Signal;
use hickoryreel_policy::health::Test;
use hickoryreel_state::command::BundleId;
use parking_lot::Mutex;

pub use hickoryreel_policy::health::Verdict;

/// A version under test and the progress of its roll-out.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TestedVersion {
    /// The bundle that is being rolled out.
    pub bundle: BundleId,
    /// The current step of the roll-out.
    pub step: u32,
    pub version: Version,
    /// The version that it replaces, which is the baseline of the test.
    pub replaces: Option<Version>,
    /// Maximum number of requests in one step while the verdict is undecided.
    pub exposure_budget: u32,
}

/// Health tests by version.
#[derive(Debug)]
pub struct Health {
    /// Time origin of the tests.
    started_at: Instant,
    tests: Mutex<BTreeMap<Version, (TestedVersion, Test)>>,
}

impl Default for Health {
    fn default() -> Self {
        Self { started_at: Instant::now(), tests: Mutex::default() }
    }
}

impl Health {
    /// Returns the verdict on a version. The first call starts its test; later steps of the same
    /// roll-out continue it.
    pub fn verdict(&self, tested: &TestedVersion) -> Verdict {
        let mut tests = self.tests.lock();
        tests.retain(|_, (current, _)| current.bundle == tested.bundle);
        let (current, test) = tests.entry(tested.version.clone()).or_insert_with(|| {
            let defaults = Settings::default();
            let settings = Settings { exposure_budget: tested.exposure_budget, ..defaults };
            (tested.clone(), Test::new(settings))
        });
        if current.step != tested.step {
            current.step = tested.step;
            test.next_step();
        }
        test.verdict(self.started_at.elapsed())
    }

    /// Whether a version is being tested.
    pub fn is_testing(&self) -> bool {
        !self.tests.lock().is_empty()
    }

    /// Discards all tests.
    pub fn clear(&self) {
        self.tests.lock().clear();
    }

    /// Records that a request was opened on `version`.
    pub fn on_request_opened(&self, version: &Version) {
        if let Some((_, test)) = self.tests.lock().get_mut(version) {
            test.on_served();
        }
    }

    /// Records a signal about `version`, for its own test and as the baseline of others.
    pub fn observe(&self, version: &Version, signal: Signal) {
        for (tested, test) in self.tests.lock().values_mut() {
            if tested.version == *version {
                test.observe(signal, self.started_at.elapsed());
            } else if tested.replaces.as_ref() == Some(version) {
                test.observe_baseline(signal);
            }
        }
    }
}
