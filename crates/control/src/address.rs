//! Addresses of a replica, as they stand in the settings and in the log's member set.

use std::net::SocketAddr;
use std::str::FromStr;

use derive_more::Display;

/// Where a replica is reached: JSON-RPC for processes, the administration interface for operators.
/// The text form is `RPC/ADMIN`, for example `10.0.0.1:7000/10.0.0.1:7001`.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[display("{rpc}/{admin}")]
pub struct Address {
    /// JSON-RPC.
    pub rpc: SocketAddr,
    /// Administration interface.
    pub admin: SocketAddr,
}

/// The text is not `RPC/ADMIN`.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, derive_more::Error)]
#[display("expected RPC/ADMIN, each as IP:PORT")]
pub struct Invalid;

impl FromStr for Address {
    type Err = Invalid;

    fn from_str(text: &str) -> Result<Self, Invalid> {
        let (rpc, admin) = text.split_once('/').ok_or(Invalid)?;
        let parse = |part: &str| part.parse().map_err(|_| Invalid);
        Ok(Self { rpc: parse(rpc)?, admin: parse(admin)? })
    }
}
