//! The load and experiment tool, with the sites it starts and the checkers it reads histories with.

pub mod arrivals;
pub mod call;
pub mod capacity;
pub mod check;
pub mod experiment;
pub mod faults;
pub mod figures_text;
pub mod fleet;
pub mod history;
pub mod idle;
pub mod link;
pub mod load;
pub mod platform;
pub mod plot;
pub mod proc_stat;
pub mod process;
pub mod recovery;
pub mod report;
pub mod samples;
pub mod scenario;
pub mod site;
pub mod storm;
pub mod way;
