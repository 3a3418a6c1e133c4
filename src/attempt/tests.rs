//! Tests of attempts.
