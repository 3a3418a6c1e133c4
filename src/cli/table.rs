//! Reads and edits the table.

use crate::cli::call::OperatorClient;
use crate::cli::exit::{CliError, Exit, FileSnafu};
use crate::cli::options::{TableAction, TableEditOptions};
use crate::shared_log::record::Offset;
use crate::table::message::{Change, Edit, EditAnswer};
use serde::Deserialize;
use snafu::ResultExt;
use std::sync::Arc;

/// A file of changes.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct EditFile {
    /// The operator's own identity of the edit; made up when absent.
    pub edit_id: Option<Arc<str>>,
    /// Who makes it.
    pub operator: Arc<str>,
    /// The table version it is made from; the present one when absent.
    pub base_version: Option<Offset>,
    /// The changes.
    #[serde(rename = "changes")]
    pub changes: Vec<Change>,
}

#[derive(Deserialize)]
struct VersionOnly {
    version: Offset,
}

/// Carries out a command on the table.
///
/// # Errors
///
/// Returns what went wrong.
pub async fn run(action: &TableAction) -> Result<Exit, CliError> {
    match action {
        TableAction::Show(options) => {
            let client = OperatorClient::new(&options.site)?;
            println!("{}", client.get("/table").await?);
            Ok(Exit::Done)
        }
        TableAction::Edit(options) => edit(options).await,
    }
}

async fn edit(options: &TableEditOptions) -> Result<Exit, CliError> {
    let path = &options.file;
    let text = std::fs::read_to_string(path).context(FileSnafu { path })?;
    let content_error = |why: String| CliError::Content {
        path: path.clone(),
        why,
    };
    let file: EditFile = toml::from_str(&text).map_err(|error| content_error(error.to_string()))?;
    let client = OperatorClient::new(&options.site)?;
    let base_version = match file.base_version {
        Some(version) => version,
        None => present_version(&client).await?,
    };
    let edit_id = file
        .edit_id
        .unwrap_or_else(|| format!("edit-{:x}", fastrand::u64(..)).into());
    let edit = Edit {
        edit_id,
        operator: file.operator,
        base_version,
        changes: file.changes,
    };
    let answer = client.post("/table/edits", &edit).await?;
    let answer: EditAnswer =
        serde_json::from_str(&answer).map_err(|error| content_error(error.to_string()))?;
    Ok(report(&edit, &answer))
}

async fn present_version(client: &OperatorClient) -> Result<Offset, CliError> {
    let text = client.get("/table").await?;
    let table: Result<VersionOnly, _> = serde_json::from_str(&text);
    table
        .map(|table| table.version)
        .map_err(|error| CliError::Refused {
            kind: "internal".to_string(),
            message: format!("the table cannot be read: {error}"),
            advice: String::new(),
        })
}

fn report(edit: &Edit, answer: &EditAnswer) -> Exit {
    match answer {
        EditAnswer::InForce { version } => {
            println!(
                "edit {} is in force everywhere as version {version}",
                edit.edit_id
            );
            Exit::Done
        }
        EditAnswer::Pending { unconfirmed, .. } => {
            println!(
                "edit {} is not in force yet; not confirmed by: {}",
                edit.edit_id,
                unconfirmed.join(", ")
            );
            Exit::Pending
        }
    }
}
