//! The question `logs orders`: who ordered an engine, and which orders got no answer.

use crate::cli::exit::CliError;
use crate::cli::logs::{for_each_input, host_of, input_error, print_results};
use crate::cli::options::OrdersQuestion;
use crate::cli::render::or_dash;
use crate::logs::order_history::{EngineHistory, EngineSummary, Mark, OrderRow};
use crate::logs::order_lines::{
    MAX_ENGINES, MAX_LINES_PER_ENGINE, OrderFilter, OrderLines, Skipped, answer_name,
};
use crate::ordering::message::Action;
use crate::prelude::*;
use std::path::Path;

/// How long before and after the given time lines are shown, unless an option says it.
const AROUND_MS: Millis = Millis(15_000);

/// Reads the lines about orders and prints those to one engine, or a summary of each engine where
/// there are several.
///
/// # Errors
///
/// Returns why an option or an input cannot be used, or the output cannot be written.
pub fn print_orders(is_json: bool, question: &OrdersQuestion) -> Result<(), CliError> {
    let mut lines = OrderLines::new(filter(question)?);
    for_each_input(&question.files, |mut input, path| {
        let read = lines.read(&mut input, &host_of(path));
        let skipped = read.map_err(|error| input_error(path, error))?;
        warn_of_skipped(path, skipped);
        Ok(())
    })?;
    let range = lines.range();
    let other_lines = lines.lines_of_other_engines();
    let histories: Vec<EngineHistory> = lines
        .into_engines()
        .iter()
        .map(|(engine, lines)| EngineHistory::new(engine, lines))
        .collect();
    warn_of_left_out(&histories, other_lines);
    match histories.as_slice() {
        [] => warn_of_none(range),
        [history] => return print_results(is_json, &history.rows, &ORDER_COLUMNS, order_row),
        _ => {}
    }
    let summaries: Vec<EngineSummary> = histories.into_iter().map(|one| one.summary).collect();
    print_results(is_json, &summaries, &ENGINE_COLUMNS, engine_row)
}

fn filter(question: &OrdersQuestion) -> Result<OrderFilter, CliError> {
    let around_ms = question.around_ms.map_or(AROUND_MS, Millis);
    if question.at.is_none() && question.around_ms.is_some() {
        return Err(CliError::Option {
            option: "--around-ms",
            why: "takes effect only with --at".to_string(),
        });
    }
    let between = |at: u64| {
        let until = Millis(at.saturating_add(around_ms.0));
        (Millis(at).since(around_ms), until)
    };
    Ok(OrderFilter {
        engine: question.engine.as_deref().map(Name::from),
        between: question.at.map(between),
    })
}

/// Says on standard error which lines of an input could not be used, if any.
fn warn_of_skipped(path: &Path, skipped: Skipped) {
    let Skipped {
        cut_off,
        others,
        first_line,
    } = skipped;
    if cut_off + others > 0 {
        eprintln!(
            "mangovale: {}: {cut_off} lines skipped that are cut off or too long, {others} that are \
             not a log event of an entry host; the first is line {first_line}",
            path.display()
        );
    }
}

fn warn_of_left_out(histories: &[EngineHistory], other_lines: usize) {
    for EngineSummary {
        engine, left_out, ..
    } in histories.iter().map(|history| &history.summary)
    {
        if *left_out > 0 {
            eprintln!(
                "mangovale: {left_out} older lines of {engine} left out: more than \
                 {MAX_LINES_PER_ENGINE}; choose a time with --at"
            );
        }
    }
    if other_lines > 0 {
        eprintln!(
            "mangovale: {other_lines} lines left out: of more than {MAX_ENGINES} engines; choose one \
             with --engine"
        );
    }
}

fn warn_of_none(range: Option<(Millis, Millis)>) {
    match range {
        Some((first, last)) => eprintln!(
            "mangovale: no such orders; the files have orders from {} to {}",
            first.0, last.0
        ),
        None => eprintln!("mangovale: the files have no line about an order (511, 512)"),
    }
}

