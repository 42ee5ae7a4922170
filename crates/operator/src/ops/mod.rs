//! Operations that the subcommands share.

pub mod admin;
pub mod events;
pub mod failure;
pub mod file;
pub mod print;
pub mod samples;
pub mod wait;
pub mod write;
