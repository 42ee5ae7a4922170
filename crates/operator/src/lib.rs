//! The operator command: each subcommand is one operation of the administration interface.
//!
//! [`cli`] parses arguments, one module a subcommand; [`ops`] carries the operations out.

pub mod cli;
pub mod ops;
