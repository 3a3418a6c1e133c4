//! Tests of an entry host over loopback sockets, with a platform in memory and scripted upstreams.

mod answer_ends;
mod answers;
mod callers;
mod choice;
mod crashes;
mod desired_copy;
mod fake_platform;
mod fake_upstream;
mod follow;
mod handoff;
mod hosts;
mod lease_manager;
mod list_copy;
mod notices;
mod organisations;
mod peers;
mod rejections;
mod relay_pair;
mod reload;
mod replication;
mod rests;
mod site;
mod stop;
mod sync;
mod upstream_limits;
mod waiting;
