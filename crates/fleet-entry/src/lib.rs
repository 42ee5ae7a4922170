//! An entry of a fleet: the path of a request from a client to an endpoint and back.
//!
//! [`server`] accepts connections. [`forward`] takes a request through its steps: [`prepare`]
//! reads its terms in its [`dialect`] and finds route and workspace in the [`view`], [`cascade`]
//! chooses the model, [`bulk`] lets long prompts wait, [`pick`] chooses the endpoint, [`send`] sends
//! the request over an [`exchange`], [`outcome`] decides what its end means, and [`relay`] passes a
//! stream on event by event. [`follow`] keeps the view and the [`directory`] of [`endpoint`]s current
//! over links to control, and [`share`] exchanges their load with the other entries.

pub mod answer;
pub mod body;
pub mod budget;
pub mod bulk;
pub mod cascade;
pub mod dialect;
pub mod directory;
pub mod endpoint;
pub mod entry;
pub mod exchange;
pub mod flight;
pub mod follow;
pub mod forward;
pub mod metrics;
pub mod outcome;
pub mod pick;
pub mod prepare;
pub mod relay;
pub mod send;
pub mod server;
pub mod settings;
pub mod share;
pub mod tally;
pub mod view;
