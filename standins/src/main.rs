//! Stand-ins for the platform's systems, one program playing each by subcommand.

mod client;
mod clock;
mod counters;
mod engine;
mod error;
mod faults;
mod hosts;
mod http;
mod log;
mod notifier;
mod registration;
mod server;
mod service;
mod store;
mod transport;

use std::process::ExitCode;

use argh::FromArgs;

use crate::error::StandInError;

/// Plays one of the platform's systems over HTTP, with faults on request.
#[derive(FromArgs)]
struct Args {
    #[argh(subcommand)]
    role: Role,
}

/// The system that is played.
#[derive(FromArgs)]
#[argh(subcommand)]
enum Role {
    Engine(engine::EngineArgs),
    Service(service::ServiceArgs),
    Store(store::StoreArgs),
    Log(log::LogArgs),
    Hosts(hosts::HostsArgs),
}

fn main() -> ExitCode {
    let args: Args = argh::from_env();
    match smol::block_on(run(args.role)) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("mangovale-standins: {error}");
            ExitCode::FAILURE
        }
    }
}

async fn run(role: Role) -> Result<(), StandInError> {
    match role {
        Role::Engine(args) => engine::run(args).await,
        Role::Service(args) => service::run(args).await,
        Role::Store(args) => store::run(args).await,
        Role::Log(args) => log::run(args).await,
        Role::Hosts(args) => hosts::run(args).await,
    }
}
