//! Tests of ordering.
