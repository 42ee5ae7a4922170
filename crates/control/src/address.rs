//! Addresses of a replica, as written in the settings and in the member set of the log.

use std::net::SocketAddr;
use std::str::FromStr;

use derive_more::Display;

/// The two addresses of a replica: JSON-RPC for processes, the administration interface for
/// operators. The text form is `RPC/ADMIN`, for example `10.0.0.1:7000/10.0.0.1:7001`.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[display("{rpc}/{admin}")]
pub struct Address {
    pub rpc: SocketAddr,
    pub admin: SocketAddr,
}

/// The text is not `RPC/ADMIN`.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, derive_more::Error)]
#[display("expected RPC/ADMIN, each as IP:PORT")]
pub struct ParseError;

impl FromStr for Address {
    type Err = ParseError;

    fn from_str(text: &str) -> Result<Self, ParseError> {
        let (rpc, admin) = text.split_once('/').ok_or(ParseError)?;
        let parse = |part: &str| part.parse().map_err(|_| ParseError);
        Ok(Self { rpc: parse(rpc)?, admin: parse(admin)? })
    }
}
