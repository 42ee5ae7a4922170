//! Stand-in endpoints for tests and the demo: a model engine, a plain service, a weight store and a
//! rater.
//!
//! They speak the published endpoint protocol and announce themselves like real endpoints; what
//! they answer is made up. [`fault`] switches faults on.

pub mod announce;
pub mod batch;
pub mod engine;
pub mod fault;
pub mod prefix;
pub mod rater;
pub mod service;
pub mod stream;
pub mod weights;
