//! Routing decisions as pure functions `(view, request, now, random) -> decision`.
//!
//! Data flows in one direction. Reports, announcements and outcomes update the [`view::View`],
//! the [`retry::Budget`], the [`choice::Posteriors`] and the [`health::Test`]. A request passes
//! through [`choice`] (which version), [`queue`] (when) and [`pick`] (where). The crate has no
//! clock and no socket: `now` is a `Duration` since any fixed origin, and random numbers come from
//! the generator that the caller passes in.

pub mod choice;
pub mod eject;
pub mod health;
pub mod limit;
pub mod pick;
pub mod queue;
pub mod retry;
pub mod share;
pub mod view;
pub mod weights;
