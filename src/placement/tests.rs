//! Tests of placement.
