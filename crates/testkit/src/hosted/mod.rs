//! Simulation of the users' platform: its metadata store, its instances, and daemons
//! with the settings that the platform would generate.

pub mod cut;
pub mod endless;
pub mod fleet;
pub mod front;
pub mod instance;
pub mod pipeline;
pub mod scripted;
pub mod store;
