//! Stand-ins for the systems around catkinlatch (engines, services, the platform and clients),
//! simulations and soak tests that use them, and the trial behind `catkinlatch try`.

pub mod announce;
pub mod capacity;
pub mod client;
pub mod cluster;
pub mod cut;
pub mod engine;
pub mod platform;
pub mod policy;
mod server;
pub mod service;
pub mod site;
pub mod trial;
