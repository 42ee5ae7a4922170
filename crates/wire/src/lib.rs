//! Messages between processes.
//!
//! Entries call control with [`rpc`]; endpoints announce themselves with [`endpoint`]; operators
//! call the administration interface with [`admin`]; entries run requests at engines with
//! [`engine`]. Everything travels as JSON.

pub mod admin;
pub mod endpoint;
pub mod engine;
pub mod rpc;
