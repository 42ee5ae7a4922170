//! A control replica: the replicated log, its state machine and the interfaces to both.
//!
//! [`core`] owns the control state on a dedicated thread; the other modules send it requests over a
//! channel. [`rpc`] serves entries, endpoints and other replicas, [`admin`] serves operators.
//! [`peers`] sends the messages of the log to the other replicas. While a replica is the leader, it
//! grants [`leases`] and runs the [`controllers`]. The endpoint [`directory`] is soft state: it is
//! not part of the log, and [`directory_sync`] exchanges it between replicas.

pub mod address;
pub mod admin;
pub mod auth;
pub mod bootstrap;
pub mod client;
pub mod controllers;
pub mod core;
pub mod digest;
pub mod directory;
pub mod directory_sync;
pub mod health;
pub mod leases;
pub mod metrics;
pub mod peers;
pub mod rpc;
pub mod run;
pub mod settings;
