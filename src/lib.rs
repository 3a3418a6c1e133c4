//! Mangovale.
