//! Which waiting request goes next, and which are refused at once.

pub mod limits;
pub mod pace;
pub mod queue;
pub mod slices;

#[cfg(test)]
mod tests;
