//! Messages between processes, all encoded as JSON.
//!
//! Entries call the control replicas with [`rpc`]. Endpoints announce themselves with [`endpoint`].
//! Operators call the administration interface with [`admin`]. Entries run requests on engines with
//! [`engine`].

pub mod admin;
pub mod endpoint;
pub mod engine;
pub mod rpc;
