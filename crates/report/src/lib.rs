//! Service-level burn report.
//!
//! [`sample`] reads counters recorded from live processes or benchmark runs, [`series`] turns them
//! into increments for each deployment and rank, [`burn`] computes error budgets and burn rates,
//! and [`table`] and [`html`] present them. JSON comes from the serialized [`burn::Report`].

pub mod burn;
pub mod html;
pub mod sample;
pub mod series;
pub mod table;
