//! Tests of routing.
