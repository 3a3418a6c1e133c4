//! Tests of membership.
