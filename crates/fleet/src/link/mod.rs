//! RPC between processes: postcard messages in length-delimited frames over one persistent TCP
//! connection per pair.
//!
//! [`Client`] sends requests and matches answers by number. It closes the connection when a request
//! times out, because a peer that loses power or its network sends no reset. [`serve`] answers the
//! requests of all connections of a listener.

mod client;
mod message;
mod server;

use std::time::Duration;

use bytes::Bytes;
use serde::Serialize;
use serde::de::DeserializeOwned;
use socket2::SockRef;
use tokio::net::TcpStream;
use tokio_util::codec::Framed;
use tokio_util::codec::LengthDelimitedCodec;

pub use client::Client;
pub use message::Answer;
pub use message::ColdDecision;
pub use message::ColdRequest;
pub use message::Confirmed;
pub use message::Cursor;
pub use message::Identity;
pub use message::Poll;
pub use message::PollAnswer;
pub use message::Request;
pub use server::Handler;
pub use server::serve;

/// Fits a configuration of the largest accepted size and its headers.
const MAX_FRAME_BYTES: usize = 8 << 20;

/// Time after which TCP closes a connection with unacknowledged data; well below the lease of an
/// entry.
const USER_TIMEOUT: Duration = Duration::from_millis(1_500);

type Socket = Framed<TcpStream, LengthDelimitedCodec>;

fn framed(stream: TcpStream) -> Socket {
    // Errors are ignored: without these options the link works, but detects a lost peer later.
    let _ = SockRef::from(&stream).set_tcp_user_timeout(Some(USER_TIMEOUT));
    let _ = stream.set_nodelay(true);
    LengthDelimitedCodec::builder().max_frame_length(MAX_FRAME_BYTES).new_framed(stream)
}

fn encode<T: Serialize>(number: u64, value: &T) -> eyre::Result<Bytes> {
    Ok(postcard::to_stdvec(&(number, value))?.into())
}

fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Result<(u64, T), postcard::Error> {
    postcard::from_bytes(bytes)
}
