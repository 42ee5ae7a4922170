//! An entry: takes requests from callers and routes them to endpoints.
//!
//! The control thread runs the controllers ([`lease`], [`records`]); they write the
//! [`blackboard`]. Request handlers ([`http`], [`completion`], [`call`]) read the blackboard, open
//! a request record through [`records`] and stream the endpoint's answer to the caller.

pub mod announce;
pub mod authority;
pub mod blackboard;
pub mod call;
pub mod completion;
pub mod control;
pub mod http;
pub mod lease;
pub mod records;
pub mod routing;
pub mod run;
pub mod settings;
pub mod stream;
