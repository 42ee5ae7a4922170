//! The control state machine.
//!
//! A replicated log carries [`command::Command`]s; every replica applies them in the same order
//! through [`machine::Machine::apply`] and arrives at the same state. Commands carry time and
//! random choice, so applying them needs no clock. [`config::Config`] is the part of the state
//! that entries route by. [`snapshot`] saves and restores the whole state.

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
