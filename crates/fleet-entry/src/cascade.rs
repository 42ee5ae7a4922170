//! Choice of the model: a small one first, a larger one if it doubts its own answer.
//!
//! A model states its confidence with the head of its answer, before the client has any of it. An
//! answer that the model doubts is dropped and asked for again from a larger model, as long as the
//! engines have room for the larger one's work.

use std::collections::HashMap;
use std::time::Duration;

use hickoryreel_fleet::Name;

/// Confidence from which an answer is taken to be good: the models' own middle.
const SURE: u8 = 51;

/// Confidence from which an answer of the most urgent rank is taken to be good. Opinions stray by
/// some ten points, and a second run of these requests costs little beside what they are worth.
const SURE_OF_URGENT: u8 = 60;

/// First guess at how far below [`SURE`] the next larger model suffices.
const FIRST_MARGIN: f64 = 12.0;

/// Step by which the margin follows the outcome of the larger model.
const MARGIN_STEP: f64 = 0.5;

/// Share of answers of the next larger model that may be doubted again.
const DOUBT_SHARE: f64 = 0.2;

/// Time per prompt token before the first observation, in milliseconds.
const FIRST_TOKEN_MS: f64 = 0.02;

/// Weight of a new observation of the time per token.
const TOKEN_SMOOTHING: f64 = 0.1;

/// Fewest prompt tokens of a request whose time counts as reading time.
const LEAST_TOKENS: u64 = 400;

/// Weight of a new observation of the pressure.
const PRESSURE_SMOOTHING: f64 = 0.08;

/// Largest single observation of the pressure.
const MOST_PRESSURE: f64 = 3.0;

/// Time after which the pressure halves without an observation.
const PRESSURE_HALF_LIFE: Duration = Duration::from_millis(1_500);

/// Pressure above which no larger model is asked.
const NO_ESCALATION: f64 = 0.5;

/// Pressure that a prompt token adds to the decision: larger requests give way first.
const PRESSURE_PER_TOKEN: f64 = 0.000_005;

/// What the entry has learned about the models of one service.
#[derive(Debug, Default)]
pub struct Cascade {
    token_ms: HashMap<Name, f64>,
    margins: HashMap<Name, f64>,
    pressure: f64,
    observed_at: Duration,
}

impl Cascade {
    /// Time in which a model reads a prompt token, in milliseconds.
    pub fn token_ms(&self, model: &str) -> f64 {
        self.token_ms.get(model).copied().unwrap_or(FIRST_TOKEN_MS)
    }

    /// Notes the time to the head of an answer. `alone` tells whether nothing else waited there.
    pub fn observe(
        &mut self,
        model: &Name,
        tokens: u64,
        time: Duration,
        target: Duration,
        alone: bool,
        now: Duration,
    ) {
        let ratio = time.as_secs_f64() / target.as_secs_f64().max(0.001);
        self.pressure = self.pressure(now);
        self.pressure += PRESSURE_SMOOTHING * (ratio.min(MOST_PRESSURE) - self.pressure);
        self.observed_at = now;
        if alone && tokens >= LEAST_TOKENS {
            let sample = time.as_secs_f64() * 1_000.0 / tokens as f64;
            let known = self.token_ms.entry(model.clone()).or_insert(sample);
            *known += TOKEN_SMOOTHING * (sample - *known);
        }
    }

    /// How late answers begin, in parts of the tightest target of the service.
    pub fn pressure(&self, now: Duration) -> f64 {
        let idle = now.saturating_sub(self.observed_at).as_secs_f64();
        self.pressure * 0.5_f64.powf(idle / PRESSURE_HALF_LIFE.as_secs_f64())
    }

    /// Whether the engines have room for a larger model's work on a prompt.
    pub fn has_room(&self, tokens: u64, now: Duration) -> bool {
        self.pressure(now) + PRESSURE_PER_TOKEN * (tokens as f64) < NO_ESCALATION
    }

    /// The model to ask after the answer of `step` with this confidence. `None` to keep it.
    pub fn next(&self, models: &[Name], step: usize, confidence: u8, rank: u8) -> Option<usize> {
        let last = models.len().checked_sub(1)?;
        let sure = if rank == 0 { SURE_OF_URGENT } else { SURE };
        if step >= last || confidence >= sure {
            return None;
        }
        let margin = self.margins.get(&models[step]).copied().unwrap_or(FIRST_MARGIN);
        let doubt = f64::from(SURE.saturating_sub(confidence));
        Some(if doubt <= margin && step + 1 < last { step + 1 } else { last })
    }

    /// Notes how sure the model after `model` was of an answer that `model` had doubted.
    pub fn learn(&mut self, model: &Name, confidence: u8) {
        let margin = self.margins.entry(model.clone()).or_insert(FIRST_MARGIN);
        let change = if confidence < SURE { -(1.0 - DOUBT_SHARE) } else { DOUBT_SHARE };
        *margin = (*margin + 4.0 * MARGIN_STEP * change).clamp(0.0, f64::from(SURE));
    }
}
