//! Tests of the joined decisions.
