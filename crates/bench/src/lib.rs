//! Scenarios that measure the routing policy in virtual time.
//!
//! [`workload`] draws requests. [`sim`] is a discrete-event simulation that passes them through
//! simulated entries ([`entry`]), which call the policy crate, and simulated engines ([`engine`]).
//! [`scenario`] turns the outcomes into rows ([`row`]). No part reads a clock, so the seed
//! determines the whole output.

pub mod engine;
pub mod entry;
pub mod fault;
pub mod outcome;
pub mod row;
pub mod scenario;
pub mod setup;
pub mod sim;
pub mod workload;
