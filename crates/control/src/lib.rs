//! A control replica: the replicated log, its state machine and the interfaces to both.
//!
//! One thread owns the control state ([`core`]); requests reach it over a channel. Entries and
//! endpoints call [`rpc`], operators call [`admin`]. The endpoint [`directory`] is soft state.

pub mod admin;
pub mod core;
pub mod directory;
pub mod rpc;
pub mod run;
pub mod settings;
