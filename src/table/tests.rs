//! Tests of the table.
