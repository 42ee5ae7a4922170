//! The control state machine.
//!
//! A replicated log carries [`command::Command`]s. Every replica applies them in the same order
//! through [`machine::Machine::apply`] and arrives at the same state. Each command carries its own
//! timestamp and any random choice, so applying it needs neither a clock nor a random source.
//! [`config::Config`] is the part of the state that entries route by. [`snapshot`] saves and
//! restores the whole state.

mod account;
mod admission;
pub mod command;
pub mod config;
mod holders;
pub mod limits;
pub mod machine;
mod operations;
pub mod order;
mod orders;
pub mod record;
mod records;
mod retention;
pub mod roll_out;
pub mod snapshot;
