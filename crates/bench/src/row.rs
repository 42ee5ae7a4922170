//! Output: one JSON line for each scenario and measure.

use serde::Serialize;

/// Result under a plain policy with the same seed.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Baseline {
    /// Name of the plain policy.
    pub policy: &'static str,
    /// Its value; `None` when the measure never became finite.
    pub value: Option<f64>,
}

/// Direction of a bound.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Bound {
    /// The value may not be larger.
    AtMost(f64),
    /// The value may not be smaller.
    AtLeast(f64),
}

/// One measured row.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Row {
    /// Scenario.
    pub scenario: String,
    /// Measure.
    pub measure: String,
    /// Measured value; `None` when the measure never became finite.
    pub value: Option<f64>,
    /// Unit of the value.
    pub unit: &'static str,
    /// The same measure under a plain policy.
    pub baseline: Option<Baseline>,
    /// Bound on the value.
    pub bound: Option<Bound>,
    /// Whether the bound holds; rows without a bound always hold.
    pub holds: bool,
}

impl Row {
    /// A row; `holds` follows from value and bound.
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
            value: finite(value),
            unit,
            baseline: None,
            bound,
            holds,
        }
    }

    /// The row with the value of a plain policy beside it.
    pub fn against(self, policy: &'static str, value: f64) -> Self {
        Self { baseline: Some(Baseline { policy, value: finite(value) }), ..self }
    }
}

/// Four significant decimals, so that the output does not depend on the order of summation.
fn finite(value: f64) -> Option<f64> {
    value.is_finite().then(|| (value * 1e4).round() / 1e4)
}
