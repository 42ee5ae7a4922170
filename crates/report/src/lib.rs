//! Report of service-level error budgets and burn rates.
//!
//! [`sample`] reads counters scraped from running entries or recorded in files, [`series`] turns
//! them into increments for each deployment and rank, [`burn`] computes error budgets and burn
//! rates, and [`table`] and [`html`] render them. The JSON output is the serialized [`burn::Report`].

pub mod burn;
pub mod html;
pub mod sample;
pub mod series;
pub mod table;
