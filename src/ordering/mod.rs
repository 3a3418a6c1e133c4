//! Which engine holds which model: one host orders loads and unloads, all others tell it what callers ask.

pub mod demand;
pub mod view;