const ENGINE_COLUMNS: [&str; 11] = [
    "engine",
    "from",
    "until",
    "sends",
    "hosts",
    "holder changed",
    "restarts",
    "no answer",
    "still reachable",
    "lower fence",
    "left out",
];

fn engine_row(summary: &EngineSummary) -> Vec<String> {
    let counts = [
        summary.sends,
        summary.hosts,
        summary.changes,
        summary.restarts,
        summary.unanswered,
        summary.reachable,
        summary.lower_fences,
        summary.left_out,
    ];
    let mut row = vec![
        summary.engine.to_string(),
        summary.first_unix_ms.0.to_string(),
        summary.last_unix_ms.0.to_string(),
    ];
    row.extend(counts.iter().map(usize::to_string));
    row
}

const ORDER_COLUMNS: [&str; 10] = [
    "from",
    "host",
    "fence",
    "order",
    "after orders",
    "answer",
    "took ms",
    "written",
    "right left ms",
    "marks",
];

fn order_row(row: &OrderRow) -> Vec<String> {
    let action = match row.action {
        Action::Load => "load",
        Action::Unload => "unload",
    };
    let adapter = row.adapter.as_ref().map(|adapter| format!("/{adapter}"));
    let answer = match row.answer {
        Some(answer) => answer_name(answer),
        None => "(planned)",
    };
    let written = match (row.written_at_unix_ms, row.answer, row.knows_written) {
        (Some(at), ..) => at.0.to_string(),
        (None, Some(_), true) => "never".to_string(),
        (None, Some(_), false) => "?".to_string(),
        (None, None, _) => "-".to_string(),
    };
    let planned_for = row.planned_for.as_ref().map(|why| why.to_string());
    let notes = planned_for.into_iter().chain(row.marks.iter().map(note));
    vec![
        row.from_unix_ms.0.to_string(),
        row.host.to_string(),
        or_dash(row.fence),
        format!("{action} {}{}", row.model, adapter.unwrap_or_default()),
        row.after_orders.to_string(),
        answer.to_string(),
        or_dash(row.took_ms.map(|took_ms| took_ms.0)),
        written,
        or_dash(row.right_left_ms),
        notes.collect::<Vec<String>>().join("; "),
    ]
}

fn note(mark: &Mark) -> String {
    match mark {
        Mark::HolderChanged {
            from_host,
            from_fence,
            gap_ms,
        } => format!(
            "HOLDER CHANGED: {} ms after the last order of {from_host} (fence {})",
            gap_ms.0,
            or_dash(*from_fence)
        ),
        Mark::LowerFence {
            other_host,
            other_fence,
        } => format!("LOWER FENCE: {other_host} has ordered under {other_fence}"),
        Mark::WrittenWithoutRight => "WRITTEN WITHOUT THE RIGHT TO ORDER".to_string(),
        Mark::EngineRestarted => "ENGINE RESTARTED since the last accepted order".to_string(),
        Mark::CountsFewerOrders { accepted_orders } => format!(
            "COUNTS FEWER ORDERS than the {accepted_orders} accepted before: restarted, or an old report"
        ),
        Mark::Unanswered {
            until_unix_ms,
            later_answer,
        } => {
            let later =
                later_answer.map(|answer| format!(", a later copy: {}", answer_name(answer)));
            format!(
                "NO ANSWER: may be carried out until {}{}",
                until_unix_ms.0,
                later.unwrap_or_default()
            )
        }
        Mark::StillReachable {
            next_host,
            next_fence,
            next_after_orders,
            next_unix_ms,
        } => format!(
            "STILL REACHABLE: {next_host} (fence {}) ordered after {next_after_orders} at {}",
            or_dash(*next_fence),
            next_unix_ms.0
        ),
    }
}
