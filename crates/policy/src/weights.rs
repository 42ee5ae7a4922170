//! Policy settings that are derived from the weights of the deployment's bundle.

use hickoryreel_base::bundle::Weights;

use crate::health;
use crate::limit;

/// Share of the sum of the weights from which one weight counts as dominant.
const DOMINANT_SHARE: f64 = 0.4;

/// Settings derived from the weights.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Tuning {
    /// Fraction of each endpoint's limit that normal and bulk requests leave free.
    pub headroom: [f64; 2],
    /// Factor on the exposure budget of a roll-out step. Below 1 it also reduces the number of
    /// requests that may be pending a rating.
    pub exposure_factor: f64,
    /// Whether urgent requests may use a cascade of two models.
    pub urgent_cascade: bool,
}

impl Tuning {
    /// Derives the settings from `weights`. Only the ratio of the weights matters.
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

    /// Applies the headroom to the settings of the concurrency limits.
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

    /// Applies the exposure factor to the settings of the health test.
    pub fn health(&self, settings: health::Settings) -> health::Settings {
        let budget = f64::from(settings.exposure_budget) * self.exposure_factor;
        health::Settings {
            exposure_budget: budget.round() as u32,
            max_pending: settings.max_pending * self.exposure_factor.min(1.0),
            ..settings
        }
    }
}
