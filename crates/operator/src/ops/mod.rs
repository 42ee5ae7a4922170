//! Operations behind the subcommands.

pub mod admin;
pub mod print;
pub mod samples;
pub mod write;
