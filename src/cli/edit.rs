//! The command `table edit`, which edits the table from a file of changes.

use crate::cli::call::OperatorClient;
use crate::cli::diff::{DiffLine, diff};
use crate::cli::exit::{CliError, Exit, FileSnafu};
use crate::cli::options::TableEditOptions;
use crate::cli::render::print_line;
use crate::edge::http::CallError;
use crate::edge::operator::unknown_key;
use crate::prelude::*;
use crate::table::Table;
use crate::table::message::{Change, Edit, EditAnswer};
use crate::table::pending_edits::refusal;
use serde_json::{Value, json};
use snafu::ResultExt;
use std::path::Path;

/// The content of a file of changes (TOML).
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct EditFile {
    /// The id by which a repeat of the edit is recognised. The option `--edit-id` takes precedence;
    /// a random id is used if neither is given.
    pub edit_id: Option<Name>,
    /// The name of the operator who makes the edit.
    pub operator: Name,
    /// The table version that the edit is based on; the present one if absent.
    pub base_version: Option<Offset>,
    /// The changes, in the order in which they apply.
    pub changes: Vec<Change>,
}

/// Prints what an edit changes, sends it, and prints the answer. A dry run sends nothing.
///
/// # Errors
///
/// Returns what is wrong with the file, why the table cannot be read, or why the edit is not
/// accepted.
pub async fn edit(options: &TableEditOptions) -> Result<Exit, CliError> {
    let file = read_file(&options.file)?;
    let client = OperatorClient::new(&options.site, &options.token_file)?;
    let table: Table = client.get_json("/table").await?;
    let edit = make_edit(options, file, &table);
    let is_repeat = table.find_edit(&edit.edit_id).is_some();
    let lines = diff(&table, &edit);
    if !options.json {
        print_diff(&table, &edit, &lines, is_repeat)?;
    }
    if options.dry_run {
        return dry_run(options, table, &edit, &lines, is_repeat);
    }
    let answer = match client.post("/table/edits", &edit).await {
        Ok(text) => client.decode::<EditAnswer>(&text)?,
        Err(error) => return Err(edit_error(error, &edit)),
    };
    report(options, &edit, &answer)
}

fn read_file(path: &Path) -> Result<EditFile, CliError> {
    let text = std::fs::read_to_string(path).context(FileSnafu { path })?;
    let content_error = |why: String| CliError::Content {
        path: path.to_path_buf(),
        why,
    };
    let file: EditFile = toml::from_str(&text).map_err(|error| content_error(error.to_string()))?;
    let raw: Value = toml::from_str(&text).map_err(|error| content_error(error.to_string()))?;
    match unknown_key(&raw["changes"], &file.changes) {
        None => Ok(file),
        Some(why) => Err(content_error(why)),
    }
}

fn make_edit(options: &TableEditOptions, file: EditFile, table: &Table) -> Edit {
    let from_options = options.edit_id.as_deref().map(Name::from);
    let generated = || format!("edit-{:016x}", fastrand::u64(..)).into();
    let base_version = options.base_version.map(Offset).or(file.base_version);
    Edit {
        edit_id: from_options.or(file.edit_id).unwrap_or_else(generated),
        operator: file.operator,
        base_version: base_version.unwrap_or(table.version),
        changes: file.changes,
    }
}

fn print_diff(
    table: &Table,
    edit: &Edit,
    lines: &[DiffLine],
    is_repeat: bool,
) -> Result<(), CliError> {
    print_line(&format!(
        "edit {} by {}, based on version {} (present version {})",
        edit.edit_id, edit.operator, edit.base_version, table.version
    ))?;
    if is_repeat {
        return print_line("this edit was made before; requesting its answer again");
    }
    for line in lines {
        print_line(&line.text())?;
    }
    Ok(())
}

/// Checks the edit by applying it to a copy of the table, by the same rules as the hosts.
fn dry_run(
    options: &TableEditOptions,
    mut table: Table,
    edit: &Edit,
    lines: &[DiffLine],
    is_repeat: bool,
) -> Result<Exit, CliError> {
    let next_version = table.version.next();
    if !is_repeat {
        let outcome = table.apply_edit(next_version, edit);
        outcome.map_err(|rejection| refusal(&rejection))?;
    }
    if options.json {
        let edit_id = &edit.edit_id;
        print_line(&json!({ "edit_id": edit_id, "dry_run": true, "diff": lines }).to_string())?;
    } else {
        print_line("dry run: the edit is valid; nothing was sent")?;
    }
    Ok(Exit::Done)
}

/// Adds the edit's id to an error after which the edit may have been accepted.
fn edit_error(error: CliError, edit: &Edit) -> CliError {
    match error {
        CliError::Call {
            url,
            source: source @ (CallError::TimedOut { .. } | CallError::Broken { .. }),
        } => CliError::EditAnswerLost {
            url,
            source,
            edit_id: edit.edit_id.to_string(),
        },
        CliError::Refused { mut fields } if fields.kind == ErrorKind::EditPending.name() => {
            fields.advice = format!("repeat the command with --edit-id {}", edit.edit_id);
            CliError::Refused { fields }
        }
        other => other,
    }
}

fn report(options: &TableEditOptions, edit: &Edit, answer: &EditAnswer) -> Result<Exit, CliError> {
    let edit_id = &edit.edit_id;
    if options.json {
        print_line(&json!({ "edit_id": edit_id, "answer": answer }).to_string())?;
    }
    match answer {
        EditAnswer::InForce { version } => {
            if !options.json {
                print_line(&format!(
                    "edit {edit_id} is in force everywhere as version {version}"
                ))?;
            }
            Ok(Exit::Done)
        }
        EditAnswer::Pending { unconfirmed, .. } => {
            let hosts = unconfirmed.join(", ");
            let message = format!("edit {edit_id} is not confirmed yet by {hosts}");
            let refusal = Refusal::new(ErrorKind::EditPending, message);
            Err(edit_error(refusal.into(), edit))
        }
    }
}
