//! An entry: takes requests from callers and routes them to endpoints.
//!
//! The control thread runs the controllers ([`lease`], [`records`]); they write the
//! [`blackboard`] and feed the [`schedule`]. Request handlers ([`http`], [`completion`], [`call`])
//! read the blackboard, wait for a slot in the schedule, open a request record through [`records`],
//! send the request over a connection of [`dial`] and pass the [`answer`] on ([`respond`]).

pub mod announce;
pub mod answer;
pub mod authority;
pub mod blackboard;
pub mod call;
pub mod completion;
pub mod control;
pub mod dial;
pub mod events;
pub mod fault;
pub mod http;
pub mod lease;
pub mod metrics;
pub mod pins;
pub mod records;
pub mod respond;
pub mod routing;
pub mod run;
pub mod run_guard;
pub mod schedule;
pub mod service;
pub mod settings;
pub mod start;
pub mod starting;
pub mod tally;
