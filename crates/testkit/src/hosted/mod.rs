//! Stand-ins for the users' platform: its store, its instances, and daemons with
//! the settings that it would render.

pub mod fleet;
pub mod front;
pub mod instance;
pub mod store;
