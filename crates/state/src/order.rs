//! Orders to engines: fencing tokens, the order lease and the progress of each order.

use std::sync::Arc;

use derive_more::Display;
use hickoryreel_base::name::Endpoint;
use serde::Deserialize;
use serde::Serialize;

/// Fencing token, counted from 1. It strictly increases over the whole replicated log.
pub type Fence = u64;

/// Name of a controller that sends orders, for example a control replica in one term.
#[derive(Clone, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Controller(Arc<str>);

impl From<&str> for Controller {
    fn from(text: &str) -> Self {
        Self(text.into())
    }
}

/// A change of the order lease or of one order.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Change {
    /// Takes or renews the order lease.
    Lease {
        holder: Controller,
        /// Length of the lease from the time of the command, in milliseconds.
        length_ms: u64,
    },
    /// Gives up the order lease. It has no effect if another controller holds the lease.
    Release { holder: Controller },
    /// Records an order before it is sent. An unfinished order with the same endpoint and body
    /// keeps its fencing token, so that a resend carries the same token.
    Send {
        /// The controller, which must hold the order lease.
        holder: Controller,
        /// The engine that the order is for.
        endpoint: Endpoint,
        /// The order as sent to the engine.
        body: Arc<str>,
        /// The engine refuses the order after this time, in milliseconds since the Unix epoch.
        expires_ms: u64,
    },
    /// Records the engine's answer to an order.
    Answered {
        /// Fencing token of the order.
        fence: Fence,
        result: End,
    },
    /// Records the result of an unanswered order, as derived from the state of the engine.
    Observed {
        /// Fencing token of the order.
        fence: Fence,
        result: End,
    },
}

/// How an order ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum End {
    /// The engine carried it out.
    Done,
    /// The engine refused it or failed.
    Failed,
    /// No result is known: the engine left, or nothing was seen long after the order expired.
    Gone,
}

/// How far an order has got.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Progress {
    /// Recorded, and sent at least once unless the holder failed before sending it.
    Sent,
    /// The engine answered with the result.
    Answered(End),
    /// The engine didn't answer; the result was derived from its state.
    Observed(End),
}

/// A recorded order. It is stored under its fencing token.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Order {
    /// The controller that recorded the order last.
    pub holder: Controller,
    /// The engine that the order is for.
    pub endpoint: Endpoint,
    /// The order as sent to the engine.
    pub body: Arc<str>,
    /// The engine refuses the order after this time, in milliseconds since the Unix epoch.
    pub expires_ms: u64,
    pub progress: Progress,
}

/// The order lease. Only its holder may send orders.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Lease {
    pub holder: Controller,
    /// Fencing token that was taken when the lease was granted.
    pub fence: Fence,
    /// End of the lease, in milliseconds since the Unix epoch.
    pub expires_ms: u64,
}

/// Answer to an accepted [`Change`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Accepted {
    /// The granted or renewed lease.
    Lease(Lease),
    /// The fencing token to send with the order.
    Order(Fence),
    /// The change was applied and has no other answer.
    Recorded,
}
