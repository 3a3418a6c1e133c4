//! The load and experiment tool, with the sites it starts and the checkers it reads histories with.

pub mod call;
pub mod capacity;
pub mod idle;
pub mod link;
pub mod platform;
pub mod process;
pub mod recovery;
pub mod site;
