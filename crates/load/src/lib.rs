//! Open-loop load.
//!
//! [`mix`] describes the traffic of a deployment, [`plan`] draws every arrival ahead from a seed,
//! [`run`] sends each request at its time whatever became of the others, and [`tally`] gathers
//! latencies and outcomes per rank. Latency counts from the planned arrival, so a slow system
//! can't hide its delay by slowing down its own load.

pub mod call;
pub mod mix;
pub mod plan;
pub mod run;
pub mod tally;
