//! Harness for integration tests with real processes.
//!
//! A [`Harness`] has a temporary folder and a loopback address of its own. Tests write settings
//! with [`Harness::write`], start binaries with [`Harness::start`] and call them through [`http`].
//! A [`relay::Relay`] between two processes injects network faults. A [`Process`] is killed when it
//! is dropped. The folder with the logs is deleted with the harness unless the test failed.

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
