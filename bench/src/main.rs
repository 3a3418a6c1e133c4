//! The load and experiment tool.

use argh::FromArgs;
use mangovale_bench::{capacity, idle, recovery};
use serde::Serialize;
use std::time::Duration;

/// Measure mangovale against its stand-ins on this machine.
#[derive(FromArgs)]
struct Options {
    /// what to measure
    #[argh(subcommand)]
    command: Command,
}

#[derive(FromArgs)]
#[argh(subcommand)]
enum Command {
    Capacity(CapacityOptions),
    Idle(IdleOptions),
    Recovery(RecoveryOptions),
}

/// Measure how long a kill, a log outage and the start of a new daemon are felt.
#[derive(FromArgs)]
#[argh(subcommand, name = "recovery")]
struct RecoveryOptions {
    /// how long the log is out, in seconds (default: 20)
    #[argh(option, default = "20")]
    outage_s: u64,
    /// how many models the new daemon meets (default: 54410)
    #[argh(option, default = "54410")]
    models: usize,
}

/// Measure slopes of state, messages and processor time in this process.
#[derive(FromArgs)]
#[argh(subcommand, name = "capacity")]
struct CapacityOptions {
    /// parts of the target size to measure at, in percent (default: 10, 50, 100)
    #[argh(option)]
    percent: Vec<usize>,
}

/// Measure what idle daemons cost.
#[derive(FromArgs)]
#[argh(subcommand, name = "idle")]
struct IdleOptions {
    /// how many daemons; may be given many times (default: 3, 8, 24)
    #[argh(option)]
    hosts: Vec<usize>,
    /// how many models in the table (default: 0)
    #[argh(option, default = "0")]
    models: usize,
    /// how many engines (default: 4)
    #[argh(option, default = "4")]
    engines: usize,
    /// how long to measure, in seconds (default: 10)
    #[argh(option, default = "10")]
    seconds: u64,
}

fn main() {
    let options: Options = argh::from_env();
    match options.command {
        Command::Capacity(options) => measure_capacity(&options),
        Command::Idle(options) => measure_idle(&options),
        Command::Recovery(options) => measure_recovery(&options),
    }
}

fn measure_capacity(options: &CapacityOptions) {
    let default = vec![10, 50, 100];
    let percents = if options.percent.is_empty() {
        &default
    } else {
        &options.percent
    };
    let target = capacity::target_size();
    for percent in percents {
        let part = |count: usize| (count * percent / 100).max(1);
        let size = capacity::Size {
            models: part(target.models),
            upstreams: part(target.upstreams),
            hosts: part(target.hosts),
            copies: part(target.copies),
        };
        print(&capacity::measure(size));
    }
}

fn measure_idle(options: &IdleOptions) {
    let default = vec![3, 8, 24];
    let counts = if options.hosts.is_empty() {
        &default
    } else {
        &options.hosts
    };
    let span = Duration::from_secs(options.seconds);
    for hosts in counts {
        print(&idle::measure(
            *hosts,
            options.models,
            options.engines,
            span,
        ));
    }
}

fn measure_recovery(options: &RecoveryOptions) {
    print(&recovery::measure_kill());
    print(&recovery::measure_outage(Duration::from_secs(
        options.outage_s,
    )));
    print(&recovery::measure_new_host(options.models));
}

fn print(result: &impl Serialize) {
    println!("{}", serde_json::to_string(result).unwrap_or_default());
}
