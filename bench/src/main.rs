//! The load and experiment tool.

use argh::FromArgs;
use mangovale_bench::scenario::Scenario;
use mangovale_bench::way::{WayOptions, WaySite};
use mangovale_bench::{capacity, experiment, figures_text, fleet, history, idle, recovery, storm};
use serde::Serialize;
use std::error::Error;
use std::path::PathBuf;
use std::process::ExitCode;
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
    Run(RunOptions),
    Way(WayArguments),
    Storm(StormOptions),
    Recovery(RecoveryOptions),
    Fleet(FleetOptions),
}

/// Measure a large site without network: messages, bytes and work by role, and how they grow.
#[derive(FromArgs)]
#[argh(subcommand, name = "fleet")]
struct FleetOptions {
    /// how many hosts; may be given many times (default: 250, 500, 1000, 2000)
    #[argh(option)]
    hosts: Vec<usize>,
    /// the seed of the moments at which hosts speak (default: 1)
    #[argh(option, default = "1")]
    seed: u64,
    /// measure only the records of streams, a line of JSON for each size
    #[argh(switch)]
    streams: bool,
    /// measure only how a desired state spreads while the store turns hosts away, lines of JSON
    #[argh(switch)]
    spreading: bool,
    /// measure only the evidence on crashes, a line of JSON for each size
    #[argh(switch)]
    crashes: bool,
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

/// Run faults, load and edits together by seed, and check what came of it.
#[derive(FromArgs)]
#[argh(subcommand, name = "storm")]
struct StormOptions {
    /// the seed (default: 1)
    #[argh(option, default = "1")]
    seed: u64,
    /// how long, in seconds (default: 20)
    #[argh(option, default = "20")]
    seconds: u64,
    /// where the history goes (default: target/bench-out)
    #[argh(option, default = "PathBuf::from(\"target/bench-out\")")]
    out: PathBuf,
}

/// Measure what the way through one daemon costs, against direct connections.
#[derive(FromArgs)]
#[argh(subcommand, name = "way")]
struct WayArguments {
    /// requests each way for the time to the first token (default: 1000)
    #[argh(option, default = "1000")]
    requests: usize,
    /// streams at once; may be given many times (default: 16, 64, 256)
    #[argh(option)]
    streams: Vec<usize>,
    /// tokens of each stream (default: 500)
    #[argh(option, default = "500")]
    tokens: u32,
    /// time of one token at the engine (default: 5)
    #[argh(option, default = "5")]
    token_ms: u64,
    /// threads that read the streams (default: 2)
    #[argh(option, default = "2")]
    threads: usize,
}

/// Run a scenario under one policy after another, with the same arrivals.
#[derive(FromArgs)]
#[argh(subcommand, name = "run")]
struct RunOptions {
    /// the scenario file
    #[argh(positional)]
    scenario: PathBuf,
    /// a policy of the file; may be given many times (default: all)
    #[argh(option)]
    policy: Vec<String>,
    /// the seed of the arrivals (default: 1)
    #[argh(option, default = "1")]
    seed: u64,
    /// where histories, CSV and plots go (default: target/bench-out)
    #[argh(option, default = "PathBuf::from(\"target/bench-out\")")]
    out: PathBuf,
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

type Ended = Result<(), Box<dyn Error>>;

fn main() -> ExitCode {
    let options: Options = argh::from_env();
    let ended = match options.command {
        Command::Capacity(options) => measure_capacity(&options),
        Command::Idle(options) => measure_idle(&options),
        Command::Run(options) => run(&options),
        Command::Way(arguments) => measure_way(arguments),
        Command::Storm(options) => run_storm(&options),
        Command::Recovery(options) => measure_recovery(&options),
        Command::Fleet(options) => measure_fleet(&options),
    };
    match ended {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("{error}");
            ExitCode::FAILURE
        }
    }
}

fn run(options: &RunOptions) -> Ended {
    let scenario = Scenario::read(&options.scenario)?;
    let policies = scenario.choose_policies(&options.policy)?;
    let all = experiment::run(&scenario, &policies, options.seed, &options.out)?;
    print!("{}", figures_text::to_table(&all));
    Ok(())
}

fn run_storm(options: &StormOptions) -> Ended {
    let (report, lines) = storm::run(options.seed, Duration::from_secs(options.seconds));
    std::fs::create_dir_all(&options.out)?;
    let path = options.out.join(format!("storm-{}.jsonl", options.seed));
    history::write(&path, &lines)?;
    print(&report);
    match report.violations.first() {
        None => Ok(()),
        Some(first) => {
            Err(format!("seed {}: {first:?}; see {}", options.seed, path.display()).into())
        }
    }
}

fn measure_way(arguments: WayArguments) -> Ended {
    let streams = match arguments.streams.is_empty() {
        true => vec![16, 64, 256],
        false => arguments.streams,
    };
    let way = WaySite::start(WayOptions {
        requests: arguments.requests,
        tokens: arguments.tokens,
        token_ms: arguments.token_ms,
        threads: arguments.threads,
    });
    print(&way.first_token());
    for count in streams {
        print(&way.throughput(count));
    }
    Ok(())
}

fn measure_capacity(options: &CapacityOptions) -> Ended {
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
    Ok(())
}

fn measure_idle(options: &IdleOptions) -> Ended {
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
    Ok(())
}

fn measure_recovery(options: &RecoveryOptions) -> Ended {
    print(&recovery::measure_kill());
    print(&recovery::measure_outage(Duration::from_secs(
        options.outage_s,
    )));
    print(&recovery::measure_new_host(options.models));
    Ok(())
}

fn print(result: &impl Serialize) {
    println!("{}", serde_json::to_string(result).unwrap_or_default());
}

fn measure_fleet(options: &FleetOptions) -> Ended {
    let hosts = match options.hosts.as_slice() {
        [] => &[250, 500, 1_000, 2_000],
        hosts => hosts,
    };
    if hosts.contains(&0) {
        return Err("a site has one host at least: give --hosts a larger number".into());
    }
    let sizes = hosts.iter().map(|hosts| fleet::Size::of_hosts(*hosts));
    if options.streams {
        sizes.for_each(|size| print(&fleet::measure_streams(size, options.seed)));
        return Ok(());
    }
    if options.spreading {
        let all = sizes.flat_map(|size| fleet::measure_spreading(size, options.seed));
        all.for_each(|one| print(&one));
        return Ok(());
    }
    if options.crashes {
        sizes.for_each(|size| print(&fleet::measure_crashes(size)));
        return Ok(());
    }
    let measured: Vec<fleet::Measured> = sizes
        .map(|size| fleet::measure(size, options.seed))
        .collect();
    print!("{}", fleet::text(&measured));
    Ok(())
}
