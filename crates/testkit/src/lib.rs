//! Harness for tests on real processes.
//!
//! A [`Harness`] owns a temporary folder, an own loopback address and every process it started.
//! Tests write settings with [`Harness::write`], start binaries with [`Harness::start`], and reach
//! them through [`http`]. A [`relay::Relay`] between two processes makes connections fail. When the
//! harness is dropped, all its processes are killed; logs are kept if the test failed.

pub mod cluster;
pub mod harness;
pub mod http;
pub mod process;
pub mod relay;
pub mod wait;

pub use cluster::Cluster;
pub use harness::Harness;
pub use process::Process;
pub use relay::Relay;
