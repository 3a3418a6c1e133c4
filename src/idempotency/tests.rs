//! Tests of claims.
