//! Vocabulary and plumbing shared by all processes: names, ranks, error kinds, bundles, settings,
//! logs, metrics and HTTP serving.
//!
//! Data flows in one direction: [`settings`] and [`bundle`] turn files into typed values, the
//! process keeps those values, and [`error`] turns every failure into one of a closed list of
//! kinds, each with one answer.

pub mod admin;
pub mod bundle;
pub mod client;
pub mod error;
pub mod ini;
pub mod logging;
pub mod metrics;
pub mod name;
pub mod rank;
pub mod server;
pub mod settings;
pub mod time;
