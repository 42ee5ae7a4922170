//! Types and utilities shared by all processes: names, ranks, error kinds, bundles, settings, logs,
//! metrics, and HTTP client and server helpers.
//!
//! [`settings`] and [`bundle`] parse files into typed values that do not change afterwards.
//! [`error`] maps every failure to one of a fixed set of kinds, each with a fixed HTTP response.

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
