//! Orders to engines: fencing numbers, the order lease and what became of each order.

use std::sync::Arc;

use derive_more::Display;
use hickoryreel_base::name::Endpoint;
use serde::Deserialize;
use serde::Serialize;

/// Fencing number: strictly growing over the life of the log, counted from 1.
pub type Fence = u64;

/// A controller that sends orders, for example a control replica in one of its terms.
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
        /// Who takes it.
        holder: Controller,
        /// Length in milliseconds from the time of the command.
        length_ms: u64,
    },
    /// Gives the order lease back.
    Release {
        /// Who gives it back.
        holder: Controller,
    },
    /// Records an order before it is sent. An unfinished order with the same content keeps its
    /// number, so that a repeated send carries the same number.
    Send {
        /// Holder of the order lease.
        holder: Controller,
        /// The engine.
        endpoint: Endpoint,
        /// The order, as sent to the engine.
        body: Arc<str>,
        /// The engine refuses the order after this time, in milliseconds since the Unix epoch.
        expires_ms: u64,
    },
    /// Records the engine's answer to an order.
    Answered {
        /// The order.
        fence: Fence,
        /// What the engine answered.
        result: Ended,
    },
    /// Records the result of an unanswered order as seen in the engine's state.
    Observed {
        /// The order.
        fence: Fence,
        /// What the engine's state shows.
        result: Ended,
    },
}

/// How an order ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Ended {
    /// The engine carried it out.
    Done,
    /// The engine refused it or failed.
    Failed,
    /// The engine left before a result was known.
    Gone,
}

/// What is known about an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Progress {
    /// Recorded, and sent at least once unless the holder failed in between.
    Sent,
    /// The engine answered.
    Answered(Ended),
    /// The result was seen in the engine's state.
    Observed(Ended),
}

/// An order as kept, under its fencing number.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Order {
    /// Who sends it.
    pub holder: Controller,
    /// The engine.
    pub endpoint: Endpoint,
    /// The order.
    pub body: Arc<str>,
    /// When the engine starts to refuse it, in milliseconds since the Unix epoch.
    pub expires_ms: u64,
    /// What is known about it.
    pub progress: Progress,
}

/// The order lease.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Lease {
    /// The only controller that may send orders.
    pub holder: Controller,
    /// Fencing number taken with the lease.
    pub fence: Fence,
    /// When it ends, in milliseconds since the Unix epoch.
    pub expires_ms: u64,
}

/// Answer to an accepted [`Change`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Accepted {
    /// The lease as granted.
    Lease(Lease),
    /// The number the order carries.
    Order(Fence),
    /// The change is recorded.
    Recorded,
}
