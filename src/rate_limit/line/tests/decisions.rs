//! Decisions of one host.
