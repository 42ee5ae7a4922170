//! Policy scenarios in virtual time.
//!
//! [`workload`] draws requests, [`sim`] carries them through fake entries that call the policy
//! crate and through fake engines ([`engine`]), and [`scenario`] turns the outcomes into rows
//! ([`row`]). Nothing reads a clock; a seed fixes the whole output.

pub mod engine;
pub mod entry;
pub mod fault;
pub mod outcome;
pub mod row;
pub mod scenario;
pub mod setup;
pub mod sim;
pub mod workload;
