//! Cases of the second review: each starts entry hosts as processes beside stand-ins of the platform, servers and
//! clients, and checks one rule. Usage: standin-2 CASE DIRECTORY. TROUBLE=0 plays the case without its disruption.

mod clients;
mod earlier_start;
mod engine;
mod hosts;
mod http;
mod json;
mod late_order;
mod passed_on;
mod record;
mod removed_model;
mod service;
mod store;

use std::path::PathBuf;

/// What a case found.
pub enum Verdict {
    Held,
    Broken,
    CouldNotRun(String),
}

fn main() {
    let mut words = std::env::args().skip(1);
    let (Some(case), Some(directory)) = (words.next(), words.next().map(PathBuf::from)) else {
        eprintln!("usage: standin-2 CASE DIRECTORY");
        std::process::exit(2);
    };
    let has_trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    let work = std::env::temp_dir().join(format!("review-2-{}", std::process::id()));
    let made = std::fs::create_dir_all(&work);
    let verdict = match (made, case.as_str()) {
        (Err(error), _) => Ok(Verdict::CouldNotRun(error.to_string())),
        (_, "passed-on") => passed_on::run(&directory, &work, has_trouble),
        (_, "earlier-start") => earlier_start::run(&directory, &work, has_trouble),
        (_, "late-order") => late_order::run(&directory, &work, has_trouble),
        (_, "removed-model") => removed_model::run(&directory, &work, has_trouble),
        (_, other) => Ok(Verdict::CouldNotRun(format!("no case {other}"))),
    };
    if std::env::var_os("KEEP").is_none() {
        let _ = std::fs::remove_dir_all(&work);
    } else {
        println!("settings and logs: {}", work.display());
    }
    let code = match verdict.unwrap_or_else(|error| Verdict::CouldNotRun(error.to_string())) {
        Verdict::Held => 0,
        Verdict::Broken => 1,
        Verdict::CouldNotRun(why) => {
            eprintln!("the case could not run: {why}");
            2
        }
    };
    std::process::exit(code);
}
