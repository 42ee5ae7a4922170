//! Output rows: one JSON line for each scenario and measure.

use serde::Serialize;

/// Result under a baseline policy with the same seed.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Baseline {
    /// Name of the baseline policy.
    pub policy: &'static str,
    /// Value under this policy; `None` if it is not finite.
    pub value: Option<f64>,
}

/// Bound on a value.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Bound {
    /// The value must not be larger.
    AtMost(f64),
    /// The value must not be smaller.
    AtLeast(f64),
}

/// A measured value with its bound.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Row {
    pub scenario: String,
    /// Name of the measure.
    pub measure: String,
    /// Measured value; `None` if it is not finite.
    pub value: Option<f64>,
    pub unit: &'static str,
    /// The same measure under a baseline policy.
    pub baseline: Option<Baseline>,
    pub bound: Option<Bound>,
    /// Whether the bound holds; true without a bound.
    pub holds: bool,
}

impl Row {
    /// Creates a row; `holds` follows from value and bound.
    pub fn new(
        scenario: &str,
        measure: &str,
        value: f64,
        unit: &'static str,
        bound: impl Into<Option<Bound>>,
    ) -> Self {
        let bound = bound.into();
        let holds = match bound {
            Some(Bound::AtMost(most)) => value <= most,
            Some(Bound::AtLeast(least)) => value >= least,
            None => true,
        };
        Self {
            scenario: scenario.to_owned(),
            measure: measure.to_owned(),
            value: rounded(value),
            unit,
            baseline: None,
            bound,
            holds,
        }
    }

    /// Adds the value under a baseline policy.
    pub fn with_baseline(self, policy: &'static str, value: f64) -> Self {
        Self { baseline: Some(Baseline { policy, value: rounded(value) }), ..self }
    }
}

/// Rounds to four decimal places, so that the output does not depend on the order of summation.
/// Returns `None` if the value is not finite.
fn rounded(value: f64) -> Option<f64> {
    value.is_finite().then(|| (value * 1e4).round() / 1e4)
}
