//! Choice of the model: a small one first, a larger one if it doubts its own answer.
//!
//! A model states its confidence with the head of its answer, before the client has any of it. An
//! answer that the model doubts is dropped and asked for again from a larger model, if that one's
//! answer is expected early enough at the endpoint that would get the request.

use std::collections::HashMap;
use std::time::Duration;

use hickoryreel_fleet::Name;
use hickoryreel_fleet::load::RANKS;

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

/// Weight of an observation of the time per token below what is known.
const TOKEN_SMOOTHING: f64 = 0.08;

/// Weight of an observation of the time per token above what is known. The smaller weight makes the
/// estimate the fastest fifth of all: the others waited for requests of other entries, which is not
/// the time of reading.
const SLOW_TOKEN_SMOOTHING: f64 = 0.02;

/// Fewest prompt tokens of a request whose time counts as reading time: with fewer, the way to the
/// endpoint and back is a large part of it.
const LEAST_TOKENS: u64 = 1_500;

/// Part of the target that a request of a rank may wait before a larger model reads it. It does not
/// depend on the size, so that large requests get larger models as often as small ones. The least
/// urgent requests have the longest prompts and targets, and give way first.
const WAIT_PARTS: [f64; RANKS] = [0.5, 0.5, 0.25];

/// Part of the target by which a larger model's answer must be expected to begin. The rest is for
/// what other entries send meanwhile.
const ANSWER_PART: f64 = 0.95;

/// Part of the time left in which the answer to a request of the most urgent rank must begin: late
/// it is worth more than a poor answer in time.
const URGENT_PART: f64 = 0.5;

/// What a larger model's answer to a request would take.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Outlook {
    /// Time from the arrival of the request until the model begins to read it, in milliseconds.
    pub wait_ms: f64,
    /// Time until the answer begins, in milliseconds.
    pub answer_ms: f64,
}

impl Outlook {
    /// Whether the answer is expected early enough for a request of a rank.
    pub fn is_good(&self, rank: u8, target_ms: u64, left_ms: u64) -> bool {
        let target_ms = target_ms as f64;
        let in_time = self.wait_ms <= WAIT_PARTS[usize::from(rank).min(RANKS - 1)] * target_ms
            && self.answer_ms <= ANSWER_PART * target_ms;
        in_time || (rank == 0 && self.answer_ms <= URGENT_PART * left_ms as f64)
    }
}

/// What the entry has learned about the models of one service.
#[derive(Debug, Default)]
pub struct Cascade {
    token_ms: HashMap<Name, f64>,
    margins: HashMap<Name, f64>,
}

impl Cascade {
    /// Time in which a model reads a prompt token, in milliseconds.
    pub fn token_ms(&self, model: &str) -> f64 {
        self.token_ms.get(model).copied().unwrap_or(FIRST_TOKEN_MS)
    }

    /// Notes the time to the head of an answer of an endpoint where nothing else waited.
    pub fn observe(&mut self, model: &Name, tokens: u64, time: Duration) {
        if tokens >= LEAST_TOKENS {
            let sample = time.as_secs_f64() * 1_000.0 / tokens as f64;
            let known = self.token_ms.entry(model.clone()).or_insert(sample);
            let weight = if sample < *known { TOKEN_SMOOTHING } else { SLOW_TOKEN_SMOOTHING };
            *known += weight * (sample - *known);
        }
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
