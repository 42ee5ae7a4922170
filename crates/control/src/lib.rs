//! A control replica: the replicated log, its state machine and the interfaces to both.
//!
//! One thread owns the control state ([`core`]); requests reach it over a channel. Entries,
//! endpoints and other replicas call [`rpc`], operators call [`admin`]. [`peers`] sends the log's
//! messages. The leader grants [`leases`] and runs the [`controllers`]. The endpoint [`directory`]
//! is soft state.

pub mod address;
pub mod admin;
pub mod client;
pub mod controllers;
pub mod core;
pub mod digest;
pub mod directory;
pub mod first_start;
pub mod guard;
pub mod health;
pub mod leases;
pub mod metrics;
pub mod peers;
pub mod relay;
pub mod rpc;
pub mod run;
pub mod settings;
