//! Open-loop load generator.
//!
//! [`mix`] describes the traffic of a deployment, [`plan`] generates all arrivals in advance from a
//! seed, [`run`] sends each request at its planned time regardless of outstanding requests, and
//! [`tally`] collects latencies and outcomes per rank. Latency counts from the planned arrival, so
//! that delays of a slow system are measured in full, without coordinated omission.

pub mod call;
pub mod mix;
pub mod plan;
pub mod run;
pub mod tally;
