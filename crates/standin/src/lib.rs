//! Stand-in endpoints for tests and the demo: a model engine, a plain service, a weight store and a
//! rater.
//!
//! They implement the published endpoint protocol and announce themselves as real endpoints do, but
//! their answers are placeholders. [`fault`] injects faults.

pub mod announce;
pub mod batch;
pub mod engine;
pub mod fault;
pub mod prefix;
pub mod rater;
pub mod service;
pub mod stream;
pub mod weights;
