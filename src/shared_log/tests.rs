//! Tests of the fold and the driver.
