//! What the weights of a deployment's bundle change.

use hickoryreel_base::bundle::Weights;

use crate::health;
use crate::limit;

/// Share of the three weights from which one of them counts as dominant.
const DOMINANT_SHARE: f64 = 0.4;

/// Settings that follow from the weights.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Tuning {
    /// Share of each endpoint's limit kept free of normal and of bulk work.
    pub headroom: [f64; 2],
    /// Factor on the exposure budget of a roll-out step. Below 1 it also reduces the requests that
    /// may wait for their ratings.
    pub exposure_factor: f64,
    /// Whether urgent requests may use a cascade.
    pub urgent_cascade: bool,
}

impl Tuning {
    /// Settings for `weights`; only the ratio of the weights matters.
    pub fn new(weights: &Weights) -> Self {
        let total = weights.urgent_latency + weights.exposure + weights.flood;
        let urgent = weights.urgent_latency / total;
        let exposure = weights.exposure / total;
        Self {
            headroom: [0.05 + 0.05 * urgent, 0.1 + 0.1 * urgent],
            exposure_factor: (1.0 / (3.0 * exposure)).clamp(0.25, 2.0),
            urgent_cascade: urgent < DOMINANT_SHARE,
        }
    }

    /// Applies the headroom to the concurrency limits.
    pub fn limit(&self, settings: limit::Settings) -> limit::Settings {
        limit::Settings {
            fill_fractions: [
                settings.fill_fractions[0],
                1.0 - self.headroom[0],
                1.0 - self.headroom[1],
            ],
            ..settings
        }
    }

    /// Applies the caution to the health test.
    pub fn health(&self, settings: health::Settings) -> health::Settings {
        let budget = f64::from(settings.exposure_budget) * self.exposure_factor;
        health::Settings {
            exposure_budget: budget.round() as u32,
            max_pending: settings.max_pending * self.exposure_factor.min(1.0),
            ..settings
        }
    }
}
