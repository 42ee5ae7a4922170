//! Messages between processes.
//!
//! Entries call control with [`rpc`]; endpoints announce themselves with [`endpoint`]; operators
//! call the administration interface with [`admin`]. Everything travels as JSON.

pub mod admin;
pub mod endpoint;
pub mod rpc;
