//! The control state machine.
//!
//! A replicated log carries [`command::Command`]s; every replica applies them in the same order
//! through [`machine::Machine::apply`] and arrives at the same state. Commands carry time and
//! random choice, so applying them needs no clock. [`config::Config`] is the part of the state
//! that entries route by.

pub mod command;
pub mod config;
pub mod limits;
pub mod machine;
pub mod order;
pub mod record;
