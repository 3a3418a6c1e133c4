//! Rate limits of organisations, over all hosts together.
