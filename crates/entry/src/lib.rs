//! An entry: accepts requests from callers and routes them to endpoints.
//!
//! The control thread runs the controllers ([`lease`], [`records`]), which write the [`blackboard`]
//! and update the [`scheduler`]. Request handlers ([`http`], [`completion`], [`call`]) read the
//! blackboard, acquire a slot from the scheduler, open a request record through [`records`], send
//! the request over a connection of the [`connection_pool`] and forward the response: [`respond`]
//! the events of a [`run_stream`], [`call`] the response of a [`service`].

pub mod announce;
pub mod blackboard;
pub mod call;
pub mod caller;
pub mod completion;
pub mod connection_pool;
pub mod control;
pub mod dispatch;
pub mod events;
pub mod http;
pub mod lease;
pub mod metrics;
pub mod open_run;
pub mod pending_dispatch;
pub mod pins;
pub mod records;
pub mod request_error;
pub mod request_metrics;
pub mod respond;
pub mod routing;
pub mod run;
pub mod run_stream;
pub mod scheduler;
pub mod service;
pub mod settings;
