//! The command-line tool `mangovale`, for operators and for sending test requests.

use mangovale::cli::exit::Exit;
use mangovale::cli::options::Options;
use std::process::ExitCode;

fn main() -> ExitCode {
    let options: Options = argh::from_env();
    run(options).into()
}

fn run(options: Options) -> Exit {
    match mangovale::cli::run(options) {
        Ok(exit) => exit,
        Err(error) => {
            eprintln!("mangovale: {error}");
            eprintln!("  next: {}", error.advice());
            error.exit()
        }
    }
}
