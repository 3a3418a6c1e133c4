//! The budget of repeated sends that all hosts of a site share.

pub mod budget;

#[cfg(test)]
mod tests;

pub use budget::{BudgetRule, RetryBudget};
