//! Stand-in endpoints for tests and the demo: a model engine and a plain service.
//!
//! They speak the published endpoint protocol and announce themselves like real endpoints; what
//! they answer is made up.

pub mod announce;
pub mod engine;
pub mod service;
