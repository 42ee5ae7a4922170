//! Entry of a fleet: the router between clients and endpoints.
//!
//! [`server`] accepts connections. [`forward`] drives a request through its steps: [`prepare`]
//! reads its metadata with the [`dialect`] and finds its route and workspace in the [`view`],
//! [`credentials`] keeps API keys from the endpoints,
//! [`cascade`] chooses the model, [`kept`] tells where the beginning of a prompt may still be in memory,
//! [`prefill`] limits concurrent long prompts, [`pick`] chooses the endpoint among those that
//! [`placement`] permits by their loads and [`pace`], [`admission`] refuses what none of them can answer
//! in time, [`cold`] asks for an admission to one that warms up, [`send`] sends the request over an
//! [`exchange`], [`provenance`] decides whether an answer belongs to it, [`outcome`] decides what follows
//! from the way in which a send ended, and [`relay`] forwards a stream event by event. [`quarantine`] finds
//! the [`prompt`]s that crash endpoints; what endpoints say of themselves is kept in [`availability`].
//! What an endpoint may send is bounded by [`head_check`], [`memory`] and [`progress`], and what waits
//! for a client by [`client_memory`] and
//! [`client_stream`].
//! [`control_poll`] keeps the view and the [`directory`] of [`endpoint`]s current over links to the
//! control replicas, of which [`source`] chooses one to send configurations, and [`load_report`]
//! exchanges the load of the endpoints, and their crashes, with the other entries. [`explain`] tells
//! operators where a request would go.

pub mod admission;
pub mod answer;
pub mod availability;
pub mod body;
pub mod budget;
pub mod cascade;
pub mod client_memory;
pub mod client_stream;
pub mod cold;
pub mod control_poll;
pub mod credentials;
pub mod dialect;
pub mod directory;
pub mod endpoint;
pub mod entry;
pub mod exchange;
pub mod explain;
pub mod forward;
pub mod head_check;
pub mod head_scanner;
pub mod in_flight;
pub mod kept;
pub mod load_report;
pub mod memory;
pub mod metrics;
pub mod outcome;
pub mod pace;
pub mod pick;
pub mod placement;
pub mod prefill;
pub mod prepare;
pub mod progress;
pub mod prompt;
pub mod provenance;
pub mod quarantine;
pub mod relay;
pub mod routed;
pub mod send;
pub mod server;
pub mod settings;
pub mod source;
pub mod spread;
pub mod tally;
pub mod view;
