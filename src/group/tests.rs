//! Tests of the member list and the relay tree; they do no I/O.

mod desired_versions;
mod members;
mod parents;
mod read_policy;
mod tree;
