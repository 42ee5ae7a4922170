//! Model cascade: requests go to a small model first, and to a larger one if its confidence is low.
//!
//! A model states its confidence in the head of its answer, before any of it is forwarded to the
//! client. An answer with low confidence is dropped, and the request is sent to a larger model if
//! the answer of that one is expected early enough at the endpoint that would get the request.

use std::collections::HashMap;
use std::time::Duration;

use hickoryreel_fleet::Name;
use hickoryreel_fleet::load::RANKS;

/// Confidence from which an answer is accepted: the middle of the models' scale.
const MIN_CONFIDENCE: u8 = 51;

/// Confidence from which an answer of the most urgent rank is accepted. Stated confidence is off by
/// about ten points, and a second run of these requests costs little compared with their worth.
const MIN_URGENT_CONFIDENCE: u8 = 60;

/// Initial margin below [`MIN_CONFIDENCE`] within which the next larger model is asked instead of
/// the largest.
const INITIAL_MARGIN: f64 = 12.0;

/// Step size of the margin's adjustment to the confidence of the larger model.
const MARGIN_STEP: f64 = 0.5;

/// Target share of low confidence among the answers of the next larger model.
const TARGET_LOW_CONFIDENCE_SHARE: f64 = 0.2;

/// Prefill time per prompt token before the first observation.
const INITIAL_TOKEN_MS: f64 = 0.02;

/// Smoothing factor for an observation below the estimated time per token.
const TOKEN_SMOOTHING: f64 = 0.08;

/// Smoothing factor for an observation above the estimated time per token. The smaller factor moves
/// the estimate to the fastest fifth of the observations; the others include time spent queued
/// behind requests of other entries.
const SLOW_TOKEN_SMOOTHING: f64 = 0.02;

/// Minimum prompt length of an observation; with fewer tokens, the network round trip is a large
/// part of the time.
const MIN_PROMPT_TOKENS: u64 = 1_500;

/// Fraction of the target latency, by rank, that a request may wait until a larger model begins the
/// prefill. It does not depend on the size, so that large requests get larger models as often as
/// small ones. The least urgent requests have the longest prompts and targets, so they are the first
/// to go without a larger model.
const MAX_WAIT_FRACTIONS: [f64; RANKS] = [0.5, 0.5, 0.25];

/// Fraction of the target latency by which the answer of a larger model must be expected to begin.
/// The rest allows for requests that other entries send meanwhile.
const MAX_ANSWER_FRACTION: f64 = 0.95;

/// Fraction of the remaining time in which the answer to a request of the most urgent rank must
/// begin. A good answer after the target is worth more than a poor one before it.
const URGENT_DEADLINE_FRACTION: f64 = 0.5;

/// Estimated timing of a larger model's answer to a request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct AnswerEstimate {
    /// Time from the arrival of the request until the model begins its prefill.
    pub wait_ms: f64,
    /// Time from the arrival of the request until the answer begins.
    pub answer_ms: f64,
}

impl AnswerEstimate {
    /// Whether the answer is early enough for a request of this rank.
    pub fn is_in_time(&self, rank: u8, target_ms: u64, left_ms: u64) -> bool {
        let target_ms = target_ms as f64;
        let in_time = self.wait_ms
            <= MAX_WAIT_FRACTIONS[usize::from(rank).min(RANKS - 1)] * target_ms
            && self.answer_ms <= MAX_ANSWER_FRACTION * target_ms;
        in_time || (rank == 0 && self.answer_ms <= URGENT_DEADLINE_FRACTION * left_ms as f64)
    }
}

/// Estimates for the models of one service, learned by this entry.
#[derive(Debug, Default)]
pub struct Cascade {
    token_ms: HashMap<Name, f64>,
    margins: HashMap<Name, f64>,
}

impl Cascade {
    /// Prefill time of a model per prompt token.
    pub fn token_ms(&self, model: &str) -> f64 {
        self.token_ms.get(model).copied().unwrap_or(INITIAL_TOKEN_MS)
    }

    /// Records the time to the head of an answer from an endpoint where no other prompt waited.
    pub fn observe(&mut self, model: &Name, tokens: u64, time: Duration) {
        if tokens >= MIN_PROMPT_TOKENS {
            let sample = time.as_secs_f64() * 1_000.0 / tokens as f64;
            let known = self.token_ms.entry(model.clone()).or_insert(sample);
            let weight = if sample < *known { TOKEN_SMOOTHING } else { SLOW_TOKEN_SMOOTHING };
            *known += weight * (sample - *known);
        }
    }

    /// Returns the index of the model to ask after an answer with this confidence from the model at
    /// `model_index`, or `None` to accept the answer.
    pub fn next_model(
        &self,
        models: &[Name],
        model_index: usize,
        confidence: u8,
        rank: u8,
    ) -> Option<usize> {
        let last = models.len().checked_sub(1)?;
        let min_confidence = if rank == 0 { MIN_URGENT_CONFIDENCE } else { MIN_CONFIDENCE };
        if model_index >= last || confidence >= min_confidence {
            return None;
        }
        let margin = self.margins.get(&models[model_index]).copied().unwrap_or(INITIAL_MARGIN);
        let shortfall = f64::from(MIN_CONFIDENCE.saturating_sub(confidence));
        Some(if shortfall <= margin && model_index + 1 < last { model_index + 1 } else { last })
    }

    /// Records the confidence of the model after `model` on a request for which the confidence of
    /// `model` was low.
    pub fn observe_confidence(&mut self, model: &Name, confidence: u8) {
        let margin = self.margins.entry(model.clone()).or_insert(INITIAL_MARGIN);
        let change = if confidence < MIN_CONFIDENCE {
            -(1.0 - TARGET_LOW_CONFIDENCE_SHARE)
        } else {
            TARGET_LOW_CONFIDENCE_SHARE
        };
        *margin = (*margin + 4.0 * MARGIN_STEP * change).clamp(0.0, f64::from(MIN_CONFIDENCE));
    }
}
