//! Operations that the subcommands share.

pub mod admin;
pub mod entry_link;
pub mod events;
pub mod explanation;
pub mod failure;
pub mod file;
pub mod print;
pub mod question;
pub mod samples;
pub mod wait;
pub mod write;
