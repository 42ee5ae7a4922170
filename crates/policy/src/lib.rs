//! Routing decisions as pure functions `(view, request, now, random) -> decision`.
//!
//! Load reports, announcements and request outcomes update the [`view::View`], the
//! [`retry::Budget`], the [`choice::Planner`] and the [`health::Test`]. A request passes through
//! [`choice`], which selects the model version, [`queue`], which admits and schedules it, and
//! [`pick`], which selects the endpoint. The crate reads no clock and opens no socket: `now` is a
//! `Duration` since any fixed origin, and the caller passes in the random number generator.

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
